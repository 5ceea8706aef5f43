/// State shared by all components of the policy.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "marblehub/policy.h"
#include "policy/random_source.h"
#include "policy/time_units.h"

namespace marblehub::policy {

/// Settings, random generator, time of the current event and the list that receives its actions. Owned by the
/// Balancer.
struct Context {
  Context(Settings initial_settings, std::uint64_t seed, Time start)
      : settings(std::move(initial_settings)), random(seed), now(start), started_at(start) {}

  /// Appends an action. May be called only while an event is being handled.
  template <class Kind>
  void emit(Kind action) {
    actions->emplace_back(std::in_place_type<Kind>, std::move(action));
  }

  /// Time since the start.
  double uptime_seconds() const { return static_cast<double>(now - started_at) / kSecond; }

  Settings settings;
  RandomSource random;
  Time now;
  const Time started_at;
  std::vector<Action>* actions = nullptr;  // of the current event; owned by the caller, null between events
};

}  // namespace marblehub::policy
