#include "fleet/routes/lease.h"

#include <algorithm>
#include <limits>

#include "check/check.h"

namespace marblehub::fleet {

void ClockWatch::heard(Time now, const std::string& from, Time sent_at) {
  unheard_ = false;
  constexpr Time never = std::numeric_limits<Time>::max();
  if (now - span_from_ >= kSpan || now < span_from_) {
    bool next = now >= span_from_ && now - span_from_ < 2 * kSpan;
    for (auto it = peers_.begin(); it != peers_.end();) {
      it->second = {never, next ? it->second.here : never};
      it = it->second.before == never ? peers_.erase(it) : std::next(it);
    }
    span_from_ = now;
  }
  Least& least = peers_.try_emplace(from, Least{never, never}).first->second;
  least.here = std::min(least.here, now - sent_at);
  judge();
}

void ClockWatch::stepped() {
  unheard_ = unheard_ || !peers_.empty();
  peers_.clear();
  judge();
}

void ClockWatch::judge() {
  off_ = 0;
  known_ = peers_.size();
  for (const auto& [name, least] : peers_) {
    Time offset = std::min(least.here, least.before);
    if (offset > bound_ || offset < -bound_) ++off_;
  }
}

void Lease::granted(Time now, const Grant& grant) {
  if (grant_ && grant.until == heard_until_ && grant.version == grant_->version && grant.next == grant_->next)
    return;
  if (grant_ && std::max(grant.version, grant.next) < std::max(grant_->version, grant_->next)) return;  // old
  bool newer = grant.until > heard_until_ || stepped_;
  heard_until_ = grant.until;
  // Granted for `lease` at most by a clock at most `bound` ahead of this one, and some time ago.
  behind_ = grant.until - lease_ > now + bound_;
  if (behind_) return;
  if (stepped_ && newer) {
    stepped_ = false;
    seen_ = now;
  }
  grant_ = grant;
}

Lease::Judged Lease::judge(Time now) {
  if (now < seen_ - bound_ && !stepped_) {
    stepped_ = true;
    watch_.stepped();
  }
  if (!grant_) return {false, 0, "has not heard which version is in force"};
  // A step back within the bound: the later of the two moments, at which less is allowed.
  const Time at = stepped_ ? now : seen_ = std::max(seen_, now);
  const Grant& g = *grant_;
  const std::uint64_t version = g.next != 0 && at >= g.activation_time ? g.next : g.version;
  Judged judged{false, std::max(version, newest_), ""};
  // A leader grants to itself: after a step that says nothing until another's clock is heard.
  if (stepped_ || watch_.unheard())
    judged.why = "the clock went back";
  else if (version < newest_)
    judged.why = "the clock is before the moment of a version that it held";
  else if (clock_off())
    judged.why = "the clock is off by more than the bound";
  else if (at >= g.until - bound_)
    judged.why = "the lease is over";
  else
    judged.held = true, newest_ = version;
  return judged;
}

}  // namespace marblehub::fleet
