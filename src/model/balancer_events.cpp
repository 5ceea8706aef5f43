// The event handlers of a simulated balancer.
#include <algorithm>
#include <stdexcept>
#include <utility>

#include "model/balancer.h"
#include "model/balancer_parts.h"

namespace marblehub::model {
namespace {

using policy::Health;
using policy::Outcome;

constexpr Time kSilenceThreshold =
    1500 * kMillisecond;  // then all clients of a silent worker have sent: one message every 2 s
constexpr Time kProbeTimeout = 250 * kMillisecond;

}  // namespace

void BalancerProcess::probe(const std::string& worker, const std::string&) {
  int number = topology_.numbers.at(worker);
  probe_sent_at_[static_cast<std::size_t>(number)] = now();
  send_to_worker(EventType::probe_request, number, 0, nullptr);
  // All probes have the same timeout, so they expire in the order of sending and one event suffices.
  if (pending_probes_.empty()) schedule(make_event(EventType::probe_timeout), now() + kProbeTimeout);
  pending_probes_.emplace_back(now(), number);
}

// The registry sends the latest update of each changed worker, or an empty answer, then each update as it
// arrives.
void BalancerProcess::watch_endpoints() {
  watching_ = true;
  config::WorkerList unchanged;
  unchanged.snapshot = false;
  if (latest_updates_.empty()) dispatcher_->list_received(unchanged);
  for (const auto& [worker, event] : latest_updates_) schedule(event, now() + scenario_.hop_delay);
}

void BalancerProcess::handle_endpoint_update(const Event& event) {
  KnownWorker& known = known_workers_[event.worker];
  auto [at, inserted] = latest_updates_.try_emplace(event.worker, event);
  if (!inserted && event.key < at->second.key) return;  // overtaken by a newer update
  at->second = event;
  if (!alive_ || !watching_) return;
  config::WorkerList list;
  list.snapshot = false;
  config::WorkerEntry& entry = list.workers.emplace_back(entry_of(static_cast<int>(event.worker)));
  entry.backend.health = static_cast<Health>(event.outcome);
  entry.backend.start_time = event.time;
  bool leaving = entry.backend.health != Health::serving;
  if (leaving && !known.leaving) known.leaving_since = now();
  known.leaving = leaving;
  dispatcher_->list_received(list);
}

void BalancerProcess::send_message(Session& session) {
  if (session.exchange && session.connected && session.attempt) session.exchange->client_sent({{}, 1, true});
}

// One client of each worker sends a message every two seconds; if it stays unanswered, all clients of that
// worker send one.
void BalancerProcess::send_messages() {
  message_rounds_ += 1;
  for (std::size_t i = 0; i < known_workers_.size(); ++i) {
    KnownWorker& known = known_workers_[i];
    if (known.sessions.empty()) continue;
    if (known.pending_sender != 0 && now() - known.message_sent_at < 10 * kSecond) {
      if (now() - known.message_sent_at >= kSilenceThreshold && !known.all_sent) {
        known.all_sent = true;
        std::vector<std::uint32_t> all = known.sessions;
        for (std::uint32_t slot : all)
          if (slot + 1 != known.pending_sender && sessions_[slot].in_use && sessions_[slot].connected)
            send_message(sessions_[slot]);
      }
      continue;
    }
    if ((i + message_rounds_) % 2 != 0) continue;
    std::uint32_t slot = known.sessions[choice_rng_.below(known.sessions.size())];
    known.pending_sender = slot + 1;
    known.message_sent_at = now();
    known.all_sent = false;
    send_message(sessions_[slot]);
  }
}

void BalancerProcess::run_planner() {
  if (!driver_ || !alive_) return;
  planning_ = true;
  rebalance::Plan plan = driver_->step();
  planning_ = false;
  statistics_.planned += static_cast<long>(plan.moves.size());
  statistics_.planner_seconds[static_cast<std::size_t>(plan.state)] += 1;
}

void BalancerProcess::crash() {
  alive_ = false;
  driver_.reset();
  std::vector<Session*> affected;
  for (Session& session : sessions_)
    if (session.in_use) affected.push_back(&session);
  // A crashed process sends nothing: its connections just end.
  for (Session* session : affected) session->exchange = nullptr;
  dispatcher_.reset();
  timer_at_ = -1;
  std::fill(probe_sent_at_.begin(), probe_sent_at_.end(), -1);
  for (Session* session : affected)
    if (session->in_use && !session->moving)
      reconnect_later(*session, -1, session->connected || session->client.returned);
}

void BalancerProcess::drop_connections(double share, Time within) {
  std::vector<Session*> affected;
  for (Session& session : sessions_)
    if (session.in_use && session.connected && session.exchange) affected.push_back(&session);
  for (Session* session : affected) {
    if (choice_rng_.uniform() >= share) continue;
    core::Exchange* exchange = std::exchange(session->exchange, nullptr);
    exchange->client_left(core::CloseKind::aborted);
    reconnect_later(*session, static_cast<Time>(choice_rng_.uniform() * static_cast<double>(within)), true);
  }
}

// Ends the stay of a client.
void BalancerProcess::handle_departure(const Event& event) {
  Session& session = sessions_[static_cast<std::uint32_t>(event.key)];
  if (!session.in_use || !session.connected || session.generation != event.key >> 32) return;
  log_event("goes", session);
  if (core::Exchange* exchange = std::exchange(session.exchange, nullptr)) {
    exchange->client_left(core::CloseKind::orderly);
  } else {  // a QUIC client that its worker never moved
    send_to_worker(EventType::connection_closed, session.worker, session.key(), nullptr);
  }
  session.leave_worker();
  release(session);
}

// A worker has established a connection, or it has ended there.
void BalancerProcess::handle_attempt_event(const Event& event) {
  Session* session = find_session(event.key);
  if (!session) return;
  if (session->moving &&
      event.type == EventType::attempt_ended) {  // a QUIC client moved by its worker, or whose worker stopped
    send_to_worker(EventType::connection_closed, session->worker, event.key, nullptr);
    reconnect_later(*session, -1, true);
    return;
  }
  if (!session->attempt || session->attempt->key() != event.key || !session->exchange) return;
  if (event.type == EventType::attempt_established) return session->exchange->worker_established({});
  session->attempt->ended();
  session->exchange->worker_ended(static_cast<Outcome>(event.outcome), core::CloseKind::aborted,
                                  {event.value});
}

void BalancerProcess::handle_probe_reply(const Event& event) {
  if (probe_sent_at_[event.worker] != event.time || !alive_) return;
  probe_sent_at_[event.worker] = -1;
  dispatcher_->probe_result(topology_.names[event.worker], now() - event.time,
                            static_cast<Outcome>(event.outcome), {event.value});
}

void BalancerProcess::handle_message_reply(const Event& event) {
  Session* session = find_session(event.key);
  if (!session || !session->exchange || !session->attempt || session->attempt->key() != event.key) return;
  KnownWorker& known = known_workers_[static_cast<std::size_t>(session->worker)];
  if (known.pending_sender == session->slot + 1) known.pending_sender = 0;
  session->exchange->worker_sent({{}, 1, true});
}

void BalancerProcess::expire_probes() {
  while (!pending_probes_.empty() && pending_probes_.front().first <= now() - kProbeTimeout) {
    auto [sent, worker] = pending_probes_.front();
    pending_probes_.pop_front();
    if (!alive_ || probe_sent_at_[static_cast<std::size_t>(worker)] != sent) continue;
    probe_sent_at_[static_cast<std::size_t>(worker)] = -1;
    dispatcher_->probe_result(name(worker), kProbeTimeout, Outcome::timeout, {});
  }
  if (!pending_probes_.empty())
    schedule(make_event(EventType::probe_timeout), pending_probes_.front().first + kProbeTimeout);
}

// Moves a share of the connections at once, as an operator could, without the planner.
void BalancerProcess::force_moves(double share) {
  std::vector<std::uint64_t> affected;
  for (Session& session : sessions_)
    if (session.in_use && session.connected && session.exchange && choice_rng_.uniform() < share)
      affected.push_back(session.exchange->id());
  for (std::uint64_t id : affected) dispatcher_->move(id);
}

void BalancerProcess::handle(const Event& event) {
  switch (event.type) {
    case EventType::dispatcher_timer:
      if (event.when == timer_at_) timer_at_ = -1;
      break;
    case EventType::planner_step:
      run_planner();
      schedule(make_event(EventType::planner_step), now() + kSecond);
      break;
    case EventType::message_tick:
      if (alive_) send_messages();
      schedule(make_event(EventType::message_tick), now() + kMessageInterval);
      break;
    case EventType::client_arrival:
      create_client();
      break;
    case EventType::client_connect:
      handle_arrival(event.client);
      break;
    case EventType::client_departure:
      handle_departure(event);
      break;
    case EventType::attempt_established:
    case EventType::attempt_ended:
      handle_attempt_event(event);
      break;
    case EventType::probe_reply:
      handle_probe_reply(event);
      break;
    case EventType::message_reply:
      handle_message_reply(event);
      break;
    case EventType::probe_timeout:
      expire_probes();
      break;
    case EventType::endpoint_update:
      handle_endpoint_update(event);
      break;
    case EventType::balancer_crash:
      crash();
      schedule(make_event(EventType::balancer_restart), now() + event.time);
      break;
    case EventType::balancer_restart:
      alive_ = true;
      start_dispatcher();
      break;
    case EventType::connection_drop:
      drop_connections(event.value, event.time);
      break;
    case EventType::forced_moves:
      force_moves(event.value);
      break;
    default:
      throw std::logic_error("not an event type of balancers");
  }
  run_dispatcher();
}

void BalancerProcess::finish(Time end) {
  for (Session& session : sessions_) {
    if (!session.in_use) continue;
    Time until = std::min(end, session.client.departs_at);
    session.connected ? statistics_.add_connected_time(session.client, until)
                      : statistics_.add_disconnected_time(session.client, until);
    if (!session.answered && end - session.call_started > scenario_.client_timeout)
      rules_.record(Rule::one_answer, end, "call without a final answer");
  }
}

}  // namespace marblehub::model
