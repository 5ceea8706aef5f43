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

constexpr Time kReplay = 30 * kSecond;        // so much older than a sender's newest message, one is stale
constexpr Time kFirstMeeting = 60 * kSecond;  // nobody is met whose clock is further off
constexpr Time kClockWindow = 5 * kSecond;    // over which a sender's clock is judged
constexpr std::size_t kSendersMost = 2048;    // remembered; only holders of the key get here

class Gate {
 public:
  explicit Gate(const Settings& settings);

  // `arrived` by this balancer's clock. None: let in.
  enum class Refusal { stale, stranger };
  std::optional<Refusal> refuses(Time arrived, const Envelope& envelope);

  // How far a sender's clock is from this one's, at most: the network's delay makes a clock look behind, so
  // the least delayed message of the window counts. None: not heard within two windows.
  std::optional<Time> clock_of(Time now, const std::string& sender) const;
  // Whether this balancer's clock is further than clock_bound from that of most members it has heard of late,
  // two at least where there are so many: of 300 it hears a part within the window, taken at random. `alive`
  // includes this balancer. Then it must not place by leases.
  bool clock_off(Time now, const std::vector<std::string>& alive) const;

 private:
  struct Sender {
    std::uint64_t incarnation = 0;
    Time began = 0, newest = 0;  // by its clock: the first message of that incarnation, the newest at all
    // Two windows, the one that fills and the full one, so that an old figure goes.
    struct Window {
      Time since = 0, ahead = 0;
      int heard = 0;
    } filling, full;
  };
  std::string own_;
  std::vector<std::string> members_;
  Time bound_;
  std::map<std::string, Sender> senders_;
};

}  // namespace marblehub::fleet
