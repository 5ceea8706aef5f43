// What all balancers of a fleet together send to a cold worker, counted over every window of the length that
// the platform's rule names, on one clock.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "policy/slow_start/factor.h"
#include "support/module_bench.h"

namespace marblehub::test {
namespace {

constexpr Time kStep = 50'000, kSecond = 1'000'000;
constexpr int kWindow = 40;             // steps in the 2 s of the rule
constexpr double kOverload = 2.5;       // times what the worker can do: the rule's multiple
constexpr double kPerUnit = 1.2;        // calls a second that a warm worker of size 1 can take
constexpr double kLife = 5;             // seconds that a connection lasts
constexpr double kUsed = 0.3;           // of what all workers can do is asked for
constexpr Time kLost = 12 * kSecond;    // a third of the workers is lost, and their clients come back at once
constexpr Time kBack = 15 * kSecond;    // one of them returns, cold
constexpr Time kListed = 16 * kSecond;  // the list tells of that
constexpr Time kEnd = 24 * kSecond;

struct Worker {
  BackendEntry entry;
  bool up = true;
  std::vector<int> sent;  // calls in each step
};

struct Client {
  int balancer = 0;
  std::uint64_t id = 0;
  std::uint64_t group = 0;
  int attempts = 0;
  int worker = -1;  // -1: it waits
};

struct Tally {
  double most = 0;  // calls in a window over what the rule allows, at the worst cold worker
  int calls = 0, answered = 0, cold = 0;
};

class Day {
 public:
  Day(int balancers, int workers, int groups, std::uint64_t seed) : chance_(seed), groups_(groups) {
    std::vector<BackendEntry> listed;
    for (int i = 0; i < workers; ++i) {
      Worker w{Bench::entry("w" + std::to_string(i), Health::serving), true, {}};
      w.entry.scale = i % 3 == 0 ? 4.5 : 1.5;
      if (joins(i)) w.entry.start_time = 3 * kSecond;
      size_ += w.entry.scale;
      workers_.push_back(w);
      listed.push_back(w.entry);
    }
    Settings s = Bench::settings();
    s.groups = true;
    s.price_probe = 0.0018;
    s.balancers = balancers;
    for (s.balancer_index = 0; s.balancer_index < balancers; ++s.balancer_index) {
      fleet_.push_back(
          std::make_unique<Bench>(s, seed * 1000 + static_cast<std::uint64_t>(s.balancer_index)));
      fleet_.back()->list(EndpointListKind::full, listed);
    }
  }

  Tally run() {
    for (now_ = 0; now_ < kEnd; now_ += kStep) {
      for (Worker& w : workers_) w.sent.push_back(0);
      trouble();
      std::poisson_distribution<int> fresh(kUsed * kPerUnit * size_ * kStep / kSecond);
      for (int calls = fresh(chance_); calls > 0; --calls) call();
      for (std::size_t b = 0; b < fleet_.size(); ++b) turn(static_cast<int>(b));
      for (Client& c : clients_)
        if (c.worker >= 0 && chance(kStep / kSecond / kLife)) end(c, Outcome::served);
      std::erase_if(clients_, [](const Client& c) { return c.id == 0; });
      count();
    }
    return tally_;
  }

 private:
  bool joins(int worker) const { return worker % 6 == 5 || worker == 0; }
  bool leaves(int worker) const { return worker % 3 == 1; }
  bool chance(double part) { return std::uniform_real_distribution<double>()(chance_) < part; }
  int any(int of) { return std::uniform_int_distribution<int>(0, of - 1)(chance_); }
  double warmth(const Worker& w) const {
    return slow_start_factor(w.entry.start_time, now_, 0.13, 24 * kSecond);
  }

  void trouble() {
    if (now_ == kLost)
      for (std::size_t i = 0; i < workers_.size(); ++i)
        if (leaves(static_cast<int>(i))) lose(static_cast<int>(i));
    if (now_ == kBack) workers_[1].up = true, workers_[1].entry.start_time = now_;
    if (now_ == kListed)
      for (auto& b : fleet_) b->list(EndpointListKind::changes, {workers_[1].entry});
  }

  // Its clients come back at once, each to any balancer.
  void lose(int worker) {
    workers_[worker].up = false;
    int back = 0;
    for (Client& c : clients_)
      if (c.worker == worker) end(c, Outcome::reset), back += 1;
    for (; back > 0; --back) call();
  }

