#include "core/dispatcher.h"

#include <algorithm>
#include <unordered_set>

#include "log/log.h"

namespace marblehub::core {
namespace {

using namespace marblehub::policy;

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
constexpr Time kWatchEvery = 200 * kMillisecond;
// After a stall of the process, until what had come meanwhile has been read.
constexpr Time kWatchAfterStall = 20 * kMillisecond;
// A connection that brings nothing back must have moved within 7 s. Clients speak every 2 s, so its last
// answer may have come 2 s before the first line that has none; and the look at it is up to kWatchEvery late.
constexpr Time kSilenceBound = 4500 * kMillisecond;
// A list is told when the registry writes it, and is handled here a little later: of the time in which sends
// to a leaving worker have to end so much is not used.
constexpr Time kDrainReserve = 100 * kMillisecond;
constexpr Time kHandoverAgain = 300 * kMillisecond;
constexpr int kHandoverTries = 4;

const char* const kOutcomeNames[] = {"served",         "error", "full",      "timeout",
                                     "connect_failed", "reset", "cancelled", "not_sent"};

}  // namespace

Dispatcher::Dispatcher(const config::Startup& startup, const Clock& clock, Prober& prober, Registry& registry,
                       Counters& counters)
    : settings_(startup.settings),
      clock_(clock),
      prober_(prober),
      registry_(registry),
      balancer_(startup.settings, startup.seed, clock.now()),
      message_aim_(50 * kMillisecond),
      taken_(counters.counter("marblehub_calls_total", "Calls taken from clients")),
      adopted_(counters.counter("marblehub_adopted_total",
                                "Standing connections taken over from another balancer")),
      served_(
          counters.counter("marblehub_answers_total", "Final answers to clients", {{"answer", "served"}})),
      overloads_(
          counters.counter("marblehub_answers_total", "Final answers to clients", {{"answer", "overload"}})),
      failed_(
          counters.counter("marblehub_answers_total", "Final answers to clients", {{"answer", "failed"}})),
      left_waiting_(
          counters.counter("marblehub_clients_left_total", "Clients that left before they were answered")),
      late_(counters.counter("marblehub_deadline_answers_total", "Calls answered only at their deadline")),
      attempts_begun_(counters.counter("marblehub_attempts_total", "Attempts begun")),
      moves_(counters.counter("marblehub_moves_total", "Clients told to move")),
      silent_moves_(
          counters.counter("marblehub_silent_moves_total", "Clients moved because their worker fell silent")),
      slow_notes_(counters.counter("marblehub_slow_message_notes_total",
                                   "Notes that messages at a worker take long, or no longer do")),
      probes_(counters.counter("marblehub_probes_total", "Probes sent")),
      lists_(counters.counter("marblehub_registry_answers_total", "Lists and changes told by the registry")),
      lists_refused_(counters.counter("marblehub_registry_failures_total", "Registry calls that failed")),
      held_back_(counters.counter("marblehub_drain_stops_total",
                                  "Attempts stopped because their worker had begun to leave")),
      standing_gauge_(counters.gauge("marblehub_connections", "Connections that stand")),
      waiting_gauge_(counters.gauge("marblehub_calls_waiting", "Calls not yet answered")),
      down_gauge_(counters.gauge("marblehub_workers_down", "Listed workers marked down")) {
  for (const char* name : kOutcomeNames)
    outcomes_.push_back(&counters.counter("marblehub_attempt_results_total",
                                          "How attempts ended, standing ones included", {{"outcome", name}}));
  for (const char* name : kOutcomeNames)
    probe_outcomes_.push_back(
        &counters.counter("marblehub_probe_results_total", "How probes ended", {{"outcome", name}}));
  Time aim = 0;
  for (const RequestClass& c : settings_.classes)
    if (c.message_aim_us > 0 && (aim == 0 || c.message_aim_us < aim)) aim = c.message_aim_us;
  if (aim > 0) message_aim_ = aim;
  looked_at_ = now();
  timers_.push({looked_at_ + kWatchEvery, Due::watch});
  tell_list(ListForm::remembered, startup.known);
}

Dispatcher::~Dispatcher() = default;

int Dispatcher::class_named(std::string_view name) const {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    if (settings_.classes[i].name == name) return static_cast<int>(i);
  return -1;
}

std::string Dispatcher::address_of(const std::string& worker) const {
  auto it = known_.find(worker);
  return it == known_.end() ? "" : it->second.address;
}

// ---- Calls ---------------------------------------------------------------------------------------

Exchange& Dispatcher::enter(Call call, ClientSide& client, WorkerSide& workers) {
  std::uint64_t id = next_id_++;
  log::debug("call {} taken, group {:016x}", id, call.group);
  auto made = std::make_unique<Exchange>(*this, id, std::move(call), client, workers, now());
  return *calls_.emplace(id, std::move(made)).first->second;
}

Exchange& Dispatcher::take(Call call, ClientSide& client, WorkerSide& workers) {
  Exchange& exchange = enter(std::move(call), client, workers);
  unanswered_ += 1;
  taken_.add();
  if (!exchange.call().handed_to.empty() && !address_of(exchange.call().handed_to).empty()) {
    hand_over(exchange);
    return exchange;
  }
  if (gate_) {
    CallGate::Verdict verdict = gate_->entered(exchange.id_, exchange.call());
    if (verdict.refused) {  // the module never hears of it
      answer(exchange, Answer::overload, verdict.pause, "");
      close(exchange);
      return exchange;
    }
    exchange.only_ = std::move(verdict.only);
  }
  timers_.push({exchange.deadline_, Due::deadline, exchange.id_});
  tell(request_of(exchange));
  return exchange;
}

Exchange& Dispatcher::adopt(Call call, ClientSide& client, WorkerSide& workers, const std::string& worker,
                            std::unique_ptr<Attempt> attempt, bool past_known) {
  Exchange& exchange = enter(std::move(call), client, workers);
  adopted_.add();
  exchange.state_ = Exchange::State::standing;
  exchange.worker_ = worker;
  exchange.sent_at_ = now();
  exchange.attempts_ = 1;  // to the module it is the attempt that stood at the start
  exchange.attempt_ = std::move(attempt);
  if (watch_) watch_->stands(exchange.id_, worker, exchange.call(), !past_known);
  tell(HandoverEvent{request_of(exchange), worker});
  return exchange;
}

// A connection from before the start goes back to its own worker, whatever the module would choose.
void Dispatcher::hand_over(Exchange& exchange) {
  exchange.handed_tries_ += 1;
  begin_attempt(exchange, exchange.call().handed_to, 10 * kSecond);
}

void Dispatcher::handed_again(Exchange& exchange) {
  if (exchange.state_ != Exchange::State::waiting || exchange.attempt_) return;
  if (exchange.handed_tries_ < kHandoverTries) return hand_over(exchange);
  answer(exchange, Answer::failed, 0, "");
  close(exchange);
}

void Dispatcher::begin_attempt(Exchange& exchange, const std::string& worker, Time wait) {
  exchange.worker_ = worker;
  exchange.sent_at_ = now();
  int attempt = exchange.attempts_++;
  // The module chooses before the sockets are read: the end of a client that has left may still lie in one.
  exchange.withheld_ = !exchange.client_waits();
  if (exchange.withheld_) return;  // its end is read in this turn, and ends the call
  log::debug("call {} sent to {}", exchange.id_, worker);
  attempts_begun_.add();
  timers_.push({now() + wait, Due::attempt, exchange.id_, attempt});
  exchange.address_ = address_of(worker);
  exchange.attempt_ = exchange.workers_.begin_attempt(exchange, worker, exchange.address_, wait);
}

void Dispatcher::submit(const Submit& action) {
  Exchange* exchange = find(action.id);
  if (!exchange || exchange->state_ != Exchange::State::waiting || exchange->attempt_) return;
  begin_attempt(*exchange, action.backend, std::max<Time>(kMillisecond, action.not_past - now()));
}

// A connect may take a while: by then the worker may have been told to drain. Nothing new is sent to it.
bool Dispatcher::may_begin(const std::string& worker, const std::string& address) const {
  auto it = known_.find(worker);
  if (it == known_.end()) return true;
  const Worker& w = it->second;
  Time grace = settings_.stop_sending_within_us - kDrainReserve;
  bool leaves = w.health != Health::serving && now() - w.leaving_since >= grace;
  bool moved = w.address != address && now() - w.moved_since >= grace;  // what was there has ended
  if (leaves || moved) held_back_.add();
  return !leaves && !moved;
}

void Dispatcher::established(Exchange& exchange) {
  served_.add();
  log::debug("call {} up at {} after {} ms", exchange.id_, exchange.worker_,
             (now() - exchange.sent_at_) / kMillisecond);
  unanswered_ -= 1;
  if (watch_) {
    watch_->answered(false);
    watch_->stands(exchange.id_, exchange.worker_, exchange.call(), exchange.handed_tries_ > 0);
  }
  if (gate_) gate_->stands(exchange.id_);
  int attempt = exchange.attempts_ - 1;
  if (exchange.handed_tries_ > 0) {
    exchange.attempts_ = 1;  // to the module it is the attempt that stood at the start
    tell(HandoverEvent{request_of(exchange), exchange.worker_});
    return;
  }
  tell(EstablishedEvent{exchange.id_, attempt, now() - exchange.sent_at_});
}

RequestEvent Dispatcher::request_of(const Exchange& exchange) const {
  const Call& c = exchange.call();
  return {exchange.id_, c.request_class, c.expires_in, c.load_hint, c.returned, c.group, exchange.only_};
}

ResultEvent Dispatcher::result_of(const Exchange& exchange, Outcome outcome, const LoadReport& report,
                                  bool terminal) const {
  return {
      exchange.id_, exchange.attempts_ - 1, terminal, exchange.worker_, now() - exchange.sent_at_, outcome,
      report};
}

void Dispatcher::attempt_over(Exchange& exchange, Outcome outcome, const LoadReport& report, bool terminal) {
  if (watch_ && report.load >= 0) watch_->reported(exchange.worker_, report.load);
  outcomes_[static_cast<std::size_t>(outcome)]->add();
  log::debug("call {} at {}: {} after {} ms", exchange.id_, exchange.worker_,
             kOutcomeNames[static_cast<std::size_t>(outcome)], (now() - exchange.sent_at_) / kMillisecond);
  if (exchange.handed_tries_ > 0 && exchange.state_ == Exchange::State::waiting) {
    timers_.push({now() + kHandoverAgain, Due::again, exchange.id_});
    return;
  }
  ResultEvent event = result_of(exchange, outcome, report, terminal);
  if (terminal) close(exchange);
  tell(std::move(event));
}

void Dispatcher::left(Exchange& exchange, bool stood) {
  if (!stood) {
    left_waiting_.add();
    unanswered_ -= 1;
  }
  bool told_of = stood || exchange.handed_tries_ == 0;
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  close(exchange);
  if (!told_of) return;
  if (!stood) tell(ClientGoneEvent{event.id});
  if (event.attempt >= 0) tell(std::move(event));
}

void Dispatcher::redirected(Exchange& exchange) {
  moves_.add();
  if (watch_) watch_->told_to_move();
  log::debug("call {} moves off {}", exchange.id_, exchange.worker_);
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  close(exchange);
  tell(std::move(event));
}

// The one place where a call that has not been established gets its final answer.
void Dispatcher::answer(Exchange& exchange, Answer answer, Time pause, std::string_view words) {
  if (exchange.state_ != Exchange::State::waiting) return;
  unanswered_ -= 1;
  if (watch_) watch_->answered(true);
  log::debug("call {} answered {}", exchange.id_, answer == Answer::overload ? "overload" : "failed");
  if (answer == Answer::overload) {
    overloads_.add();
    exchange.answer_overload(pause);
  } else {
    failed_.add();
    exchange.answer_failed(words);
  }
}

void Dispatcher::answer_and_close(Exchange& exchange, Answer kind, Time pause) {
  bool out = exchange.attempt_ != nullptr || exchange.withheld_;
  ResultEvent event = result_of(exchange, Outcome::cancelled, {}, true);
  answer(exchange, kind, pause, "");
  close(exchange);
  if (out) tell(std::move(event));  // the module still waits for the word on that attempt
}

void Dispatcher::close(Exchange& exchange) {
  auto it = calls_.find(exchange.id_);
  if (it == calls_.end()) return;
  if (watch_) watch_->gone(exchange.id_);
  if (gate_) gate_->left(exchange.id_);
  ended_.push_back(std::move(it->second));
  calls_.erase(it);
}

Exchange* Dispatcher::find(std::uint64_t id) {
  auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

// ---- Messages on standing connections --------------------------------------------------------------

// The bench tells the module when messages take long; on sockets nobody does, so the time from a client's
// line to the worker's answer is taken here: once a second for a worker that is slow, once more when it is
// back.
void Dispatcher::message_took(Exchange& exchange, Time delay) {
  Pace& pace = paces_[exchange.worker_];
  bool slow = delay * 3 > message_aim_;
  if (slow ? now() - pace.noted_at < kSecond : !pace.slow) return;
  pace.slow = slow;
  log::debug("messages at {} take {} ms", exchange.worker_, delay / kMillisecond);
  pace.noted_at = now();
  slow_notes_.add();
  tell(NoteEvent{exchange.id_, exchange.attempts_ - 1, NoteKind::messages_slow,
                 static_cast<double>(delay) / kMillisecond});
}

void Dispatcher::load_changed(Exchange& exchange, double load) {
  if (watch_) watch_->load_is(exchange.id_, load);
  tell(NoteEvent{exchange.id_, exchange.attempts_ - 1, NoteKind::load_changed, load});
}

// After a stall the answers may lie unread in the sockets, and the first look would judge by the time of the
// stall. The look after it judges, so that a process that stalls again and again still
// looks.
bool Dispatcher::stalled_since_last_look() {
  Time since = now() - std::exchange(looked_at_, now());
  look_put_off_ = since > 2 * kWatchEvery && !look_put_off_;
  return look_put_off_;
}

void Dispatcher::watch_standing() {
  std::vector<std::uint64_t> silent, stuck;
  std::vector<std::pair<std::uint64_t, Time>> late;
  Time at = now();
  for (auto next = busy_.begin(); next != busy_.end();) {
    std::uint64_t id = *next;
    Exchange* exchange = find(id);
    bool busy = exchange && exchange->state_ == Exchange::State::standing &&
                (exchange->moving_ || !exchange->unanswered_.empty());
    next = busy ? std::next(next) : busy_.erase(next);
    if (!busy) continue;
    if (exchange->rest_overdue()) {
      stuck.push_back(id);
      continue;
    }
    if (exchange->unanswered_.empty()) continue;
    Time waited = at - exchange->unanswered_.front();
    if (waited > kSilenceBound) {
      if (!exchange->moving_) silent_moves_.add();
      (exchange->stopped_inside_a_line() ? stuck : silent).push_back(id);
    } else if (waited > message_aim_) {
      late.emplace_back(id, waited);
    }
  }
  // What the module does on hearing of one may end others: no walk over the calls meanwhile.
  for (auto [id, waited] : late)
    if (Exchange* exchange = find(id)) message_took(*exchange, waited);
  for (std::uint64_t id : silent)
    if (Exchange* exchange = find(id)) exchange->redirect();
  for (std::uint64_t id : stuck)
    if (Exchange* exchange = find(id)) exchange->redirect_now();
  standing_gauge_.set(static_cast<double>(standing()));
  waiting_gauge_.set(static_cast<double>(unanswered_));
  down_gauge_.set(static_cast<double>(balancer_.down().size()));
}

// What the module hears of the fleet beside its list, and the gate of the workers.
void Dispatcher::follow_gate() {
  int balancers = gate_->balancers();
  if (balancers > 0 && balancers != shared_by_) balancer_.shared_by(shared_by_ = balancers);
  gate_->down(balancer_.down());
}

// ---- A planner's part --------------------------------------------------------------------------------

bool Dispatcher::move(std::uint64_t id) {
  Exchange* exchange = find(id);
  if (!exchange || exchange->state_ != Exchange::State::standing || exchange->moving_) return false;
  exchange->redirect();
  return true;
}

std::vector<std::uint64_t> Dispatcher::outside() const {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, exchange] : calls_)
    if (gate_ && exchange->state_ == Exchange::State::standing && !exchange->moving_ &&
        !gate_->belongs(exchange->call(), exchange->worker_))
      ids.push_back(id);
  return ids;
}

