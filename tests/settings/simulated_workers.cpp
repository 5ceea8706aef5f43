// The workers of a simulated fleet, and what befalls them.
#include <algorithm>
#include <cmath>

#include "simulated_fleet.h"
#include "simulated_fleet_parts.h"

namespace marblehub::settings_play {

// ---- Workers -------------------------------------------------------------------------------------

double SimulatedFleet::level(const Worker& w) const {
  double able = w.capacity * slow_start_factor(w.started, now_, drawn_.cold_share, 20 * kS);
  double shared = drawn_.groups ? 3 * static_cast<double>(w.groups.size()) : 0;
  return (w.load + shared) / able + w.extra.at(now_, kS) / 4;  // four cores
}

// Messages are in time up to a load of nine tenths, and none is at 1.2.
void SimulatedFleet::advance(Worker& w) {
  double sound = std::clamp((1.2 - level(w)) / 0.3, 0.0, 1.0);
  if (!w.dead) served_ += w.worth * sound * static_cast<double>(now_ - w.advanced) / kS;
  w.advanced = now_;
}

LoadReport SimulatedFleet::report(Worker& w, bool with_result) {
  bool given = drawn_.reports == ReportMode::all || (drawn_.reports == ReportMode::probes && !with_result);
  return given ? LoadReport{level(w) * (0.9 + 0.2 * uniform(chance_))} : LoadReport{};
}

void SimulatedFleet::reaches(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = call(b, id);
  if (!c || !c->out || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  advance(w);
  auto soon = [&](Outcome outcome, Time after) {
    at(now_ + after, [=, this] { result(b, id, attempt, outcome, false); });
  };
  if (w.dead) return soon(Outcome::connect_failed, kMs);
  if (errors_) return soon(Outcome::error, 5 * kMs);
  if (w.health != Health::serving || level(w) > 2.5) return soon(Outcome::full, kMs);
  w.extra.add(0.002, now_, kS);
  if (store_out_) return;  // nothing comes until the attempt is given up
  Time work = static_cast<Time>(kS / (drawn_.calls * drawn_.store_headroom));
  store_free_ = std::max(store_free_, now_) + work;
  w.setting_up.insert({b, id});
  at(store_free_ + 2 * kMs, [=, this] { stands(b, id, attempt); });
}

void SimulatedFleet::stands(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = call(b, id);
  if (!c || !c->out || c->answered || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  if (w.dead) return;
  advance(w);
  w.setting_up.erase({b, id});
  w.standing.insert({b, id});
  w.load += c->client->load;
  w.worth += drawn_.class_worth(c->client->request_class);
  w.groups[c->client->group] += 1;
  c->open = true;
  c->client->retries = 0;
  at(std::max(now_ + kMs, c->client->until), [=, this] { result(b, id, attempt, Outcome::served, true); });
  tell(b, EstablishedEvent{id, attempt, 5 * kMs});
  if (!drawn_.notes) return;
  at(now_ + 2 * kS, [=, this] {
    Call* c = call(b, id);
    if (!c || !c->open || c->answered) return;
    tell(b, ConnectionUpdateEvent{id, attempt, ConnectionUpdateKind::load_changed, c->client->load * 1000});
    double now_at = level(workers_[c->worker]);
    if (now_at > 0.9)
      tell(b, ConnectionUpdateEvent{id, attempt, ConnectionUpdateKind::messages_slow, 60 * now_at});
  });
}

void SimulatedFleet::result(std::size_t b, std::uint64_t id, int attempt, Outcome outcome, bool terminal) {
  Call* c = call(b, id);
  if (!c || !c->out || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  w.setting_up.erase({b, id});
  if (c->open) {
    advance(w);
    w.standing.erase({b, id});
    w.load = w.standing.empty() ? 0 : w.load - c->client->load;
    w.worth = w.standing.empty() ? 0 : w.worth - drawn_.class_worth(c->client->request_class);
    if ((w.groups[c->client->group] -= 1) == 0) w.groups.erase(c->client->group);
    if (outcome != Outcome::served)
      again(c->client,
            outcome == Outcome::cancelled ? 100 * kMs : 200 * kMs + static_cast<Time>(chance_() % 1000) * kMs,
            true);
  }
  ResultEvent event{id, attempt, terminal, w.address, 5 * kMs, outcome, report(w, true)};
  c->out = false;
  storm_[b].met |= outcome == Outcome::error;
  if (c->open || c->answered || terminal) balancers_[b].calls.erase(id), balancers_[b].ended.insert(id);
  tell(b, event);
}

// ---- Troubles ------------------------------------------------------------------------------------

void SimulatedFleet::errors(bool on, bool probes_too) {
  errors_ = on, errors_on_probes_ = probes_too;
  if (on) storm_.assign(storm_.size(), {});
}

void SimulatedFleet::kill(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = true;
  for (auto set : {w.standing, w.setting_up})
    for (auto [b, id] : set) {
      Call* c = call(b, id);
      if (c) result(b, id, c->attempts - 1, Outcome::reset, c->open);
    }
}

void SimulatedFleet::revive(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = false;
  w.started = now_;
  list_changed(worker);
}

void SimulatedFleet::drain(std::size_t worker) {
  workers_[worker].health = Health::draining;
  list_changed(worker);
}

void SimulatedFleet::registry(bool on) {
  registry_out_ = !on;
  for (std::size_t i = 0; on && !drawn_.ask && i < workers_.size(); ++i) list_changed(i);  // what was missed
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    if (!on && std::exchange(balancers_[b].watches, false))
      at(now_ + kMs, [=, this] { tell(b, EndpointListEvent{EndpointListKind::failed, nullptr}); });
}

// Told to each balancer in its own time, if it is reached by then.
void SimulatedFleet::list_changed(std::size_t worker) {
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    at(now_ + drawn_.list_lag + static_cast<Time>(chance_() % 200) * kMs, [=, this] {
      if (registry_out_ || (drawn_.ask && !balancers_[b].watches)) return;
      if (workers_[worker].health == Health::serving)
        balancers_[b].told.erase(worker);
      else
        balancers_[b].told.try_emplace(worker, now_);
      tell(b, EndpointListEvent{EndpointListKind::changes,
                                std::make_shared<std::vector<BackendEntry>>(std::vector{entry(worker)})});
    });
}

BackendEntry SimulatedFleet::entry(std::size_t worker) const {
  const Worker& w = workers_[worker];
  return {w.health, w.address, w.zone, w.started, w.scale, static_cast<std::int64_t>(worker / 4)};
}

std::size_t SimulatedFleet::number(const std::string& address) const {
  for (std::size_t i = 0; i < workers_.size(); ++i)
    if (workers_[i].address == address) return i;
  throw Wrong("a worker that nobody named");
}

}  // namespace marblehub::settings_play
