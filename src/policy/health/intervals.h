/// Health check intervals used by more than one component.
#pragma once

#include "policy/time_units.h"

namespace marblehub::policy {

/// Time to the next check of a suspected backend and to the first check of a new one.
inline constexpr Time kRecheckInterval = 200 * kMillisecond;

}  // namespace marblehub::policy
