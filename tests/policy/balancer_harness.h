/// Test harness for the policy.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::policy {

constexpr Time kMs = 1000, kSec = 1'000'000;

/// A class of long-lived connections with the given repeat rules.
inline RequestClass stream_class(Repeat repeat = Repeat::safe, DedupScope scope = DedupScope::all) {
  RequestClass c;
  c.name = "c";
  c.slo_us = 300 * kMs;
  c.message_objective_us = 100 * kMs;
  c.repeat = repeat;
  c.dedup_scope = scope;
  c.dedup_window_us = 1 * kSec;
  c.stream = true;
  return c;
}

/// Settings with one stream class and free probes.
inline Settings default_settings() {
  Settings s;
  s.zone = "a";
  s.max_attempts = 3;
  s.classes.push_back(stream_class());
  s.cold_share = 0.2;
  s.warm_within_us = 10 * kSec;
  s.max_retry_after_us = kSec;
  return s;
}

inline std::string address_of(int i) {
  std::string name("b");
  return name += std::to_string(i);
}

/// Backend i is in zone a or b by parity, and in a cell with one neighbor.
inline BackendEntry backend_entry(int i, Health health = Health::serving, Time start = 0) {
  return {.health = health,
          .address = address_of(i),
          .zone = i % 2 ? "b" : "a",
          .start_time = start,
          .scale = 1,
          .cell = i / 2};
}

/// Drives one Balancer: answers probes, fires timers and records the other actions.
struct BalancerHarness {
  Balancer balancer;
  Time now = 1'000'000;
  std::vector<Action> actions;
  std::multimap<Time, std::uint64_t> timers;
  std::vector<Submit> submits;
  std::vector<Reject> rejections;
  std::vector<Fail> failures;
  std::vector<Redirect> redirects;
  std::vector<std::string> probes;
  int list_requests = 0;
  std::map<std::string, Time> rtt;     // of probes, by address; 1 ms if absent
  std::set<std::string> unresponsive;  // addresses whose probes time out
  std::uint64_t next_id = 1;

  explicit BalancerHarness(Settings s, std::uint64_t seed = 7) : balancer(std::move(s), seed, 1'000'000) {}

  /// Sends an event at the current time and processes the actions.
  void send(const Event& event) {
    actions.clear();
    balancer.handle(now, event, actions);
    std::vector<Action> new_actions = actions;
    std::vector<std::string> probed_backends;
    for (const Action& a : new_actions) {
      if (auto* x = std::get_if<Submit>(&a)) submits.push_back(*x);
      if (auto* x = std::get_if<Reject>(&a)) rejections.push_back(*x);
      if (auto* x = std::get_if<Fail>(&a)) failures.push_back(*x);
      if (auto* x = std::get_if<Redirect>(&a)) redirects.push_back(*x);
      if (auto* x = std::get_if<Probe>(&a))
        probes.push_back(x->backend), probed_backends.push_back(x->backend);
      if (auto* x = std::get_if<SetTimer>(&a)) timers.emplace(now + x->after, x->cookie);
      if (std::holds_alternative<WatchEndpoints>(a)) ++list_requests;
    }
    for (const std::string& b : probed_backends) {
      Time t = rtt.count(b) ? rtt[b] : kMs;
      send(ProbeResultEvent{b, t, unresponsive.count(b) ? Outcome::timeout : Outcome::served, {}});
    }
  }
  /// Advances the clock and fires the timers that expire.
  void advance(Time span) {
    Time end = now + span;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      std::uint64_t cookie = timers.begin()->second;
      timers.erase(timers.begin());
      send(TimerEvent{cookie});
    }
    now = end;
  }
  void send_list(std::vector<BackendEntry> entries, EndpointListKind kind = EndpointListKind::full) {
    send(EndpointListEvent{kind, std::make_shared<const std::vector<BackendEntry>>(std::move(entries))});
  }
  /// Sends a full list of the backends 0 to n - 1.
  void send_full_list(int n) {
    std::vector<BackendEntry> entries;
    for (int i = 0; i < n; ++i) entries.push_back(backend_entry(i));
    send_list(entries);
  }
  /// Sends a request and returns its id.
  std::uint64_t request(Time left = 1800 * kMs, double hint = 0, int request_class = 0) {
    std::uint64_t id = next_id++;
    send(RequestEvent{.id = id, .request_class = request_class, .expires_in = left, .load_hint = hint});
    return id;
  }
  void result(std::uint64_t id, Outcome outcome, bool terminal = false, int attempt = 0) {
    send(ResultEvent{.id = id,
                     .attempt = attempt,
                     .terminal = terminal,
                     .backend = {},
                     .rtt = 10 * kMs,
                     .outcome = outcome,
                     .report = {}});
  }
  /// Requests a connection, accepts it at once and returns the address of its backend.
  std::string open_connection(std::uint64_t* id_out = nullptr) {
    std::uint64_t id = request();
    send(EstablishedEvent{id, 0, 5 * kMs});
    if (id_out) *id_out = id;
    return submits.back().backend;
  }
  std::size_t final_answers() const { return rejections.size() + failures.size(); }
};

}  // namespace marblehub::policy
