#include "simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblehub::settings_play {

constexpr double kLife = 20e6;  // of a connection, in the mean: the shorter ones of both deployments

struct SimulatedFleet::Client {
  std::uint64_t number = 0, group = 0;
  int request_class = 0, retries = 0;
  std::size_t balancer = 0;
  double load = 1;
  Time until = 0;  // it wants its connection until then
  bool returned = false;
};

struct SimulatedFleet::Call {
  std::shared_ptr<Client> client;
  Time deadline = 0;
  int attempts = 0;
  bool out = false, answered = false, open = false;
  std::size_t worker = 0;
};

struct SimulatedFleet::Worker {
  std::string address, zone;
  double capacity = 1, scale = 1;
  Health health = Health::serving;
  bool dead = false;
  Time started = 0, advanced = 0;  // started 0: warm since long ago
  double load = 0, worth = 0;      // of what stands here
  std::map<std::uint64_t, int> groups;
  std::set<std::pair<std::size_t, std::uint64_t>> standing, setting_up;
  DecayingValue extra;  // work of probes and set-ups, in seconds over about a second
};

struct SimulatedFleet::Balancing {
  std::unique_ptr<Policy> policy;
  const Balancer* module = nullptr;
  std::map<std::uint64_t, Call> calls;
  std::map<std::size_t, Time> told;  // that a worker leaves
  std::set<std::uint64_t> ended;
  bool watches = false;
};

namespace {

struct ByModule : Policy {
  Balancer balancer;
  ByModule(const Settings& s, std::uint64_t seed, Time now) : balancer(s, seed, now) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer.handle(now, event, actions);
  }
};

// Any listed worker for each attempt, at once. Nothing else.
struct ByChance : Policy {
  Settings settings;
  std::mt19937_64 chance;
  std::map<std::string, bool> listed;
  struct Held {
    Time deadline;
    int attempts;
  };
  std::map<std::uint64_t, Held> held;

