/// A simulated balancer: the dispatcher, policy and planner of the program on virtual time, and the clients
/// connected to it. The ports of the core (core/ports.h) lead to the simulated network instead of sockets.
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

/// Totals of one balancer over the run.
struct BalancerStatistics {
  long calls = 0, refused = 0, failed = 0, gave_up = 0;
  long planned = 0, redirected = 0, lost = 0;
  double wanted_seconds = 0;        // client-seconds during which clients needed a connection
  double disconnected_seconds = 0;  // the part of them without a connection
  std::vector<Time> move_times;     // of planner moves, in order
  std::vector<float> setup_ms;      // the first set-up times
  std::array<double, rebalance::kPlannerStateCount> planner_seconds{};  // by state of the planner

  /// Accounts for a client's period from `state_since` to `until`, with or without a connection.
  void add_connected_time(const Client& client, Time until) {
    wanted_seconds += static_cast<double>(std::max<Time>(0, until - client.state_since)) / 1e6;
  }
  void add_disconnected_time(const Client& client, Time until) {
    add_connected_time(client, until);
    disconnected_seconds += static_cast<double>(std::max<Time>(0, until - client.state_since)) / 1e6;
  }
};

/// The logical process of one balancer.
class BalancerProcess : public LogicalProcess,
                        public core::Clock,
                        public core::Prober,
                        public core::Registry {
 public:
  BalancerProcess(const Scenario& scenario, const Topology& topology, std::uint32_t number,
                  std::uint64_t seed);
  ~BalancerProcess() override;

  /// Starts the dispatcher and schedules the first events; after Engine::add and before the run.
  void start();
  /// Adds a client that is connected to `worker` at the start of the run; returns the key of the connection
  /// at the worker.
  std::uint64_t add_initial_connection(const Client& client, int worker);
  void handle(const Event& event) override;
  /// After the run: accounts for the remaining clients and checks for calls without an answer.
  void finish(Time end);

  const BalancerStatistics& statistics() const { return statistics_; }
  const RuleViolations& rules() const { return rules_; }
  /// Appends a line for each client event to `log`, which is not owned.
  void set_log(std::string* log) { log_ = log; }

  // core::Clock, core::Prober, core::Registry
  Time now() const override { return LogicalProcess::now(); }
  void probe(const std::string& worker, const std::string& address) override;
  void watch_endpoints() override;

 private:
  struct Session;    // a client at this balancer
  class Attempt;     // an attempt of a call at a worker
  class WorkerPort;  // the port through which the dispatcher begins attempts

  void start_dispatcher();  // at the start and after a crash
  void run_dispatcher();    // runs what is due and schedules the next timer event
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
  // A worker as reported to this balancer, with the sessions connected to it.
  struct KnownWorker {
    bool leaving = false;
    Time leaving_since = 0;
    std::vector<std::uint32_t> sessions;  // slots
    std::uint32_t pending_sender = 0;     // slot whose message is unanswered, plus 1; 0: none
    Time message_sent_at = 0;
    bool all_sent = false;  // all sessions have sent a message since
  };
  std::vector<KnownWorker> known_workers_;
  std::vector<Time> probe_sent_at_;                  // by worker; -1: no probe is pending
  std::deque<std::pair<Time, int>> pending_probes_;  // in order of sending, answered ones included
  std::map<std::uint32_t, Event> latest_updates_;    // of the registry, by worker
  std::uint32_t next_client_ = 0;
  std::size_t message_rounds_ = 0;
  BalancerStatistics statistics_;
  RuleViolations rules_;
  std::string* log_ = nullptr;
};

}  // namespace marblehub::model
