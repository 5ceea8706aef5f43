/// Units of policy::Time and the period of the policy's sweep.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::policy {

inline constexpr Time kMillisecond = 1000;
inline constexpr Time kSecond = 1'000'000;

/// How often held requests, health checks and migrations are looked at.
inline constexpr Time kSweepInterval = 50 * kMillisecond;

}  // namespace marblehub::policy