  ByChance(const Settings& s, std::uint64_t seed) : settings(s), chance(seed) {}
  void place(Time now, std::uint64_t id, std::vector<Action>& actions) {
    std::vector<std::string> may;
    for (auto& [name, good] : listed)
      if (good) may.push_back(name);
    Held& h = held[id];
    Time left = h.deadline - now - 50 * kMs;
    if (may.empty() || left <= 0 || h.attempts >= settings.max_attempts) {
      held.erase(id);
      return actions.push_back(Reject{id, 0});
    }
    h.attempts += 1;
    actions.push_back(
        Submit{id, may[chance() % may.size()], now + left / (settings.max_attempts - h.attempts + 1)});
  }
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    if (auto* e = std::get_if<MembersEvent>(&event)) {
      if (!e->entries) return;
      for (const BackendEntry& entry : *e->entries) listed[entry.address] = entry.health == Health::serving;
    } else if (auto* r = std::get_if<RequestEvent>(&event)) {
      held[r->id] = {now + r->expires_in, 0};
      place(now, r->id, actions);
    } else if (auto* up = std::get_if<EstablishedEvent>(&event)) {
      held.erase(up->id);
    } else if (auto* gone = std::get_if<ClientGoneEvent>(&event)) {
      held.erase(gone->id);
    } else if (auto* result = std::get_if<ResultEvent>(&event)) {
      if (held.count(result->id) && !result->terminal) place(now, result->id, actions);
    }
  }
};

}  // namespace

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
    tell(i, MembersEvent{ListForm::remembered, all});
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
      if (balancers_[i].module->active(w.address) != 0)
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
  tell(b, NoteEvent{id, 0, NoteKind::messages_slow, 1e9});
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
  if (action.not_past <= now_ || action.not_past > c->deadline)
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
  at(action.not_past, [=, this] {
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

void SimulatedFleet::act(std::size_t b, const Track&) {
  if (!drawn_.ask) throw Wrong("a list asked for that is pushed");
  at(now_ + (registry_out_ ? 3 * kS : 20 * kMs), [=, this] {
    if (registry_out_) return tell(b, MembersEvent{ListForm::refused, nullptr});
    auto all = std::make_shared<std::vector<BackendEntry>>();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      all->push_back(entry(i));
      if (workers_[i].health == Health::serving)
        balancers_[b].told.erase(i);
      else
        balancers_[b].told.try_emplace(i, now_);
    }
    balancers_[b].watches = true;
    tell(b, MembersEvent{ListForm::all, all});
  });
}

void SimulatedFleet::act(std::size_t b, const SetTimer& action) {
  if (action.after <= 0) throw Wrong("a timer that is due at once");
  std::uint64_t cookie = action.cookie;
  at(now_ + action.after, [=, this] { tell(b, TimerEvent{cookie}); });
}

// ---- Workers -------------------------------------------------------------------------------------

double SimulatedFleet::level(const Worker& w) const {
  double able = w.capacity * slow_start_factor(w.started, now_, drawn_.cold_share, 20 * kS);
  double shared = drawn_.groups ? 3 * static_cast<double>(w.groups.size()) : 0;
  return (w.load + shared) / able + w.extra.at(now_, kS) / 4;  // four cores
}

// Messages are in time up to a load of nine tenths, and none is at 1.2.
void SimulatedFleet::advance(Worker& w) {
  double sound = std::clamp((1.2 - level(w)) / 0.3, 0.0, 1.0);
  if (!w.dead) served_ += w.worth * sound * static_cast<double>(now_ - w.advanced) / kS;
  w.advanced = now_;
}

LoadReport SimulatedFleet::report(Worker& w, bool with_result) {
  bool given = drawn_.reports == ReportMode::all || (drawn_.reports == ReportMode::probes && !with_result);
  return given ? LoadReport{level(w) * (0.9 + 0.2 * uniform(chance_))} : LoadReport{};
}

void SimulatedFleet::reaches(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = call(b, id);
  if (!c || !c->out || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  advance(w);
  auto soon = [&](Outcome outcome, Time after) {
    at(now_ + after, [=, this] { result(b, id, attempt, outcome, false); });
  };
  if (w.dead) return soon(Outcome::connect_failed, kMs);
  if (errors_) return soon(Outcome::error, 5 * kMs);
  if (w.health != Health::serving || level(w) > 2.5) return soon(Outcome::full, kMs);
  w.extra.add(0.002, now_, kS);
  if (store_out_) return;  // nothing comes until the attempt is given up
  Time work = static_cast<Time>(kS / (drawn_.calls * drawn_.store_headroom));
  store_free_ = std::max(store_free_, now_) + work;
  w.setting_up.insert({b, id});
  at(store_free_ + 2 * kMs, [=, this] { stands(b, id, attempt); });
}

void SimulatedFleet::stands(std::size_t b, std::uint64_t id, int attempt) {
  Call* c = call(b, id);
  if (!c || !c->out || c->answered || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  if (w.dead) return;
  advance(w);
  w.setting_up.erase({b, id});
  w.standing.insert({b, id});
  w.load += c->client->load;
  w.worth += drawn_.class_worth(c->client->request_class);
  w.groups[c->client->group] += 1;
  c->open = true;
  c->client->retries = 0;
  at(std::max(now_ + kMs, c->client->until), [=, this] { result(b, id, attempt, Outcome::served, true); });
  tell(b, EstablishedEvent{id, attempt, 5 * kMs});
  if (!drawn_.notes) return;
  at(now_ + 2 * kS, [=, this] {
    Call* c = call(b, id);
    if (!c || !c->open || c->answered) return;
    tell(b, NoteEvent{id, attempt, NoteKind::load_changed, c->client->load * 1000});
    double now_at = level(workers_[c->worker]);
    if (now_at > 0.9) tell(b, NoteEvent{id, attempt, NoteKind::messages_slow, 60 * now_at});
  });
}

void SimulatedFleet::result(std::size_t b, std::uint64_t id, int attempt, Outcome outcome, bool terminal) {
  Call* c = call(b, id);
  if (!c || !c->out || c->attempts != attempt + 1) return;
  Worker& w = workers_[c->worker];
  w.setting_up.erase({b, id});
  if (c->open) {
    advance(w);
    w.standing.erase({b, id});
    w.load = w.standing.empty() ? 0 : w.load - c->client->load;
    w.worth = w.standing.empty() ? 0 : w.worth - drawn_.class_worth(c->client->request_class);
    if ((w.groups[c->client->group] -= 1) == 0) w.groups.erase(c->client->group);
    if (outcome != Outcome::served)
      again(c->client,
            outcome == Outcome::cancelled ? 100 * kMs : 200 * kMs + static_cast<Time>(chance_() % 1000) * kMs,
            true);
  }
  ResultEvent event{id, attempt, terminal, w.address, 5 * kMs, outcome, report(w, true)};
  c->out = false;
  storm_[b].met |= outcome == Outcome::error;
  if (c->open || c->answered || terminal) balancers_[b].calls.erase(id), balancers_[b].ended.insert(id);
  tell(b, event);
}

// ---- Troubles ------------------------------------------------------------------------------------

void SimulatedFleet::errors(bool on, bool probes_too) {
  errors_ = on, errors_on_probes_ = probes_too;
  if (on) storm_.assign(storm_.size(), {});
}

void SimulatedFleet::kill(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = true;
  for (auto set : {w.standing, w.setting_up})
    for (auto [b, id] : set) {
      Call* c = call(b, id);
      if (c) result(b, id, c->attempts - 1, Outcome::reset, c->open);
    }
}

void SimulatedFleet::revive(std::size_t worker) {
  Worker& w = workers_[worker];
  advance(w);
  w.dead = false;
  w.started = now_;
  list_changed(worker);
}

void SimulatedFleet::drain(std::size_t worker) {
  workers_[worker].health = Health::draining;
  list_changed(worker);
}

void SimulatedFleet::registry(bool on) {
  registry_out_ = !on;
  for (std::size_t i = 0; on && !drawn_.ask && i < workers_.size(); ++i) list_changed(i);  // what was missed
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    if (!on && std::exchange(balancers_[b].watches, false))
      at(now_ + kMs, [=, this] { tell(b, MembersEvent{ListForm::refused, nullptr}); });
}

// Told to each balancer in its own time, if it is reached by then.
void SimulatedFleet::list_changed(std::size_t worker) {
  for (std::size_t b = 0; b < balancers_.size(); ++b)
    at(now_ + drawn_.list_lag + static_cast<Time>(chance_() % 200) * kMs, [=, this] {
      if (registry_out_ || (drawn_.ask && !balancers_[b].watches)) return;
      if (workers_[worker].health == Health::serving)
        balancers_[b].told.erase(worker);
      else
        balancers_[b].told.try_emplace(worker, now_);
      tell(b, MembersEvent{ListForm::changes,
                           std::make_shared<std::vector<BackendEntry>>(std::vector{entry(worker)})});
    });
}

BackendEntry SimulatedFleet::entry(std::size_t worker) const {
  const Worker& w = workers_[worker];
  return {w.health, w.address, w.zone, w.started, w.scale, static_cast<std::int64_t>(worker / 4)};
}

std::size_t SimulatedFleet::number(const std::string& address) const {
  for (std::size_t i = 0; i < workers_.size(); ++i)
    if (workers_[i].address == address) return i;
  throw Wrong("a worker that nobody named");
}

}  // namespace marblehub::settings_play
