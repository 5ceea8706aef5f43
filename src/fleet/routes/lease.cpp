#include "fleet/routes/lease.h"

#include <algorithm>
#include <limits>

#include "check/check.h"

namespace marblehub::fleet {

void ClockMonitor::observe_clock(Time now, const std::string& from, Time sent_at) {
  peers_missing_ = false;
  constexpr Time never = std::numeric_limits<Time>::max();
  if (now - window_start_ >= kWindow || now < window_start_) {
    bool next = now >= window_start_ && now - window_start_ < 2 * kWindow;
    for (auto it = peers_.begin(); it != peers_.end();) {
      it->second = {never, next ? it->second.current : never};
      it = it->second.previous == never ? peers_.erase(it) : std::next(it);
    }
    window_start_ = now;
  }
  MinOffsets& offsets = peers_.try_emplace(from, MinOffsets{never, never}).first->second;
  offsets.current = std::min(offsets.current, now - sent_at);
  count_peers_off();
}

void ClockMonitor::reset() {
  peers_missing_ = peers_missing_ || !peers_.empty();
  peers_.clear();
  count_peers_off();
}

void ClockMonitor::count_peers_off() {
  peers_off_ = 0;
  peers_known_ = peers_.size();
  for (const auto& [name, offsets] : peers_) {
    Time offset = std::min(offsets.current, offsets.previous);
    if (offset > bound_ || offset < -bound_) ++peers_off_;
  }
}

void Lease::update_grant(Time now, const Grant& grant) {
  if (grant_ && grant.until == latest_until_ && grant.version == grant_->version &&
      grant.next == grant_->next)
    return;
  // A delayed grant of an older version.
  if (grant_ && std::max(grant.version, grant.next) < std::max(grant_->version, grant_->next)) return;
  bool newer = grant.until > latest_until_ || stepped_back_;
  latest_until_ = grant.until;
  // A grant lasts `lease` at most by the leader's clock, which is at most `bound` ahead of this one.
  behind_ = grant.until - lease_ > now + bound_;
  if (behind_) return;
  if (stepped_back_ && newer) {
    stepped_back_ = false;
    latest_time_ = now;
  }
  grant_ = grant;
}

Lease::Decision Lease::evaluate(Time now) {
  if (now < latest_time_ - bound_ && !stepped_back_) {
    stepped_back_ = true;
    clock_monitor_.reset();
  }
  if (!grant_) return {false, 0, "no grant has been received yet"};
  // After a step back within the bound the later of the two times applies, which is the stricter one.
  const Time at = stepped_back_ ? now : latest_time_ = std::max(latest_time_, now);
  const Grant& g = *grant_;
  const std::uint64_t version = g.next != 0 && at >= g.activation_time ? g.next : g.version;
  Decision decision{false, std::max(version, newest_version_), ""};
  // A leader's grant to itself proves nothing after a step back until a peer's clock has been observed.
  if (stepped_back_ || clock_monitor_.peers_missing())
    decision.why = "the clock stepped back";
  else if (version < newest_version_)
    decision.why = "the clock is before the activation time of a version already used";
  else if (clock_off())
    decision.why = "the clock is off by more than the bound";
  else if (at >= g.until - bound_)
    decision.why = "the lease is over";
  else
    decision.held = true, newest_version_ = version;
  return decision;
}

}  // namespace marblehub::fleet
