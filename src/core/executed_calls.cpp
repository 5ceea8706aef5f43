#include "core/executed_calls.h"

namespace marblehub::core {

void ExecutedCalls::add(std::uint64_t identity, Time now) {
  forget_until(now - kRetention);
  if (identity == 0 || !identities_.insert(identity).second) return;
  by_age_.emplace_back(now, identity);
  if (by_age_.size() > kMaxCalls) forget_oldest();
}

bool ExecutedCalls::contains(std::uint64_t identity, Time now) {
  forget_until(now - kRetention);
  return identities_.count(identity) > 0;
}

void ExecutedCalls::forget_until(Time time) {
  while (!by_age_.empty() && by_age_.front().first <= time) forget_oldest();
}

void ExecutedCalls::forget_oldest() {
  identities_.erase(by_age_.front().second);
  by_age_.pop_front();
}

}  // namespace marblehub::core
