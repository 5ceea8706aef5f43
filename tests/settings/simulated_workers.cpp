// The workers of a simulated fleet, their failures and the endpoint list.
#include <algorithm>
#include <cmath>

#include "simulated_fleet.h"
#include "simulated_fleet_parts.h"

namespace marblehub::random_settings {

// ---- Load and connections of workers ------------------------------------------------------------

double SimulatedFleet::load_level(const Worker& w) const {
  double effective_capacity =
      w.capacity * slow_start_factor(w.started, now_, deployment_.cold_share, 20 * kS);
  double group_load = deployment_.groups ? 3 * static_cast<double>(w.groups.size()) : 0;
  return (w.load + group_load) / effective_capacity + w.short_work.at(now_, kS) / 4;  // four cores
}

// All messages are in time up to a load of 0.9, none from 1.2 on.
void SimulatedFleet::advance(Worker& w) {
  double in_time_share = std::clamp((1.2 - load_level(w)) / 0.3, 0.0, 1.0);
  if (!w.dead) served_ += w.value * in_time_share * static_cast<double>(now_ - w.advanced) / kS;
  w.advanced = now_;
}

LoadReport SimulatedFleet::load_report(Worker& w, bool with_result) {
  bool given =
      deployment_.reports == ReportMode::all || (deployment_.reports == ReportMode::probes && !with_result);
  return given ? LoadReport{load_level(w) * (0.9 + 0.2 * uniform(rng_))} : LoadReport{};
}

void SimulatedFleet::attempt_received(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = find_call(b, id);
  if (!c || !c->attempt_pending || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  advance(w);
  auto soon = [&](Outcome outcome, Time after) {
    schedule(now_ + after, [=, this] { report_result(b, id, attempt, outcome, false); });
  };
  if (w.dead) return soon(Outcome::connect_failed, kMs);
  if (errors_) return soon(Outcome::error, 5 * kMs);
  if (w.health != Health::serving || load_level(w) > 2.5) return soon(Outcome::full, kMs);
  w.short_work.add(0.002, now_, kS);
  if (store_out_) return;  // the attempt times out
  Time work = static_cast<Time>(kS / (deployment_.calls_per_second * deployment_.store_headroom));
  store_free_ = std::max(store_free_, now_) + work;
  w.setting_up.insert({b, id});
  schedule(store_free_ + 2 * kMs, [=, this] { connection_established(b, id, attempt); });
}

void SimulatedFleet::connection_established(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = find_call(b, id);
  if (!c || !c->attempt_pending || c->answered || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  if (w.dead) return;
  advance(w);
  w.setting_up.erase({b, id});
  w.connections.insert({b, id});
  w.load += c->client->load;
  w.value += deployment_.class_value(c->client->request_class);
  w.groups[c->client->group] += 1;
  c->established = true;
  c->client->retries = 0;
  schedule(std::max(now_ + kMs, c->client->until),
           [=, this] { report_result(b, id, attempt, Outcome::served, true); });
  send_event(b, EstablishedEvent{id, attempt, 5 * kMs});
  if (!deployment_.connection_updates) return;
  schedule(now_ + 2 * kS, [=, this] {
    Call* c = find_call(b, id);
    if (!c || !c->established || c->answered) return;
    send_event(
        b, ConnectionUpdateEvent{id, attempt, ConnectionUpdateKind::load_changed, c->client->load * 1000});
    double now_at = load_level(workers_[c->worker]);
    if (now_at > 0.9)
      send_event(b, ConnectionUpdateEvent{id, attempt, ConnectionUpdateKind::messages_slow, 60 * now_at});
  });
}

void SimulatedFleet::report_result(std::size_t b, std::uint64_t id, int attempt, Outcome outcome,
                                   bool terminal) {
  Call* c = find_call(b, id);
  if (!c || !c->attempt_pending || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  w.setting_up.erase({b, id});
  if (c->established) {
    advance(w);
    w.connections.erase({b, id});
    w.load = w.connections.empty() ? 0 : w.load - c->client->load;
    w.value = w.connections.empty() ? 0 : w.value - deployment_.class_value(c->client->request_class);
    if ((w.groups[c->client->group] -= 1) == 0) w.groups.erase(c->client->group);
    if (outcome != Outcome::served)
      call_again(
          c->client,
          outcome == Outcome::cancelled ? 100 * kMs : 200 * kMs + static_cast<Time>(rng_() % 1000) * kMs,
          true);
  }
  ResultEvent event{id, attempt, terminal, w.address, 5 * kMs, outcome, load_report(w, true)};
  c->attempt_pending = false;
  error_storm_[b].error_seen |= outcome == Outcome::error;
  if (c->established || c->answered || terminal)
    balancers_[b].calls.erase(id), balancers_[b].ended.insert(id);
  send_event(b, event);
}

// ---- Failures and endpoint list changes ---------------------------------------------------------

void SimulatedFleet::set_errors(bool on, bool probes_too) {
  errors_ = on, errors_on_probes_ = probes_too;
  if (on) error_storm_.assign(error_storm_.size(), {});
}

void SimulatedFleet::kill(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = true;
  for (auto set : {w.connections, w.setting_up})
    for (auto [b, id] : set) {
      Call* c = find_call(b, id);
      if (c) report_result(b, id, c->attempts - 1, Outcome::reset, c->established);
    }
}

void SimulatedFleet::revive(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = false;
  w.started = now_;
  announce_worker(worker);
}

void SimulatedFleet::drain(std::size_t worker) {
  workers_[worker].health = Health::draining;
  announce_worker(worker);
}

void SimulatedFleet::set_registry_available(bool on) {
  registry_out_ = !on;
  for (std::size_t i = 0; on && !deployment_.pull_endpoints && i < workers_.size(); ++i)
    announce_worker(i);  // changes missed in the outage
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    if (!on && std::exchange(balancers_[b].watching, false))
      schedule(now_ + kMs, [=, this] {
        send_event(b, EndpointListEvent{EndpointListKind::failed, nullptr});
      });
}

// Sends the worker's entry to each balancer after a random delay, unless the registry is out or the balancer
// does not watch the list by then.
void SimulatedFleet::announce_worker(std::size_t worker) {
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    schedule(now_ + deployment_.endpoint_list_delay + static_cast<Time>(rng_() % 200) * kMs, [=, this] {
      if (registry_out_ || (deployment_.pull_endpoints && !balancers_[b].watching)) return;
      if (workers_[worker].health == Health::serving)
        balancers_[b].drain_known_since.erase(worker);
      else
        balancers_[b].drain_known_since.try_emplace(worker, now_);
      send_event(b, EndpointListEvent{EndpointListKind::changes, std::make_shared<std::vector<BackendEntry>>(
                                                                     std::vector{entry(worker)})});
    });
}

BackendEntry SimulatedFleet::entry(std::size_t worker) const {
  const Worker& w = workers_[worker];
  return {w.health, w.address, w.zone, w.started, w.scale, static_cast<std::int64_t>(worker / 4)};
}

std::size_t SimulatedFleet::worker_index(const std::string& address) const {
  for (std::size_t i = 0; i < workers_.size(); ++i)
    if (workers_[i].address == address) return i;
  throw PropertyViolation("a worker that is not in the list");
}

}  // namespace marblehub::random_settings
