#include "fleet/net/sender_filter.h"

#include <algorithm>
#include <cstdlib>

namespace marblehub::fleet {

SenderFilter::SenderFilter(const Settings& settings)
    : own_(settings.name), members_(settings.members), bound_(settings.clock_bound) {}

std::optional<SenderFilter::Rejection> SenderFilter::check(Time arrived, const Envelope& envelope) {
  if (!members_.empty() && std::find(members_.begin(), members_.end(), envelope.sender) == members_.end())
    return Rejection::unknown_sender;
  auto it = senders_.find(envelope.sender);
  if (it == senders_.end()) {
    // For an unknown sender only the age of the message shows a replay.
    if (std::abs(arrived - envelope.sent_at) > kMaxFirstContactOffset) return Rejection::stale;
    if (senders_.size() >= kMaxSenders) return Rejection::unknown_sender;
    it = senders_.emplace(envelope.sender, Sender{}).first;
  }
  Sender& s = it->second;
  if (envelope.incarnation > s.incarnation) {
    s = {};
    s.incarnation = envelope.incarnation;
    s.incarnation_started = s.newest = envelope.sent_at;
  }
  // An older process of the same name that still runs must be received, so that the newer one learns of the
  // conflict; what it sent before the newer one started is stale.
  if (envelope.incarnation < s.incarnation && envelope.sent_at <= s.incarnation_started)
    return Rejection::stale;
  if (envelope.sent_at < s.newest - kReplayWindow) return Rejection::stale;
  s.newest = std::max(s.newest, envelope.sent_at);
  if (arrived - s.current.since >= kClockWindow || arrived < s.current.since) {
    s.previous = s.current;
    s.current = {arrived, envelope.sent_at - arrived, 0};
  }
  s.current.offset = std::max(s.current.offset, envelope.sent_at - arrived);
  s.current.messages += 1;
  return std::nullopt;
}

std::optional<Time> SenderFilter::clock_offset(Time now, const std::string& sender) const {
  auto it = senders_.find(sender);
  if (it == senders_.end()) return std::nullopt;
  std::optional<Time> offset;
  for (const Sender::Window* window : {&it->second.current, &it->second.previous}) {
    if (window->messages == 0 || now - window->since > 2 * kClockWindow || now < window->since) continue;
    offset = std::max(offset.value_or(window->offset), window->offset);
  }
  return offset;
}

bool SenderFilter::clock_off(Time now, const std::vector<std::string>& alive) const {
  std::size_t others = 0, known = 0, ahead = 0, behind = 0;
  for (const std::string& name : alive) {
    if (name == own_) continue;
    others += 1;
    auto offset = clock_offset(now, name);
    known += offset.has_value();
    if (offset && *offset > bound_) ahead += 1;
    if (offset && *offset < -bound_) behind += 1;
  }
  return known >= std::min<std::size_t>(others, 2) && 2 * std::max(ahead, behind) > known;
}

}  // namespace marblehub::fleet
