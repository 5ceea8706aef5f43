/// What the planner does, or the first reason why it moves nothing more.
#pragma once

namespace marblehub::rebalance {

enum class PlannerState {
  acting,
  paused,           // by an operator
  quiet_hours,      // quiet hours
  starting,         // what the limits had left before the start is not known
  too_few_reports,  // too little of the fleet's load is known
  stale_reports,    // too many load reports are old
  many_refusals,    // too many calls are rejected
  overload,         // the fleet is full
  balanced,         // the gap is small
  no_progress,      // moves have not narrowed the gap
  no_gain,          // a move costs more than it is expected to save
  move_limit,       // the limits of moves
  store_limit,      // the session store bears no more
  none_movable,     // every connection has come or moved too lately, or is too heavy
};
inline constexpr int kPlannerStateCount = 14;

/// As metrics and log lines say it.
const char* name_of(PlannerState state);

}  // namespace marblehub::rebalance