// ---- Probes and lists --------------------------------------------------------------------------------

void Dispatcher::probe_result(const std::string& worker, Time rtt, Outcome outcome,
                              const LoadReport& report) {
  probe_outcomes_[static_cast<std::size_t>(outcome)]->add();
  log::debug("probe of {}: {} after {} ms, load {:.2f}", worker,
             kOutcomeNames[static_cast<std::size_t>(outcome)], rtt / kMillisecond, report.load);
  if (watch_ && report.load >= 0) watch_->reported(worker, report.load);
  tell(ProbeResultEvent{worker, rtt, outcome, report});
}

// What a whole list does not name is gone.
void Dispatcher::learn(const config::WorkerList& list) {
  list_version_ += 1;
  if (watch_) watch_->members(list);
  if (gate_) gate_->members(list);
  // It counts as told once the registry has written it, which a process that was held finds out late.
  Time told = waits_since_ > 0 ? waits_since_ : now();
  auto set = [told](Worker& worker, Health health) {
    if (health != Health::serving && worker.health == Health::serving) worker.leaving_since = told;
    worker.health = health;
  };
  std::unordered_set<std::string> named;
  for (const config::WorkerEntry& entry : list.workers) {
    Worker& worker = known_[entry.backend.address];
    if (!entry.address.empty() && entry.address != worker.address) {
      worker.address = entry.address;
      worker.moved_since = told;
    }
    set(worker, entry.backend.health);
    named.insert(entry.backend.address);
    if (entry.backend.start_time > 0)
      log::debug("registry: {} started {:.3f} s ago, weight {}, zone {}", entry.backend.address,
                 static_cast<double>(now() - entry.backend.start_time) / kSecond, entry.backend.scale,
                 entry.backend.zone);
    if (entry.backend.health != Health::serving)
      log::debug("registry: {} {}", entry.backend.address,
                 entry.backend.health == Health::draining ? "drains" : "is gone");
  }
  if (!list.snapshot) return;
  for (auto& [name, worker] : known_)
    if (!named.count(name)) set(worker, Health::deleted);
}

