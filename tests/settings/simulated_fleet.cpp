// The clients of a simulated fleet, and the events and actions of its balancers.
#include "simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policies.h"
#include "simulated_fleet_parts.h"

namespace marblehub::random_settings {

SimulatedFleet::SimulatedFleet(const Deployment& deployment, bool random_policy, Time clients_from)
    : deployment_(deployment),
      arrival_rng_(deployment.seed),
      rng_(deployment.seed + 1),
      error_storm_(static_cast<std::size_t>(deployment.balancers)) {
  std::mt19937_64 fleet(deployment.seed + 2);
  double sizes = 0;
  for (int i = 0; i < deployment.workers; ++i) {
    Worker w;
    w.address = "w" + std::to_string(i), w.zone = deployment.zone(i);
    w.capacity = 0.6 + 0.9 * uniform(fleet);
    w.scale = w.capacity * (0.85 + 0.3 * uniform(fleet));  // the list gives only an approximate capacity
    w.advanced = now_;
    sizes += w.capacity;
    workers_.push_back(std::move(w));
  }
  double mean_load = 0;  // of a connection; classes are equally frequent
  for (int c = 0; c < deployment.classes; ++c) mean_load += deployment.class_load(c) / deployment.classes;
  for (Worker& w : workers_)
    w.capacity *=
        deployment.calls_per_second * kMeanConnectionLife / kS * mean_load / deployment.load_level / sizes;
  auto all = std::make_shared<std::vector<BackendEntry>>();
  for (std::size_t i = 0; i < workers_.size(); ++i) all->push_back(entry(i));
  balancers_.resize(static_cast<std::size_t>(deployment.balancers));
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    Settings s = deployment.settings(static_cast<int>(i));
    if (random_policy) {
      balancers_[i].policy = std::make_unique<RandomPolicy>(s, deployment.seed + i);
    } else {
      auto tested_balancer = std::make_unique<BalancerPolicy>(s, deployment.seed + i, now_);
      balancers_[i].tested_balancer = &tested_balancer->balancer;
      balancers_[i].policy = std::move(tested_balancer);
    }
    // A pushed list is current from the start.
    send_event(i, EndpointListEvent{
                      deployment.pull_endpoints ? EndpointListKind::cached : EndpointListKind::full, all});
  }
  run(clients_from);
  next_client();
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::run(Time span) {
  Time end = now_ + span;
  while (!tasks_.empty() && tasks_.top().when <= end) {
    ScheduledTask next = tasks_.top();
    tasks_.pop();
    now_ = next.when;
    next.task();
  }
  now_ = end;
}

void SimulatedFleet::finish() {
  accepting_clients_ = false;
  auto busy = [](const SimulatedBalancer& b) { return !b.calls.empty(); };
  for (int i = 0; i < 18 && std::any_of(balancers_.begin(), balancers_.end(), busy); ++i) run(5 * kS);
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    if (!balancers_[i].calls.empty()) throw PropertyViolation("a call does not end");
    if (!balancers_[i].tested_balancer) continue;
    Balancer::Counts counts = balancers_[i].tested_balancer->counts();
    if (counts.open + counts.unanswered > 0)
      throw PropertyViolation("the balancer keeps calls that have ended");
    for (const Worker& w : workers_)
      if (balancers_[i].tested_balancer->active_connections(w.address) != 0)
        throw PropertyViolation("the balancer counts connections that have ended");
  }
}

Statistics SimulatedFleet::take_statistics() {
  for (Worker& w : workers_) advance(w);
  statistics_.served = std::exchange(served_, 0);
  return std::exchange(statistics_, {});
}

int SimulatedFleet::unaware_balancers(std::size_t worker) const {
  return static_cast<int>(
      std::count_if(balancers_.begin(), balancers_.end(),
                    [&](const SimulatedBalancer& b) { return !b.drain_known_since.count(worker); }));
}

// ---- Client arrivals and calls ------------------------------------------------------------------

