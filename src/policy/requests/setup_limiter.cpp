#include "policy/requests/setup_limiter.h"

#include <algorithm>

namespace marblehub::policy {
namespace {

constexpr double kMinLimit = 2;                // concurrent attempts that are always allowed
constexpr Time kMaxUnusedTime = 10 * kSecond;  // exceeds the deadline of a request

}  // namespace

void SetupLimiter::fail(Time sent_at, Time now, Time decay_time) {
  failures_.add(1, now, decay_time);
  congestion_suspected_ = true;
  if (sent_at <= limit_halved_at_) return;
  limit_ = std::max(kMinLimit, std::min(limit_, in_progress_ + 1.0) / 2);
  limit_halved_at_ = now;
}

void SetupLimiters::forget_unused(Time now) {
  std::erase_if(limiters_, [now](const auto& entry) {
    const auto& [allowed_backends, limiter] = entry;
    return allowed_backends && limiter.in_progress_ == 0 && now - limiter.last_used_at_ > kMaxUnusedTime;
  });
}

bool SetupLimiters::any_congestion_suspected() const {
  return std::any_of(limiters_.begin(), limiters_.end(),
                     [](const auto& entry) { return entry.second.congestion_suspected(); });
}

}  // namespace marblehub::policy
