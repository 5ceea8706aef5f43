#include "fleet/service/budget.h"

#include <algorithm>
#include <cmath>

namespace marblehub::fleet {

int budget_balancers(double members, int configured, Time since_start) {
  double held = static_cast<double>(since_start) / static_cast<double>(kBudgetHold);
  members = std::max({members, configured * std::clamp(2 - held, 0.0, 1.0), 1.0});
  return static_cast<int>(std::ceil(members - 1e-9));  // rounded up: no balancer exceeds its share
}

}  // namespace marblehub::fleet
