// A policy::Balancer on a simulated clock, with its actions recorded for the test.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::test {

using namespace marblehub::policy;

// Delivers events to the balancer, runs its timers and records its actions. Times are in microseconds.
struct PolicyFixture {
  explicit PolicyFixture(const Settings& s = settings(), std::uint64_t seed = 7) : balancer(s, seed, 0) {}

  static Settings settings() {
    Settings s;
    s.zone = "a";
    s.max_attempts = 4;
    s.max_retry_after_us = 1'000'000;
    s.warm_within_us = 24'000'000;
    s.cold_share = 0.13;
    RequestClass c;
    c.name = "telemetry", c.slo_us = 500'000, c.message_objective_us = 150'000, c.stream = true;
    s.classes = {c};
    return s;
  }
  static BackendEntry entry(const std::string& name, Health health) { return {health, name, "a", 0, 1, 0}; }
  void list(EndpointListKind form, std::vector<BackendEntry> entries) {
    handle(EndpointListEvent{form, std::make_shared<std::vector<BackendEntry>>(std::move(entries))});
  }
  // Delivers an event at the current time and records the resulting actions.
  void handle(const Event& event) {
    std::vector<Action> actions;
    balancer.handle(now, event, actions);
    for (const Action& action : actions) {
      if (auto* timer = std::get_if<SetTimer>(&action)) timer_at = now + timer->after;
      if (auto* move = std::get_if<Redirect>(&action)) {
        moved[move->id] = now;
        moves_this_second[now / 1'000'000] += 1;
      }
      if (auto* probe = std::get_if<Probe>(&action)) probes.emplace_back(now, probe->backend);
      if (auto* sent = std::get_if<Submit>(&action)) placed[sent->id] = sent->backend;
      if (auto* refusal = std::get_if<Reject>(&action)) rejected.push_back(refusal->id);
      if (std::holds_alternative<WatchEndpoints>(action)) watch_times.push_back(now);
    }
  }
  // Advances the clock by `span` and fires the timers that fall due.
  void run(Time span) {
    for (Time end = now + span; timer_at <= end;) {
      now = timer_at;
      handle(TimerEvent{0});
    }
  }
  // Hands over `count` connections that the worker already holds.
  void hold(const std::string& worker, int count, std::uint64_t group = 0) {
    for (int i = 0; i < count; ++i) handle(HandoverEvent{{next_id++, 0, 2'000'000, 0, false, group}, worker});
  }

  // Requests a connection, which is established at once; returns its worker, empty if it was not placed.
  std::string ask(std::uint64_t group = 0) {
    std::uint64_t id = next_id++;
    handle(RequestEvent{id, 0, 2'000'000, 0, false, group});
    if (!placed.count(id)) return "";
    handle(EstablishedEvent{id, 0, 1000});
    return placed[id];
  }
  // Reports a load as the result of a probe.
  void report(const std::string& worker, double load) {
    handle(ProbeResultEvent{worker, 8000, Outcome::served, {load}});
  }

  // How often the worker has been probed.
  auto probed(const std::string& name) const {
    return std::count_if(probes.begin(), probes.end(), [&](const auto& p) { return p.second == name; });
  }

  Balancer balancer;
  Time now = 0, timer_at = 0;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, Time> moved;
  std::map<Time, int> moves_this_second;
  std::vector<std::pair<Time, std::string>> probes;
  std::map<std::uint64_t, std::string> placed;
  std::vector<std::uint64_t> rejected;
  std::vector<Time> watch_times;  // when the endpoint list was requested
};

// Healthy workers named 1 to `count`.
inline std::vector<BackendEntry> workers(int count) {
  std::vector<BackendEntry> entries;
  for (int i = 1; i <= count; ++i)
    entries.push_back(PolicyFixture::entry(std::to_string(i), Health::serving));
  return entries;
}

inline std::vector<BackendEntry> twelve_workers() { return workers(12); }

// Settings with a probe price as on the platform, so that probes are sent less often.
inline Settings expensive_probes() {
  Settings s = PolicyFixture::settings();
  s.price_probe = 0.0018;
  return s;
}

}  // namespace marblehub::test