void SimulatedFleet::next_client() {
  auto c = std::make_shared<Client>();
  c->number = next_number_++;
  c->request_class = static_cast<int>(arrival_rng_() % static_cast<std::uint64_t>(deployment_.classes));
  std::uint64_t groups = std::max<std::uint64_t>(
      2, static_cast<std::uint64_t>(deployment_.calls_per_second * kMeanConnectionLife / kS / 40));
  c->group =
      deployment_.groups ? 1 + arrival_rng_() % groups : c->number;  // about forty connections per group
  c->balancer = arrival_rng_() % balancers_.size();
  c->load = deployment_.class_load(c->request_class) * (0.5 + uniform(arrival_rng_));
  Time life = static_cast<Time>(-kMeanConnectionLife * std::log(1 - uniform(arrival_rng_) * 0.92));
  Time gap = static_cast<Time>(-1e6 / deployment_.calls_per_second * std::log(1 - uniform(arrival_rng_)));
  schedule(now_ + gap, [this, c, life] {
    if (!accepting_clients_) return;
    c->until = now_ + std::max(200 * kMs, life);
    statistics_.requested +=
        deployment_.class_value(c->request_class) * static_cast<double>(c->until - now_) / kS;
    start_call(c);
    next_client();
  });
}

void SimulatedFleet::start_call(std::shared_ptr<Client> client) {
  if (now_ >= client->until) return;
  std::uint64_t id = next_id_++;
  std::size_t b = client->balancer;
  Call& c = balancers_[b].calls[id];
  c.client = client;
  c.deadline = now_ + deployment_.deadline(client->request_class);
  statistics_.calls += 1;
  schedule(c.deadline + 1, [this, b, id] {
    Call* late = find_call(b, id);
    if (late && !late->answered && !late->established)
      throw PropertyViolation("a call was not answered within its deadline");
  });
  if (rng_() % 50 == 0)  // some clients give up early
    schedule(now_ + static_cast<Time>(rng_() % 400) * kMs, [this, b, id] {
      Call* c = find_call(b, id);
      if (!c || c->answered || c->established) return;
      c->answered = true;
      int attempt = c->attempts - 1;
      if (c->attempt_pending)
        schedule(now_ + kMs,
                 [=, this] { report_result(b, id, attempt, Outcome::cancelled, rng_() % 2 == 0); });
      else
        balancers_[b].calls.erase(id);
      send_event(b, ClientGoneEvent{id});
    });
  if (rng_() % 20 == 0) send_stale_events(b);
  RequestEvent event{id, client->request_class, deployment_.deadline(client->request_class)};
  event.load_hint = deployment_.load_hints ? client->load * 1000 : 0;
  event.returned = client->returned;
  event.group = client->group;
  send_event(b, event);
}

void SimulatedFleet::call_again(std::shared_ptr<Client> client, Time after, bool broken) {
  if (broken) client->retries = 0, client->returned = true;
  if (!broken && client->retries++ >= deployment_.client_retries) return;
  client->balancer = rng_() % balancers_.size();
  schedule(now_ + after, [this, client] { start_call(client); });
}

// No balancer may act on events of calls, attempts and workers that are unknown or have ended.
void SimulatedFleet::send_stale_events(std::size_t b) {
  std::uint64_t id = 1'000'000'000 + rng_() % 1000;
  if (!balancers_[b].ended.empty() && rng_() % 2) id = *balancers_[b].ended.begin();
  send_event(b, ResultEvent{id, 0, false, "w1", 5 * kMs, Outcome::error, {0.9}});
  send_event(b, EstablishedEvent{id, 0, kMs});
  send_event(b, ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 1e9});
  send_event(b, ClientGoneEvent{id});
  send_event(b, ProbeResultEvent{"nobody", kMs, Outcome::served, {0.1}});
  send_event(b, TimerEvent{77});
}

// ---- Events and actions of the balancers --------------------------------------------------------

SimulatedFleet::Call* SimulatedFleet::find_call(std::size_t balancer, std::uint64_t id) {
  auto it = balancers_[balancer].calls.find(id);
  return it == balancers_[balancer].calls.end() ? nullptr : &it->second;
}

void SimulatedFleet::send_event(std::size_t balancer, const Event& event) {
  std::vector<Action> actions;
  balancers_[balancer].policy->handle(now_, event, actions);
  for (const Action& action : actions) std::visit([&](const auto& a) { execute(balancer, a); }, action);
}

