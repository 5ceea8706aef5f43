// What the balancer of the model does with each event.
#include <algorithm>
#include <stdexcept>
#include <utility>

#include "model/host.h"
#include "model/host_parts.h"

namespace marblehub::model {
namespace {

using policy::Health;
using policy::Outcome;

constexpr Time kAllSpeak =
    1500 * kMillisecond;  // clients speak every 2 s: by then all at a silent worker have
constexpr Time kProbeTimeout = 250 * kMillisecond;

}  // namespace

void Host::probe(const std::string& worker, const std::string&) {
  int number = places_.numbers.at(worker);
  probes_[static_cast<std::size_t>(number)] = now();
  send_worker(What::probe, number, 0, nullptr);
  // All have the same time-out: they come due in the order they were sent, and one event looks at the first.
  if (probe_order_.empty()) later(event_for(What::probes_due), now() + kProbeTimeout);
  probe_order_.emplace_back(now(), number);
}

// The registry answers with all that was told since, and then with each change as it comes.
void Host::watch_endpoints() {
  tracking_ = true;
  for (const auto& [worker, event] : latest_) later(event, now() + scenario_.hop);
}

void Host::listed(const Event& event) {
  Known& known = known_[event.worker];
  auto [at, fresh] = latest_.try_emplace(event.worker, event);
  if (!fresh && event.key < at->second.key) return;  // a newer change has overtaken this one
  at->second = event;
  if (!alive_ || !tracking_) return;
  config::WorkerList list;
  list.snapshot = false;
  config::WorkerEntry& entry = list.workers.emplace_back(entry_of(static_cast<int>(event.worker)));
  entry.backend.health = static_cast<Health>(event.outcome);
  entry.backend.start_time = event.time;
  bool leaving = entry.backend.health != Health::serving;
  if (leaving && !known.leaving) known.told = now();
  known.leaving = leaving;
  dispatcher_->list_received(list);
}

void Host::message(Session& session) {
  if (session.exchange && session.stands && session.attempt) session.exchange->client_sent({{}, 1, true});
}

// One client a worker speaks every two seconds; where its message stays unanswered, all there have spoken
// soon.
void Host::tick() {
  ticks_ += 1;
  for (std::size_t i = 0; i < known_.size(); ++i) {
    Known& there = known_[i];
    if (there.sessions.empty()) continue;
    if (there.speaks != 0 && now() - there.spoke_at < 10 * kSecond) {
      if (now() - there.spoke_at >= kAllSpeak && !there.all_speak) {
        there.all_speak = true;
        std::vector<std::uint32_t> all = there.sessions;
        for (std::uint32_t slot : all)
          if (slot + 1 != there.speaks && sessions_[slot].used && sessions_[slot].stands)
            message(sessions_[slot]);
      }
      continue;
    }
    if ((i + ticks_) % 2 != 0) continue;
    std::uint32_t slot = there.sessions[choice_.below(there.sessions.size())];
    there.speaks = slot + 1;
    there.spoke_at = now();
    there.all_speak = false;
    message(sessions_[slot]);
  }
}

void Host::planned_step() {
  if (!driver_ || !alive_) return;
  planning_ = true;
  rebalance::Plan plan = driver_->step();
  planning_ = false;
  figures_.planned += static_cast<long>(plan.moves.size());
  figures_.seconds[static_cast<std::size_t>(plan.state)] += 1;
}

void Host::dies() {
  alive_ = false;
  driver_.reset();
  std::vector<Session*> here;
  for (Session& session : sessions_)
    if (session.used) here.push_back(&session);
  // The process is gone: nothing is told to anyone, the connections just end.
  for (Session* session : here) session->exchange = nullptr;
  dispatcher_.reset();
  wake_at_ = -1;
  std::fill(probes_.begin(), probes_.end(), -1);
  for (Session* session : here)
    if (session->used && !session->moving) goes(*session, -1, session->stands || session->client.returned);
}

void Host::drops(double share, Time within) {
  std::vector<Session*> here;
  for (Session& session : sessions_)
    if (session.used && session.stands && session.exchange) here.push_back(&session);
  for (Session* session : here) {
    if (choice_.uniform() >= share) continue;
    core::Exchange* exchange = std::exchange(session->exchange, nullptr);
    exchange->client_left(core::CloseKind::aborted);
    goes(*session, static_cast<Time>(choice_.uniform() * static_cast<double>(within)), true);
  }
}

// The client wants no connection any more.
void Host::wish_over(const Event& event) {
  Session& session = sessions_[static_cast<std::uint32_t>(event.key)];
  if (!session.used || !session.stands || session.life != event.key >> 32) return;
  note("goes", session);
  if (core::Exchange* exchange = std::exchange(session.exchange, nullptr)) {
    exchange->client_left(core::CloseKind::orderly);
  } else {  // one that its worker never moved
    send_worker(What::gone, session.worker, session.key(), nullptr);
  }
  session.leave_worker();
  free(session);
}

// A worker has accepted an attempt, or it is over there.
void Host::attempt_event(const Event& event) {
  Session* session = session_of(event.key);
  if (!session) return;
  if (session->moving && event.what == What::over) {  // a QUIC client whose worker has let it go, or died
    send_worker(What::gone, session->worker, event.key, nullptr);
    goes(*session, -1, true);
    return;
  }
  if (!session->attempt || session->attempt->key() != event.key || !session->exchange) return;
  if (event.what == What::up) return session->exchange->worker_established({});
  session->attempt->ended();
  session->exchange->worker_ended(static_cast<Outcome>(event.outcome), core::CloseKind::aborted,
                                  {event.value});
}

void Host::probe_answered(const Event& event) {
  if (probes_[event.worker] != event.time || !alive_) return;
  probes_[event.worker] = -1;
  dispatcher_->probe_result(places_.names[event.worker], now() - event.time,
                            static_cast<Outcome>(event.outcome), {event.value});
}

void Host::message_answered(const Event& event) {
  Session* session = session_of(event.key);
  if (!session || !session->exchange || !session->attempt || session->attempt->key() != event.key) return;
  Known& there = known_[static_cast<std::size_t>(session->worker)];
  if (there.speaks == session->slot + 1) there.speaks = 0;
  session->exchange->worker_sent({{}, 1, true});
}

void Host::probes_due() {
  while (!probe_order_.empty() && probe_order_.front().first <= now() - kProbeTimeout) {
    auto [sent, worker] = probe_order_.front();
    probe_order_.pop_front();
    if (!alive_ || probes_[static_cast<std::size_t>(worker)] != sent) continue;
    probes_[static_cast<std::size_t>(worker)] = -1;
    dispatcher_->probe_result(name(worker), kProbeTimeout, Outcome::timeout, {});
  }
  if (!probe_order_.empty()) later(event_for(What::probes_due), probe_order_.front().first + kProbeTimeout);
}

// As a hand on the switch would: all at once, whoever they are.
void Host::move_some(double share) {
  std::vector<std::uint64_t> here;
  for (Session& session : sessions_)
    if (session.used && session.stands && session.exchange && choice_.uniform() < share)
      here.push_back(session.exchange->id());
  for (std::uint64_t id : here) dispatcher_->move(id);
}

void Host::happens(const Event& event) {
  switch (event.what) {
    case What::wake:
      if (event.when == wake_at_) wake_at_ = -1;
      break;
    case What::plan:
      planned_step();
      later(event_for(What::plan), now() + kSecond);
      break;
    case What::tick:
      if (alive_) tick();
      later(event_for(What::tick), now() + kMessageTick);
      break;
    case What::spawn:
      spawn();
      break;
    case What::arrives:
      arrives(event.client);
      break;
    case What::wish_over:
      wish_over(event);
      break;
    case What::up:
    case What::over:
      attempt_event(event);
      break;
    case What::probed:
      probe_answered(event);
      break;
    case What::answered:
      message_answered(event);
      break;
    case What::probes_due:
      probes_due();
      break;
    case What::listed:
      listed(event);
      break;
    case What::dies:
      dies();
      later(event_for(What::revives), now() + event.time);
      break;
    case What::revives:
      alive_ = true;
      live();
      break;
    case What::drops:
      drops(event.value, event.time);
      break;
    case What::moves:
      move_some(event.value);
      break;
    default:
      throw std::logic_error("an event that no balancer knows");
  }
  settle();
}

void Host::finish(Time end) {
  for (Session& session : sessions_) {
    if (!session.used) continue;
    Time until = std::min(end, session.client.until);
    session.stands ? figures_.had(session.client, until) : figures_.went_without(session.client, until);
    if (!session.answered && end - session.asked_at > scenario_.client_timeout)
      rules_.broken(Rule::one_answer, end, "a call that was never answered");
  }
}

}  // namespace marblehub::model
