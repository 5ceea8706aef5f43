// The session of a client at a simulated balancer.
#include "model/balancer_parts.h"

namespace marblehub::model {
namespace {

using policy::Outcome;

constexpr std::size_t kMaxSetupSamples = 20000;  // set-up times kept per balancer

}  // namespace

void BalancerProcess::Session::record_final_answer() {
  if (answered) balancer->rules_.record(Rule::one_answer, balancer->now(), "second final answer");
  answered = true;
  if (balancer->now() - call_started > balancer->scenario_.client_timeout)
    balancer->rules_.record(Rule::answer_in_time, balancer->now(), "final answer after the client's timeout");
}

void BalancerProcess::Session::established(std::string_view) {
  record_final_answer();
  Time at = balancer->now();
  if (balancer->statistics_.setup_ms.size() < kMaxSetupSamples)
    balancer->statistics_.setup_ms.push_back(static_cast<float>(at - call_started) / kMillisecond);
  balancer->statistics_.add_disconnected_time(client, at);
  client.state_since = at;
  client.consecutive_failures = 0;
  balancer->log_event("stands", *this, balancer->name(worker));
  join_worker();
}

void BalancerProcess::Session::join_worker() {
  connected = true;
  KnownWorker& known = balancer->known_workers_[static_cast<std::size_t>(worker)];
  index_at_worker = known.sessions.size();
  known.sessions.push_back(slot);
  Event departure = balancer->make_event(EventType::client_departure);
  departure.key = static_cast<std::uint64_t>(generation) << 32 | slot;
  balancer->schedule(departure, std::max(balancer->now(), client.departs_at));
}

void BalancerProcess::Session::leave_worker() {
  if (!connected) return;
  connected = false;
  balancer->statistics_.add_connected_time(client, balancer->now());
  client.state_since = balancer->now();
  KnownWorker& known = balancer->known_workers_[static_cast<std::size_t>(worker)];
  if (known.pending_sender == slot + 1) known.pending_sender = 0;
  known.sessions[index_at_worker] = known.sessions.back();
  balancer->sessions_[known.sessions[index_at_worker]].index_at_worker = index_at_worker;
  known.sessions.pop_back();
}

void BalancerProcess::Session::overload_reply(Time pause) {
  record_final_answer();
  exchange = nullptr;
  balancer->statistics_.refused += 1;
  balancer->log_event("refused", *this);
  balancer->retry_later(*this, pause);
}

void BalancerProcess::Session::failed(std::string_view) {
  record_final_answer();
  exchange = nullptr;
  balancer->statistics_.failed += 1;
  balancer->log_event("failed", *this);
  balancer->retry_later(*this, 0);
}

void BalancerProcess::Session::redirect() {
  exchange = nullptr;
  balancer->statistics_.redirected += 1;
  balancer->log_event("is told to move", *this);
  if (balancer->planning_) {
    balancer->statistics_.move_times.push_back(balancer->now());
    if (client.moved_at >= 0 &&
        balancer->now() - client.moved_at < balancer->scenario_.rebalance.min_move_interval)
      balancer->rules_.record(Rule::move_interval, balancer->now(), "client " + std::to_string(client.id));
  }
  client.moved_at = balancer->now();
  if (!client.quic) return balancer->reconnect_later(*this, -1, true);
  // Only its worker can move a QUIC client: it does so after a delay, or not at all.
  RandomStream rng(balancer->seed_, Purpose::client, client.id, client.rng_count);
  bool obeys = rng.uniform() < balancer->scenario_.quic_obeys;
  Time after = static_cast<Time>(rng.exponential(0.5 * kSecond));
  client.rng_count = rng.count();
  moving = true;
  if (!obeys) return;  // it stays until its departure; the dispatcher no longer knows it
  Event event = balancer->make_event(EventType::attempt_ended);
  event.key = key();
  event.outcome = static_cast<std::uint8_t>(Outcome::served);
  balancer->schedule(event, balancer->now() + after);
}

void BalancerProcess::Session::ended(core::CloseKind) {
  exchange = nullptr;
  balancer->log_event("is cut", *this);
  balancer->reconnect_later(*this, -1, true);
}

}  // namespace marblehub::model
