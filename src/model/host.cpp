#include "model/host.h"

#include <fmt/format.h>

#include <algorithm>

#include "model/host_parts.h"

namespace marblehub::model {

// ---- Life ----------------------------------------------------------------------------------------------

Host::Host(const Scenario& scenario, const Places& places, std::uint32_t number, std::uint64_t seed)
    : scenario_(scenario),
      places_(places),
      host_(number),
      seed_(seed),
      net_(seed, Purpose::network, number),
      spawn_(seed, Purpose::spawn, number),
      choice_(seed, Purpose::choice, number),
      workers_side_(std::make_unique<WorkerPort>(*this)) {
  marblehub::policy::Settings& s = startup_.settings;
  s.balancers = scenario.balancers;
  s.balancer_index = static_cast<int>(number);
  s.zone = "a";
  s.pull_endpoints = true;
  s.groups = scenario.groups > 0;
  s.max_attempts = scenario.attempts;
  s.max_retry_after_us = 1'500'000;
  s.connect_timeout_us = 250'000;
  s.cold_share = scenario.cold_share;
  s.warm_within_us = scenario.warm_within;
  marblehub::policy::RequestClass c;
  c.name = "standing";
  c.slo_us = scenario.slo;
  c.message_objective_us = scenario.aim;
  c.stream = true;
  s.classes = {c};
  startup_.seed = Stream(seed, Purpose::module, number).bits();
  startup_.known.snapshot = true;
  for (int i = 0; i < scenario.workers(); ++i) {
    if (scenario.kind_of(i).from > 0) continue;
    startup_.known.workers.push_back(entry_of(i));
  }
  known_.resize(places.names.size());
  probes_.resize(places.names.size(), -1);
}

Host::~Host() {
  over_ = true;  // what the attempts still say would go to lanes that are gone already
  driver_.reset();
  dispatcher_.reset();
}

config::WorkerEntry Host::entry_of(int worker) const {
  config::WorkerEntry entry;
  entry.backend.address = entry.address = name(worker);
  entry.backend.zone = "a";
  entry.backend.scale = scenario_.kind_of(worker).scale;
  entry.backend.cell = worker;
  return entry;
}

void Host::live() {
  metrics_.emplace();
  counters_.emplace(*metrics_);
  tracking_ = false;
  // What is handed over at a start is what stood in its files: the first list, however old.
  dispatcher_ = std::make_unique<core::Dispatcher>(startup_, *this, *this, *this, *metrics_);
  if (scenario_.rebalance.enabled)
    driver_ = std::make_unique<rebalance::Driver>(scenario_.rebalance, *dispatcher_, startup_, *counters_);
  for (Known& known : known_) known.leaving = false, known.speaks = 0;
}

void Host::begin() {
  live();
  settle();
  later(event_for(What::tick), static_cast<Time>(choice_.uniform() * kMessageTick));
  later(event_for(What::plan), static_cast<Time>(choice_.uniform() * kMessageTick));
  if (scenario_.arrivals > 0) later(event_for(What::spawn), 0);
}

Event Host::event_for(What what) const {
  Event event;
  event.lane = number();
  event.what = what;
  event.host = host_;
  return event;
}

void Host::settle() {
  if (!dispatcher_) return;
  dispatcher_->advance();
  dispatcher_->free_ended();
  Time next = std::max(now(), dispatcher_->next_due());
  if (wake_at_ >= 0 && wake_at_ <= next) return;
  wake_at_ = next;
  later(event_for(What::wake), next);
}

Host::Session* Host::session_of(std::uint64_t key) {
  auto slot = static_cast<std::uint32_t>(key >> 24 & 0xffffff);
  if (slot >= sessions_.size()) return nullptr;
  Session& session = sessions_[slot];
  return session.used && (session.life & 0xfffff) == (key >> 4 & 0xfffff) ? &session : nullptr;
}

void Host::send_worker(What what, int worker, std::uint64_t key, const Client* client) {
  if (over_) return;
  Event event = event_for(what);
  event.lane = places_.workers[static_cast<std::size_t>(worker)];
  event.worker = static_cast<std::uint32_t>(worker);
  event.key = key;
  event.time = now();
  if (client) event.client = *client;
  later(event, now() + hop());
}

void Host::note(const char* what, const Session& session, const std::string& more) {
  if (!log_) return;
  *log_ += fmt::format("{:10.3f} balancer {} client {} {}{}{}\n", static_cast<double>(now()) / 1e6, host_ + 1,
                       session.client.id, what, more.empty() ? "" : " ", more);
}

// ---- Clients -------------------------------------------------------------------------------------------

Host::Session& Host::session_for(const Client& client) {
  if (free_sessions_.empty()) {
    free_sessions_.push_back(static_cast<std::uint32_t>(sessions_.size()));
    sessions_.emplace_back();
  }
  Session& session = sessions_[free_sessions_.back()];
  session.host = this;
  session.slot = free_sessions_.back();
  free_sessions_.pop_back();
  session.life += 1;
  session.used = true;
  session.stands = session.moving = false;
  session.client = client;
  return session;
}

core::Call Host::call_of(const Session& session) const {
  core::Call call;
  call.expires_in = scenario_.client_timeout;
  call.load_hint = session.client.load;
  call.group = session.client.group;
  call.returned = session.client.returned;
  call.front_data = std::to_string(session.key());
  return call;
}

std::uint64_t Host::stands_already(const Client& client, int worker) {
  Session& session = session_for(client);
  session.answered = true;
  session.worker = worker;
  session.attempts = 1;
  auto attempt = std::make_unique<Attempt>(session, worker);
  session.exchange =
      &dispatcher_->adopt(call_of(session), session, *workers_side_, name(worker), std::move(attempt), true);
  session.stand();
  return session.key();
}

void Host::spawn() {
  double rate = scenario_.arrivals / scenario_.balancers;
  later(event_for(What::spawn), now() + static_cast<Time>(spawn_.exponential(1 / rate) * 1e6));
  if (now() == 0 || !alive_ || (scenario_.arrive_until > 0 && now() > scenario_.arrive_until)) return;
  arrives(new_client(scenario_, seed_, host_ << 22 | next_client_++, now()));
}

void Host::arrives(const Client& client) {
  Session& session = session_for(client);
  if (!alive_) return retries(session, 0);  // nobody listens: it tries another
  ask(session);
}

void Host::ask(Session& session) {
  session.answered = false;
  session.attempts = 0;
  session.asked_at = now();
  figures_.calls += 1;
  note("asks", session);
  core::Exchange& exchange = dispatcher_->accept_call(call_of(session), session, *workers_side_);
  if (!session.answered && session.used) session.exchange = &exchange;
}

void Host::free(Session& session) {
  session.used = false;
  session.exchange = nullptr;
  free_sessions_.push_back(session.slot);
}

// Off to another balancer, or nowhere: after < 0 draws the break.
void Host::goes(Session& session, Time after, bool returned) {
  session.leave_worker();
  Client client = session.client;
  Stream own(seed_, Purpose::client, client.id, client.draws);
  bool lost = own.uniform() < scenario_.lost;
  if (after < 0) after = static_cast<Time>(own.exponential(static_cast<double>(scenario_.comes_back)));
  std::uint64_t to = own.below(static_cast<std::uint64_t>(scenario_.balancers));
  client.draws = own.count();
  client.returned = returned;
  free(session);
  if (lost && returned) {
    figures_.lost += 1;
    return;
  }
  if (now() + after >= client.until) {
    figures_.went_without(client, client.until);
    return;
  }
  Event event = event_for(What::arrives);
  event.lane = places_.hosts[to];
  event.host = static_cast<std::uint32_t>(to);
  event.client = client;
  later(event, now() + std::max(after, scenario_.hop));
}

void Host::retries(Session& session, Time pause) {
  session.client.tries += 1;
  if (session.client.tries >= scenario_.tries) {
    figures_.gave_up += 1;
    figures_.went_without(session.client, session.client.until);
    return free(session);
  }
  // As told, or twice as long each time; never in step.
  Stream own(seed_, Purpose::client, session.client.id, session.client.draws);
  Time backoff = 200 * kMillisecond * (Time{1} << std::min<int>(session.client.tries, 5));
  Time after = pause > 0 ? pause + static_cast<Time>(own.uniform() * static_cast<double>(pause) / 4)
                         : backoff / 2 + static_cast<Time>(own.uniform() * static_cast<double>(backoff));
  session.client.draws = own.count();
  goes(session, after, session.client.returned);
}

}  // namespace marblehub::model
