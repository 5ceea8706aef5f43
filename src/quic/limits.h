// Rate limiting and rate measurement. The caller passes the time in microseconds, which must not decrease.
#pragma once

#include <algorithm>
#include <cstdint>

namespace marblehub::quic {

/// A token bucket that refills at `per_second` and holds at most one second's worth; it starts full.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second = 0) : rate_(per_second), tokens_(per_second) {}
  /// Takes one token; returns false where none is left.
  bool take(std::int64_t now) {
    if (last_ > 0) tokens_ = std::min(rate_, tokens_ + rate_ * static_cast<double>(now - last_) / 1e6);
    last_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_, tokens_;
  std::int64_t last_ = 0;
};

/// Events a second over a sliding window of one second, estimated from two counters: that of the current
/// second, and that of the previous second weighted by the part of it which the window still covers.
class RateMeter {
 public:
  /// Counts one event.
  void add(std::int64_t now) {
    roll(now);
    current_ += 1;
  }
  /// The events a second at `now`.
  double rate(std::int64_t now) {
    roll(now);
    return current_ + previous_ * (1 - static_cast<double>(now - second_start_) / kSecond);
  }

 private:
  static constexpr std::int64_t kSecond = 1'000'000;
  void roll(std::int64_t now) {
    if (now - second_start_ < kSecond) return;
    previous_ = now - second_start_ < 2 * kSecond ? current_ : 0;
    second_start_ = now - (now - second_start_) % kSecond;
    current_ = 0;
  }
  std::int64_t second_start_ = 0;
  double current_ = 0, previous_ = 0;
};

}  // namespace marblehub::quic
