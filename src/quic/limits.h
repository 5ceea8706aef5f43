// Rates, free of any clock: the caller says what time it is, in microseconds that never go back.
#pragma once

#include <algorithm>
#include <cstdint>

namespace marblehub::quic {

// So many a second, and at most one second's worth at once.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second = 0) : rate_(per_second), tokens_(per_second) {}
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

// How many a second there were lately: the second under way, and of the one before it the share that a window
// of one second still covers.
class RateMeter {
 public:
  void add(std::int64_t now) {
    roll(now);
    current_ += 1;
  }
  double rate(std::int64_t now) {
    roll(now);
    return current_ + previous_ * (1 - static_cast<double>(now - began_) / kSecond);
  }

 private:
  static constexpr std::int64_t kSecond = 1'000'000;
  void roll(std::int64_t now) {
    if (now - began_ < kSecond) return;
    previous_ = now - began_ < 2 * kSecond ? current_ : 0;
    began_ = now - (now - began_) % kSecond;
    current_ = 0;
  }
  std::int64_t began_ = 0;
  double current_ = 0, previous_ = 0;
};

}  // namespace marblehub::quic
