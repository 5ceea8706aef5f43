// Two curves that more than one part reckons with: a figure that fades, and a process that warms. No
// decision.
#pragma once

#include <algorithm>
#include <cmath>

#include "marblehub/policy.h"

namespace marblehub::policy {

// A figure that fades with time, to 1/e over its memory.
struct DecayingValue {
  double value = 0;
  Time since = 0;

  double at(Time now, Time memory) const {
    return value == 0 || memory <= 0
               ? 0
               : value * std::exp(-static_cast<double>(now - since) / static_cast<double>(memory));
  }
  void set(double to, Time now) { value = to, since = now; }
  void add(double more, Time now, Time memory) { set(at(now, memory) + more, now); }
};

// The part of its capacity that a process surely has: from the cold share at its start evenly to the whole.
// `started` 0: it is warm since long ago.
inline double slow_start_factor(Time started, Time now, double cold_share, Time warm_within) {
  if (started == 0 || warm_within <= 0) return 1;
  double part = static_cast<double>(now - started) / static_cast<double>(warm_within);
  return part >= 1 ? 1 : cold_share + (1 - cold_share) * std::max(0.0, part);
}

}  // namespace marblehub::policy
