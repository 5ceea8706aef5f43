/// How many moves may be made: the limits a minute of this balancer and of the fleet, and what the session
/// store bears.
#pragma once

#include <cstddef>
#include <deque>

#include "rebalance/fleet.h"
#include "rebalance/settings.h"

namespace marblehub::rebalance {

class MoveLimits {
 public:
  explicit MoveLimits(const Fleet& fleet) : fleet_(fleet) {}

  /// A connection was moved by the planner.
  void moved(Time now) { moved_.push_back(now); }
  /// A client set up a connection at this balancer.
  void set_up(Time now) { set_ups_.push_back(now); }
  /// A client was told to move, by whomever: it will call the session store.
  void told_to_move(Time now) { to_come_.push_back(now); }
  /// One that was told to move has come back.
  void came_back() {
    if (!to_come_.empty()) to_come_.pop_front();
  }

  /// Forgets what lies over a minute back.
  void forget_old(Time now);

  /// Moves that may still be made now under the limits of this balancer and the fleet.
  std::size_t allowance(const Settings& settings, Time now) const;

  /// Whether the session store bears one more move beside `planned` that are not counted yet.
  bool store_allows(const Settings& settings, Time now, std::size_t planned) const;

 private:
  std::size_t allowance_in_turns(double fleet_a_minute, Time now) const;

  const Fleet fleet_;
  std::deque<Time> moved_;    // within the last minute, like the others
  std::deque<Time> set_ups_;  // at this balancer
  std::deque<Time> to_come_;  // set-ups that moves will make
};

}  // namespace marblehub::rebalance
