// Balancers' modules, clients, workers, a session store and a registry on one virtual clock. All is plain on
// purpose: the fleet shares no rule with the module and holds it to what must be true under any settings.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <vector>

#include "drawn.h"
#include "policy/slow_start/factor.h"
#include "policy/state/decaying_value.h"

namespace marblehub::settings_play {

constexpr Time kMs = 1000, kS = 1'000'000;
constexpr Time kGrace = 250 * kMs;  // after a drain is told: the shorter of the two deployments' figures

struct Wrong : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Who decides: the module, or what it is measured against.
struct Policy {
  virtual ~Policy() = default;
  virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;
};

struct Figures {
  double asked = 0, served = 0;  // worth of connection-seconds, from each client's first call on
  long calls = 0, refused = 0;   // tries of clients; answered with a refusal or a failure
  long attempts = 0, probes = 0, moves = 0;
  double priced(const Drawn& d) const {  // as settings price it, of 1
    return served / asked - d.price_probe * static_cast<double>(probes) / static_cast<double>(calls);
  }
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const Drawn& drawn,
                          bool by_chance = false);  // by_chance: a random worker for each attempt
  ~SimulatedFleet();

  void run(Time span);  // clients come all the while
  void end();           // none come any more: all is over after a while, and nothing may be owed

  Figures since_last();  // what came of the time since the last call

  // Troubles, each until it is told otherwise.
  void errors(bool on, bool probes_too);  // all workers answer every call with an error
  void store(bool on) { store_out_ = !on; }
  void kill(std::size_t worker);    // connections are reset, new ones refused
  void revive(std::size_t worker);  // cold
  void drain(std::size_t worker);
  void registry(bool on);
  std::size_t workers() const { return static_cast<std::size_t>(drawn_.workers); }
  Time now() const { return now_; }
  const Drawn& drawn() const { return drawn_; }
  int untold(std::size_t worker) const;  // balancers that do not know that it leaves

  // Attempts since the error storm began, at each balancer before its first error and in all.
  struct Storm {
    int before = 0, all = 0;
    bool met = false;
  };
  const std::vector<Storm>& storm() const { return storm_; }

 private:
  struct Client;
  struct Call;
  struct Worker;
  struct Balancing;
  using Deed = std::function<void()>;
  struct Due {
    Time when;
    std::uint64_t order;
    Deed deed;
    bool operator>(const Due& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  void at(Time when, Deed deed) { due_.push({when, order_++, std::move(deed)}); }
  double uniform(std::mt19937_64& of) { return static_cast<double>(of() >> 11) * 0x1p-53; }
  Call* call(std::size_t balancer, std::uint64_t id);

  void next_client();
  void comes(std::shared_ptr<Client> client);
  void again(std::shared_ptr<Client> client, Time after, bool broken);
  void tell(std::size_t balancer, const Event& event);
  void act(std::size_t balancer, const Submit& action);
  void act(std::size_t balancer, const Reject& action) { answer(balancer, action.id, action.retry_after); }
  void act(std::size_t balancer, const Fail& action) { answer(balancer, action.id, 0); }
  void act(std::size_t balancer, const Redirect& action);
  void act(std::size_t balancer, const Probe& action);
  void act(std::size_t balancer, const WatchEndpoints&);
  void act(std::size_t balancer, const SetTimer& action);
  void answer(std::size_t balancer, std::uint64_t id, Time pause);
  void reaches(std::size_t balancer, std::uint64_t id, int attempt);
  void stands(std::size_t balancer, std::uint64_t id, int attempt);
  void result(std::size_t balancer, std::uint64_t id, int attempt, Outcome outcome, bool terminal);
  void nonsense(std::size_t balancer);

  double level(const Worker& w) const;
  void advance(Worker& w);
  LoadReport report(Worker& w, bool with_result);
  void list_changed(std::size_t worker);
  BackendEntry entry(std::size_t worker) const;
  std::size_t number(const std::string& address) const;

  Drawn drawn_;
  Time now_ = 100 * kS;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0, next_id_ = 1, next_number_ = 1;
  std::mt19937_64 arrivals_, chance_;
  bool open_ = true, errors_ = false, errors_on_probes_ = false, store_out_ = false, registry_out_ = false;
  Time store_free_ = 0;
  std::vector<Worker> workers_;
  std::vector<Balancing> balancers_;
  std::vector<Storm> storm_;
  Figures figures_;
  double served_ = 0;
};

}  // namespace marblehub::settings_play
