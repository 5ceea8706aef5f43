// What is let in of what verified: messages of earlier processes and old copies are held off here, and the
// members' clocks are compared by what they say they sent when. Free of I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/settings/settings.h"
#include "fleet/time.h"
#include "fleet/wire/envelope.h"

namespace marblehub::fleet {

constexpr Time kReplayWindow = 30 * kSecond;  // so much older than a sender's newest message, one is stale
constexpr Time kMaxFirstContactOffset = 60 * kSecond;  // nobody is met whose clock is further off
constexpr Time kClockWindow = 5 * kSecond;             // over which a sender's clock is judged
constexpr std::size_t kMaxSenders = 2048;              // remembered; only holders of the key get here

class SenderFilter {
 public:
  explicit SenderFilter(const Settings& settings);

  // `arrived` by this balancer's clock. None: let in.
  enum class Rejection { stale, unknown_sender };
  std::optional<Rejection> check(Time arrived, const Envelope& envelope);

  // How far a sender's clock is from this one's, at most: the network's delay makes a clock look behind, so
  // the least delayed message of the window counts. None: not heard within two windows.
  std::optional<Time> clock_offset(Time now, const std::string& sender) const;
  // Whether this balancer's clock is further than clock_bound from that of most members it has heard of late,
  // two at least where there are so many: of 300 it hears a part within the window, taken at random. `alive`
  // includes this balancer. Then it must not place by leases.
  bool clock_off(Time now, const std::vector<std::string>& alive) const;

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    Time incarnation_started = 0,
         newest = 0;  // by its clock: the first message of that incarnation, the newest at all
    // Two windows, the one that fills and the full one, so that an old figure goes.
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
