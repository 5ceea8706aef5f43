// Simulates balancers, clients, workers, a session store and a registry on one virtual clock. The simulation
// shares no placement rule with the balancer and checks properties that hold under any settings.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <vector>

#include "policy/slow_start/factor.h"
#include "policy/state/decaying_value.h"
#include "random_deployment.h"

namespace marblehub::random_settings {

constexpr Time kMs = 1000, kS = 1'000'000;
// Attempts may still reach a draining worker this long after its drain is known.
constexpr Time kDrainGrace = 250 * kMs;

// A checked property does not hold; RapidCheck reports the text.
struct PropertyViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Makes a balancer's placement decisions: the balancer under test, or the policy it is compared with.
struct Policy {
  virtual ~Policy() = default;
  virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;
};

// Counts and totals of a period.
struct Statistics {
  double requested = 0, served = 0;  // value of connection-seconds, from each client's first call
  long calls = 0, refused = 0;       // calls of clients, retries included; those refused or failed
  long attempts = 0, probes = 0, moves = 0;
  double net_value(const Deployment& d) const {  // served share minus the price of probes
    return served / requested - d.price_probe * static_cast<double>(probes) / static_cast<double>(calls);
  }
};

// Owns all parts of the simulation. Times are in microseconds. run() and finish() throw PropertyViolation
// when a checked property does not hold.
class SimulatedFleet {
 public:
  // `random_policy` places attempts on random workers. The first client comes `clients_from` microseconds
  // after the balancers have started.
  explicit SimulatedFleet(const Deployment& deployment, bool random_policy = false, Time clients_from = 0);
  ~SimulatedFleet();

  void run(Time span);  // clients arrive throughout
  void finish();        // stops arrivals, waits until all calls end and checks that none is left

  Statistics take_statistics();  // statistics since the previous call

  // Failures, which last until they are undone.
  void set_errors(bool on, bool probes_too);  // all workers answer every call with an error
  void set_store_available(bool on) { store_out_ = !on; }
  void kill(std::size_t worker);    // connections are reset, new ones refused
  void revive(std::size_t worker);  // restarts it with a cold start
  void drain(std::size_t worker);
  void set_registry_available(bool on);
  std::size_t worker_count() const { return static_cast<std::size_t>(deployment_.workers); }
  Time now() const { return now_; }
  const Deployment& deployment() const { return deployment_; }
  int unaware_balancers(std::size_t worker) const;  // number of balancers that do not know that it drains

  // Attempts of a balancer since all workers began to answer with errors: before its first error, and in
  // total.
  struct ErrorStorm {
    int before_error = 0, total = 0;
    bool error_seen = false;
  };
  const std::vector<ErrorStorm>& error_storm() const { return error_storm_; }

 private:
  struct Client;
  struct Call;
  struct Worker;
  struct SimulatedBalancer;
  using Task = std::function<void()>;
  // A task at a virtual time; `order` breaks ties.
  struct ScheduledTask {
    Time when;
    std::uint64_t order;
    Task task;
    bool operator>(const ScheduledTask& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  void schedule(Time when, Task task) { tasks_.push({when, order_++, std::move(task)}); }
  double uniform(std::mt19937_64& of) { return static_cast<double>(of() >> 11) * 0x1p-53; }
  Call* find_call(std::size_t balancer, std::uint64_t id);

  void next_client();
  void start_call(std::shared_ptr<Client> client);
  void call_again(std::shared_ptr<Client> client, Time after, bool broken);
  void send_event(std::size_t balancer, const Event& event);
  void execute(std::size_t balancer, const Submit& action);
  void execute(std::size_t balancer, const Reject& action) {
    answer_call(balancer, action.id, action.retry_after);
  }
  void execute(std::size_t balancer, const Fail& action) { answer_call(balancer, action.id, 0); }
  void execute(std::size_t balancer, const Redirect& action);
  void execute(std::size_t balancer, const Probe& action);
  void execute(std::size_t balancer, const WatchEndpoints&);
  void execute(std::size_t balancer, const SetTimer& action);
  void answer_call(std::size_t balancer, std::uint64_t id, Time pause);
  void attempt_received(std::size_t balancer, std::uint64_t id, int attempt);
  void connection_established(std::size_t balancer, std::uint64_t id, int attempt);
  void report_result(std::size_t balancer, std::uint64_t id, int attempt, Outcome outcome, bool terminal);
  // Sends events for unknown or ended calls, attempts and workers, which a balancer must ignore.
  void send_stale_events(std::size_t balancer);

  double load_level(const Worker& w) const;
  void advance(Worker& w);
  LoadReport load_report(Worker& w, bool with_result);
  void announce_worker(std::size_t worker);
  BackendEntry entry(std::size_t worker) const;
  std::size_t worker_index(const std::string& address) const;

  Deployment deployment_;
  Time now_ = 100 * kS;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>> tasks_;
  std::uint64_t order_ = 0, next_id_ = 1, next_number_ = 1;
  std::mt19937_64 arrival_rng_, rng_;
  bool accepting_clients_ = true, errors_ = false, errors_on_probes_ = false, store_out_ = false,
       registry_out_ = false;
  Time store_free_ = 0;
  std::vector<Worker> workers_;
  std::vector<SimulatedBalancer> balancers_;
  std::vector<ErrorStorm> error_storm_;
  Statistics statistics_;
  double served_ = 0;
};

}  // namespace marblehub::random_settings
