/// Capacity of a process that warms up after its start.
#pragma once

#include <algorithm>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// Lower bound of the capacity, as a fraction of full capacity: rises linearly from `cold_share` at the start
/// to 1 after `warm_within`. `started` 0: the process is warm. Times are in microseconds.
inline double slow_start_factor(Time started, Time now, double cold_share, Time warm_within) {
  if (started == 0 || warm_within <= 0) return 1;
  double elapsed = static_cast<double>(now - started) / static_cast<double>(warm_within);
  return elapsed >= 1 ? 1 : cold_share + (1 - cold_share) * std::max(0.0, elapsed);
}

}  // namespace marblehub::policy
