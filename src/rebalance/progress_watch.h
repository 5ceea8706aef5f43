/// Pauses moves that do not narrow the gap, as its cause is then not one that moves can remedy.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

/// Compares the gap at the end of each period in which moves were made to the widest gap of the period.
class ProgressWatch {
 public:
  /// A move was planned.
  void record_move() { moves_ += 1; }

  /// Whether moves may continue. If a period of `timeout` with moves has not narrowed the gap, moves pause;
  /// the pause doubles with each further failed period, up to a bound, and a successful one resets it.
  bool allows_moves(double gap, Time timeout, Time now);

 private:
  double max_gap_ = 0;  // the widest of the current period
  Time period_start_ = -1;
  Time paused_until_ = -1;
  int moves_ = 0;           // in the current period
  int failed_periods_ = 0;  // in a row
};

}  // namespace marblehub::rebalance
