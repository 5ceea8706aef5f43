// A balancer of the model: the program's own dispatcher, module and planner on virtual time, with the clients
// that are there. The ports of the core (core/ports.h) lead to the model's net instead of to sockets.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "model/rules.h"
#include "model/worker.h"
#include "rebalance/driver.h"

namespace marblehub::model {

struct HostFigures {
  long calls = 0, refused = 0, failed = 0, gave_up = 0;
  long planned = 0, told = 0, lost = 0;
  double wanted = 0;                                            // client-seconds of wish
  double without = 0;                                           // of them without a connection
  std::vector<Time> moved;                                      // for balance, in order
  std::vector<float> set_up_ms;                                 // a sample of them
  std::array<double, rebalance::kPlannerStateCount> seconds{};  // of the planner, in each state

  // From when it began to want one until then the client had a connection, or had none.
  void had(const Client& client, Time until) {
    wanted += static_cast<double>(std::max<Time>(0, until - client.wanting_since)) / 1e6;
  }
  void went_without(const Client& client, Time until) {
    had(client, until);
    without += static_cast<double>(std::max<Time>(0, until - client.wanting_since)) / 1e6;
  }
};

class Host : public Lane, public core::Clock, public core::Prober, public core::Registry {
 public:
  Host(const Scenario& scenario, const Places& places, std::uint32_t number, std::uint64_t seed);
  ~Host() override;

  void begin();  // once its number is known; before the run
  // A client that stands at `worker` from the beginning; the key under which the worker knows it.
  std::uint64_t stands_already(const Client& client, int worker);
  void happens(const Event& event) override;
  void finish(Time end);  // after the run: what is still wanted is counted, what is owed is checked

  const HostFigures& figures() const { return figures_; }
  const Rules& rules() const { return rules_; }
  void log_to(std::string* log) { log_ = log; }  // one line an event, for a replay

  // core::Clock, core::Prober, core::Registry
  Time now() const override { return Lane::now(); }
  void probe(const std::string& worker, const std::string& address) override;
  void watch_endpoints() override;

 private:
  struct Session;    // a client that is here
  class Attempt;     // a call that is out at a worker
  class WorkerPort;  // the worker's side

  void live();  // makes the dispatcher, at start and after a death
  void settle();
  Session& session_for(const Client& client);
  core::Call call_of(const Session& session) const;
  void arrives(const Client& client);
  void ask(Session& session);
  void goes(Session& session, Time after, bool returned);
  void retries(Session& session, Time after);
  void free(Session& session);
  Session* session_of(std::uint64_t key);
  void listed(const Event& event);
  void tick();
  void message(Session& session);
  void dies();
  void drops(double share, Time within);
  void spawn();
  void planned_step();
  void wish_over(const Event& event);
  void attempt_event(const Event& event);
  void probe_answered(const Event& event);
  void message_answered(const Event& event);
  void probes_due();
  void move_some(double share);
  config::WorkerEntry entry_of(int worker) const;
  const std::string& name(int worker) const { return places_.names[static_cast<std::size_t>(worker)]; }
  Event event_for(What what) const;
  void send_worker(What what, int worker, std::uint64_t key, const Client* client);
  Time hop() { return hop_time(scenario_, net_); }
  void note(const char* what, const Session& session, const std::string& more = {});

  const Scenario& scenario_;
  const Places& places_;
  const std::uint32_t host_;
  const std::uint64_t seed_;
  Stream net_, spawn_, choice_;
  config::Startup startup_;
  std::optional<metrics::Registry> metrics_;
  std::optional<rebalance::Counters> counters_;
  std::unique_ptr<WorkerPort> workers_side_;
  std::unique_ptr<core::Dispatcher> dispatcher_;
  std::unique_ptr<rebalance::Driver> driver_;
  bool alive_ = true, tracking_ = false, planning_ = false, over_ = false;
  Time wake_at_ = -1;
  std::deque<Session> sessions_;
  std::vector<std::uint32_t> free_sessions_;
  struct Known {  // of a worker, as this balancer was told
    bool leaving = false;
    Time told = 0;
    std::vector<std::uint32_t> sessions;  // that stand there
    std::uint32_t speaks = 0;             // whose message is out, plus 1
    Time spoke_at = 0;
    bool all_speak = false;
  };
  std::vector<Known> known_;
  std::vector<Time> probes_;                      // when sent, by worker; -1: none is out
  std::deque<std::pair<Time, int>> probe_order_;  // all, those answered included
  std::map<std::uint32_t, Event> latest_;         // what the registry has to tell of each worker
  std::uint32_t next_client_ = 0;
  std::size_t ticks_ = 0;
  HostFigures figures_;
  Rules rules_;
  std::string* log_ = nullptr;
};

}  // namespace marblehub::model
