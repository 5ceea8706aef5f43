#include "simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policies.h"
#include "simulated_fleet_parts.h"

namespace marblehub::settings_play {

SimulatedFleet::SimulatedFleet(const Drawn& drawn, bool by_chance)
    : drawn_(drawn),
      arrivals_(drawn.seed),
      chance_(drawn.seed + 1),
      storm_(static_cast<std::size_t>(drawn.balancers)) {
  std::mt19937_64 fleet(drawn.seed + 2);
  double sizes = 0;
  for (int i = 0; i < drawn.workers; ++i) {
    Worker w;
    w.address = "w" + std::to_string(i), w.zone = drawn.zone(i);
    w.capacity = 0.6 + 0.9 * uniform(fleet);
    w.scale = w.capacity * (0.85 + 0.3 * uniform(fleet));  // the list's figure is a rough one
    w.advanced = now_;
    sizes += w.capacity;
    workers_.push_back(std::move(w));
  }
  double mean_load = 0;  // of a connection; a third of the clients is of each class
  for (int c = 0; c < drawn.classes; ++c) mean_load += drawn.class_load(c) / drawn.classes;
  for (Worker& w : workers_) w.capacity *= drawn.calls * kLife / kS * mean_load / drawn.level / sizes;
  auto all = std::make_shared<std::vector<BackendEntry>>();
  for (std::size_t i = 0; i < workers_.size(); ++i) all->push_back(entry(i));
  balancers_.resize(static_cast<std::size_t>(drawn.balancers));
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    Settings s = drawn.settings(static_cast<int>(i));
    if (by_chance) {
      balancers_[i].policy = std::make_unique<ByChance>(s, drawn.seed + i);
    } else {
      auto module = std::make_unique<ByModule>(s, drawn.seed + i, now_);
      balancers_[i].module = &module->balancer;
      balancers_[i].policy = std::move(module);
    }
    tell(i, EndpointListEvent{EndpointListKind::cached, all});
  }
  next_client();
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::run(Time span) {
  Time end = now_ + span;
  while (!due_.empty() && due_.top().when <= end) {
    Due next = due_.top();
    due_.pop();
    now_ = next.when;
    next.deed();
  }
  now_ = end;
}

void SimulatedFleet::end() {
  open_ = false;
  auto busy = [](const Balancing& b) { return !b.calls.empty(); };
  for (int i = 0; i < 18 && std::any_of(balancers_.begin(), balancers_.end(), busy); ++i) run(5 * kS);
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    if (!balancers_[i].calls.empty()) throw Wrong("a call is never over");
    if (!balancers_[i].module) continue;
    Balancer::Counts counts = balancers_[i].module->counts();
    if (counts.open + counts.unanswered > 0) throw Wrong("the module holds calls that are over");
    for (const Worker& w : workers_)
      if (balancers_[i].module->active_connections(w.address) != 0)
        throw Wrong("the module counts connections that are over");
  }
}

Figures SimulatedFleet::since_last() {
  for (Worker& w : workers_) advance(w);
  figures_.served = std::exchange(served_, 0);
  return std::exchange(figures_, {});
}

int SimulatedFleet::untold(std::size_t worker) const {
  return static_cast<int>(std::count_if(balancers_.begin(), balancers_.end(),
                                        [&](const Balancing& b) { return !b.told.count(worker); }));
}

// ---- Clients -------------------------------------------------------------------------------------

