#include "policy/requests/setup_limiter.h"

#include <algorithm>

namespace marblehub::policy {
namespace {

constexpr double kLowestLimit = 2;            // connections that may always be set up at once
constexpr Time kUnusedMemory = 10 * kSecond;  // longer than a request waits

}  // namespace

void SetupLimiter::fail(Time sent_at, Time now, Time memory) {
  failures_.add(1, now, memory);
  jam_suspected_ = true;
  if (sent_at <= limit_cut_at_) return;
  limit_ = std::max(kLowestLimit, std::min(limit_, in_progress_ + 1.0) / 2);
  limit_cut_at_ = now;
}

void SetupLimiters::forget_unused(Time now) {
  std::erase_if(limiters_, [now](const auto& entry) {
    const auto& [only, limiter] = entry;
    return only && limiter.in_progress_ == 0 && now - limiter.used_at_ > kUnusedMemory;
  });
}

bool SetupLimiters::any_jam_suspected() const {
  return std::any_of(limiters_.begin(), limiters_.end(),
                     [](const auto& entry) { return entry.second.jam_suspected(); });
}

}  // namespace marblehub::policy