void SimulatedFleet::execute(std::size_t b, const Submit& action) {
  Call* c = find_call(b, action.id);
  if (!c || c->answered || c->established)
    throw PropertyViolation("an attempt for a call that is unknown or has ended");
  if (c->attempt_pending) throw PropertyViolation("two concurrent attempts of a call");
  if (c->attempts >= deployment_.attempts) throw PropertyViolation("more attempts than allowed");
  if (action.deadline <= now_ || action.deadline > c->deadline)
    throw PropertyViolation("an attempt's deadline is outside its call's");
  c->worker = worker_index(action.backend);
  auto drain_known_since = balancers_[b].drain_known_since.find(c->worker);
  if (drain_known_since != balancers_[b].drain_known_since.end() &&
      now_ + kMs > drain_known_since->second + kDrainGrace)
    throw PropertyViolation("an attempt at a draining worker");
  c->attempt_pending = true;
  int attempt = c->attempts++;
  statistics_.attempts += 1;
  error_storm_[b].total += 1, error_storm_[b].before_error += !error_storm_[b].error_seen;
  std::uint64_t id = action.id;
  schedule(now_ + kMs, [=, this] { attempt_received(b, id, attempt); });
  schedule(action.deadline, [=, this] {
    Call* late = find_call(b, id);
    if (late && late->attempt_pending && !late->established)
      report_result(b, id, attempt, Outcome::timeout, false);
  });
}

void SimulatedFleet::answer_call(std::size_t b, std::uint64_t id, Time pause) {
  Call* c = find_call(b, id);
  if (!c || c->answered || c->established)
    throw PropertyViolation("an answer for a call that is unknown or already answered");
  if (now_ > c->deadline) throw PropertyViolation("an answer after its call's deadline");
  if (pause < 0 || pause > (deployment_.may_send_retry_after ? kS : 0))
    throw PropertyViolation("a retry_after that is not allowed");
  c->answered = true;
  statistics_.refused += 1;
  call_again(c->client, pause > 0 ? pause : 100 * kMs, false);
  if (!c->attempt_pending) balancers_[b].calls.erase(id), balancers_[b].ended.insert(id);
}

void SimulatedFleet::execute(std::size_t b, const Redirect& action) {
  Call* c = find_call(b, action.id);
  if (!c || !c->established || c->answered)
    throw PropertyViolation("a move of a connection that is not established");
  c->answered = true;
  statistics_.moves += 1;
  int attempt = c->attempts - 1;
  std::uint64_t id = action.id;
  schedule(now_ + kMs, [=, this] { report_result(b, id, attempt, Outcome::cancelled, true); });
}

void SimulatedFleet::execute(std::size_t b, const Probe& action) {
  if (!deployment_.may_probe) throw PropertyViolation("a probe although probes are not allowed");
  statistics_.probes += 1;
  std::size_t i = worker_index(action.backend);
  schedule(now_ + kMs, [=, this] {
    Worker& w = workers_[i];
    bool error = errors_ && errors_on_probes_;
    Outcome outcome = w.dead ? Outcome::connect_failed : error ? Outcome::error : Outcome::served;
    advance(w);
    w.short_work.add(deployment_.probe_ms / 1000, now_, kS);
    Time rtt =
        2 * kMs + static_cast<Time>(3000 / std::max(0.05, 1 - load_level(w)) * (0.8 + 0.4 * uniform(rng_)));
    LoadReport load = outcome == Outcome::served ? load_report(w, false) : LoadReport{};
    schedule(now_ + rtt, [=, this] {
      send_event(b, ProbeResultEvent{workers_[i].address, rtt, outcome, load});
    });
  });
}

void SimulatedFleet::execute(std::size_t b, const WatchEndpoints&) {
  if (!deployment_.pull_endpoints) throw PropertyViolation("a request for an endpoint list that is pushed");
  schedule(now_ + (registry_out_ ? 3 * kS : 20 * kMs), [=, this] {
    if (registry_out_) return send_event(b, EndpointListEvent{EndpointListKind::failed, nullptr});
    auto all = std::make_shared<std::vector<BackendEntry>>();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      all->push_back(entry(i));
      if (workers_[i].health == Health::serving)
        balancers_[b].drain_known_since.erase(i);
      else
        balancers_[b].drain_known_since.try_emplace(i, now_);
    }
    balancers_[b].watching = true;
    send_event(b, EndpointListEvent{EndpointListKind::full, all});
  });
}

void SimulatedFleet::execute(std::size_t b, const SetTimer& action) {
  if (action.after <= 0) throw PropertyViolation("a timer without a positive delay");
  std::uint64_t cookie = action.cookie;
  schedule(now_ + action.after, [=, this] { send_event(b, TimerEvent{cookie}); });
}

}  // namespace marblehub::random_settings
