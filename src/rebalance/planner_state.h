/// The state of the planner: acting, or the first reason why it makes no (more) moves.
#pragma once

namespace marblehub::rebalance {

/// In the order in which metrics list them.
enum class PlannerState {
  acting,           // makes moves
  paused,           // by an operator
  quiet_hours,      // within the quiet hours of the settings
  starting,         // first minute after the start: earlier moves are unknown
  too_few_reports,  // too little of the fleet's capacity has reported its load
  stale_reports,    // too many load reports are old
  many_refusals,    // too many calls are refused
  overload,         // the mean load is too high
  balanced,         // the gap is below the setting
  no_progress,      // moves have not narrowed the gap
  no_gain,          // the expected gain of a move is below the setting
  move_limit,       // the limit of moves per minute is reached
  store_limit,      // the limit of session store calls is reached
  none_movable,     // all candidates are too new, moved too recently or too heavy
};
inline constexpr int kPlannerStateCount = 14;

/// The name in metrics and log lines.
const char* name_of(PlannerState state);

}  // namespace marblehub::rebalance
