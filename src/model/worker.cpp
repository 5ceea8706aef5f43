#include "model/worker.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "policy/slow_start/factor.h"

namespace marblehub::model {
namespace {

using marblehub::policy::Health;
using marblehub::policy::Outcome;

constexpr double kWorkAveragingTime = 1e6;  // microseconds; time constant of recent_work_
constexpr double kMaxReportedLoad = 20;     // upper bound of reported loads
constexpr Time kHistoryStep = 20 * kMillisecond;

}  // namespace

Client new_client(const Scenario& scenario, std::uint64_t seed, std::uint32_t id, Time now) {
  Client client;
  client.id = id;
  RandomStream rng(seed, Purpose::client, id);
  client.load = static_cast<float>(scenario.load * rng.lognormal(scenario.load_sigma));
  if (rng.uniform() < scenario.heavy_share) client.load *= static_cast<float>(scenario.heavy_factor);
  client.quic = rng.uniform() < scenario.quic_share;
  double group = rng.uniform();
  auto small = static_cast<std::uint64_t>(std::max(1, scenario.groups - 1));
  if (scenario.groups > 0)
    client.group = group < scenario.big_group_share ? 1 : 2 + static_cast<std::uint32_t>(rng.below(small));
  client.departs_at = now + static_cast<Time>(rng.exponential(scenario.mean_stay) * 1e6);
  client.state_since = now;
  client.rng_count = rng.count();
  return client;
}

// ---- Worker --------------------------------------------------------------------------------------

Worker::Worker(const Scenario& scenario, int number, std::uint64_t seed)
    : scenario_(scenario),
      kind_(scenario.kind_of(number)),
      number_(number),
      report_rng_(seed, Purpose::report, static_cast<std::uint64_t>(number)),
      wave_phase_(RandomStream(seed, Purpose::worker, static_cast<std::uint64_t>(number)).uniform()) {
  up_ = kind_.starts_at == 0;
}

double Worker::slow_start(Time now) const {
  return marblehub::policy::slow_start_factor(started_, now, scenario_.cold_share, scenario_.warm_up_time);
}

double Worker::capacity(Time now) const {
  return kind_.cores * kind_.speed * speed_factor_ * slow_start(now) * 1e6;
}

double Worker::demand(Time now) const {
  double wave = 1;
  if (scenario_.wave_amplitude > 0) {
    double cycles = static_cast<double>(now) / static_cast<double>(scenario_.wave_period) + wave_phase_;
    wave += scenario_.wave_amplitude * std::sin(6.283185307179586 * cycles);
  }
  return connection_demand_ * wave + static_cast<double>(groups_.size()) * scenario_.group_work;
}

void Worker::advance(Time now) {
  double seconds = static_cast<double>(now - advanced_to_) / 1e6;
  if (seconds <= 0) return;
  double available = capacity(now), required = demand(now);
  if (up_ && !hung_) {
    backlog_ = std::max(0.0, backlog_ + (required - available) * seconds);
    double delay_us = static_cast<double>(message_delay(now)),
           objective = static_cast<double>(scenario_.message_objective);
    double timeliness =
        delay_us <= objective ? 1 : std::max(0.0, 1 - (delay_us - objective) / (3 * objective));
    statistics_.served_seconds += seconds * static_cast<double>(established_count_) * timeliness;
  }
  recent_work_ *= std::exp(-seconds * 1e6 / kWorkAveragingTime);
  advanced_to_ = now;
  if (now - load_history_[history_index_].first >= kHistoryStep) {
    history_index_ = (history_index_ + 1) % load_history_.size();
    load_history_[history_index_] = {now, load(now)};
  }
}

double Worker::queue_wait(Time now) const { return backlog_ / capacity(now); }

double Worker::load(Time now) const { return (demand(now) + recent_work_) / capacity(now) + queue_wait(now); }

// The response time of an M/D/1 queue, with the utilization bounded below 1, plus the wait for the backlog.
Time Worker::message_delay(Time now) const {
  double utilization = std::min(0.98, (demand(now) + recent_work_) / capacity(now));
  double service = static_cast<double>(scenario_.service_time);
  return static_cast<Time>(service * (1 + utilization / (2 * (1 - utilization))) + queue_wait(now) * 1e6);
}

void Worker::add(std::uint64_t key, float load, std::uint32_t group) {
  connections_[key] = {load, group, false};
}

void Worker::mark_established(Connection& connection) {
  connection.established = true;
  established_count_ += 1;
  connection_demand_ += connection.load;
  if (connection.group != 0) groups_[connection.group] += 1;
}

void Worker::remove(std::uint64_t key) {
  auto it = connections_.find(key);
  if (it == connections_.end()) return;
  if (it->second.established) {
    established_count_ -= 1;
    connection_demand_ = established_count_ == 0 ? 0 : std::max(0.0, connection_demand_ - it->second.load);
    std::uint32_t group = it->second.group;
    if (group != 0 && --groups_[group] <= 0) groups_.erase(group);
  }
  connections_.erase(it);
}

// ---- WorkerProcess ---------------------------------------------------------------------------------

void WorkerProcess::start() {
  network_rng_ = RandomStream(seed_, Purpose::network, 1'000'000 + number());
  for (Worker* w : workers_) {
    if (!w) continue;
    Event event;
    event.process = number();
    event.worker = static_cast<std::uint32_t>(w->number_);
    event.type = EventType::load_sample;
    schedule(event, 0);
    if (w->kind_.starts_at > 0) {
      event.type = EventType::worker_start;
      schedule(event, w->kind_.starts_at);
    }
  }
}

void WorkerProcess::add_initial_connection(int worker, std::uint64_t key, const Client& client) {
  Worker& w = *workers_.at(static_cast<std::size_t>(worker));
  w.add(key, client.load, client.group);
  w.mark_established(w.connections_[key]);
}

double WorkerProcess::reported_load(Worker& w) {
  Time age = static_cast<Time>(w.report_rng_.uniform() * static_cast<double>(scenario_.max_report_age));
  double reported = w.load(now());
  for (std::size_t i = 0; i < w.load_history_.size(); ++i) {
    const auto& [when, load] =
        w.load_history_[(w.history_index_ + w.load_history_.size() - i) % w.load_history_.size()];
    if (when > now()) continue;
    reported = load;
    if (when <= now() - age) break;
  }
  if (scenario_.report_noise > 0)
    reported *= std::max(0.0, 1 + scenario_.report_noise * w.report_rng_.normal());
  return std::min(reported, kMaxReportedLoad);
}

void WorkerProcess::reply(const Event& to, EventType type, Outcome outcome, double value, Time after) {
  Event event;
  event.process = topology_.balancers[to.balancer];
  event.type = type;
  event.outcome = static_cast<std::uint8_t>(outcome);
  event.balancer = to.balancer;
  event.worker = to.worker;
  event.key = to.key;
  event.time = to.time;
  event.value = value;
  schedule(event, now() + after + hop_delay());
}

void WorkerProcess::send_endpoint_update(const Worker& w, Health health) {
  for (std::uint32_t balancer = 0; balancer < topology_.balancers.size(); ++balancer) {
    Event event;
    event.process = topology_.balancers[balancer];
    event.type = EventType::endpoint_update;
    event.outcome = static_cast<std::uint8_t>(health);
    event.balancer = balancer;
    event.worker = static_cast<std::uint32_t>(w.number_);
    event.time = w.started_;
    event.key = static_cast<std::uint64_t>(now());
    double delay_us = network_rng_.between(static_cast<double>(scenario_.min_list_delay),
                                           static_cast<double>(scenario_.max_list_delay));
    schedule(event, now() + std::max(scenario_.hop_delay, static_cast<Time>(delay_us)));
  }
}

void WorkerProcess::handle_setup(Worker& w, const Event& event) {
  if (!w.up_) return reply(event, EventType::attempt_ended, Outcome::connect_failed);
  if (w.hung_) return;
  double wait_us = w.queue_wait(now()) * 1e6;
  bool full = (w.kind_.max_connections > 0 &&
               w.connections_.size() >= static_cast<std::size_t>(w.kind_.max_connections)) ||
              wait_us > static_cast<double>(w.kind_.max_queue_wait);
  if (full) return reply(event, EventType::attempt_ended, Outcome::full, reported_load(w));
  w.backlog_ += scenario_.setup_work;
  w.recent_work_ += scenario_.setup_work;
  w.add(event.key, event.client.load, event.client.group);
  Event call = event;
  call.process = topology_.store;
  call.type = EventType::store_request;
  call.time = number();  // the process that the reply goes to
  schedule(call, now() + static_cast<Time>(wait_us) + scenario_.service_time + hop_delay());
}

void WorkerProcess::stop_worker(Worker& w, bool crashed) {
  w.up_ = false;
  w.backlog_ = 0, w.recent_work_ = 0;
  std::vector<std::uint64_t> keys;
  for (auto& [key, connection] : w.connections_) keys.push_back(key);
  std::sort(keys.begin(), keys.end());  // the result must not depend on the order of the hash table
  for (std::uint64_t key : keys) {
    bool was_established = w.connections_[key].established;
    w.statistics_.cut_connections += was_established;
    w.remove(key);
    Event to;
    to.balancer = static_cast<std::uint32_t>(key >> 48);
    to.worker = static_cast<std::uint32_t>(w.number_);
    to.key = key;
    reply(to, EventType::attempt_ended, Outcome::reset);
  }
  if (crashed) {
    w.statistics_.crashes += 1;
    w.statistics_.cold_crashes += w.slow_start(now()) < 1;
  }
  send_endpoint_update(w, Health::deleted);
}

void WorkerProcess::start_worker(Worker& w) {
  w.up_ = true;
  w.draining_ = w.hung_ = false;
  w.started_ = now();
  w.backlog_ = 0;
  send_endpoint_update(w, Health::serving);
}

void WorkerProcess::handle(const Event& event) {
  if (event.worker >= workers_.size() || !workers_[event.worker])
    throw std::logic_error("an event for a worker of another process");
  Worker& w = *workers_[event.worker];
  w.advance(now());
  if (w.up_ && !w.hung_ && w.queue_wait(now()) * 1e6 > static_cast<double>(scenario_.crash_wait)) {
    stop_worker(w, true);
    Event restart;
    restart.process = number();
    restart.worker = event.worker;
    restart.type = EventType::worker_start;
    schedule(restart, now() + scenario_.restart_delay);
  }
  switch (event.type) {
    case EventType::setup_request:
      return handle_setup(w, event);
    case EventType::store_reply: {
      auto it = w.connections_.find(event.key);
      if (!w.up_ || it == w.connections_.end()) return;
      Event ready = event;
      ready.process = number();
      ready.type = EventType::setup_done;
      return schedule(ready, now() + w.message_delay(now()));
    }
    case EventType::setup_done: {
      auto it = w.connections_.find(event.key);
      if (!w.up_ || w.hung_ || it == w.connections_.end() || it->second.established) return;
      w.mark_established(it->second);
      return reply(event, EventType::attempt_established, Outcome::served);
    }
    case EventType::connection_closed:
      w.remove(event.key);
      return;
    case EventType::probe_request:
      if (!w.up_) return reply(event, EventType::probe_reply, Outcome::connect_failed);
      w.backlog_ += scenario_.probe_work;
      w.recent_work_ += scenario_.probe_work;
      // A hung worker still answers probes: its event loop runs, but it does no work.
      return reply(event, EventType::probe_reply, Outcome::served, reported_load(w));
    case EventType::message_request:
      if (!w.up_ || w.hung_) return;
      return reply(event, EventType::message_reply, Outcome::served, -1, w.message_delay(now()));
    case EventType::load_sample: {
      w.samples_.push_back(
          {static_cast<float>(w.up_ && !w.draining_ ? std::min(w.load(now()), kMaxReportedLoad) : -1),
           static_cast<float>(w.capacity(now())), static_cast<std::uint32_t>(w.established_count_)});
      Event next = event;
      return schedule(next, now() + kSampleEvery);
    }
    case EventType::drain_start: {
      w.draining_ = true;
      send_endpoint_update(w, Health::draining);
      Event end = event;
      end.type = EventType::worker_stop;
      return schedule(end, now() + event.time);
    }
    case EventType::worker_stop:
      if (w.up_) stop_worker(w, false);
      return;
    case EventType::worker_start:
      return start_worker(w);
    case EventType::hang_start: {
      w.hung_ = true;
      if (event.time <= 0) return;
      Event end = event;
      end.type = EventType::hang_end;
      return schedule(end, now() + event.time);
    }
    case EventType::hang_end:
      w.hung_ = false;
      return;
    case EventType::speed_change: {
      double before = w.speed_factor_;
      w.speed_factor_ = event.value;
      if (event.time <= 0) return;
      Event end = event;
      end.value = before, end.time = 0;
      return schedule(end, now() + event.time);
    }
    default:
      throw std::logic_error("not an event type of workers");
  }
}

// ---- Store -------------------------------------------------------------------------------

void Store::handle(const Event& event) {
  total_calls_ += 1;
  auto slot = static_cast<std::size_t>(now() / kSampleEvery);
  if (calls_.size() <= slot) calls_.resize(slot + 1);
  calls_[slot] += 1;
  Time service_time = scenario_.store_rate > 0 ? static_cast<Time>(1e6 / scenario_.store_rate) : 0;
  free_at_ = std::max(free_at_, now()) + service_time;
  Time waited = free_at_ - now();
  max_wait_ = std::max(max_wait_, waited);
  Event done = event;
  done.process = static_cast<std::uint32_t>(event.time);  // the process of the worker
  done.type = EventType::store_reply;
  schedule(done, now() + std::max(scenario_.hop_delay, waited + scenario_.store_time));
}

}  // namespace marblehub::model
