// Timers, periodic checks and planned restarts.
#include <cstdint>
#include <optional>
#include <vector>

#include "core/dispatcher.h"
#include "log/log.h"

namespace marblehub::core {
namespace {

using namespace marblehub::policy;

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;

}  // namespace

// ---- Time --------------------------------------------------------------------------------------------

Time Dispatcher::next_due() const { return timers_.next_due().value_or(now() + kSecond); }

void Dispatcher::advance() {
  const Time until = now();
  while (auto timer = timers_.pop_due(until)) expire(*timer);
}

void Dispatcher::expire(const Timer& timer) {
  if (timer.kind == TimerKind::policy) return notify(TimerEvent{timer.id});
  if (timer.kind == TimerKind::monitor) return monitor();
  if (timer.kind == TimerKind::move) {
    if (Exchange* exchange = find(timer.id)) exchange->redirect(MoveReason::restart);
    return;
  }
  Exchange* exchange = find_waiting(timer.id);
  if (!exchange) return;
  if (timer.kind == TimerKind::attempt) return attempt_timed_out(*exchange, timer.attempt);
  deadline_passed(*exchange);
}

void Dispatcher::attempt_timed_out(Exchange& exchange, int attempt) {
  if (!exchange.attempt_ || exchange.attempts_ - 1 != attempt) return;
  Outcome outcome = exchange.attempt_->proved_not_run()          ? Outcome::not_sent
                    : exchange.attempt_->timeout_blames_worker() ? Outcome::timeout
                                                                 : Outcome::cancelled;
  exchange.drop_attempt();  // before attempt_over, which may begin the next attempt
  attempt_over(exchange, outcome, {}, false);
}

// Fallback: the policy normally answers well before the deadline.
void Dispatcher::deadline_passed(Exchange& exchange) {
  counters_.deadline_answers.add();
  end_call(exchange);
}

void Dispatcher::monitor() {
  MessageMonitor::Schedule schedule = messages_.schedule(now());
  if (schedule.check) check_messages();
  if (gate_) sync_with_gate();
  timers_.push({now() + schedule.next_in, TimerKind::monitor});
}

void Dispatcher::check_messages() {
  // Collected first, since the policy's reaction to one message may end other calls.
  MessageMonitor::Findings findings = messages_.check(calls_, now());
  counters_.silent_moves.add(static_cast<double>(findings.newly_moved));
  for (const auto& [id, waited] : findings.late)
    if (Exchange* exchange = find(id)) message_answered(*exchange, waited);
  for (std::uint64_t id : findings.silent)
    if (Exchange* exchange = find(id)) exchange->redirect(MoveReason::silent);
  for (std::uint64_t id : findings.stalled)
    if (Exchange* exchange = find(id)) exchange->redirect_now(exchange->move_reason());
  counters_.established.set(static_cast<double>(established_count()));
  counters_.waiting.set(static_cast<double>(unanswered_));
  counters_.workers_down.set(static_cast<double>(balancer_.down_backends().size()));
}

// A message of this call was answered after `delay`, or is unanswered since then.
void Dispatcher::message_answered(Exchange& exchange, Time delay) {
  std::optional<Time> latency_update = messages_.latency_update(exchange.worker_, delay, now());
  if (!latency_update) return;
  log::debug("messages at {} take {} ms, reported as {} ms", exchange.worker_, delay / kMillisecond,
             *latency_update / kMillisecond);
  counters_.slow_updates.add();
  notify(ConnectionUpdateEvent{exchange.id_, exchange.attempts_ - 1, ConnectionUpdateKind::messages_slow,
                               static_cast<double>(*latency_update) / kMillisecond});
}

void Dispatcher::load_changed(Exchange& exchange, double load) {
  if (connection_observer_) connection_observer_->connection_load_changed(exchange.id_, load);
  notify(
      ConnectionUpdateEvent{exchange.id_, exchange.attempts_ - 1, ConnectionUpdateKind::load_changed, load});
}

// Passes the number of balancers to the policy, and the workers that are down to the gate.
void Dispatcher::sync_with_gate() {
  int balancers = gate_->balancer_count();
  if (balancers > 0 && balancers != balancer_count_) {
    balancer_count_ = balancers;
    balancer_.set_balancer_count(balancers);
  }
  gate_->set_down_workers(balancer_.down_backends());
}

// ---- A planned restart -------------------------------------------------------------------------------

void Dispatcher::end_all() {
  std::vector<std::uint64_t> ids;
  for (auto& [id, exchange] : calls_) ids.push_back(id);
  for (std::uint64_t id : ids) {
    Exchange* exchange = find(id);
    if (!exchange) continue;
    if (exchange->state_ == Exchange::State::waiting) {
      end_call(*exchange);
    } else {
      exchange->redirect_now(MoveReason::restart);  // even inside a message, since the program exits now
    }
  }
}

void Dispatcher::retire(Time span) {
  std::vector<std::uint64_t> ids;
  for (auto& [id, exchange] : calls_)
    if (exchange->is_established()) ids.push_back(id);
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Time after = span * static_cast<Time>(i) / static_cast<Time>(ids.size());
    timers_.push({now() + after, TimerKind::move, ids[i]});
  }
}

}  // namespace marblehub::core