void SimulatedFleet::next_client() {
  auto c = std::make_shared<Client>();
  c->number = next_number_++;
  c->request_class = static_cast<int>(arrivals_() % static_cast<std::uint64_t>(drawn_.classes));
  std::uint64_t groups =
      std::max<std::uint64_t>(2, static_cast<std::uint64_t>(drawn_.calls * kLife / kS / 40));
  c->group = drawn_.groups ? 1 + arrivals_() % groups : c->number;  // some forty in each at once
  c->balancer = arrivals_() % balancers_.size();
  c->load = drawn_.class_load(c->request_class) * (0.5 + uniform(arrivals_));
  Time life = static_cast<Time>(-kLife * std::log(1 - uniform(arrivals_) * 0.92));
  Time gap = static_cast<Time>(-1e6 / drawn_.calls * std::log(1 - uniform(arrivals_)));
  at(now_ + gap, [this, c, life] {
    if (!open_) return;
    c->until = now_ + std::max(200 * kMs, life);
    figures_.asked += drawn_.class_worth(c->request_class) * static_cast<double>(c->until - now_) / kS;
    comes(c);
    next_client();
  });
}

void SimulatedFleet::comes(std::shared_ptr<Client> client) {
  if (now_ >= client->until) return;
  std::uint64_t id = next_id_++;
  std::size_t b = client->balancer;
  Call& c = balancers_[b].calls[id];
  c.client = client;
  c.deadline = now_ + drawn_.deadline(client->request_class);
  figures_.calls += 1;
  at(c.deadline + 1, [this, b, id] {
    Call* late = call(b, id);
    if (late && !late->answered && !late->open) throw Wrong("a call had no answer in time");
  });
  if (chance_() % 50 == 0)  // some give up early
    at(now_ + static_cast<Time>(chance_() % 400) * kMs, [this, b, id] {
      Call* c = call(b, id);
      if (!c || c->answered || c->open) return;
      c->answered = true;
      int attempt = c->attempts - 1;
      if (c->out)
        at(now_ + kMs, [=, this] { result(b, id, attempt, Outcome::cancelled, chance_() % 2 == 0); });
      else
        balancers_[b].calls.erase(id);
      tell(b, ClientGoneEvent{id});
    });
  if (chance_() % 20 == 0) nonsense(b);
  RequestEvent event{id, client->request_class, drawn_.deadline(client->request_class)};
  event.load_hint = drawn_.hints ? client->load * 1000 : 0;
  event.returned = client->returned;
  event.group = client->group;
  tell(b, event);
}

void SimulatedFleet::again(std::shared_ptr<Client> client, Time after, bool broken) {
  if (broken) client->retries = 0, client->returned = true;
  if (!broken && client->retries++ >= drawn_.client_retries) return;
  client->balancer = chance_() % balancers_.size();
  at(now_ + after, [this, client] { comes(client); });
}

// What no balancer may heed: calls, attempts and workers that are not there or long over.
void SimulatedFleet::nonsense(std::size_t b) {
  std::uint64_t id = 1'000'000'000 + chance_() % 1000;
  if (!balancers_[b].ended.empty() && chance_() % 2) id = *balancers_[b].ended.begin();
  tell(b, ResultEvent{id, 0, false, "w1", 5 * kMs, Outcome::error, {0.9}});
  tell(b, EstablishedEvent{id, 0, kMs});
  tell(b, ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 1e9});
  tell(b, ClientGoneEvent{id});
  tell(b, ProbeResultEvent{"nobody", kMs, Outcome::served, {0.1}});
  tell(b, TimerEvent{77});
}

// ---- Balancers -----------------------------------------------------------------------------------

SimulatedFleet::Call* SimulatedFleet::call(std::size_t balancer, std::uint64_t id) {
  auto it = balancers_[balancer].calls.find(id);
  return it == balancers_[balancer].calls.end() ? nullptr : &it->second;
}

void SimulatedFleet::tell(std::size_t balancer, const Event& event) {
  std::vector<Action> actions;
  balancers_[balancer].policy->handle(now_, event, actions);
  for (const Action& action : actions) std::visit([&](const auto& a) { act(balancer, a); }, action);
}

