// Drives one Balancer of the policy by hand.
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

inline Settings plain_settings() {
  Settings s;
  s.zone = "a";
  s.max_attempts = 3;
  s.classes.push_back(stream_class());
  s.cold_share = 0.2;
  s.warm_within_us = 10 * kSec;
  s.max_retry_after_us = kSec;
  return s;
}

inline std::string name_of(int i) {
  std::string name("b");
  return name += std::to_string(i);
}

inline BackendEntry backend(int i, Health health = Health::serving, Time start = 0) {
  return {.health = health,
          .address = name_of(i),
          .zone = i % 2 ? "b" : "a",
          .start_time = start,
          .scale = 1,
          .cell = i / 2};
}

// Drives one Balancer by hand: probes are answered as told, timers fire when due, submits are kept.
struct Relay {
  Balancer balancer;
  Time now = 1'000'000;
  std::vector<Action> actions;
  std::multimap<Time, std::uint64_t> timers;
  std::vector<Submit> submits;
  std::vector<Reject> rejections;
  std::vector<Fail> failures;
  std::vector<Redirect> redirects;
  std::vector<std::string> probes;
  int tracks = 0;
  std::map<std::string, Time> rtt;  // of a probe; default 1 ms
  std::set<std::string> silent;     // probes there time out
  std::uint64_t next_id = 1;

  explicit Relay(Settings s, std::uint64_t seed = 7) : balancer(std::move(s), seed, 1'000'000) {}

  void send(const Event& event) {
    actions.clear();
    balancer.handle(now, event, actions);
    std::vector<Action> todo = actions;
    std::vector<std::string> probed;
    for (const Action& a : todo) {
      if (auto* x = std::get_if<Submit>(&a)) submits.push_back(*x);
      if (auto* x = std::get_if<Reject>(&a)) rejections.push_back(*x);
      if (auto* x = std::get_if<Fail>(&a)) failures.push_back(*x);
      if (auto* x = std::get_if<Redirect>(&a)) redirects.push_back(*x);
      if (auto* x = std::get_if<Probe>(&a)) probes.push_back(x->backend), probed.push_back(x->backend);
      if (auto* x = std::get_if<SetTimer>(&a)) timers.emplace(now + x->after, x->cookie);
      if (std::holds_alternative<WatchEndpoints>(a)) ++tracks;
    }
    for (const std::string& b : probed) {
      Time t = rtt.count(b) ? rtt[b] : kMs;
      send(ProbeResultEvent{b, t, silent.count(b) ? Outcome::timeout : Outcome::served, {}});
    }
  }
  void run_for(Time span) {
    Time end = now + span;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      std::uint64_t cookie = timers.begin()->second;
      timers.erase(timers.begin());
      send(TimerEvent{cookie});
    }
    now = end;
  }
  void list(std::vector<BackendEntry> entries, EndpointListKind form = EndpointListKind::full) {
    send(EndpointListEvent{form, std::make_shared<const std::vector<BackendEntry>>(std::move(entries))});
  }
  void list_of(int n) {
    std::vector<BackendEntry> entries;
    for (int i = 0; i < n; ++i) entries.push_back(backend(i));
    list(entries);
  }
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
  std::string place_and_open(std::uint64_t* id_out = nullptr) {
    std::uint64_t id = request();
    send(EstablishedEvent{id, 0, 5 * kMs});
    if (id_out) *id_out = id;
    return submits.back().backend;
  }
  std::size_t answers() const { return rejections.size() + failures.size(); }
};

}  // namespace marblehub::policy
