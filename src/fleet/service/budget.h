// By how many balancers the fleet's budgets in the module are shared: those that the view has alive, settled
// and smoothed (View::budget_members). Free of I/O and clock.
#pragma once

#include "fleet/view/view.h"

namespace marblehub::fleet {

// One that has just started may know a part of the fleet only, and in a partition for long. So the number of
// the settings counts at its start as if all of them had been given up then: in full for kBudgetHold,
// decaying within another. 1 or more.
int budget_balancers(double members, int configured, Time since_start);

}  // namespace marblehub::fleet
