#include <algorithm>

#include "fleet/wire/envelope.h"

namespace marblehub::fleet {

bool ReplayFilter::accept(Time now, const Envelope& envelope) {
  // sent_at may be any number, so arithmetic on it could overflow.
  if (envelope.sent_at < now - window_ || envelope.sent_at > now + window_) return false;
  auto it = latest_.find(envelope.sender);
  if (it == latest_.end()) {
    if (latest_.size() >= kMaxSenders)
      latest_.erase(std::min_element(latest_.begin(), latest_.end(), [](const auto& a, const auto& b) {
        return a.second.last_seen < b.second.last_seen;
      }));
    latest_.emplace(envelope.sender, Latest{envelope.incarnation, now, now});
    return true;
  }
  Latest& latest = it->second;
  latest.last_seen = now;
  if (envelope.incarnation > latest.incarnation) latest = {envelope.incarnation, now, now};
  return envelope.incarnation == latest.incarnation || now - latest.since < window_;
}

}  // namespace marblehub::fleet
