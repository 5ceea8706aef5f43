#include "core/message_monitor.h"

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
    bool watch_on = exchange && exchange->standing() && (exchange->moving() || exchange->awaits_answer());
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
    if (!exchange.moving()) findings.newly_silent += 1;
    (exchange.stopped_inside_a_message() ? findings.stopped : findings.silent).push_back(exchange.id());
  } else if (waited > objective_) {
    findings.late.push_back({exchange.id(), waited});
  }
}

bool MessageMonitor::is_news(const std::string& worker, Time delay, Time now) {
  Pace& pace = paces_[worker];
  bool slow = delay * kSlowPart > objective_;
  if (slow ? now - pace.noted_at < kSecond : !pace.slow) return false;
  pace.slow = slow;
  pace.noted_at = now;
  return true;
}

}  // namespace marblehub::core
