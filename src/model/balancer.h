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

struct BalancerStatistics {
  long calls = 0, refused = 0, failed = 0, gave_up = 0;
  long planned = 0, redirected = 0, lost = 0;
  double wanted_seconds = 0;                                            // client-seconds of wish
  double disconnected_seconds = 0;                                      // of them without a connection
  std::vector<Time> move_times;                                         // for balance, in order
  std::vector<float> setup_ms;                                          // a sample of them
  std::array<double, rebalance::kPlannerStateCount> planner_seconds{};  // of the planner, in each state

  // From when it began to want one until then the client had a connection, or had none.
  void add_connected_time(const Client& client, Time until) {
    wanted_seconds += static_cast<double>(std::max<Time>(0, until - client.state_since)) / 1e6;
  }
  void add_disconnected_time(const Client& client, Time until) {
    add_connected_time(client, until);
    disconnected_seconds += static_cast<double>(std::max<Time>(0, until - client.state_since)) / 1e6;
  }
};

class BalancerProcess : public LogicalProcess,
                        public core::Clock,
                        public core::Prober,
                        public core::Registry {
 public:
  BalancerProcess(const Scenario& scenario, const Topology& topology, std::uint32_t number,
                  std::uint64_t seed);
  ~BalancerProcess() override;

  void start();  // once its number is known; before the run
  // A client that stands at `worker` from the beginning; the key under which the worker knows it.
  std::uint64_t add_initial_connection(const Client& client, int worker);
  void handle(const Event& event) override;
  void finish(Time end);  // after the run: what is still wanted is counted, what is owed is checked

  const BalancerStatistics& statistics() const { return statistics_; }
  const RuleViolations& rules() const { return rules_; }
  void set_log(std::string* log) { log_ = log; }  // one line an event, for a replay

  // core::Clock, core::Prober, core::Registry
  Time now() const override { return LogicalProcess::now(); }
  void probe(const std::string& worker, const std::string& address) override;
  void watch_endpoints() override;

 private:
  struct Session;    // a client that is here
  class Attempt;     // a call that is out at a worker
  class WorkerPort;  // the worker's side

  void start_dispatcher();  // makes the dispatcher, at start and after a death
  void run_dispatcher();
  Session& open_session(const Client& client);
  core::Call make_call(const Session& session) const;
  void handle_arrival(const Client& client);
  void start_call(Session& session);
  void reconnect_later(Session& session, Time after, bool returned);
  void retry_later(Session& session, Time after);
  void release(Session& session);
  Session* find_session(std::uint64_t key);
  void handle_endpoint_update(const Event& event);
  void send_messages();
  void send_message(Session& session);
  void crash();
  void drop_connections(double share, Time within);
  void create_client();
  void run_planner();
  void handle_departure(const Event& event);
  void handle_attempt_event(const Event& event);
  void handle_probe_reply(const Event& event);
  void handle_message_reply(const Event& event);
  void expire_probes();
  void force_moves(double share);
  config::WorkerEntry entry_of(int worker) const;
  const std::string& name(int worker) const { return topology_.names[static_cast<std::size_t>(worker)]; }
  Event make_event(EventType type) const;
  void send_to_worker(EventType type, int worker, std::uint64_t key, const Client* client);
  Time hop_delay() { return random_hop_delay(scenario_, network_rng_); }
  void log_event(const char* text, const Session& session, const std::string& more = {});

  const Scenario& scenario_;
  const Topology& topology_;
  const std::uint32_t index_;
  const std::uint64_t seed_;
  RandomStream network_rng_, arrival_rng_, choice_rng_;
  config::Startup startup_;
  std::optional<metrics::Registry> metrics_;
  std::optional<rebalance::Counters> counters_;
  std::unique_ptr<WorkerPort> worker_port_;
  std::unique_ptr<core::Dispatcher> dispatcher_;
  std::unique_ptr<rebalance::Driver> driver_;
  bool alive_ = true, watching_ = false, planning_ = false, shutting_down_ = false;
  Time timer_at_ = -1;
  std::deque<Session> sessions_;
  std::vector<std::uint32_t> free_sessions_;
  struct KnownWorker {  // of a worker, as this balancer was told
    bool leaving = false;
    Time leaving_since = 0;
    std::vector<std::uint32_t> sessions;  // that stand there
    std::uint32_t pending_sender = 0;     // whose message is out, plus 1
    Time message_sent_at = 0;
    bool all_sent = false;
  };
  std::vector<KnownWorker> known_workers_;
  std::vector<Time> probe_sent_at_;                  // when sent, by worker; -1: none is out
  std::deque<std::pair<Time, int>> pending_probes_;  // all, those answered included
  std::map<std::uint32_t, Event> latest_updates_;    // what the registry has to tell of each worker
  std::uint32_t next_client_ = 0;
  std::size_t message_rounds_ = 0;
  BalancerStatistics statistics_;
  RuleViolations rules_;
  std::string* log_ = nullptr;
};

}  // namespace marblehub::model
