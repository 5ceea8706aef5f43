/// The lease on the route version in force. It is evaluated at each call from the newest grant and the clock,
/// without timers, so a process that was suspended finds its lease expired at its first call. After Gray and
/// Cheriton, "Leases" (1989); docs/fleet-routes.md has the proof.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/record/record.h"

namespace marblehub::fleet {

/// Compares this balancer's clock with those of its peers. `now - sent_at` of a message is the clock offset
/// plus the network delay, so the minimum over one or two seconds approximates the offset.
class ClockMonitor {
 public:
  /// `bound`: the largest accepted offset in either direction.
  explicit ClockMonitor(Time bound) : bound_(bound) {}
  /// `now`: receive time by this clock; `sent_at`: send time by the peer's clock.
  void observe_clock(Time now, const std::string& from, Time sent_at);
  /// Discards all offsets. Called when this clock stepped back, which invalidates them.
  void reset();
  /// Whether the offset exceeds the bound against more than half of the known peers.
  bool off() const { return 2 * peers_off_ > peers_known_ && peers_known_ > 0; }
  /// Whether no message has arrived since reset() although peers were known before it.
  bool peers_missing() const { return peers_missing_; }

 private:
  static constexpr Time kWindow = kSecond;
  /// A peer's minimum of `now - sent_at` in the current window and in the one before it.
  struct MinOffsets {
    Time current, previous;
  };
  void count_peers_off();
  const Time bound_;
  Time window_start_ = 0;
  std::map<std::string, MinOffsets> peers_;  // those with a message in either window
  std::size_t peers_off_ = 0, peers_known_ = 0;
  bool peers_missing_ = false;
};

/// Decides from the newest grant and the clocks whether this balancer may place calls, and by which version.
class Lease {
 public:
  explicit Lease(const Settings& settings)
      : lease_(settings.lease), bound_(settings.clock_bound), clock_monitor_(settings.clock_bound) {}

  /// Takes the newest grant. A repeated grant, or one of an older version, is ignored.
  void update_grant(Time now, const Grant& grant);
  /// Reports a message's send time; see ClockMonitor::observe_clock.
  void observe_clock(Time now, const std::string& from, Time sent_at) {
    clock_monitor_.observe_clock(now, from, sent_at);
  }

  /// The state of the lease at one point in time.
  struct Decision {
    bool held = false;
    std::uint64_t version = 0;  ///< to place by, or the last one while not held; never decreases
    const char* why = "";       ///< why the lease is not held; empty while it is
  };
  Decision evaluate(Time now);
  /// Whether this clock is off by more than the bound, judged by the peers' clocks or by the newest grant.
  bool clock_off() const { return clock_monitor_.off() || behind_; }
  /// Whether any grant was ever accepted.
  bool ever_held() const { return grant_.has_value(); }

 private:
  const Time lease_, bound_;
  ClockMonitor clock_monitor_;
  std::optional<Grant> grant_;
  std::uint64_t newest_version_ = 0;  // for which the lease was held
  Time latest_time_ = 0, latest_until_ = 0;
  bool stepped_back_ = false;  // the clock stepped back: not held until a newer grant arrives
  bool behind_ = false;        // the newest grant ends later than a leader within the bound could grant
};

}  // namespace marblehub::fleet