void Dispatcher::list_told(const config::WorkerList& list) {
  lists_.add();
  tell_list(list.snapshot ? ListForm::all : ListForm::changes, list);
}

void Dispatcher::tell_list(ListForm form, const config::WorkerList& list) {
  learn(list);
  auto entries = std::make_shared<std::vector<BackendEntry>>();
  for (const config::WorkerEntry& worker : list.workers) entries->push_back(worker.backend);
  tell(MembersEvent{form, std::move(entries)});
}

void Dispatcher::list_refused() {
  lists_refused_.add();
  tell(MembersEvent{ListForm::refused, nullptr});
}

// ---- The module --------------------------------------------------------------------------------------

void Dispatcher::tell(Event event) {
  events_.push_back(std::move(event));
  pump();
}

// An action may at once lead to further events; they wait their turn here instead of nesting.
void Dispatcher::pump() {
  if (pumping_) return;
  pumping_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.handle(now(), event, actions);
    for (const Action& action : actions) act(action);
  }
  pumping_ = false;
}

void Dispatcher::act(const Action& action) {
  if (auto* a = std::get_if<Submit>(&action)) {
    submit(*a);
  } else if (auto* a = std::get_if<Reject>(&action)) {
    Exchange* exchange = find(a->id);
    if (exchange && exchange->state_ == Exchange::State::waiting)
      answer_and_close(*exchange, Answer::overload, a->pause);
  } else if (auto* a = std::get_if<Fail>(&action)) {
    Exchange* exchange = find(a->id);
    if (exchange && exchange->state_ == Exchange::State::waiting)
      answer_and_close(*exchange, Answer::failed, 0);
  } else if (auto* a = std::get_if<Redirect>(&action)) {
    if (Exchange* exchange = find(a->id)) exchange->redirect();
  } else if (auto* a = std::get_if<Probe>(&action)) {
    probes_.add();
    log::debug("probe to {}", a->backend);
    prober_.probe(a->backend, address_of(a->backend));
  } else if (std::holds_alternative<Track>(action)) {
    registry_.track();
  } else if (auto* a = std::get_if<SetTimer>(&action)) {
    timers_.push({now() + a->after, Due::module, a->cookie});
  }
}

