// A client's session at a balancer of the model.
#include "model/host_parts.h"

namespace marblehub::model {
namespace {

using policy::Outcome;

constexpr std::size_t kSampled = 20000;  // set-up times that are kept

}  // namespace

void Host::Session::final_answer() {
  if (answered) host->rules_.broken(Rule::one_answer, host->now(), "a second answer");
  answered = true;
  if (host->now() - asked_at > host->scenario_.client_timeout)
    host->rules_.broken(Rule::in_time, host->now(), "an answer after the client gave up");
}

void Host::Session::established(std::string_view) {
  final_answer();
  Time at = host->now();
  if (host->figures_.set_up_ms.size() < kSampled)
    host->figures_.set_up_ms.push_back(static_cast<float>(at - asked_at) / kMillisecond);
  host->figures_.went_without(client, at);
  client.wanting_since = at;
  client.tries = 0;
  host->note("stands", *this, host->name(worker));
  stand();
}

void Host::Session::stand() {
  stands = true;
  Known& there = host->known_[static_cast<std::size_t>(worker)];
  place = there.sessions.size();
  there.sessions.push_back(slot);
  Event over = host->event_for(What::wish_over);
  over.key = static_cast<std::uint64_t>(life) << 32 | slot;
  host->later(over, std::max(host->now(), client.until));
}

void Host::Session::leave_worker() {
  if (!stands) return;
  stands = false;
  host->figures_.had(client, host->now());
  client.wanting_since = host->now();
  Known& there = host->known_[static_cast<std::size_t>(worker)];
  if (there.speaks == slot + 1) there.speaks = 0;
  there.sessions[place] = there.sessions.back();
  host->sessions_[there.sessions[place]].place = place;
  there.sessions.pop_back();
}

void Host::Session::overload_reply(Time pause) {
  final_answer();
  exchange = nullptr;
  host->figures_.refused += 1;
  host->note("refused", *this);
  host->retries(*this, pause);
}

void Host::Session::failed(std::string_view) {
  final_answer();
  exchange = nullptr;
  host->figures_.failed += 1;
  host->note("failed", *this);
  host->retries(*this, 0);
}

void Host::Session::redirect() {
  exchange = nullptr;
  host->figures_.told += 1;
  host->note("is told to move", *this);
  if (host->planning_) {
    host->figures_.moved.push_back(host->now());
    if (client.moved_at >= 0 && host->now() - client.moved_at < host->scenario_.rebalance.min_move_interval)
      host->rules_.broken(Rule::floor, host->now(), "client " + std::to_string(client.id));
  }
  client.moved_at = host->now();
  if (!client.quic) return host->goes(*this, -1, true);
  // Only its worker can move it: it does so a moment later, or not at all.
  Stream own(host->seed_, Purpose::client, client.id, client.draws);
  bool obeys = own.uniform() < host->scenario_.quic_obeys;
  Time after = static_cast<Time>(own.exponential(0.5 * kSecond));
  client.draws = own.count();
  moving = true;
  if (!obeys) return;  // it stays until it has no wish any more, unseen by this balancer
  Event event = host->event_for(What::over);
  event.key = key();
  event.outcome = static_cast<std::uint8_t>(Outcome::served);
  host->later(event, host->now() + after);
}

void Host::Session::ended(core::CloseKind) {
  exchange = nullptr;
  host->note("is cut", *this);
  host->goes(*this, -1, true);
}

}  // namespace marblehub::model
