// The policies of a simulated fleet's balancers: the one under test, and a random one for comparison.
#pragma once

#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "simulated_fleet.h"

namespace marblehub::random_settings {

// The policy under test.
struct BalancerPolicy : Policy {
  Balancer balancer;
  BalancerPolicy(const Settings& s, std::uint64_t seed, Time now) : balancer(s, seed, now) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer.handle(now, event, actions);
  }
};

// Places each attempt at once on a random serving worker of the list. It never probes, waits or moves.
struct RandomPolicy : Policy {
  Settings settings;
  std::mt19937_64 rng;
  std::map<std::string, bool> listed;
  // A call that is neither established nor rejected yet.
  struct PendingCall {
    Time deadline;
    int attempts;
  };
  std::map<std::uint64_t, PendingCall> pending;

  RandomPolicy(const Settings& s, std::uint64_t seed) : settings(s), rng(seed) {}
  void place(Time now, std::uint64_t id, std::vector<Action>& actions) {
    std::vector<std::string> candidates;
    for (auto& [name, serving] : listed)
      if (serving) candidates.push_back(name);
    PendingCall& call = pending[id];
    Time left = call.deadline - now - 50 * kMs;
    if (candidates.empty() || left <= 0 || call.attempts >= settings.max_attempts) {
      pending.erase(id);
      return actions.push_back(Reject{id, 0});
    }
    call.attempts += 1;
    actions.push_back(Submit{id, candidates[rng() % candidates.size()],
                             now + left / (settings.max_attempts - call.attempts + 1)});
  }
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    if (auto* e = std::get_if<EndpointListEvent>(&event)) {
      if (!e->entries) return;
      for (const BackendEntry& entry : *e->entries) listed[entry.address] = entry.health == Health::serving;
    } else if (auto* r = std::get_if<RequestEvent>(&event)) {
      pending[r->id] = {now + r->expires_in, 0};
      place(now, r->id, actions);
    } else if (auto* up = std::get_if<EstablishedEvent>(&event)) {
      pending.erase(up->id);
    } else if (auto* gone = std::get_if<ClientGoneEvent>(&event)) {
      pending.erase(gone->id);
    } else if (auto* result = std::get_if<ResultEvent>(&event)) {
      if (pending.count(result->id) && !result->terminal) place(now, result->id, actions);
    }
  }
};

}  // namespace marblehub::random_settings
