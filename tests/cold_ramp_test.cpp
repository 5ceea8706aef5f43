// The combined rate at which all balancers of a fleet send calls to a cold worker, over every window of 2 s.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "policy/slow_start/factor.h"
#include "support/policy_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kStep = 50'000, kSecond = 1'000'000;
constexpr int kWindow = 40;                  // steps in a window of 2 s
constexpr double kOverloadFactor = 2.5;      // allowed calls in a window, as a multiple of the capacity
constexpr double kCallsPerUnit = 1.2;        // calls per second that a warm worker of scale 1 can accept
constexpr double kConnectionSeconds = 5;     // mean duration of a connection
constexpr double kUtilization = 0.3;         // call rate as a fraction of the total capacity
constexpr Time kFailureTime = 12 * kSecond;  // a third of the workers fails; their clients reconnect
constexpr Time kReturnTime = 15 * kSecond;   // one of these workers restarts cold
constexpr Time kListTime = 16 * kSecond;     // the endpoint list shows the restart
constexpr Time kEndTime = 24 * kSecond;

/// A worker and the calls sent to it.
struct Worker {
  BackendEntry entry;
  bool up = true;
  std::vector<int> sent;  // calls in each step
};

/// A client with its current call.
struct Client {
  int balancer = 0;
  std::uint64_t id = 0;
  std::uint64_t group = 0;
  int attempts = 0;
  int worker = -1;  // -1: not connected
};

/// Results of a run.
struct Totals {
  double max_ratio = 0;                   // maximum over cold workers and windows: calls / allowed calls
  int calls = 0, answered = 0, cold = 0;  // cold: calls established at a cold worker
};

/// Several balancers with shared workers on one clock. Some workers start cold, and a third fails during the
/// run.
class RecoverySimulation {
 public:
  RecoverySimulation(int balancers, int workers, int groups, std::uint64_t seed)
      : rng_(seed), groups_(groups) {
    std::vector<BackendEntry> listed;
    for (int i = 0; i < workers; ++i) {
      Worker w{PolicyFixture::entry("w" + std::to_string(i), Health::serving), true, {}};
      w.entry.scale = i % 3 == 0 ? 4.5 : 1.5;
      if (starts_cold(i)) w.entry.start_time = 3 * kSecond;
      total_scale_ += w.entry.scale;
      workers_.push_back(w);
      listed.push_back(w.entry);
    }
    Settings s = PolicyFixture::settings();
    s.groups = true;
    s.price_probe = 0.0018;
    s.balancers = balancers;
    for (s.balancer_index = 0; s.balancer_index < balancers; ++s.balancer_index) {
      balancers_.push_back(
          std::make_unique<PolicyFixture>(s, seed * 1000 + static_cast<std::uint64_t>(s.balancer_index)));
      balancers_.back()->list(EndpointListKind::full, listed);
    }
  }

  Totals run() {
    for (now_ = 0; now_ < kEndTime; now_ += kStep) {
      for (Worker& w : workers_) w.sent.push_back(0);
      apply_failures();
      std::poisson_distribution<int> arrivals(kUtilization * kCallsPerUnit * total_scale_ * kStep / kSecond);
      for (int calls = arrivals(rng_); calls > 0; --calls) start_call();
      for (std::size_t b = 0; b < balancers_.size(); ++b) run_balancer(static_cast<int>(b));
      for (Client& c : clients_)
        if (c.worker >= 0 && with_probability(kStep / kSecond / kConnectionSeconds))
          end_call(c, Outcome::served);
      std::erase_if(clients_, [](const Client& c) { return c.id == 0; });
      update_max_ratio();
    }
    return totals_;
  }

 private:
  bool starts_cold(int worker) const { return worker % 6 == 5 || worker == 0; }
  bool fails_during_run(int worker) const { return worker % 3 == 1; }
  bool with_probability(double p) { return std::uniform_real_distribution<double>()(rng_) < p; }
  int random_index(int size) { return std::uniform_int_distribution<int>(0, size - 1)(rng_); }
  double capacity_factor(const Worker& w) const {
    return slow_start_factor(w.entry.start_time, now_, 0.13, 24 * kSecond);
  }

  void apply_failures() {
    if (now_ == kFailureTime)
      for (std::size_t i = 0; i < workers_.size(); ++i)
        if (fails_during_run(static_cast<int>(i))) fail_worker(static_cast<int>(i));
    if (now_ == kReturnTime) workers_[1].up = true, workers_[1].entry.start_time = now_;
    if (now_ == kListTime)
      for (auto& b : balancers_) b->list(EndpointListKind::changes, {workers_[1].entry});
  }

  // The clients of the worker reconnect immediately, each to a random balancer.
  void fail_worker(int worker) {
    workers_[worker].up = false;
    int reconnecting = 0;
    for (Client& c : clients_)
      if (c.worker == worker) end_call(c, Outcome::reset), reconnecting += 1;
    for (; reconnecting > 0; --reconnecting) start_call();
  }

