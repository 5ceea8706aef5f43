/// Watches the messages on standing connections: how long their answers take, and which connections have
/// fallen silent. The policy wants to hear when messages are slow, and on sockets nobody else tells.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/exchange.h"
#include "core/ports.h"

namespace marblehub::core {

class MessageMonitor {
 public:
  struct LateMessage {
    std::uint64_t id = 0;  // of the call
    Time waited = 0;
  };
  struct Findings {
    std::vector<LateMessage> late;       // messages unanswered for longer than the objective
    std::vector<std::uint64_t> silent;   // calls whose worker has fallen silent
    std::vector<std::uint64_t> stopped;  // the same, or due to move, inside a message that does not go on
    std::size_t newly_silent = 0;        // of the silent and stopped those that were not to move already
  };

  static constexpr Time kLookInterval = 200'000;  // microseconds

  MessageMonitor(const policy::Settings& settings, Time now);

  /// Looks at this call from now on, until it neither waits for an answer nor has to move.
  void watch(std::uint64_t id) { watched_.insert(id); }

  /// When to look next, in microseconds from now, and whether to look now. After a stall of the process the
  /// answers may lie unread in the sockets, so one look is put off; the look after it judges, so that a
  /// process that stalls again and again still looks.
  struct Schedule {
    bool look = true;
    Time next_in = 0;
  };
  Schedule schedule(Time now);

  /// Walks the watched calls.
  Findings look(const Exchanges& exchanges, Time now);

  /// What the policy is to be told of a message's delay at a worker, in microseconds; none: nothing new. Told
  /// once a second for a worker that is slow, once more when it is back. Until messages have been slow for
  /// longer than a stall they are told with half the objective at most, which moves nobody.
  std::optional<Time> news(const std::string& worker, Time delay, Time now);

 private:
  static constexpr Time kNotSlow = -1;

  struct Pace {                  // how messages at one worker fare
    Time slow_since = kNotSlow;  // of the first of the slow messages that none in time has followed
    Time slow_seen_at = 0;       // of the last of them
    Time noted_at = 0;
    bool noted = false;      // the policy takes it for slow
    bool confirmed = false;  // and knows that this is no stall
  };

  void judge(const Exchange& exchange, Time now, Findings& findings) const;

  const Time objective_;  // the shortest of the classes' for a message
  // Standing ones with a message unanswered or a move to make, and some that had: of many thousands that
  // stand few have, and only these are looked at.
  std::set<std::uint64_t> watched_;
  std::unordered_map<std::string, Pace> paces_;  // by worker
  Time looked_at_;
  bool put_off_ = false;  // for the stall found at the last look
};

}  // namespace marblehub::core
