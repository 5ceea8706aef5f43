#include "core/message_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marblehub::core {
namespace {

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
// After a stall of the process: leaves time to read the input that arrived meanwhile.
constexpr Time kCheckDelayAfterStall = 20 * kMillisecond;
// A connection must be moved within 7 s of its worker's last answer. Clients send every 2 s, so that answer
// may be 2 s older than the first unanswered message, and a check may be late by kCheckInterval.
constexpr Time kMaxUnansweredTime = 4500 * kMillisecond;
// Messages that are slow for a shorter time may be due to a stall and cause no moves.
constexpr Time kMinSlowDuration = 700 * kMillisecond;
constexpr Time kSlowStreakTimeout = 5 * kSecond;  // a series of slow messages ends this long after the last
constexpr Time kMinReportInterval = kSecond;      // between reports of the same slow worker
constexpr Time kSlowDivisor = 3;                  // a delay above objective_ / kSlowDivisor is slow

}  // namespace

MessageMonitor::MessageMonitor(const policy::Settings& settings, Time now)
    : objective_(policy::shortest_message_objective(settings)), last_check_at_(now) {}

MessageMonitor::Schedule MessageMonitor::schedule(Time now) {
  Time since_last_check = now - std::exchange(last_check_at_, now);
  postponed_ = since_last_check > 2 * kCheckInterval && !postponed_;
  return {!postponed_, postponed_ ? kCheckDelayAfterStall : kCheckInterval};
}

MessageMonitor::Findings MessageMonitor::check(const Exchanges& exchanges, Time now) {
  Findings findings;
  for (auto next = watched_.begin(); next != watched_.end();) {
    auto it = exchanges.find(*next);
    const Exchange* exchange = it == exchanges.end() ? nullptr : it->second.get();
    bool keep =
        exchange && exchange->is_established() && (exchange->move_pending() || exchange->awaits_answer());
    next = keep ? std::next(next) : watched_.erase(next);
    if (keep) check_exchange(*exchange, now, findings);
  }
  return findings;
}

void MessageMonitor::check_exchange(const Exchange& exchange, Time now, Findings& findings) const {
  if (exchange.move_overdue()) {
    findings.stalled.push_back(exchange.id());
    return;
  }
  if (!exchange.awaits_answer()) return;
  Time waited = now - exchange.unanswered_since();
  if (waited > kMaxUnansweredTime) {
    if (!exchange.move_pending()) findings.newly_moved += 1;
    (exchange.inside_message() ? findings.stalled : findings.silent).push_back(exchange.id());
  } else if (waited > objective_) {
    findings.late.push_back({exchange.id(), waited});
  }
}

// While slow messages are not confirmed, at most half the objective is reported: they may result from a
// stall, for example of an overloaded host, that has ended by the time of the report, when moves would not
// help.
std::optional<Time> MessageMonitor::latency_update(const std::string& worker, Time delay, Time now) {
  WorkerLatency& latency = latencies_[worker];
  if (delay * kSlowDivisor <= objective_) {
    latency.slow_since = kNotSlow;
    latency.confirmed = false;
    if (!std::exchange(latency.reported, false)) return std::nullopt;
    latency.reported_at = now;
    return delay;
  }
  bool continues = latency.slow_since != kNotSlow && now - latency.slow_seen_at <= kSlowStreakTimeout;
  if (!continues) latency.slow_since = now;
  latency.slow_seen_at = now;
  bool confirmed = now - latency.slow_since >= kMinSlowDuration;
  bool newly_confirmed = confirmed && !latency.confirmed;
  if (!newly_confirmed && now - latency.reported_at < kMinReportInterval) return std::nullopt;
  latency.reported = true;
  latency.confirmed = confirmed;
  latency.reported_at = now;
  return confirmed ? delay : std::min(delay, objective_ / 2);
}

}  // namespace marblehub::core
