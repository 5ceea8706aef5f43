/// A condition that stops moves at once, and lets them go on only after it has been well for a while.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

class HysteresisGate {
 public:
  /// `bad` shuts it; once `well` has held for the reopening time it opens again.
  void update(bool bad, bool well, Time now);
  bool shut() const { return shut_; }

 private:
  bool shut_ = false;
  Time well_since_ = -1;  // -1: it is not well
};

}  // namespace marblehub::rebalance
