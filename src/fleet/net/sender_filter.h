/// Drops replayed and outdated messages among those that verified, and estimates the senders' clock offsets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/settings/settings.h"
#include "fleet/time.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet {

/// A message is stale if it is older than the sender's newest one by more than this.
constexpr Time kReplayWindow = 30 * kSecond;
/// An unknown sender is rejected if its clock differs by more than this.
constexpr Time kMaxFirstContactOffset = 60 * kSecond;
/// The window over which a sender's clock offset is estimated.
constexpr Time kClockWindow = 5 * kSecond;
/// Senders that are remembered. Only holders of the fleet's key become senders.
constexpr std::size_t kMaxSenders = 2048;

/// Keeps incarnation, newest message and clock offset of each sender. Free of I/O.
class SenderFilter {
 public:
  explicit SenderFilter(const Settings& settings);

  /// Why a message is dropped: old, or from a sender that is not a configured member or not remembered.
  enum class Rejection { stale, unknown_sender };
  /// Takes a verified message into account; none: accepted. `arrived`: receive time by this balancer's clock.
  std::optional<Rejection> check(Time arrived, const Envelope& envelope);

  /// The offset of a sender's clock from this balancer's, positive if it is ahead. Network delay makes a
  /// clock appear to be behind, so the least delayed message counts. None: no message within two windows.
  std::optional<Time> clock_offset(Time now, const std::string& sender) const;
  /// Whether this balancer's clock is off by more than clock_bound, in one direction, from most members with
  /// a recent message, of which there must be two unless fewer are alive. `alive` includes this balancer.
  /// While true, the balancer must not place calls by leases.
  bool clock_off(Time now, const std::vector<std::string>& alive) const;

 private:
  /// A sender's highest incarnation and its times, by the sender's clock.
  struct Sender {
    std::uint64_t incarnation = 0;
    Time incarnation_started = 0, newest = 0;  // send times of its first message and the newest one
    /// The highest offset in a window. Two windows, so that old values expire.
    struct Window {
      Time since = 0, offset = 0;
      int messages = 0;
    } current, previous;
  };
  std::string own_;
  std::vector<std::string> members_;
  Time bound_;
  std::map<std::string, Sender> senders_;
};

}  // namespace marblehub::fleet
