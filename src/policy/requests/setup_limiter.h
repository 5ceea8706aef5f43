/// Limits concurrent connection setups, so that congestion of a resource that all of them share is not made
/// worse.
#pragma once

#include <map>

#include "policy/context.h"
#include "policy/state/decaying_value.h"
#include "policy/state/request.h"

namespace marblehub::policy {

/// Limits the attempts in setup within one set of backends. The limit is halved on failure and raised by one
/// on success, so that retries do not amplify the congestion of a shared resource.
class SetupLimiter {
 public:
  /// Whether a further attempt has to wait. Recent failures, which decay over `decay_time`, count as attempts
  /// in setup.
  bool at_limit(Time now, Time decay_time) const {
    return in_progress_ + failures_.at(now, decay_time) >= limit_;
  }

  /// An attempt has started.
  void begin() { in_progress_ += 1; }

  /// An attempt has ended without an established connection.
  void end() { in_progress_ -= 1; }

  /// Whether an attempt has failed and none has succeeded promptly since: a resource shared by the backends
  /// may be congested. Aborted attempts load that resource as much as successful ones, so attempts should not
  /// be aborted early during congestion.
  bool congestion_suspected() const { return congestion_suspected_; }

  /// An attempt has been established. `promptly`: within its Request::time_share.
  void succeed(bool promptly) {
    if (promptly) congestion_suspected_ = false;
    if (2 * in_progress_ >= limit_) limit_ += 1;
    in_progress_ -= 1;
  }

  /// An attempt sent at `sent_at` has failed. Halves the limit, unless it was already halved after `sent_at`.
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

/// One limiter per set of allowed backends, so that an unresponsive set delays only its own requests. Unused
/// limiters are removed after a while.
class SetupLimiters {
 public:
  /// Returns the limiter of the set. The reference is valid until forget_unused().
  SetupLimiter& find_or_add(const BackendSet& allowed_backends, Time now) {
    SetupLimiter& limiter = limiters_[allowed_backends];
    limiter.last_used_at_ = now;
    return limiter;
  }

  /// Removes limiters that are idle and have not been used recently. Called once per sweep.
  void forget_unused(Time now);

  /// Whether any limiter suspects congestion.
  bool any_congestion_suspected() const;

 private:
  // Compares by content, since each endpoint list creates new sets of the same addresses.
  struct ByNames {
    bool operator()(const BackendSet& one, const BackendSet& other) const {
      return one && other ? *one < *other : !one && other;
    }
  };

  std::map<BackendSet, SetupLimiter, ByNames> limiters_;
};

}  // namespace marblehub::policy