  void start_call() {
    Client c;
    c.balancer = random_index(static_cast<int>(balancers_.size()));
    PolicyFixture& b = *balancers_[c.balancer];
    c.id = b.next_id++;
    c.group = 1 + static_cast<std::uint64_t>(random_index(groups_));
    totals_.calls += 1;
    b.now = now_;
    clients_.push_back(c);
    b.handle(RequestEvent{c.id, 0, 3 * kSecond, 0, false, c.group});
  }

  void end_call(Client& c, Outcome outcome) {
    PolicyFixture& b = *balancers_[c.balancer];
    b.now = now_;
    b.handle(ResultEvent{c.id, c.attempts - 1, true, workers_[c.worker].entry.address, 1000, outcome, {}});
    c.id = 0;
  }

  void run_balancer(int number) {
    PolicyFixture& b = *balancers_[number];
    b.run(now_ + kStep - b.now);
    b.now = now_ + kStep;
    for (auto& [at, name] : std::exchange(b.probes, {})) answer_probe(b, name);
    for (auto& [id, name] : std::exchange(b.placed, {})) deliver_submit(number, id, index(name));
    b.rejected.clear();
  }

  int index(const std::string& name) const { return std::stoi(name.substr(1)); }

  void answer_probe(PolicyFixture& b, const std::string& name) {
    const Worker& w = workers_[index(name)];
    if (!w.up) return b.handle(ProbeResultEvent{name, 1000, Outcome::connect_failed, {}});
    double connections = 0;
    for (const Client& c : clients_) connections += c.worker == index(name);
    b.report(name, connections / (w.entry.scale * kCallsPerUnit * kConnectionSeconds * capacity_factor(w)));
  }

  void deliver_submit(int balancer, std::uint64_t id, int worker) {
    PolicyFixture& b = *balancers_[balancer];
    // Calls to worker 1 do not count until the list shows that it has restarted.
    bool counted = worker != 1 || now_ < kFailureTime || now_ >= kListTime;
    workers_[worker].sent.back() += counted;
    for (Client& c : clients_) {
      if (c.balancer != balancer || c.id != id) continue;
      c.attempts += 1;
      if (!workers_[worker].up)
        return b.handle(ResultEvent{
            id, c.attempts - 1, false, workers_[worker].entry.address, 1000, Outcome::connect_failed, {}});
      c.worker = worker;
      totals_.answered += 1;
      totals_.cold += capacity_factor(workers_[worker]) < 1;
      return b.handle(EstablishedEvent{id, c.attempts - 1, 1000});
    }
  }

  // The limit allows for the statistical variation of the number of calls.
  void update_max_ratio() {
    for (const Worker& w : workers_) {
      if (!w.up || capacity_factor(w) >= 1 || w.sent.size() < kWindow) continue;
      double sent = 0;
      for (std::size_t i = w.sent.size() - kWindow; i < w.sent.size(); ++i) sent += w.sent[i];
      double n =
          kOverloadFactor * kCallsPerUnit * w.entry.scale * capacity_factor(w) * kWindow * kStep / kSecond;
      totals_.max_ratio = std::max(totals_.max_ratio, sent / (n + 2 * std::sqrt(n) + 2));
    }
  }

  std::mt19937_64 rng_;
  int groups_ = 1;
  std::vector<std::unique_ptr<PolicyFixture>> balancers_;
  std::vector<Worker> workers_;
  std::vector<Client> clients_;
  double total_scale_ = 0;
  Time now_ = 0;
  Totals totals_;
};

}  // namespace

// Calls of a group wait until a cold worker opens. The probability must account for the number of waiting
// calls, otherwise a burst overloads the worker.
TEST_CASE(
    "bursts from 3, 30 and 300 balancers stay within the capacity of cold workers, which still get calls") {
  struct FleetCase {
    int balancers, workers, groups, seeds;
    double answered, cold;  // minimum fractions of all calls
  };
  auto fleet = GENERATE(FleetCase{3, 12, 4, 20, 0.57, 0.002}, FleetCase{3, 12, 40, 20, 0.57, 0.08},
                        FleetCase{30, 12, 4, 40, 0.82, 0.15}, FleetCase{30, 12, 40, 20, 0.83, 0.2},
                        FleetCase{300, 60, 20, 3, 0.98, 0.04});
  Totals sum;
  for (int seed = 1; seed <= fleet.seeds; ++seed) {
    Totals result =
        RecoverySimulation(fleet.balancers, fleet.workers, fleet.groups, static_cast<std::uint64_t>(seed))
            .run();
    CHECK(result.max_ratio <= 1);
    sum.calls += result.calls, sum.answered += result.answered, sum.cold += result.cold;
  }
  CAPTURE(fleet.balancers, fleet.groups);
  CHECK(sum.answered >= fleet.answered * sum.calls);
  CHECK(sum.cold >= fleet.cold * sum.calls);
}

}  // namespace marblehub::test
