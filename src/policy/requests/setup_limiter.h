/// Bounds the attempts that are being set up at once: a jam that all of them meet is not made worse.
#pragma once

#include <map>

#include "policy/context.h"
#include "policy/state/decaying_value.h"
#include "policy/state/request.h"

namespace marblehub::policy {

/// The attempts that are being set up within one set of backends.
class SetupLimiter {
 public:
  /// Whether one more has to wait. Failures of the last `memory` count like attempts that are still in
  /// flight.
  bool at_limit(Time now, Time decay_time) const {
    return in_progress_ + failures_.at(now, decay_time) >= limit_;
  }

  void begin() { in_progress_ += 1; }

  /// One has ended without a connection that stands.
  void end() { in_progress_ -= 1; }

  /// Whether one has failed and none has come to stand promptly since: what backends share may be jammed. An
  /// attempt that is given up while the jam lasts costs the shared part as much as one that succeeds, so
  /// attempts must not be cut short to make room for more of them.
  bool congestion_suspected() const { return congestion_suspected_; }

  /// One has come to stand; `promptly`: within its share of the time left.
  void succeed(bool promptly) {
    if (promptly) congestion_suspected_ = false;
    if (2 * in_progress_ >= limit_) limit_ += 1;
    in_progress_ -= 1;
  }

  /// One that was sent at `sent_at` has failed. The limit is halved, once for all that were sent before that.
  void fail(Time sent_at, Time now, Time decay_time);

 private:
  friend class SetupLimiters;
  static constexpr double kNoLimit = 1e9;

  int in_progress_ = 0;
  double limit_ = kNoLimit;
  Time limit_halved_at_ = 0;
  bool congestion_suspected_ = false;
  DecayingValue failures_;
  Time last_used_at_ = 0;
};

/// The limiters by the set of backends that a request may use, so that a set which answers nothing holds only
/// its own requests back. One that is not used for a while is forgotten.
class SetupLimiters {
 public:
  SetupLimiter& find_or_add(const BackendSet& allowed_backends, Time now) {
    SetupLimiter& limiter = limiters_[allowed_backends];
    limiter.last_used_at_ = now;
    return limiter;
  }

  void forget_unused(Time now);

  bool any_congestion_suspected() const;

 private:
  // By the names in it: a new list makes a new set of the same backends.
  struct ByNames {
    bool operator()(const BackendSet& one, const BackendSet& other) const {
      return one && other ? *one < *other : !one && other;
    }
  };

  std::map<BackendSet, SetupLimiter, ByNames> limiters_;
};

}  // namespace marblehub::policy