void SimulatedFleet::act(std::size_t b, const Submit& action) {
  Call* c = call(b, action.id);
  if (!c || c->answered || c->open) throw Wrong("an attempt for a call that is unknown or over");
  if (c->out) throw Wrong("two attempts at once");
  if (c->attempts >= drawn_.attempts) throw Wrong("more attempts than allowed");
  if (action.deadline <= now_ || action.deadline > c->deadline)
    throw Wrong("an attempt past its call's time");
  c->worker = number(action.backend);
  auto told = balancers_[b].told.find(c->worker);
  if (told != balancers_[b].told.end() && now_ + kMs > told->second + kGrace)
    throw Wrong("an attempt at a worker that leaves");
  c->out = true;
  int attempt = c->attempts++;
  figures_.attempts += 1;
  storm_[b].all += 1, storm_[b].before += !storm_[b].met;
  std::uint64_t id = action.id;
  at(now_ + kMs, [=, this] { reaches(b, id, attempt); });
  at(action.deadline, [=, this] {
    Call* late = call(b, id);
    if (late && late->out && !late->open) result(b, id, attempt, Outcome::timeout, false);
  });
}

void SimulatedFleet::answer(std::size_t b, std::uint64_t id, Time pause) {
  Call* c = call(b, id);
  if (!c || c->answered || c->open) throw Wrong("an answer for a call that is unknown or has one");
  if (now_ > c->deadline) throw Wrong("an answer past its call's time");
  if (pause < 0 || pause > (drawn_.pauses ? kS : 0)) throw Wrong("a pause that is not allowed");
  c->answered = true;
  figures_.refused += 1;
  again(c->client, pause > 0 ? pause : 100 * kMs, false);
  if (!c->out) balancers_[b].calls.erase(id), balancers_[b].ended.insert(id);
}

void SimulatedFleet::act(std::size_t b, const Redirect& action) {
  Call* c = call(b, action.id);
  if (!c || !c->open || c->answered) throw Wrong("a move of a connection that does not stand");
  c->answered = true;
  figures_.moves += 1;
  int attempt = c->attempts - 1;
  std::uint64_t id = action.id;
  at(now_ + kMs, [=, this] { result(b, id, attempt, Outcome::cancelled, true); });
}

void SimulatedFleet::act(std::size_t b, const Probe& action) {
  if (!drawn_.may_probe) throw Wrong("a probe where none is allowed");
  figures_.probes += 1;
  std::size_t i = number(action.backend);
  at(now_ + kMs, [=, this] {
    Worker& w = workers_[i];
    bool error = errors_ && errors_on_probes_;
    Outcome outcome = w.dead ? Outcome::connect_failed : error ? Outcome::error : Outcome::served;
    advance(w);
    w.extra.add(drawn_.probe_ms / 1000, now_, kS);
    Time rtt =
        2 * kMs + static_cast<Time>(3000 / std::max(0.05, 1 - level(w)) * (0.8 + 0.4 * uniform(chance_)));
    LoadReport load = outcome == Outcome::served ? report(w, false) : LoadReport{};
    at(now_ + rtt, [=, this] { tell(b, ProbeResultEvent{workers_[i].address, rtt, outcome, load}); });
  });
}

void SimulatedFleet::act(std::size_t b, const WatchEndpoints&) {
  if (!drawn_.ask) throw Wrong("a list asked for that is pushed");
  at(now_ + (registry_out_ ? 3 * kS : 20 * kMs), [=, this] {
    if (registry_out_) return tell(b, EndpointListEvent{EndpointListKind::failed, nullptr});
    auto all = std::make_shared<std::vector<BackendEntry>>();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      all->push_back(entry(i));
      if (workers_[i].health == Health::serving)
        balancers_[b].told.erase(i);
      else
        balancers_[b].told.try_emplace(i, now_);
    }
    balancers_[b].watches = true;
    tell(b, EndpointListEvent{EndpointListKind::full, all});
  });
}

void SimulatedFleet::act(std::size_t b, const SetTimer& action) {
  if (action.after <= 0) throw Wrong("a timer that is due at once");
  std::uint64_t cookie = action.cookie;
  at(now_ + action.after, [=, this] { tell(b, TimerEvent{cookie}); });
}

}  // namespace marblehub::settings_play
