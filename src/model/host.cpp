#include "model/host.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace marblehub::model {
namespace {

using marblehub::policy::Health;
using marblehub::policy::Outcome;

constexpr Time kTick = kSecond;  // how often clients' messages are looked at
constexpr Time kAllSpeak =
    1500 * kMillisecond;  // clients speak every 2 s: by then all at a silent worker have
constexpr Time kProbeTimeout = 250 * kMillisecond;
constexpr std::size_t kSampled = 20000;  // set-up times that are kept

}  // namespace

struct Host::Seat : core::ClientSide {
  Host* host = nullptr;
  std::uint32_t slot = 0, life = 0;
  bool used = false, stands = false, answered = false;
  Client client;
  core::Exchange* exchange = nullptr;
  Attempt* attempt = nullptr;
  int attempts = 0, worker = -1;
  std::size_t place = 0;  // among those at its worker
  Time asked_at = 0;
  bool moving = false;  // it has been told, and its worker has not let it go yet (QUIC)

  std::uint64_t key() const {
    return static_cast<std::uint64_t>(host->host_) << 48 | static_cast<std::uint64_t>(slot & 0xffffff) << 24 |
           static_cast<std::uint64_t>(life & 0xfffff) << 4 | static_cast<std::uint64_t>(attempts & 15);
  }
  void established(std::string_view) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view) override;
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void redirect() override;
  void ended(core::Ending) override;
  void final_answer();
  void stand();  // takes its place at its worker, until its wish is over
  void leave_worker();
};

// The attempt. Its end, whatever the reason, is told to the worker: its connection is closed.
class Host::Attempt : public core::Attempt {
 public:
  Attempt(Seat& seat, int worker) : seat_(seat), worker_(worker), key_(seat.key()) { seat.attempt = this; }
  ~Attempt() override {
    if (seat_.attempt == this) seat_.attempt = nullptr;
    // A QUIC client goes when its worker has moved it; its seat sees to that.
    if (!ended_ && !seat_.moving) seat_.host->send_worker(What::gone, worker_, key_, nullptr);
  }
  void deliver(std::string_view) override { seat_.host->send_worker(What::message, worker_, key_, nullptr); }
  void hold(bool) override {}
  void finish(core::Ending) override {}

  std::uint64_t key() const { return key_; }
  void ended() { ended_ = true; }

 private:
  Seat& seat_;
  const int worker_;
  const std::uint64_t key_;
  bool ended_ = false;
};

class Host::Net : public core::WorkerSide {
 public:
  explicit Net(Host& host) : host_(host) {}
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string&, Time) override {
    Seat& seat = *host_.seat_of(std::stoull(exchange.call().opening));
    int number = host_.places_.numbers.at(worker);
    seat.attempts += 1;
    seat.worker = number;
    if (seat.attempt) host_.rules_.broken(Rule::one_at_a_time, host_.now(), worker);
    if (seat.attempts > host_.scenario_.attempts)
      host_.rules_.broken(Rule::four_attempts, host_.now(), worker);
    auto attempt = std::make_unique<Attempt>(seat, number);
    const Known& known = host_.known_[static_cast<std::size_t>(number)];
    if (known.leaving && host_.now() - known.told > kDrainBound)
      host_.rules_.broken(Rule::drained, host_.now(), worker);
    host_.note("tries", seat, worker);
    host_.send_worker(What::setup, number, attempt->key(), &seat.client);
    return attempt;
  }

 private:
  Host& host_;
};

// ---- A client that is here -----------------------------------------------------------------------------

void Host::Seat::final_answer() {
  if (answered) host->rules_.broken(Rule::one_answer, host->now(), "a second answer");
  answered = true;
  if (host->now() - asked_at > host->scenario_.client_timeout)
    host->rules_.broken(Rule::in_time, host->now(), "an answer after the client gave up");
}

