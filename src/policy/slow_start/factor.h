/// The capacity of a process that warms up after its start.
#pragma once

#include <algorithm>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// The share of its capacity that a process surely has: linear from `cold_share` at its start to 1 after
/// `warm_within`. `started` 0: it has been warm for long. Times in microseconds.
inline double slow_start_factor(Time started, Time now, double cold_share, Time warm_within) {
  if (started == 0 || warm_within <= 0) return 1;
  double elapsed = static_cast<double>(now - started) / static_cast<double>(warm_within);
  return elapsed >= 1 ? 1 : cold_share + (1 - cold_share) * std::max(0.0, elapsed);
}

}  // namespace marblehub::policy
