#include "model/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace marblehub::model {
namespace {

constexpr std::uint32_t kMaxWorkerProcesses = 16;
constexpr std::uint32_t kFirstInitialClient = 0xff000000;  // id of the first client connected at the start

// A quantile of set-up times, from a histogram of 236 logarithmic bins (about 5% wide) from 1 ms to 100 s.
double quantile(const std::vector<float>& values, double fraction) {
  using namespace boost::histogram;
  auto h = make_histogram(axis::regular<double, axis::transform::log>(236, 1, 100'000));
  for (float value : values) h(std::max(1.0f, value));
  double all = static_cast<double>(values.size()), sum = h.at(-1);
  for (auto&& bin : indexed(h)) {
    sum += *bin;
    if (sum >= fraction * all) return std::min(bin.bin().upper(), 100'000.0);
  }
  return values.empty() ? 0 : 100'000.0;
}

// The entities of one run.
class Fleet {
 public:
  Fleet(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        engine_(scenario.hop_delay, options.threads),
        store_(scenario) {
    topology_.store = engine_.add(store_);
    for (int i = 0; i < scenario.workers(); ++i) {
      topology_.names.push_back(scenario.name_of(i));
      topology_.numbers.emplace(topology_.names.back(), i);
    }
    for (int i = 0; i < scenario.balancers; ++i) {
      balancers_.push_back(std::make_unique<BalancerProcess>(scenario_, topology_,
                                                             static_cast<std::uint32_t>(i), options.seed));
      topology_.balancers.push_back(engine_.add(*balancers_.back()));
    }
    std::uint32_t process_count =
        std::min(kMaxWorkerProcesses, static_cast<std::uint32_t>(scenario.workers()));
    for (std::uint32_t i = 0; i < process_count; ++i) {
      worker_processes_.push_back(std::make_unique<WorkerProcess>(scenario_, topology_, options.seed));
      engine_.add(*worker_processes_.back());
    }
    for (int i = 0; i < scenario.workers(); ++i) {
      workers_.push_back(std::make_unique<Worker>(scenario_, i, options.seed));
      WorkerProcess& process = process_of(i);
      process.add_worker(*workers_.back());
      topology_.workers.push_back(process.number());
    }
  }

  Result run() {
    if (options_.log)
      for (auto& balancer : balancers_) balancer->set_log(&logs_.emplace_back());
    for (auto& balancer : balancers_) balancer->start();
    for (auto& process : worker_processes_) process->start();
    place_initial_connections();
    schedule_events();
    engine_.run(scenario_.duration, options_.progress);
    for (auto& balancer : balancers_) balancer->finish(scenario_.duration);
    return result();
  }

 private:
  WorkerProcess& process_of(int worker) {
    return *worker_processes_[static_cast<std::size_t>(worker) % worker_processes_.size()];
  }

  // Places the initial connections: on all workers in proportion to their scale, or on one kind.
  void place_initial_connections() {
    std::vector<double> cumulative_scale;
    double all = 0;
    for (int i = 0; i < scenario_.workers(); ++i) {
      const WorkerKind& kind = scenario_.kind_of(i);
      bool eligible =
          kind.starts_at == 0 && (scenario_.initial_kind.empty() || scenario_.initial_kind == kind.name);
      cumulative_scale.push_back(all += eligible ? kind.scale : 0);
    }
    // In large fleets each balancer uses a subset of the workers, as the policy draws it: a worker's
    // connections are at the balancers whose subset it is in.
    std::vector<int> order(workers_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = static_cast<int>(i);
    std::sort(order.begin(), order.end(), [&](int a, int b) {
      return topology_.names[static_cast<std::size_t>(a)] < topology_.names[static_cast<std::size_t>(b)];
    });
    std::erase_if(order, [&](int i) { return scenario_.kind_of(i).starts_at > 0; });
    std::vector<std::vector<std::size_t>> at(workers_.size());
    double sample_share = std::max(12.0 / static_cast<double>(order.size()), 8.0 / scenario_.balancers);
    for (std::size_t k = 0; k < order.size(); ++k)
      for (std::size_t h = 0; h < balancers_.size(); ++h) {
        double position = (static_cast<double>(k) + 0.5) / static_cast<double>(order.size()) +
                          static_cast<double>(h) * 0.6180339887;
        if (position - std::floor(position) < sample_share)
          at[static_cast<std::size_t>(order[k])].push_back(h);
      }
    RandomStream placement_rng(options_.seed, Purpose::placement, 0);
    for (int n = 0; n < scenario_.initial_connections && all > 0; ++n) {
      Client client =
          new_client(scenario_, options_.seed, kFirstInitialClient + static_cast<std::uint32_t>(n), 0);
      double drawn = placement_rng.uniform() * all;
      int worker =
          static_cast<int>(std::upper_bound(cumulative_scale.begin(), cumulative_scale.end(), drawn) -
                           cumulative_scale.begin());
      const std::vector<std::size_t>& candidates = at[static_cast<std::size_t>(worker)];
      double draw = placement_rng.uniform();
      BalancerProcess& balancer =
          candidates.empty()
              ? *balancers_[static_cast<std::size_t>(draw * static_cast<double>(balancers_.size()))]
              : *balancers_[candidates[static_cast<std::size_t>(draw *
                                                                static_cast<double>(candidates.size()))]];
      std::uint64_t key = balancer.add_initial_connection(client, worker);
      process_of(worker).add_initial_connection(worker, key, client);
    }
  }

  void schedule_events() {
    using EventType = ScheduledEvent::EventType;
    for (const ScheduledEvent& h : scenario_.scheduled_events) {
      Event event;
      event.time = h.duration;
      event.value = h.value;
      if (h.type == EventType::kill_balancer || h.type == EventType::drop || h.type == EventType::move) {
        event.type = h.type == EventType::drop   ? model::EventType::connection_drop
                     : h.type == EventType::move ? model::EventType::forced_moves
                                                 : model::EventType::balancer_crash;
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
          if (h.type == EventType::kill_balancer && static_cast<int>(i) != h.number - 1) continue;
          event.balancer = static_cast<std::uint32_t>(i);
          event.process = topology_.balancers[i];
          engine_.schedule_initial(event, h.at);
        }
        continue;
      }
      event.worker = static_cast<std::uint32_t>(scenario_.worker(h.kind, h.number));
      event.process = topology_.workers[event.worker];
      event.type = h.type == EventType::drain  ? model::EventType::drain_start
                   : h.type == EventType::stop ? model::EventType::worker_stop
                   : h.type == EventType::hang ? model::EventType::hang_start
                                               : model::EventType::speed_change;
      engine_.schedule_initial(event, h.at);
    }
  }

  // Merges the samples of the workers into one snapshot of the fleet per sampling time.
  std::vector<Result::Snapshot> snapshots(const std::vector<Time>& move_times) const {
    std::vector<Result::Snapshot> all;
    std::size_t count = workers_.front()->samples().size();
    for (std::size_t k = 0; k < count; ++k) {
      Result::Snapshot m;
      m.at = static_cast<double>(static_cast<Time>(k) * kSampleEvery) / 1e6;
      double capacity = 0, asked = 0;
      m.lowest = 1e9;
      std::map<std::string, std::pair<double, double>> kinds;
      for (std::size_t i = 0; i < workers_.size(); ++i) {
        const Sample& s = workers_[i]->samples()[k];
        if (s.load < 0) continue;
        double load = s.load, available = s.capacity;
        m.highest = std::max(m.highest, load);
        m.lowest = std::min(m.lowest, load);
        m.connections += s.connections;
        capacity += available, asked += available * load;
        auto& kind = kinds[scenario_.kind_of(static_cast<int>(i)).name];
        kind.first += available, kind.second += available * load;
      }
      m.lowest = std::min(m.lowest, m.highest);
      m.gap = m.highest - m.lowest;
      m.mean = capacity > 0 ? asked / capacity : 0;
      for (const WorkerKind& kind : scenario_.kinds) {
        auto it = kinds.find(kind.name);
        m.kinds.emplace_back(kind.name, it == kinds.end() ? 0 : it->second.second / it->second.first);
      }
      Time to = static_cast<Time>(k) * kSampleEvery, from = to - kSampleEvery;
      m.moves = static_cast<double>(
          std::count_if(move_times.begin(), move_times.end(), [&](Time t) { return t >= from && t < to; }));
      if (k > 0 && k - 1 < store_.calls().size()) m.store_calls = store_.calls()[k - 1];
      all.push_back(std::move(m));
    }
    return all;
  }

  Result result() {
    Result r;
    r.scenario = scenario_.name;
    r.seed = options_.seed;
    BalancerStatistics all;
    std::vector<Time> move_times;
    std::size_t max_of_one = 0;
    double one_limit = scenario_.rebalance.moves_per_minute,
           fleet_limit = scenario_.rebalance.fleet_moves_per_minute;
    for (auto& balancer : balancers_) {
      const BalancerStatistics& f = balancer->statistics();
      all.calls += f.calls, all.refused += f.refused, all.failed += f.failed;
      all.gave_up += f.gave_up, all.redirected += f.redirected, all.lost += f.lost;
      all.planned += f.planned;
      all.wanted_seconds += f.wanted_seconds, all.disconnected_seconds += f.disconnected_seconds;
      for (std::size_t i = 0; i < f.planner_seconds.size(); ++i)
        all.planner_seconds[i] += f.planner_seconds[i];
      all.setup_ms.insert(all.setup_ms.end(), f.setup_ms.begin(), f.setup_ms.end());
      move_times.insert(move_times.end(), f.move_times.begin(), f.move_times.end());
      std::size_t max_count = max_count_within(f.move_times, 60 * kSecond);
      max_of_one = std::max(max_of_one, max_count);
      r.rules.add(balancer->rules());
      if (static_cast<double>(max_count) > one_limit)
        r.rules.record(Rule::balancer_limit, f.move_times.front(),
                       fmt::format("{} moves in a minute", max_count));
    }
    std::sort(move_times.begin(), move_times.end());
    std::size_t max_of_fleet = max_count_within(move_times, 60 * kSecond);
    if (static_cast<double>(max_of_fleet) > fleet_limit)
      r.rules.record(Rule::fleet_limit, move_times.front(),
                     fmt::format("{} moves in a minute", max_of_fleet));
    Worker::Statistics w;
    for (auto& worker : workers_) {
      const Worker::Statistics& f = worker->statistics();
      w.served_seconds += f.served_seconds, w.cut_connections += f.cut_connections, w.crashes += f.crashes,
          w.cold_crashes += f.cold_crashes;
      for (int i = 0; i < f.cold_crashes; ++i)
        r.rules.record(Rule::cold_crash, 0, "a worker crashed from overload during slow start");
    }
    r.snapshots = snapshots(move_times);
    auto& f = r.statistics;
    f["calls"] = static_cast<double>(all.calls);
    f["refused"] = static_cast<double>(all.refused);
    f["refused share"] =
        all.calls > 0 ? static_cast<double>(all.refused) / static_cast<double>(all.calls) : 0;
    f["failed"] = static_cast<double>(all.failed);
    f["gave up"] = static_cast<double>(all.gave_up);
    f["moves"] = static_cast<double>(move_times.size());
    f["planned"] = static_cast<double>(all.planned);
    f["told to move"] = static_cast<double>(all.redirected);
    f["lost"] = static_cast<double>(all.lost);
    f["moves in any minute"] = static_cast<double>(max_of_fleet);
    f["moves of one balancer in any minute"] = static_cast<double>(max_of_one);
    f["store calls"] = static_cast<double>(store_.total_calls());
    f["store wait ms"] = static_cast<double>(store_.max_wait()) / 1e3;
    f["served share"] = all.wanted_seconds > 0 ? w.served_seconds / all.wanted_seconds : 0;
    f["without share"] = all.wanted_seconds > 0 ? all.disconnected_seconds / all.wanted_seconds : 0;
    f["workers fell"] = w.crashes;
    f["cold workers fell"] = w.cold_crashes;
    f["cut"] = static_cast<double>(w.cut_connections);
    f["rules broken"] = static_cast<double>(r.rules.total());
    f["set up ms median"] = quantile(all.setup_ms, 0.5);
    f["set up ms 99"] = quantile(all.setup_ms, 0.99);
    double gaps = 0;
    for (const auto& m : r.snapshots) gaps += m.gap;
    f["mean gap"] = r.snapshots.empty() ? 0 : gaps / static_cast<double>(r.snapshots.size());
    for (int i = 0; i < rebalance::kPlannerStateCount; ++i)
      f[std::string("seconds ") + rebalance::name_of(static_cast<rebalance::PlannerState>(i))] =
          all.planner_seconds[static_cast<std::size_t>(i)] / scenario_.balancers;
    f["events"] = static_cast<double>(engine_.handled());
    for (const std::string& log : logs_) r.log += log;
    for (const Expectation& e : scenario_.expectations) check_expectation(e, r);
    return r;
  }

  // Throws config::DecodeError if the expectation names no statistic.
  void check_expectation(const Expectation& e, Result& r) const {
    double found = 0;
    auto it = r.statistics.find(e.statistic);
    const Result::Snapshot* snapshot = nullptr;
    for (const auto& m : r.snapshots)
      if (e.at >= 0 && m.at * 1e6 <= static_cast<double>(e.at)) snapshot = &m;
    if (e.at >= 0 && snapshot && e.statistic == "gap") {
      found = snapshot->gap;
    } else if (e.at >= 0 && snapshot && e.statistic == "highest") {
      found = snapshot->highest;
    } else if (e.at >= 0 && snapshot && e.statistic == "mean") {
      found = snapshot->mean;
    } else if (e.at >= 0 && snapshot && e.statistic.starts_with("load of ")) {
      auto kind = std::find_if(snapshot->kinds.begin(), snapshot->kinds.end(),
                               [&](const auto& k) { return k.first == e.statistic.substr(8); });
      if (kind == snapshot->kinds.end())
        throw config::DecodeError(r.scenario + ": no such statistic: " + e.statistic);
      found = kind->second;
    } else if (e.at < 0 && it != r.statistics.end()) {
      found = it->second;
    } else {
      throw config::DecodeError(r.scenario + ": expect " + e.text + ": no such statistic");
    }
    using Comparison = Expectation::Comparison;
    bool holds = e.comparison == Comparison::below      ? found < e.value
                 : e.comparison == Comparison::above    ? found > e.value
                 : e.comparison == Comparison::at_most  ? found <= e.value
                 : e.comparison == Comparison::at_least ? found >= e.value
                                                        : found == e.value;
    r.verdicts.push_back({e.text, found, holds});
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  Engine engine_;
  Topology topology_;
  Store store_;
  std::vector<std::unique_ptr<BalancerProcess>> balancers_;
  std::vector<std::unique_ptr<WorkerProcess>> worker_processes_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::deque<std::string> logs_;
};

}  // namespace

double Result::statistic(const std::string& name) const {
  auto it = statistics.find(name);
  return it == statistics.end() ? 0 : it->second;
}

bool Result::passed() const {
  return rules.total() == 0 &&
         std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.holds; });
}

std::string Result::text() const {
  std::string out =
      fmt::format("{} seed {}: {}\n", scenario, seed, passed() ? "as expected" : "NOT as expected");
  for (const Verdict& v : verdicts)
    out += fmt::format("  {} {}: found {:.4g}\n", v.holds ? "holds" : "FAILS", v.expected, v.found);
  for (int i = 0; i < kRuleCount; ++i)
    if (long n = rules.count(static_cast<Rule>(i)))
      out += fmt::format("  BROKEN {}: {} times\n", name_of(static_cast<Rule>(i)), n);
  for (const RuleViolations::Violation& b : rules.first_violations())
    out += fmt::format("    at {:.3f} s, {}: {}\n", static_cast<double>(b.when) / 1e6, name_of(b.rule),
                       b.detail);
  for (const auto& [name, value] : statistics)
    if (value != 0) out += fmt::format("  {:<38} {:.6g}\n", name, value);
  out += "     at     gap highest  lowest    mean   moves   store  connections\n";
  for (const Snapshot& m : snapshots)
    out += fmt::format("  {:5.0f} {:7.3f} {:7.3f} {:7.3f} {:7.3f} {:7.0f} {:7.0f} {:12.0f}\n", m.at, m.gap,
                       m.highest, m.lowest, m.mean, m.moves, m.store_calls, m.connections);
  return out;
}

Result run(const Scenario& scenario, const RunOptions& options) { return Fleet(scenario, options).run(); }

}  // namespace marblehub::model
