// Construction, and the states of a call from its acceptance to its end.
#include "core/dispatcher.h"

#include <utility>

#include "check/check.h"
#include "log/log.h"

namespace marblehub::core {
namespace {

using namespace marblehub::policy;

constexpr Time kMillisecond = 1000;
// Subtracted from the time within which sends to a leaving worker must stop: a list is handled some time
// after service discovery wrote it.
constexpr Time kDrainMargin = 100 * kMillisecond;

}  // namespace

Dispatcher::Dispatcher(const config::Startup& startup, const Clock& clock, Prober& prober, Registry& registry,
                       Counters& counters)
    : settings_(startup.settings),
      clock_(clock),
      prober_(prober),
      registry_(registry),
      balancer_(startup.settings, startup.seed, clock.now()),
      workers_(startup.settings.stop_sending_within_us - kDrainMargin),
      messages_(startup.settings, clock.now()),
      counters_(counters) {
  timers_.push({now() + MessageMonitor::kCheckInterval, TimerKind::monitor});
  update_list(EndpointListKind::cached, startup.known);
}

Dispatcher::~Dispatcher() = default;

int Dispatcher::class_index(std::string_view name) const {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    if (settings_.classes[i].name == name) return static_cast<int>(i);
  return -1;
}

// ---- Calls -------------------------------------------------------------------------------------------

Exchange& Dispatcher::register_call(Call call, ClientSide& client, WorkerSide& workers) {
  std::uint64_t id = next_id_++;
  log::debug("call {} accepted, group {:016x}", id, call.group);
  auto exchange = std::make_unique<Exchange>(*this, id, std::move(call), client, workers, now());
  return *calls_.emplace(id, std::move(exchange)).first->second;
}

Exchange& Dispatcher::accept_call(Call call, ClientSide& client, WorkerSide& workers) {
  Exchange& exchange = register_call(std::move(call), client, workers);
  unanswered_ += 1;
  counters_.calls.add();
  if (exchange.resumes()) {
    notify(ResumeEvent{request_of(exchange), exchange.call().handover_worker});
    return exchange;
  }
  if (executed_calls_.contains(exchange.call().identity, now())) {  // the policy does not see it
    log::debug("call {} has an id that may have been executed before", exchange.id_);
    counters_.repeated_ids.add();
    answer(exchange, Answer::failed, 0, "");
    close(exchange);
    return exchange;
  }
  if (gate_) {
    CallGate::Decision decision = gate_->admit(exchange.id_, exchange.call());
    if (decision.rejected) {  // the policy does not see it
      answer(exchange, Answer::overload, decision.retry_after, "");
      close(exchange);
      return exchange;
    }
    exchange.allowed_workers_ = std::move(decision.allowed_workers);
  }
  timers_.push({exchange.deadline_, TimerKind::deadline, exchange.id_});
  notify(request_of(exchange));
  return exchange;
}

Exchange& Dispatcher::adopt(Call call, ClientSide& client, WorkerSide& workers, const std::string& worker,
                            std::unique_ptr<Attempt> attempt, bool history_known) {
  Exchange& exchange = register_call(std::move(call), client, workers);
  counters_.adopted.add();
  exchange.state_ = Exchange::State::established;
  exchange.worker_ = worker;
  exchange.attempt_started_at_ = now();
  exchange.attempts_ = 1;  // the policy counts the established connection as the first attempt
  exchange.attempt_ = std::move(attempt);
  if (connection_observer_)
    connection_observer_->connection_established(exchange.id_, worker, exchange.call(), !history_known);
  notify(HandoverEvent{request_of(exchange), worker});
  return exchange;
}

void Dispatcher::begin_attempt(Exchange& exchange, const std::string& worker, Time wait) {
  exchange.worker_ = worker;
  exchange.attempt_started_at_ = now();
  int attempt = exchange.attempts_++;
  // The policy decides before all sockets are read, so the client may have left unnoticed.
  exchange.withheld_ = !exchange.client_waiting();
  if (exchange.withheld_) return;  // the client's end is read in this iteration and ends the call
  exchange.attempt_group_ = std::make_unique<DedupGroup>(dedup_group_of(workers_, worker));
  if (!repeat_is_allowed(exchange, *exchange.attempt_group_)) {
    check::report_violation("core", "an attempt outside the group of one that may have run");
    exchange.withheld_ = true;
    return answer_and_close(exchange, Answer::failed, 0);
  }
  log::debug("call {} sent to {} by update {} of the worker list{}", exchange.id_, worker, list_version(),
             list_state() == EndpointListState::confirmed ? "" : ", which is not confirmed");
  counters_.attempts.add();
  timers_.push({now() + wait, TimerKind::attempt, exchange.id_, attempt});
  exchange.address_ = workers_.address_of(worker);
  exchange.attempt_ = exchange.workers_.begin_attempt(exchange, worker, exchange.address_, wait);
}

const RequestClass& Dispatcher::class_of(const Exchange& exchange) const {
  return settings_.classes[static_cast<std::size_t>(exchange.call().request_class)];
}

bool Dispatcher::repeat_is_allowed(const Exchange& exchange, const DedupGroup& next) const {
  return !exchange.possible_run_ || repeat_allowed(class_of(exchange), *exchange.possible_run_, next);
}

// The worker may have begun to drain, or moved, while the connection to it was being set up. A worker that
// drains still gets the connections that it holds.
bool Dispatcher::may_begin(const Exchange& exchange) const {
  bool allowed = exchange.resumes() ? workers_.address_of(exchange.worker_) == exchange.address_
                                    : workers_.may_begin(exchange.worker_, exchange.address_, now());
  if (!allowed) counters_.drain_stops.add();
  return allowed;
}

void Dispatcher::established(Exchange& exchange) {
  counters_.served.add();
  log::debug("call {} up at {} after {} ms", exchange.id_, exchange.worker_,
             (now() - exchange.attempt_started_at_) / kMillisecond);
  unanswered_ -= 1;
  exchange.attempt_group_.reset();
  if (connection_observer_) {
    connection_observer_->call_answered(false);
    connection_observer_->connection_established(exchange.id_, exchange.worker_, exchange.call(),
                                                 exchange.resumes());
  }
  if (gate_) gate_->call_established(exchange.id_);
  notify(EstablishedEvent{exchange.id_, exchange.attempts_ - 1, now() - exchange.attempt_started_at_});
}

void Dispatcher::attempt_over(Exchange& exchange, Outcome outcome, const LoadReport& report, bool terminal) {
  if (connection_observer_ && report.load >= 0)
    connection_observer_->worker_load_reported(exchange.worker_, report.load);
  counters_.attempt_result(outcome).add();
  log::debug("call {} at {}: {} after {} ms", exchange.id_, exchange.worker_, name_of(outcome),
             (now() - exchange.attempt_started_at_) / kMillisecond);
  if (!terminal && !proves_not_run(outcome)) exchange.record_possible_run();
  ResultEvent event = result_of(exchange, outcome, report, terminal);
  if (terminal) close(exchange);
  notify(std::move(event));
}

// Only calls that must not be repeated anywhere: their workers would execute them again.
void Dispatcher::remember_executed(const Exchange& exchange) {
  if (rejection_allowed(class_of(exchange), true)) return;
  executed_calls_.add(exchange.call().identity, now());
}

void Dispatcher::client_left(Exchange& exchange, bool was_established) {
  if (!was_established) {
    counters_.clients_left.add();
    unanswered_ -= 1;
  }
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  close(exchange);
  if (!was_established) notify(ClientGoneEvent{event.id});
  if (event.attempt >= 0) notify(std::move(event));
}

void Dispatcher::redirected(Exchange& exchange, MoveReason reason) {
  counters_.moves.add();
  counters_.move_reason(reason).add();
  if (connection_observer_) connection_observer_->move_requested();
  log::debug("call {} moves off {}: {}", exchange.id_, exchange.worker_, name_of(reason));
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  close(exchange);
  notify(std::move(event));
}

// All final answers to calls that were not established are sent here.
void Dispatcher::answer(Exchange& exchange, Answer answer, Time pause, std::string_view error_text) {
  if (exchange.state_ != Exchange::State::waiting) return;
  if (answer == Answer::overload && !rejection_allowed(class_of(exchange), exchange.may_have_run())) {
    check::report_violation("core", "a rejection of a call that may have run");
    answer = Answer::failed;
  }
  unanswered_ -= 1;
  if (connection_observer_) connection_observer_->call_answered(true);
  log::debug("call {} answered {}", exchange.id_, answer == Answer::overload ? "overload" : "failed");
  if (answer == Answer::overload) {
    counters_.rejected.add();
    exchange.answer_overload(pause);
  } else {
    counters_.failed.add();
    if (exchange.may_have_run()) remember_executed(exchange);
    exchange.answer_failed(error_text);
  }
}

void Dispatcher::answer_and_close(Exchange& exchange, Answer kind, Time pause) {
  bool in_flight = exchange.attempt_ != nullptr || exchange.withheld_;
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  answer(exchange, kind, pause, "");
  close(exchange);
  if (in_flight) notify(std::move(event));  // the policy expects a result for that attempt
}

// The policy decides between rejection and failure by what its attempts may have done.
void Dispatcher::end_call(Exchange& exchange) {
  const std::uint64_t id = exchange.id_;
  bool unsent = exchange.withheld_ || (exchange.attempt_ && exchange.attempt_->proved_not_run());
  exchange.withheld_ = false;
  if (exchange.may_have_run()) exchange.record_possible_run();
  exchange.drop_attempt();
  notify(EndRequestEvent{id, unsent ? Outcome::not_sent : Outcome::cancelled});
  // A call that the policy does not know is answered all the same.
  if (Exchange* unknown = find_waiting(id)) answer_and_close(*unknown, Answer::failed, 0);
}

void Dispatcher::close(Exchange& exchange) {
  auto it = calls_.find(exchange.id_);
  if (it == calls_.end()) return;
  if (connection_observer_) connection_observer_->connection_ended(exchange.id_);
  if (gate_) gate_->call_ended(exchange.id_);
  ended_.push_back(std::move(it->second));
  calls_.erase(it);
}

Exchange* Dispatcher::find(std::uint64_t id) {
  auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

Exchange* Dispatcher::find_waiting(std::uint64_t id) {
  Exchange* exchange = find(id);
  return exchange && exchange->state_ == Exchange::State::waiting ? exchange : nullptr;
}

// ---- Rebalancing -------------------------------------------------------------------------------------

bool Dispatcher::move(std::uint64_t id) {
  Exchange* exchange = find(id);
  if (!exchange || !exchange->is_established() || exchange->move_pending()) return false;
  bool out_of_pool = gate_ && !gate_->placement_allowed(exchange->call(), exchange->worker_);
  exchange->redirect(out_of_pool ? MoveReason::routes : MoveReason::balance);
  return true;
}

std::vector<std::uint64_t> Dispatcher::out_of_pool() const {
  std::vector<std::uint64_t> ids;
  if (!gate_) return ids;
  for (const auto& [id, exchange] : calls_) {
    if (!exchange->is_established() || exchange->move_pending()) continue;
    if (!gate_->placement_allowed(exchange->call(), exchange->worker_)) ids.push_back(id);
  }
  return ids;
}

}  // namespace marblehub::core
