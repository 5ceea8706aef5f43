#include "model/balancer.h"

#include <fmt/format.h>

#include <algorithm>

#include "model/balancer_parts.h"

namespace marblehub::model {

// ---- Dispatcher
// ----------------------------------------------------------------------------------------------

BalancerProcess::BalancerProcess(const Scenario& scenario, const Topology& topology, std::uint32_t number,
                                 std::uint64_t seed)
    : scenario_(scenario),
      topology_(topology),
      index_(number),
      seed_(seed),
      network_rng_(seed, Purpose::network, number),
      arrival_rng_(seed, Purpose::arrival, number),
      choice_rng_(seed, Purpose::choice, number),
      worker_port_(std::make_unique<WorkerPort>(*this)) {
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
  s.warm_within_us = scenario.warm_up_time;
  marblehub::policy::RequestClass c;
  c.name = "standing";
  c.slo_us = scenario.slo;
  c.message_objective_us = scenario.message_objective;
  c.stream = true;
  s.classes = {c};
  startup_.seed = RandomStream(seed, Purpose::policy, number).bits();
  startup_.known.snapshot = true;
  for (int i = 0; i < scenario.workers(); ++i) {
    if (scenario.kind_of(i).starts_at > 0) continue;
    startup_.known.workers.push_back(entry_of(i));
  }
  known_workers_.resize(topology.names.size());
  probe_sent_at_.resize(topology.names.size(), -1);
}

BalancerProcess::~BalancerProcess() {
  shutting_down_ = true;  // attempts must not send events to processes that are already destroyed
  driver_.reset();
  dispatcher_.reset();
}

config::WorkerEntry BalancerProcess::entry_of(int worker) const {
  config::WorkerEntry entry;
  entry.backend.address = entry.address = name(worker);
  entry.backend.zone = "a";
  entry.backend.scale = scenario_.kind_of(worker).scale;
  entry.backend.cell = worker;
  return entry;
}

void BalancerProcess::start_dispatcher() {
  metrics_.emplace();
  counters_.emplace(*metrics_);
  watching_ = false;
  // A restart begins with the worker list of the first start, however old: that of the configuration files.
  dispatcher_ = std::make_unique<core::Dispatcher>(startup_, *this, *this, *this, *metrics_);
  if (scenario_.rebalance.enabled)
    driver_ = std::make_unique<rebalance::Driver>(scenario_.rebalance, *dispatcher_, startup_, *counters_);
  for (KnownWorker& known : known_workers_) known.leaving = false, known.pending_sender = 0;
}

void BalancerProcess::start() {
  start_dispatcher();
  run_dispatcher();
  schedule(make_event(EventType::message_tick), static_cast<Time>(choice_rng_.uniform() * kMessageInterval));
  schedule(make_event(EventType::planner_step), static_cast<Time>(choice_rng_.uniform() * kMessageInterval));
  if (scenario_.arrival_rate > 0) schedule(make_event(EventType::client_arrival), 0);
}

Event BalancerProcess::make_event(EventType type) const {
  Event event;
  event.process = number();
  event.type = type;
  event.balancer = index_;
  return event;
}

void BalancerProcess::run_dispatcher() {
  if (!dispatcher_) return;
  dispatcher_->advance();
  dispatcher_->free_ended();
  Time next = std::max(now(), dispatcher_->next_due());
  if (timer_at_ >= 0 && timer_at_ <= next) return;
  timer_at_ = next;
  schedule(make_event(EventType::dispatcher_timer), next);
}

BalancerProcess::Session* BalancerProcess::find_session(std::uint64_t key) {
  auto slot = static_cast<std::uint32_t>(key >> 24 & 0xffffff);
  if (slot >= sessions_.size()) return nullptr;
  Session& session = sessions_[slot];
  return session.in_use && (session.generation & 0xfffff) == (key >> 4 & 0xfffff) ? &session : nullptr;
}

void BalancerProcess::send_to_worker(EventType type, int worker, std::uint64_t key, const Client* client) {
  if (shutting_down_) return;
  Event event = make_event(type);
  event.process = topology_.workers[static_cast<std::size_t>(worker)];
  event.worker = static_cast<std::uint32_t>(worker);
  event.key = key;
  event.time = now();
  if (client) event.client = *client;
  schedule(event, now() + hop_delay());
}

void BalancerProcess::log_event(const char* text, const Session& session, const std::string& more) {
  if (!log_) return;
  *log_ += fmt::format("{:10.3f} balancer {} client {} {}{}{}\n", static_cast<double>(now()) / 1e6,
                       index_ + 1, session.client.id, text, more.empty() ? "" : " ", more);
}

// ---- Clients -------------------------------------------------------------------------------------------

BalancerProcess::Session& BalancerProcess::open_session(const Client& client) {
  if (free_sessions_.empty()) {
    free_sessions_.push_back(static_cast<std::uint32_t>(sessions_.size()));
    sessions_.emplace_back();
  }
  Session& session = sessions_[free_sessions_.back()];
  session.balancer = this;
  session.slot = free_sessions_.back();
  free_sessions_.pop_back();
  session.generation += 1;
  session.in_use = true;
  session.connected = session.moving = false;
  session.client = client;
  return session;
}

core::Call BalancerProcess::make_call(const Session& session) const {
  core::Call call;
  call.expires_in = scenario_.client_timeout;
  call.load_hint = session.client.load;
  call.group = session.client.group;
  call.returned = session.client.returned;
  call.front_data = std::to_string(session.key());
  return call;
}

std::uint64_t BalancerProcess::add_initial_connection(const Client& client, int worker) {
  Session& session = open_session(client);
  session.answered = true;
  session.worker = worker;
  session.attempts = 1;
  auto attempt = std::make_unique<Attempt>(session, worker);
  session.exchange =
      &dispatcher_->adopt(make_call(session), session, *worker_port_, name(worker), std::move(attempt), true);
  session.join_worker();
  return session.key();
}

void BalancerProcess::create_client() {
  double rate = scenario_.arrival_rate / scenario_.balancers;
  schedule(make_event(EventType::client_arrival),
           now() + static_cast<Time>(arrival_rng_.exponential(1 / rate) * 1e6));
  if (now() == 0 || !alive_ || (scenario_.arrivals_end > 0 && now() > scenario_.arrivals_end)) return;
  handle_arrival(new_client(scenario_, seed_, index_ << 22 | next_client_++, now()));
}

void BalancerProcess::handle_arrival(const Client& client) {
  Session& session = open_session(client);
  if (!alive_) return retry_later(session, 0);  // the balancer is down: the client retries at another one
  start_call(session);
}

void BalancerProcess::start_call(Session& session) {
  session.answered = false;
  session.attempts = 0;
  session.call_started = now();
  statistics_.calls += 1;
  log_event("asks", session);
  core::Exchange& exchange = dispatcher_->accept_call(make_call(session), session, *worker_port_);
  if (!session.answered && session.in_use) session.exchange = &exchange;
}

void BalancerProcess::release(Session& session) {
  session.in_use = false;
  session.exchange = nullptr;
  free_sessions_.push_back(session.slot);
}

// Sends the client to a random balancer after a delay, drawn if `after` < 0, unless it stays away or its stay
// ends.
void BalancerProcess::reconnect_later(Session& session, Time after, bool returned) {
  session.leave_worker();
  Client client = session.client;
  RandomStream rng(seed_, Purpose::client, client.id, client.rng_count);
  bool lost = rng.uniform() < scenario_.lost_share;
  if (after < 0) after = static_cast<Time>(rng.exponential(static_cast<double>(scenario_.reconnect_delay)));
  std::uint64_t to = rng.below(static_cast<std::uint64_t>(scenario_.balancers));
  client.rng_count = rng.count();
  client.returned = returned;
  release(session);
  if (lost && returned) {
    statistics_.lost += 1;
    return;
  }
  if (now() + after >= client.departs_at) {
    statistics_.add_disconnected_time(client, client.departs_at);
    return;
  }
  Event event = make_event(EventType::client_connect);
  event.process = topology_.balancers[to];
  event.balancer = static_cast<std::uint32_t>(to);
  event.client = client;
  schedule(event, now() + std::max(after, scenario_.hop_delay));
}

void BalancerProcess::retry_later(Session& session, Time pause) {
  session.client.consecutive_failures += 1;
  if (session.client.consecutive_failures >= scenario_.max_tries) {
    statistics_.gave_up += 1;
    statistics_.add_disconnected_time(session.client, session.client.departs_at);
    return release(session);
  }
  // Waits for the requested pause or with exponential backoff, both with jitter.
  RandomStream rng(seed_, Purpose::client, session.client.id, session.client.rng_count);
  Time backoff = 200 * kMillisecond * (Time{1} << std::min<int>(session.client.consecutive_failures, 5));
  Time after = pause > 0 ? pause + static_cast<Time>(rng.uniform() * static_cast<double>(pause) / 4)
                         : backoff / 2 + static_cast<Time>(rng.uniform() * static_cast<double>(backoff));
  session.client.rng_count = rng.count();
  reconnect_later(session, after, session.client.returned);
}

}  // namespace marblehub::model
