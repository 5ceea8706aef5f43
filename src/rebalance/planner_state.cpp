#include "rebalance/planner_state.h"

#include <array>

namespace marblehub::rebalance {

const char* name_of(PlannerState state) {
  static constexpr std::array<const char*, kPlannerStateCount> names = {
      "acting",   "paused",   "quiet_hours", "starting", "blind", "stale", "refusals",
      "overload", "balanced", "no_better",   "no_gain",  "spent", "store", "none_movable"};
  return names[static_cast<std::size_t>(state)];
}

}  // namespace marblehub::rebalance
