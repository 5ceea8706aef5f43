#include "core/message_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marblehub::core {
namespace {

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
// After a stall of the process, until what had come meanwhile has been read.
constexpr Time kLookAfterStall = 20 * kMillisecond;
// A connection that brings nothing back must have moved within 7 s. Clients speak every 2 s, so its last
// answer may have come 2 s before the first message that has none; and the look at it is up to an interval
// late.
constexpr Time kSilenceBound = 4500 * kMillisecond;
constexpr Time kLongestStall =
    700 * kMillisecond;                    // messages that are slow for no longer than this move nobody
constexpr Time kSlowMemory = 5 * kSecond;  // a slow message counts for so long if none follows
constexpr Time kNoteInterval = kSecond;
constexpr Time kSlowPart = 3;  // a delay over one part in so many of the objective is slow

}  // namespace

MessageMonitor::MessageMonitor(const policy::Settings& settings, Time now)
    : objective_(policy::shortest_message_objective(settings)), looked_at_(now) {}

MessageMonitor::Schedule MessageMonitor::schedule(Time now) {
  Time since = now - std::exchange(looked_at_, now);
  put_off_ = since > 2 * kLookInterval && !put_off_;
  return {!put_off_, put_off_ ? kLookAfterStall : kLookInterval};
}

MessageMonitor::Findings MessageMonitor::look(const Exchanges& exchanges, Time now) {
  Findings findings;
  for (auto next = watched_.begin(); next != watched_.end();) {
    auto it = exchanges.find(*next);
    const Exchange* exchange = it == exchanges.end() ? nullptr : it->second.get();
    bool watch_on =
        exchange && exchange->is_established() && (exchange->move_pending() || exchange->awaits_answer());
    next = watch_on ? std::next(next) : watched_.erase(next);
    if (watch_on) judge(*exchange, now, findings);
  }
  return findings;
}

void MessageMonitor::judge(const Exchange& exchange, Time now, Findings& findings) const {
  if (exchange.move_overdue()) {
    findings.stopped.push_back(exchange.id());
    return;
  }
  if (!exchange.awaits_answer()) return;
  Time waited = now - exchange.unanswered_since();
  if (waited > kSilenceBound) {
    if (!exchange.move_pending()) findings.newly_silent += 1;
    (exchange.stalled_inside_message() ? findings.stopped : findings.silent).push_back(exchange.id());
  } else if (waited > objective_) {
    findings.late.push_back({exchange.id(), waited});
  }
}

// A single late message may be due to a stall that is over by the time it is heard of, as of a starved host:
// no client is better off elsewhere for it.
std::optional<Time> MessageMonitor::news(const std::string& worker, Time delay, Time now) {
  Pace& pace = paces_[worker];
  if (delay * kSlowPart <= objective_) {
    pace.slow_since = kNotSlow;
    pace.confirmed = false;
    if (!std::exchange(pace.noted, false)) return std::nullopt;
    pace.noted_at = now;
    return delay;
  }
  bool goes_on = pace.slow_since != kNotSlow && now - pace.slow_seen_at <= kSlowMemory;
  if (!goes_on) pace.slow_since = now;
  pace.slow_seen_at = now;
  bool confirmed = now - pace.slow_since >= kLongestStall;
  bool newly_confirmed = confirmed && !pace.confirmed;
  if (!newly_confirmed && now - pace.noted_at < kNoteInterval) return std::nullopt;
  pace.noted = true;
  pace.confirmed = confirmed;
  pace.noted_at = now;
  return confirmed ? delay : std::min(delay, objective_ / 2);
}

}  // namespace marblehub::core
