/// Intervals of health checks that more than one part of the policy uses.
#pragma once

#include "policy/time_units.h"

namespace marblehub::policy {

/// A suspect is checked again so soon, and a new backend first.
inline constexpr Time kRecheckInterval = 200 * kMillisecond;

}  // namespace marblehub::policy
