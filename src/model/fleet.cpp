#include "model/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace marblehub::model {
namespace {

constexpr std::uint32_t kWorkerLanes = 16;
constexpr std::uint32_t kFirstStanding = 0xff000000;  // number of the first client that stands at the start

// What a set-up took, in steps of 5 per cent from 1 ms to 100 s; what is outside counts as at the ends.
double quantile(const std::vector<float>& values, double part) {
  using namespace boost::histogram;
  auto h = make_histogram(axis::regular<double, axis::transform::log>(236, 1, 100'000));
  for (float value : values) h(std::max(1.0f, value));
  double all = static_cast<double>(values.size()), sum = h.at(-1);
  for (auto&& bin : indexed(h)) {
    sum += *bin;
    if (sum >= part * all) return std::min(bin.bin().upper(), 100'000.0);
  }
  return values.empty() ? 0 : 100'000.0;
}

class Fleet {
 public:
  Fleet(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario), options_(options), lanes_(scenario.hop, options.threads), store_(scenario) {
    places_.store = lanes_.add(store_);
    for (int i = 0; i < scenario.workers(); ++i) {
      places_.names.push_back(scenario.name_of(i));
      places_.numbers.emplace(places_.names.back(), i);
    }
    for (int i = 0; i < scenario.balancers; ++i) {
      hosts_.push_back(
          std::make_unique<Host>(scenario_, places_, static_cast<std::uint32_t>(i), options.seed));
      places_.hosts.push_back(lanes_.add(*hosts_.back()));
    }
    std::uint32_t lanes = std::min(kWorkerLanes, static_cast<std::uint32_t>(scenario.workers()));
    for (std::uint32_t i = 0; i < lanes; ++i) {
      worker_lanes_.push_back(std::make_unique<WorkerLane>(scenario_, places_, options.seed));
      lanes_.add(*worker_lanes_.back());
    }
    for (int i = 0; i < scenario.workers(); ++i) {
      workers_.push_back(std::make_unique<Worker>(scenario_, i, options.seed));
      WorkerLane& lane = lane_of(i);
      lane.take(*workers_.back());
      places_.workers.push_back(lane.number());
    }
  }

  Result run() {
    if (options_.log)
      for (auto& host : hosts_) host->log_to(&logs_.emplace_back());
    for (auto& host : hosts_) host->begin();
    for (auto& lane : worker_lanes_) lane->begin();
    place();
    schedule();
    lanes_.run(scenario_.lasts, options_.progress);
    for (auto& host : hosts_) host->finish(scenario_.lasts);
    return result();
  }

 private:
  WorkerLane& lane_of(int worker) {
    return *worker_lanes_[static_cast<std::size_t>(worker) % worker_lanes_.size()];
  }

  // The connections that stand at the beginning: spread as the scales tell, or all on one kind.
  void place() {
    std::vector<double> until;
    double all = 0;
    for (int i = 0; i < scenario_.workers(); ++i) {
      const Kind& kind = scenario_.kind_of(i);
      bool takes = kind.from == 0 && (scenario_.placed.empty() || scenario_.placed == kind.name);
      until.push_back(all += takes ? kind.scale : 0);
    }
    // With many balancers each uses its sample of the fleet, as the module draws it: a worker's connections
    // are at those whose sample it is in.
    std::vector<int> order(workers_.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = static_cast<int>(i);
    std::sort(order.begin(), order.end(), [&](int a, int b) {
      return places_.names[static_cast<std::size_t>(a)] < places_.names[static_cast<std::size_t>(b)];
    });
    std::erase_if(order, [&](int i) { return scenario_.kind_of(i).from > 0; });
    std::vector<std::vector<std::size_t>> at(workers_.size());
    double part = std::max(12.0 / static_cast<double>(order.size()), 8.0 / scenario_.balancers);
    for (std::size_t k = 0; k < order.size(); ++k)
      for (std::size_t h = 0; h < hosts_.size(); ++h) {
        double where = (static_cast<double>(k) + 0.5) / static_cast<double>(order.size()) +
                       static_cast<double>(h) * 0.6180339887;
        if (where - std::floor(where) < part) at[static_cast<std::size_t>(order[k])].push_back(h);
      }
    Stream placing(options_.seed, Purpose::placing, 0);
    for (int n = 0; n < scenario_.standing && all > 0; ++n) {
      Client client = new_client(scenario_, options_.seed, kFirstStanding + static_cast<std::uint32_t>(n), 0);
      double drawn = placing.uniform() * all;
      int worker = static_cast<int>(std::upper_bound(until.begin(), until.end(), drawn) - until.begin());
      const std::vector<std::size_t>& near = at[static_cast<std::size_t>(worker)];
      double which = placing.uniform();
      Host& host = near.empty()
                       ? *hosts_[static_cast<std::size_t>(which * static_cast<double>(hosts_.size()))]
                       : *hosts_[near[static_cast<std::size_t>(which * static_cast<double>(near.size()))]];
      std::uint64_t key = host.stands_already(client, worker);
      lane_of(worker).stands_already(worker, key, client);
    }
  }

  void schedule() {
    using What = Happening::What;
    for (const Happening& h : scenario_.happenings) {
      Event event;
      event.time = h.lasts;
      event.value = h.value;
      if (h.what == What::kill_balancer || h.what == What::drop || h.what == What::move) {
        event.what = h.what == What::drop   ? model::What::drops
                     : h.what == What::move ? model::What::moves
                                            : model::What::dies;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          if (h.what == What::kill_balancer && static_cast<int>(i) != h.number - 1) continue;
          event.host = static_cast<std::uint32_t>(i);
          event.lane = places_.hosts[i];
          lanes_.begin_with(event, h.at);
        }
        continue;
      }
      event.worker = static_cast<std::uint32_t>(scenario_.worker(h.kind, h.number));
      event.lane = places_.workers[event.worker];
      event.what = h.what == What::drain  ? model::What::drains
                   : h.what == What::stop ? model::What::stops
                   : h.what == What::hang ? model::What::hangs
                                          : model::What::slows;
      lanes_.begin_with(event, h.at);
    }
  }

  std::vector<Result::Moment> moments(const std::vector<Time>& moved) const {
    std::vector<Result::Moment> all;
    std::size_t count = workers_.front()->samples().size();
    for (std::size_t k = 0; k < count; ++k) {
      Result::Moment m;
      m.at = static_cast<double>(static_cast<Time>(k) * kSampleEvery) / 1e6;
      double capacity = 0, asked = 0;
      m.lowest = 1e9;
      std::map<std::string, std::pair<double, double>> kinds;
      for (std::size_t i = 0; i < workers_.size(); ++i) {
        const Sample& s = workers_[i]->samples()[k];
        if (s.level < 0) continue;
        double level = s.level, can = s.capacity;
        m.highest = std::max(m.highest, level);
        m.lowest = std::min(m.lowest, level);
        m.connections += s.connections;
        capacity += can, asked += can * level;
        auto& kind = kinds[scenario_.kind_of(static_cast<int>(i)).name];
        kind.first += can, kind.second += can * level;
      }
      m.lowest = std::min(m.lowest, m.highest);
      m.gap = m.highest - m.lowest;
      m.mean = capacity > 0 ? asked / capacity : 0;
      for (const Kind& kind : scenario_.kinds) {
        auto it = kinds.find(kind.name);
        m.kinds.emplace_back(kind.name, it == kinds.end() ? 0 : it->second.second / it->second.first);
      }
      Time to = static_cast<Time>(k) * kSampleEvery, from = to - kSampleEvery;
      m.moves = static_cast<double>(
          std::count_if(moved.begin(), moved.end(), [&](Time t) { return t >= from && t < to; }));
      if (k > 0 && k - 1 < store_.calls().size()) m.store_calls = store_.calls()[k - 1];
      all.push_back(std::move(m));
    }
    return all;
  }

  Result result() {
    Result r;
    r.scenario = scenario_.name;
    r.seed = options_.seed;
    HostFigures all;
    std::vector<Time> moved;
    std::size_t most_one = 0;
    double one_limit = scenario_.rebalance.moves_per_minute,
           fleet_limit = scenario_.rebalance.fleet_moves_per_minute;
    for (auto& host : hosts_) {
      const HostFigures& f = host->figures();
      all.calls += f.calls, all.refused += f.refused, all.failed += f.failed;
      all.gave_up += f.gave_up, all.told += f.told, all.lost += f.lost;
      all.planned += f.planned;
      all.wanted += f.wanted, all.without += f.without;
      for (std::size_t i = 0; i < f.seconds.size(); ++i) all.seconds[i] += f.seconds[i];
      all.set_up_ms.insert(all.set_up_ms.end(), f.set_up_ms.begin(), f.set_up_ms.end());
      moved.insert(moved.end(), f.moved.begin(), f.moved.end());
      std::size_t most = most_within(f.moved, 60 * kSecond);
      most_one = std::max(most_one, most);
      r.rules.add(host->rules());
      if (static_cast<double>(most) > one_limit)
        r.rules.broken(Rule::balancer_limit, f.moved.front(), fmt::format("{} moves in a minute", most));
    }
    std::sort(moved.begin(), moved.end());
    std::size_t most_fleet = most_within(moved, 60 * kSecond);
    if (static_cast<double>(most_fleet) > fleet_limit)
      r.rules.broken(Rule::fleet_limit, moved.front(), fmt::format("{} moves in a minute", most_fleet));
    Worker::Figures w;
    for (auto& worker : workers_) {
      const Worker::Figures& f = worker->figures();
      w.served += f.served, w.cut += f.cut, w.fell += f.fell, w.fell_cold += f.fell_cold;
      for (int i = 0; i < f.fell_cold; ++i)
        r.rules.broken(Rule::cold_fell, 0, "a cold worker was pushed over");
    }
    r.moments = moments(moved);
    auto& f = r.figures;
    f["calls"] = static_cast<double>(all.calls);
    f["refused"] = static_cast<double>(all.refused);
    f["refused share"] =
        all.calls > 0 ? static_cast<double>(all.refused) / static_cast<double>(all.calls) : 0;
    f["failed"] = static_cast<double>(all.failed);
    f["gave up"] = static_cast<double>(all.gave_up);
    f["moves"] = static_cast<double>(moved.size());
    f["planned"] = static_cast<double>(all.planned);
    f["told to move"] = static_cast<double>(all.told);
    f["lost"] = static_cast<double>(all.lost);
    f["moves in any minute"] = static_cast<double>(most_fleet);
    f["moves of one balancer in any minute"] = static_cast<double>(most_one);
    f["store calls"] = static_cast<double>(store_.all());
    f["store wait ms"] = static_cast<double>(store_.longest()) / 1e3;
    f["served share"] = all.wanted > 0 ? w.served / all.wanted : 0;
    f["without share"] = all.wanted > 0 ? all.without / all.wanted : 0;
    f["workers fell"] = w.fell;
    f["cold workers fell"] = w.fell_cold;
    f["cut"] = static_cast<double>(w.cut);
    f["rules broken"] = static_cast<double>(r.rules.all());
    f["set up ms median"] = quantile(all.set_up_ms, 0.5);
    f["set up ms 99"] = quantile(all.set_up_ms, 0.99);
    double gaps = 0;
    for (const auto& m : r.moments) gaps += m.gap;
    f["mean gap"] = r.moments.empty() ? 0 : gaps / static_cast<double>(r.moments.size());
    for (int i = 0; i < rebalance::kPlannerStateCount; ++i)
      f[std::string("seconds ") + rebalance::name_of(static_cast<rebalance::PlannerState>(i))] =
          all.seconds[static_cast<std::size_t>(i)] / scenario_.balancers;
    f["events"] = static_cast<double>(lanes_.handled());
    for (const std::string& log : logs_) r.log += log;
    for (const Expectation& e : scenario_.expectations) judge(e, r);
    return r;
  }

  void judge(const Expectation& e, Result& r) const {
    double found = 0;
    auto it = r.figures.find(e.figure);
    const Result::Moment* moment = nullptr;
    for (const auto& m : r.moments)
      if (e.at >= 0 && m.at * 1e6 <= static_cast<double>(e.at)) moment = &m;
    if (e.at >= 0 && moment && e.figure == "gap") {
      found = moment->gap;
    } else if (e.at >= 0 && moment && e.figure == "highest") {
      found = moment->highest;
    } else if (e.at >= 0 && moment && e.figure == "mean") {
      found = moment->mean;
    } else if (e.at >= 0 && moment && e.figure.starts_with("load of ")) {
      auto kind = std::find_if(moment->kinds.begin(), moment->kinds.end(),
                               [&](const auto& k) { return k.first == e.figure.substr(8); });
      if (kind == moment->kinds.end()) throw config::DecodeError(r.scenario + ": there is no " + e.figure);
      found = kind->second;
    } else if (e.at < 0 && it != r.figures.end()) {
      found = it->second;
    } else {
      throw config::DecodeError(r.scenario + ": expect " + e.text + ": there is no such figure");
    }
    using Sense = Expectation::Sense;
    bool holds = e.sense == Sense::below      ? found < e.value
                 : e.sense == Sense::above    ? found > e.value
                 : e.sense == Sense::at_most  ? found <= e.value
                 : e.sense == Sense::at_least ? found >= e.value
                                              : found == e.value;
    r.verdicts.push_back({e.text, found, holds});
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  Lanes lanes_;
  Places places_;
  Store store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<WorkerLane>> worker_lanes_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::deque<std::string> logs_;
};

}  // namespace

double Result::figure(const std::string& name) const {
  auto it = figures.find(name);
  return it == figures.end() ? 0 : it->second;
}

bool Result::good() const {
  return rules.all() == 0 &&
         std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.holds; });
}

std::string Result::text() const {
  std::string out =
      fmt::format("{} seed {}: {}\n", scenario, seed, good() ? "as expected" : "NOT as expected");
  for (const Verdict& v : verdicts)
    out += fmt::format("  {} {}: found {:.4g}\n", v.holds ? "holds" : "FAILS", v.expected, v.found);
  for (int i = 0; i < kRules; ++i)
    if (long n = rules.count(static_cast<Rule>(i)))
      out += fmt::format("  BROKEN {}: {} times\n", name_of(static_cast<Rule>(i)), n);
  for (const Rules::Breach& b : rules.first())
    out +=
        fmt::format("    at {:.3f} s, {}: {}\n", static_cast<double>(b.when) / 1e6, name_of(b.rule), b.how);
  for (const auto& [name, value] : figures)
    if (value != 0) out += fmt::format("  {:<38} {:.6g}\n", name, value);
  out += "     at     gap highest  lowest    mean   moves   store  connections\n";
  for (const Moment& m : moments)
    out += fmt::format("  {:5.0f} {:7.3f} {:7.3f} {:7.3f} {:7.3f} {:7.0f} {:7.0f} {:12.0f}\n", m.at, m.gap,
                       m.highest, m.lowest, m.mean, m.moves, m.store_calls, m.connections);
  return out;
}

Result run(const Scenario& scenario, const RunOptions& options) { return Fleet(scenario, options).run(); }

}  // namespace marblehub::model
