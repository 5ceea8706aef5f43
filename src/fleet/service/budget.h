/// The number of balancers that share the policy's budgets of the fleet. Free of I/O and clock.
#pragma once

#include "fleet/view/view.h"

namespace marblehub::fleet {

/// `members`: View::budget_members, the smoothed number of live members. A balancer that has just started may
/// know only a part of the fleet, and in a partition for long, so `configured` is a lower bound: in full for
/// kBudgetHold after the start, then decreasing to 0 within another kBudgetHold. Returns 1 or more.
int budget_balancers(double members, int configured, Time since_start);

}  // namespace marblehub::fleet