void Host::Seat::established(std::string_view) {
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

void Host::Seat::stand() {
  stands = true;
  Known& there = host->known_[static_cast<std::size_t>(worker)];
  place = there.seats.size();
  there.seats.push_back(slot);
  Event over = host->event_for(What::wish_over);
  over.key = static_cast<std::uint64_t>(life) << 32 | slot;
  host->later(over, std::max(host->now(), client.until));
}

void Host::Seat::leave_worker() {
  if (!stands) return;
  stands = false;
  host->figures_.had(client, host->now());
  client.wanting_since = host->now();
  Known& there = host->known_[static_cast<std::size_t>(worker)];
  if (there.speaks == slot + 1) there.speaks = 0;
  there.seats[place] = there.seats.back();
  host->seats_[there.seats[place]].place = place;
  there.seats.pop_back();
}

void Host::Seat::overload_reply(Time pause) {
  final_answer();
  exchange = nullptr;
  host->figures_.refused += 1;
  host->note("refused", *this);
  host->retries(*this, pause);
}

void Host::Seat::failed(std::string_view) {
  final_answer();
  exchange = nullptr;
  host->figures_.failed += 1;
  host->note("failed", *this);
  host->retries(*this, 0);
}

void Host::Seat::redirect() {
  exchange = nullptr;
  host->figures_.told += 1;
  host->note("is told to move", *this);
  if (host->planning_) {
    host->figures_.moved.push_back(host->now());
    if (client.moved_at >= 0 && host->now() - client.moved_at < host->scenario_.rebalance.floor)
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

void Host::Seat::ended(core::Ending) {
  exchange = nullptr;
  host->note("is cut", *this);
  host->goes(*this, -1, true);
}

// ---- Life ----------------------------------------------------------------------------------------------

Host::Host(const Scenario& scenario, const Places& places, std::uint32_t number, std::uint64_t seed)
    : scenario_(scenario),
      places_(places),
      host_(number),
      seed_(seed),
      net_(seed, Purpose::network, number),
      spawn_(seed, Purpose::spawn, number),
      choice_(seed, Purpose::choice, number),
      workers_side_(std::make_unique<Net>(*this)) {
  marblehub::policy::Settings& s = startup_.settings;
  s.balancers = scenario.balancers;
  s.me = static_cast<int>(number);
  s.zone = "a";
  s.ask_registry = true;
  s.groups = scenario.groups > 0;
  s.max_attempts = scenario.attempts;
  s.max_retry_after_us = 1'500'000;
  s.connect_timeout_us = 250'000;
  s.cold_share = scenario.cold_share;
  s.warm_within_us = scenario.warm_within;
  marblehub::policy::RequestClass c;
  c.name = "standing";
  c.slo_us = scenario.slo;
  c.message_aim_us = scenario.aim;
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
  later(event_for(What::tick), static_cast<Time>(choice_.uniform() * kTick));
  later(event_for(What::plan), static_cast<Time>(choice_.uniform() * kTick));
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

Host::Seat* Host::seat_of(std::uint64_t key) {
  auto slot = static_cast<std::uint32_t>(key >> 24 & 0xffffff);
  if (slot >= seats_.size()) return nullptr;
  Seat& seat = seats_[slot];
  return seat.used && (seat.life & 0xfffff) == (key >> 4 & 0xfffff) ? &seat : nullptr;
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

void Host::note(const char* what, const Seat& seat, const std::string& more) {
  if (!log_) return;
  *log_ += fmt::format("{:10.3f} balancer {} client {} {}{}{}\n", static_cast<double>(now()) / 1e6, host_ + 1,
                       seat.client.id, what, more.empty() ? "" : " ", more);
}

// ---- Clients -------------------------------------------------------------------------------------------

Host::Seat& Host::seat_for(const Client& client) {
  if (free_seats_.empty()) {
    free_seats_.push_back(static_cast<std::uint32_t>(seats_.size()));
    seats_.emplace_back();
  }
  Seat& seat = seats_[free_seats_.back()];
  seat.host = this;
  seat.slot = free_seats_.back();
  free_seats_.pop_back();
  seat.life += 1;
  seat.used = true;
  seat.stands = seat.moving = false;
  seat.client = client;
  return seat;
}

core::Call Host::call_of(const Seat& seat) const {
  core::Call call;
  call.expires_in = scenario_.client_timeout;
  call.load_hint = seat.client.load;
  call.group = seat.client.group;
  call.returned = seat.client.returned;
  call.opening = std::to_string(seat.key());
  return call;
}

std::uint64_t Host::stands_already(const Client& client, int worker) {
  Seat& seat = seat_for(client);
  seat.answered = true;
  seat.worker = worker;
  seat.attempts = 1;
  auto attempt = std::make_unique<Attempt>(seat, worker);
  seat.exchange =
      &dispatcher_->adopt(call_of(seat), seat, *workers_side_, name(worker), std::move(attempt), true);
  seat.stand();
  return seat.key();
}

void Host::spawn() {
  double rate = scenario_.arrivals / scenario_.balancers;
  later(event_for(What::spawn), now() + static_cast<Time>(spawn_.exponential(1 / rate) * 1e6));
  if (now() == 0 || !alive_ || (scenario_.arrive_until > 0 && now() > scenario_.arrive_until)) return;
  arrives(new_client(scenario_, seed_, host_ << 22 | next_client_++, now()));
}

void Host::arrives(const Client& client) {
  Seat& seat = seat_for(client);
  if (!alive_) return retries(seat, 0);  // nobody listens: it tries another
  ask(seat);
}

void Host::ask(Seat& seat) {
  seat.answered = false;
  seat.attempts = 0;
  seat.asked_at = now();
  figures_.calls += 1;
  note("asks", seat);
  core::Exchange& exchange = dispatcher_->take(call_of(seat), seat, *workers_side_);
  if (!seat.answered && seat.used) seat.exchange = &exchange;
}

void Host::free(Seat& seat) {
  seat.used = false;
  seat.exchange = nullptr;
  free_seats_.push_back(seat.slot);
}

// Off to another balancer, or nowhere: after < 0 draws the break.
void Host::goes(Seat& seat, Time after, bool returned) {
  seat.leave_worker();
  Client client = seat.client;
  Stream own(seed_, Purpose::client, client.id, client.draws);
  bool lost = own.uniform() < scenario_.lost;
  if (after < 0) after = static_cast<Time>(own.exponential(static_cast<double>(scenario_.comes_back)));
  std::uint64_t to = own.below(static_cast<std::uint64_t>(scenario_.balancers));
  client.draws = own.count();
  client.returned = returned;
  free(seat);
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

void Host::retries(Seat& seat, Time pause) {
  seat.client.tries += 1;
  if (seat.client.tries >= scenario_.tries) {
    figures_.gave_up += 1;
    figures_.went_without(seat.client, seat.client.until);
    return free(seat);
  }
  // As told, or twice as long each time; never in step.
  Stream own(seed_, Purpose::client, seat.client.id, seat.client.draws);
  Time backoff = 200 * kMillisecond * (Time{1} << std::min<int>(seat.client.tries, 5));
  Time after = pause > 0 ? pause + static_cast<Time>(own.uniform() * static_cast<double>(pause) / 4)
                         : backoff / 2 + static_cast<Time>(own.uniform() * static_cast<double>(backoff));
  seat.client.draws = own.count();
  goes(seat, after, seat.client.returned);
}

// ---- What happens --------------------------------------------------------------------------------------

void Host::probe(const std::string& worker, const std::string&) {
  int number = places_.numbers.at(worker);
  probes_[static_cast<std::size_t>(number)] = now();
  send_worker(What::probe, number, 0, nullptr);
  // All have the same time-out: they come due in the order they were sent, and one event looks at the first.
  if (probe_order_.empty()) later(event_for(What::probes_due), now() + kProbeTimeout);
  probe_order_.emplace_back(now(), number);
}

// The registry answers with all that was told since, and then with each change as it comes.
void Host::track() {
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
  dispatcher_->list_told(list);
}

void Host::message(Seat& seat) {
  if (seat.exchange && seat.stands && seat.attempt) seat.exchange->client_sent({{}, 1, true});
}

// One client a worker speaks every two seconds; where its message stays unanswered, all there have spoken
// soon.
void Host::tick() {
  ticks_ += 1;
  for (std::size_t i = 0; i < known_.size(); ++i) {
    Known& there = known_[i];
    if (there.seats.empty()) continue;
    if (there.speaks != 0 && now() - there.spoke_at < 10 * kSecond) {
      if (now() - there.spoke_at >= kAllSpeak && !there.all_speak) {
        there.all_speak = true;
        std::vector<std::uint32_t> all = there.seats;
        for (std::uint32_t slot : all)
          if (slot + 1 != there.speaks && seats_[slot].used && seats_[slot].stands) message(seats_[slot]);
      }
      continue;
    }
    if ((i + ticks_) % 2 != 0) continue;
    std::uint32_t slot = there.seats[choice_.below(there.seats.size())];
    there.speaks = slot + 1;
    there.spoke_at = now();
    there.all_speak = false;
    message(seats_[slot]);
  }
}

void Host::planned_step() {
  if (!driver_ || !alive_) return;
  planning_ = true;
  rebalance::Plan plan = driver_->step();
  planning_ = false;
  figures_.planned += static_cast<long>(plan.moves.size());
  figures_.seconds[static_cast<std::size_t>(plan.still)] += 1;
}

void Host::dies() {
  alive_ = false;
  driver_.reset();
  std::vector<Seat*> here;
  for (Seat& seat : seats_)
    if (seat.used) here.push_back(&seat);
  // The process is gone: nothing is told to anyone, the connections just end.
  for (Seat* seat : here) seat->exchange = nullptr;
  dispatcher_.reset();
  wake_at_ = -1;
  std::fill(probes_.begin(), probes_.end(), -1);
  for (Seat* seat : here)
    if (seat->used && !seat->moving) goes(*seat, -1, seat->stands || seat->client.returned);
}

void Host::drops(double share, Time within) {
  std::vector<Seat*> here;
  for (Seat& seat : seats_)
    if (seat.used && seat.stands && seat.exchange) here.push_back(&seat);
  for (Seat* seat : here) {
    if (choice_.uniform() >= share) continue;
    core::Exchange* exchange = std::exchange(seat->exchange, nullptr);
    exchange->client_left(core::Ending::broken);
    goes(*seat, static_cast<Time>(choice_.uniform() * static_cast<double>(within)), true);
  }
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
      later(event_for(What::tick), now() + kTick);
      break;
    case What::spawn:
      spawn();
      break;
    case What::arrives:
      arrives(event.client);
      break;
    case What::wish_over: {
      auto slot = static_cast<std::uint32_t>(event.key);
      Seat& seat = seats_[slot];
      if (!seat.used || !seat.stands || seat.life != event.key >> 32) break;
      note("goes", seat);
      if (core::Exchange* exchange = std::exchange(seat.exchange, nullptr)) {
        exchange->client_left(core::Ending::finished);
      } else {  // one that its worker never moved
        send_worker(What::gone, seat.worker, seat.key(), nullptr);
      }
      seat.leave_worker();
      free(seat);
      break;
    }
    case What::up:
    case What::over: {
      Seat* seat = seat_of(event.key);
      if (!seat) break;
      if (seat->moving && event.what == What::over) {  // a QUIC client whose worker has let it go, or died
        send_worker(What::gone, seat->worker, event.key, nullptr);
        goes(*seat, -1, true);
        break;
      }
      if (!seat->attempt || seat->attempt->key() != event.key || !seat->exchange) break;
      if (event.what == What::up) {
        seat->exchange->worker_up({});
      } else {
        seat->attempt->ended();
        seat->exchange->worker_ended(static_cast<Outcome>(event.outcome), core::Ending::broken,
                                     {event.value});
      }
      break;
    }
    case What::probed: {
      if (probes_[event.worker] != event.time || !alive_) break;
      probes_[event.worker] = -1;
      dispatcher_->probe_result(places_.names[event.worker], now() - event.time,
                                static_cast<Outcome>(event.outcome), {event.value});
      break;
    }
    case What::answered: {
      Seat* seat = seat_of(event.key);
      if (!seat || !seat->exchange || !seat->attempt || seat->attempt->key() != event.key) break;
      Known& there = known_[static_cast<std::size_t>(seat->worker)];
      if (there.speaks == seat->slot + 1) there.speaks = 0;
      seat->exchange->worker_sent({{}, 1, true});
      break;
    }
    case What::probes_due: {
      while (!probe_order_.empty() && probe_order_.front().first <= now() - kProbeTimeout) {
        auto [sent, worker] = probe_order_.front();
        probe_order_.pop_front();
        if (!alive_ || probes_[static_cast<std::size_t>(worker)] != sent) continue;
        probes_[static_cast<std::size_t>(worker)] = -1;
        dispatcher_->probe_result(name(worker), kProbeTimeout, Outcome::timeout, {});
      }
      if (!probe_order_.empty())
        later(event_for(What::probes_due), probe_order_.front().first + kProbeTimeout);
      break;
    }
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
    case What::moves: {  // as a hand on the switch would: all at once, whoever they are
      std::vector<std::uint64_t> here;
      for (Seat& seat : seats_)
        if (seat.used && seat.stands && seat.exchange && choice_.uniform() < event.value)
          here.push_back(seat.exchange->id());
      for (std::uint64_t id : here) dispatcher_->move(id);
      break;
    }
    default:
      throw std::logic_error("an event that no balancer knows");
  }
  settle();
}

void Host::finish(Time end) {
  for (Seat& seat : seats_) {
    if (!seat.used) continue;
    Time until = std::min(end, seat.client.until);
    seat.stands ? figures_.had(seat.client, until) : figures_.went_without(seat.client, until);
    if (!seat.answered && end - seat.asked_at > scenario_.client_timeout)
      rules_.broken(Rule::one_answer, end, "a call that was never answered");
  }
}

}  // namespace marblehub::model
