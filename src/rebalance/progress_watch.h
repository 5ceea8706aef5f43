/// Whether moves narrow the gap. Those that do not are stopped: the cause is not one that moves mend.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

class ProgressWatch {
 public:
  /// A move was made.
  void moved() { moves_ += 1; }

  /// Whether moves may go on. The gap must have narrowed within `timeout`, else they rest; the rest grows
  /// with each try in vain, and the first that helps ends that.
  bool may_go_on(double gap, Time timeout, Time now);

 private:
  double gap_ = 0;  // the widest since the present try began
  Time since_ = -1;
  Time rest_until_ = -1;
  int moves_ = 0;      // of the present try
  int fruitless_ = 0;  // tries, in a row
};

}  // namespace marblehub::rebalance
