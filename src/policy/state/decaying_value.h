/// A figure that decays exponentially with time.
#pragma once

#include <cmath>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// Decays to 1/e over the memory that each reader names, in microseconds.
struct DecayingValue {
  double value = 0;
  Time since = 0;

  double at(Time now, Time memory) const {
    if (value == 0 || memory <= 0) return 0;
    return value * std::exp(-static_cast<double>(now - since) / static_cast<double>(memory));
  }

  void set(double to, Time now) {
    value = to;
    since = now;
  }

  void add(double more, Time now, Time memory) { set(at(now, memory) + more, now); }
};

}  // namespace marblehub::policy
