/// The dispatcher's timers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "core/ports.h"

namespace marblehub::core {

/// What a timer is for.
enum class TimerKind {
  policy,    // requested by the policy
  attempt,   // time-out of an attempt
  deadline,  // a call's deadline
  monitor,   // check of established connections
  move,      // the client of an established connection is requested to move
};

/// One pending timer.
struct Timer {
  Time when = 0;  // due time
  TimerKind kind = TimerKind::policy;
  std::uint64_t id = 0;  // the call, or the policy's cookie
  int attempt = 0;       // only for attempt timers
};

/// A queue of timers, ordered by due time. Timers cannot be cancelled: the handler ignores obsolete ones.
class TimerQueue {
 public:
  void push(const Timer& timer) { timers_.push(timer); }

  /// The due time of the earliest timer; none if the queue is empty.
  std::optional<Time> next_due() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.top().when;
  }

  /// Removes and returns the earliest timer if it is due by `now`.
  std::optional<Timer> pop_due(Time now) {
    if (timers_.empty() || timers_.top().when > now) return std::nullopt;
    Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

 private:
  /// Orders the queue so that the earliest timer is on top.
  struct Later {
    bool operator()(const Timer& one, const Timer& other) const { return one.when > other.when; }
  };
  std::priority_queue<Timer, std::vector<Timer>, Later> timers_;
};

}  // namespace marblehub::core
