/// The dispatcher's timers, the earliest first.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "core/ports.h"

namespace marblehub::core {

enum class TimerKind {
  policy,    // id: the policy's cookie
  attempt,   // an attempt's time-out
  deadline,  // of a call
  monitor,   // standing connections are looked at
  move,      // a standing connection is told to move
  handover,  // a connection from before the start is offered to its worker again
};

struct Timer {
  Time when = 0;
  TimerKind kind = TimerKind::policy;
  std::uint64_t id = 0;  // of the call; the policy's cookie
  int attempt = 0;
};

class TimerQueue {
 public:
  void push(const Timer& timer) { timers_.push(timer); }

  /// When the first one is due; none: there is none.
  std::optional<Time> next_due() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.top().when;
  }

  /// Takes out the first one that is due by `now`.
  std::optional<Timer> pop_due(Time now) {
    if (timers_.empty() || timers_.top().when > now) return std::nullopt;
    Timer timer = timers_.top();
    timers_.pop();
    return timer;
  }

 private:
  struct Later {
    bool operator()(const Timer& one, const Timer& other) const { return one.when > other.when; }
  };
  std::priority_queue<Timer, std::vector<Timer>, Later> timers_;
};

}  // namespace marblehub::core
