/// Units of policy::Time and the interval of the periodic sweep.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::policy {

inline constexpr Time kMillisecond = 1000;
inline constexpr Time kSecond = 1'000'000;

/// Interval at which waiting requests, health checks and migrations are processed.
inline constexpr Time kSweepInterval = 50 * kMillisecond;

}  // namespace marblehub::policy