// ---- Time ----------------------------------------------------------------------------------------------

Time Dispatcher::next_due() const { return timers_.empty() ? now() + kSecond : timers_.top().when; }

void Dispatcher::advance() {
  Time at = now();
  while (!timers_.empty() && timers_.top().when <= at) {
    Timer timer = timers_.top();
    timers_.pop();
    expire(timer);
  }
}

void Dispatcher::expire(const Timer& timer) {
  if (timer.due == Due::module) return tell(TimerEvent{timer.id});
  if (timer.due == Due::watch) {
    bool stalled = stalled_since_last_look();
    if (!stalled) watch_standing();
    if (gate_) follow_gate();
    timers_.push({now() + (stalled ? kWatchAfterStall : kWatchEvery), Due::watch});
    return;
  }
  Exchange* exchange = find(timer.id);
  if (!exchange) return;
  if (timer.due == Due::move) return exchange->redirect();
  if (exchange->state_ != Exchange::State::waiting) return;
  if (timer.due == Due::again) return handed_again(*exchange);
  if (timer.due == Due::attempt) {
    if (!exchange->attempt_ || exchange->attempts_ - 1 != timer.attempt) return;
    bool tells = exchange->attempt_->silence_tells();
    exchange->drop_attempt();  // first: no two attempts may be out at once
    attempt_over(*exchange, tells ? Outcome::timeout : Outcome::not_sent, {}, false);
    return;
  }
  // The module answers well before the deadline; should it ever not, the client is owed its answer still.
  late_.add();
  std::uint64_t id = exchange->id_;
  answer_and_close(*exchange, Answer::overload, 0);
  tell(ClientGoneEvent{id});
}

void Dispatcher::end_all() {
  std::vector<std::uint64_t> ids;
  for (auto& [id, exchange] : calls_) ids.push_back(id);
  for (std::uint64_t id : ids) {
    Exchange* exchange = find(id);
    if (!exchange) continue;
    if (exchange->state_ == Exchange::State::waiting) {
      answer_and_close(*exchange, Answer::overload, 0);
    } else {
      exchange->redirect_now();  // inside a line too: what is held at the exit is cut off with no word
    }
  }
}

void Dispatcher::retire(Time span) {
  std::vector<std::uint64_t> ids;
  for (auto& [id, exchange] : calls_)
    if (exchange->state_ == Exchange::State::standing) ids.push_back(id);
  for (std::size_t i = 0; i < ids.size(); ++i)
    timers_.push({now() + span * static_cast<Time>(i) / static_cast<Time>(ids.size()), Due::move, ids[i]});
}

}  // namespace marblehub::core
