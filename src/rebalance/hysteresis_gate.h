/// A gate that closes at once and reopens only after its condition has been clear for a while.
#pragma once

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

/// Stops moves while a condition of the fleet holds. Open at first.
class HysteresisGate {
 public:
  /// `close` closes the gate; it reopens after `clear` has held without a break for the reopen delay.
  void update(bool close, bool clear, Time now);
  bool closed() const { return closed_; }

 private:
  bool closed_ = false;
  Time clear_since_ = -1;  // -1: not clear, or the gate is open
};

}  // namespace marblehub::rebalance
