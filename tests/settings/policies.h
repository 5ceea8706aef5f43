// The policies that a simulated fleet's balancers may have: the one under test, and a plain one to compare
// with.
#pragma once

#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "simulated_fleet.h"

namespace marblehub::settings_play {

struct ByModule : Policy {
  Balancer balancer;
  ByModule(const Settings& s, std::uint64_t seed, Time now) : balancer(s, seed, now) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer.handle(now, event, actions);
  }
};

// Any listed worker for each attempt, at once. Nothing else.
struct ByChance : Policy {
  Settings settings;
  std::mt19937_64 chance;
  std::map<std::string, bool> listed;
  struct Held {
    Time deadline;
    int attempts;
  };
  std::map<std::uint64_t, Held> held;

  ByChance(const Settings& s, std::uint64_t seed) : settings(s), chance(seed) {}
  void place(Time now, std::uint64_t id, std::vector<Action>& actions) {
    std::vector<std::string> may;
    for (auto& [name, good] : listed)
      if (good) may.push_back(name);
    Held& h = held[id];
    Time left = h.deadline - now - 50 * kMs;
    if (may.empty() || left <= 0 || h.attempts >= settings.max_attempts) {
      held.erase(id);
      return actions.push_back(Reject{id, 0});
    }
    h.attempts += 1;
    actions.push_back(
        Submit{id, may[chance() % may.size()], now + left / (settings.max_attempts - h.attempts + 1)});
  }
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    if (auto* e = std::get_if<EndpointListEvent>(&event)) {
      if (!e->entries) return;
      for (const BackendEntry& entry : *e->entries) listed[entry.address] = entry.health == Health::serving;
    } else if (auto* r = std::get_if<RequestEvent>(&event)) {
      held[r->id] = {now + r->expires_in, 0};
      place(now, r->id, actions);
    } else if (auto* up = std::get_if<EstablishedEvent>(&event)) {
      held.erase(up->id);
    } else if (auto* gone = std::get_if<ClientGoneEvent>(&event)) {
      held.erase(gone->id);
    } else if (auto* result = std::get_if<ResultEvent>(&event)) {
      if (held.count(result->id) && !result->terminal) place(now, result->id, actions);
    }
  }
};

}  // namespace marblehub::settings_play
