// Events passed to the policy, and execution of its actions.
#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "core/dispatcher.h"
#include "log/log.h"

namespace marblehub::core {
namespace {

using namespace marblehub::policy;

constexpr Time kMillisecond = 1000;

MoveReason reason_of(RedirectReason reason) {
  switch (reason) {
    case RedirectReason::draining:
      return MoveReason::draining;
    case RedirectReason::down:
      return MoveReason::down;
    case RedirectReason::overwhelmed:
      return MoveReason::overwhelmed;
    case RedirectReason::late:
      return MoveReason::late;
  }
  return MoveReason::late;
}

}  // namespace

// ---- Probes and lists --------------------------------------------------------------------------------

void Dispatcher::probe_result(const std::string& worker, Time rtt, Outcome outcome,
                              const LoadReport& report) {
  counters_.probe_result(outcome).add();
  log::debug("probe of {}: {} after {} ms, load {:.2f}", worker, name_of(outcome), rtt / kMillisecond,
             report.load);
  if (connection_observer_ && report.load >= 0)
    connection_observer_->worker_load_reported(worker, report.load);
  notify(ProbeResultEvent{worker, rtt, outcome, report});
}

void Dispatcher::list_received(const config::WorkerList& list) {
  counters_.lists.add();
  counters_.list_confirmed.set(1);
  log_changes(list);
  update_list(list.snapshot ? EndpointListKind::full : EndpointListKind::changes, list);
}

// What each line of a list says, so that an attempt in the log can be held against it.
void Dispatcher::log_changes(const config::WorkerList& list) const {
  if (log::threshold > log::Level::debug) return;
  for (const config::WorkerEntry& worker : list.workers)
    log::debug("version {} of the worker list: {} at {} is {}, started at {}", list.index,
               worker.backend.address, worker.address, name_of(worker.backend.health),
               worker.backend.start_time);
}

void Dispatcher::list_failed(bool reachable) {
  counters_.list_failures.add();
  if (!reachable) counters_.list_unreachable.add();
  notify(EndpointListEvent{reachable ? EndpointListKind::failed : EndpointListKind::unreachable, nullptr});
}

void Dispatcher::update_list(EndpointListKind kind, const config::WorkerList& list) {
  if (connection_observer_) connection_observer_->worker_list_updated(list);
  if (gate_) gate_->worker_list_updated(list);
  // The list may have arrived at any time since the last poll began; the earliest time is assumed.
  Time written_at = poll_started_at_ > 0 ? poll_started_at_ : now();
  workers_.update(list, written_at, now());
  auto entries = std::make_shared<std::vector<BackendEntry>>();
  for (const config::WorkerEntry& worker : list.workers) entries->push_back(worker.backend);
  notify(EndpointListEvent{kind, std::move(entries)});
}

// ---- The policy --------------------------------------------------------------------------------------

RequestEvent Dispatcher::request_of(const Exchange& exchange) const {
  const Call& call = exchange.call();
  return {exchange.id_,  call.request_class, call.expires_in,          call.load_hint,
          call.returned, call.group,         exchange.allowed_workers_};
}

ResultEvent Dispatcher::result_of(const Exchange& exchange, Outcome outcome, const LoadReport& report,
                                  bool terminal) const {
  return {exchange.id_,
          exchange.attempts_ - 1,
          terminal,
          exchange.worker_,
          now() - exchange.attempt_started_at_,
          outcome,
          report};
}

void Dispatcher::notify(Event event) {
  events_.push_back(std::move(event));
  handle_events();
}

// Executing an action may add events, which are queued rather than handled recursively.
void Dispatcher::handle_events() {
  if (handling_events_) return;
  handling_events_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.handle(now(), event, actions);
    for (const Action& action : actions) std::visit([this](const auto& kind) { execute(kind); }, action);
  }
  handling_events_ = false;
}

void Dispatcher::execute(const Submit& action) {
  Exchange* exchange = find_waiting(action.id);
  if (!exchange || exchange->attempt_) return;
  exchange->send_by_ = action.send_by;
  begin_attempt(*exchange, action.backend, std::max<Time>(kMillisecond, action.deadline - now()));
}

void Dispatcher::execute(const Reject& action) {
  Exchange* exchange = find_waiting(action.id);
  if (!exchange) return;
  counters_.rejection(action.reason).add();
  answer_and_close(*exchange, Answer::overload, action.retry_after);
}

void Dispatcher::execute(const Fail& action) {
  if (Exchange* exchange = find_waiting(action.id)) answer_and_close(*exchange, Answer::failed, 0);
}

void Dispatcher::execute(const Redirect& action) {
  Exchange* exchange = find(action.id);
  if (!exchange) return;
  MoveReason reason = reason_of(action.reason);
  log::debug("call {} requested to move from {}: {}, message delay {:.0f} ms, load {:.2f}", action.id,
             exchange->worker_, name_of(reason), action.delay_ms, action.load);
  exchange->redirect(reason);
}

void Dispatcher::execute(const Probe& action) {
  counters_.probes.add();
  log::debug("probe to {}", action.backend);
  prober_.probe(action.backend, workers_.address_of(action.backend));
}

void Dispatcher::execute(const WatchEndpoints&) { registry_.watch_endpoints(); }

void Dispatcher::execute(const SetTimer& action) {
  timers_.push({now() + action.after, TimerKind::policy, action.cookie});
}

}  // namespace marblehub::core
