/// Measures the response times of messages on established connections, and detects connections whose worker
/// stopped responding. On sockets nothing else tells the policy that messages are slow.
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

/// Holds the ids of calls to check and the latency state of each worker. Owned by the dispatcher.
class MessageMonitor {
 public:
  /// A message without an answer.
  struct LateMessage {
    std::uint64_t id = 0;  // of the call
    Time waited = 0;       // microseconds since it was sent
  };
  /// The result of one check.
  struct Findings {
    std::vector<LateMessage> late;       // unanswered for longer than the objective
    std::vector<std::uint64_t> silent;   // calls whose worker does not respond
    std::vector<std::uint64_t> stalled;  // the same inside a message, or with a move overdue
    std::size_t newly_moved = 0;         // silent and stalled ones without a pending move
  };

  static constexpr Time kCheckInterval = 200'000;  // microseconds

  MessageMonitor(const policy::Settings& settings, Time now);

  /// Checks this call until it has neither an unanswered message nor a pending move.
  void watch(std::uint64_t id) { watched_.insert(id); }

  /// Whether to check now, and the delay until the next check in microseconds. After a stall of the process,
  /// answers may be unread in the sockets, so one check is postponed. The check after it takes place in any
  /// case, so that repeated stalls do not prevent checks.
  struct Schedule {
    bool check = true;
    Time next_in = 0;
  };
  Schedule schedule(Time now);

  /// Checks the watched calls.
  Findings check(const Exchanges& exchanges, Time now);

  /// Records the delay of a message at a worker. Returns the delay to report to the policy, in microseconds;
  /// none if there is nothing to report. A slow worker is reported once a second, and once more when it has
  /// recovered. Until messages have been slow for longer than a stall, at most half the objective is
  /// reported, which causes no moves.
  std::optional<Time> latency_update(const std::string& worker, Time delay, Time now);

 private:
  static constexpr Time kNotSlow = -1;

  /// The slow messages at one worker and whether they were reported to the policy.
  struct WorkerLatency {
    Time slow_since = kNotSlow;  // first message of the current series of slow ones
    Time slow_seen_at = 0;       // last message of the series
    Time reported_at = 0;
    bool reported = false;   // the last report to the policy was slow
    bool confirmed = false;  // slow for longer than a stall
  };

  void check_exchange(const Exchange& exchange, Time now, Findings& findings) const;

  const Time objective_;  // the shortest message objective of all classes
  // Calls that may have an unanswered message or a pending move. Only a few of the established connections
  // do, so a check does not iterate over all of them.
  std::set<std::uint64_t> watched_;
  std::unordered_map<std::string, WorkerLatency> latencies_;  // by worker
  Time last_check_at_;
  bool postponed_ = false;  // the last check, after a stall
};

}  // namespace marblehub::core