  void call() {
    Client c;
    c.balancer = any(static_cast<int>(fleet_.size()));
    Bench& b = *fleet_[c.balancer];
    c.id = b.next_id++;
    c.group = 1 + static_cast<std::uint64_t>(any(groups_));
    tally_.calls += 1;
    b.now = now_;
    clients_.push_back(c);
    b.handle(RequestEvent{c.id, 0, 3 * kSecond, 0, false, c.group});
  }

  void end(Client& c, Outcome outcome) {
    Bench& b = *fleet_[c.balancer];
    b.now = now_;
    b.handle(ResultEvent{c.id, c.attempts - 1, true, workers_[c.worker].entry.address, 1000, outcome, {}});
    c.id = 0;
  }

  void turn(int number) {
    Bench& b = *fleet_[number];
    b.run(now_ + kStep - b.now);
    b.now = now_ + kStep;
    for (auto& [at, name] : std::exchange(b.probes, {})) answer_probe(b, name);
    for (auto& [id, name] : std::exchange(b.placed, {})) take(number, id, index(name));
    b.rejected.clear();
  }

  int index(const std::string& name) const { return std::stoi(name.substr(1)); }

  void answer_probe(Bench& b, const std::string& name) {
    const Worker& w = workers_[index(name)];
    if (!w.up) return b.handle(ProbeResultEvent{name, 1000, Outcome::connect_failed, {}});
    double held = 0;
    for (const Client& c : clients_) held += c.worker == index(name);
    b.report(name, held / (w.entry.scale * kPerUnit * kLife * warmth(w)));
  }

  void take(int balancer, std::uint64_t id, int worker) {
    Bench& b = *fleet_[balancer];
    bool told = worker != 1 || now_ < kLost || now_ >= kListed;  // the rule is broken by these alone
    workers_[worker].sent.back() += told;
    for (Client& c : clients_) {
      if (c.balancer != balancer || c.id != id) continue;
      c.attempts += 1;
      if (!workers_[worker].up)
        return b.handle(ResultEvent{
            id, c.attempts - 1, false, workers_[worker].entry.address, 1000, Outcome::connect_failed, {}});
      c.worker = worker;
      tally_.answered += 1;
      tally_.cold += warmth(workers_[worker]) < 1;
      return b.handle(EstablishedEvent{id, c.attempts - 1, 1000});
    }
  }

  // Calls in the last window over the most that the rule allows, of work that varies little.
  void count() {
    for (const Worker& w : workers_) {
      if (!w.up || warmth(w) >= 1 || w.sent.size() < kWindow) continue;
      double sent = 0;
      for (std::size_t i = w.sent.size() - kWindow; i < w.sent.size(); ++i) sent += w.sent[i];
      double n = kOverload * kPerUnit * w.entry.scale * warmth(w) * kWindow * kStep / kSecond;
      tally_.most = std::max(tally_.most, sent / (n + 2 * std::sqrt(n) + 2));
    }
  }

  std::mt19937_64 chance_;
  int groups_ = 1;
  std::vector<std::unique_ptr<Bench>> fleet_;
  std::vector<Worker> workers_;
  std::vector<Client> clients_;
  double size_ = 0;
  Time now_ = 0;
  Tally tally_;
};

}  // namespace

// A call waits for a cold worker of its group until one opens. Drawn anew for each sweep with no regard to
// the crowd of calls that wait, all let the whole crowd in: 1.2 and 1.65 times what the rule allows, on 18 of
// 60 days of 30 balancers.
TEST_CASE(
    "cold workers bear what 3, 30 and 300 balancers together send them in a burst, and get their part") {
  struct Fleet {
    int balancers, workers, groups, seeds;
    double answered, cold;  // parts of all calls, at least
  };
  auto fleet = GENERATE(Fleet{3, 12, 4, 20, 0.57, 0.002}, Fleet{3, 12, 40, 20, 0.57, 0.08},
                        Fleet{30, 12, 4, 40, 0.82, 0.15}, Fleet{30, 12, 40, 20, 0.83, 0.2},
                        Fleet{300, 60, 20, 3, 0.98, 0.04});
  Tally sum;
  for (int seed = 1; seed <= fleet.seeds; ++seed) {
    Tally day = Day(fleet.balancers, fleet.workers, fleet.groups, static_cast<std::uint64_t>(seed)).run();
    CHECK(day.most <= 1);
    sum.calls += day.calls, sum.answered += day.answered, sum.cold += day.cold;
  }
  CAPTURE(fleet.balancers, fleet.groups);
  CHECK(sum.answered >= fleet.answered * sum.calls);
  CHECK(sum.cold >= fleet.cold * sum.calls);
}

}  // namespace marblehub::test
