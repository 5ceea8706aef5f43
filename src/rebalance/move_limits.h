/// Rate limits on moves: per minute of this balancer and of the fleet, and the load on the session store.
#pragma once

#include <cstddef>
#include <deque>

#include "rebalance/fleet.h"
#include "rebalance/settings.h"

namespace marblehub::rebalance {

/// Counts moves and connection setups of the last minute and derives how many more moves are allowed.
class MoveLimits {
 public:
  explicit MoveLimits(const FleetConfig& fleet) : fleet_(fleet) {}

  /// The planner moved a connection.
  void record_move(Time now) { moves_.push_back(now); }
  /// A client set up a connection at this balancer, which costs a session store call.
  void record_setup(Time now) { setups_.push_back(now); }
  /// A client was requested to move, by the planner or otherwise; its reconnect will call the session store.
  void record_move_request(Time now) { expected_setups_.push_back(now); }
  /// A client that was requested to move has reconnected.
  void record_return() {
    if (!expected_setups_.empty()) expected_setups_.pop_front();
  }

  /// Drops everything recorded more than a minute ago. Call it before the checks below.
  void drop_expired(Time now);

  /// Number of moves still allowed now by the limits of this balancer and of the fleet.
  std::size_t allowance(const Settings& settings, Time now) const;

  /// Whether the session store limit allows one more move on top of `planned` moves not yet recorded.
  bool store_allows(const Settings& settings, Time now, std::size_t planned) const;

 private:
  std::size_t slot_allowance(double fleet_moves_per_minute, Time now) const;

  const FleetConfig fleet_;
  std::deque<Time> moves_;            // times within the last minute, like the others
  std::deque<Time> setups_;           // at this balancer
  std::deque<Time> expected_setups_;  // of clients requested to move that have not reconnected yet
};

}  // namespace marblehub::rebalance
