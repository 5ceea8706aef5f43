/// A value that decays exponentially over time.
#pragma once

#include <cmath>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// Decays to 1/e within the decay time, in microseconds, which the caller passes to each access.
struct DecayingValue {
  double value = 0;
  Time since = 0;

  double at(Time now, Time decay_time) const {
    if (value == 0 || decay_time <= 0) return 0;
    return value * std::exp(-static_cast<double>(now - since) / static_cast<double>(decay_time));
  }

  void set(double new_value, Time now) {
    value = new_value;
    since = now;
  }

  void add(double amount, Time now, Time decay_time) { set(at(now, decay_time) + amount, now); }
};

}  // namespace marblehub::policy
