/// Drives the policy: converts input from the fronts into its events, executes its actions, and enforces
/// deadlines.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/call_gate.h"
#include "core/connection_observer.h"
#include "core/dispatcher_counters.h"
#include "core/exchange.h"
#include "core/executed_calls.h"
#include "core/message_monitor.h"
#include "core/ports.h"
#include "core/timer_queue.h"
#include "core/worker_directory.h"

namespace marblehub::core {

/// Owns the policy, the calls and the timers. Single-threaded: every function is called on the event loop.
class Dispatcher {
 public:
  /// All arguments taken by reference, other than `startup`, must outlive the dispatcher.
  Dispatcher(const config::Startup& startup, const Clock& clock, Prober& prober, Registry& registry,
             Counters& counters);
  ~Dispatcher();

  Time now() const { return clock_.now(); }
  /// The index of a request class in the settings; -1 if there is none of that name.
  int class_index(std::string_view name) const;
  const policy::Settings& settings() const { return settings_; }

  // ---- Called by the fronts.

  /// Accepts a client's call. The exchange is valid until it is over and free_ended() has been called.
  Exchange& accept_call(Call call, ClientSide& client, WorkerSide& workers);

  /// Adds a connection to this worker that another balancer established. Without `history_known`, it
  /// counts as pre-existing: its age, and whether its client was moved before, are unknown.
  Exchange& adopt(Call call, ClientSide& client, WorkerSide& workers, const std::string& worker,
                  std::unique_ptr<Attempt> attempt, bool history_known = false);

  /// Reports the end of a probe. `rtt` is in microseconds; `report` holds the load, if the worker sent it.
  void probe_result(const std::string& worker, Time rtt, Outcome outcome, const LoadReport& report);
  /// Reports an answer of service discovery: a full list, or changes to the last one.
  void list_received(const config::WorkerList& list);
  /// Reports that a request to service discovery has failed. `reachable`: it was connected to.
  void list_failed(bool reachable);
  /// Whether calls are placed; before that they wait for the worker list to be confirmed.
  bool is_ready() const { return list_state() != policy::EndpointListState::unconfirmed; }
  policy::EndpointListState list_state() const { return balancer_.endpoint_list_state(); }

  // ---- Used by the rebalancing planner.

  /// `observer` is not owned; it must exist as long as the dispatcher is used.
  void set_connection_observer(ConnectionObserver& observer) { connection_observer_ = &observer; }

  /// Requests the client of an established connection to move. Returns false if there is no such connection
  /// or its move is already pending.
  bool move(std::uint64_t id);

  /// Established connections that the gate would no longer place at their worker. Linear in their number.
  std::vector<std::uint64_t> out_of_pool() const;
  /// See CallGate::placement_version(); 0 without a gate.
  std::uint64_t placement_version() const { return gate_ ? gate_->placement_version() : 0; }

  // ---- Used by routes and wallets.

  /// To be called before the first call is accepted. The gate must outlive the dispatcher's use of it; it is
  /// not sent the worker list that the dispatcher started with.
  void set_gate(CallGate& gate) { gate_ = &gate; }

  // ---- Time.

  /// When the next timer is due.
  Time next_due() const;
  /// Handles all timers that are due.
  void advance();
  /// To be called before each poll of the fronts' sockets, after the events of the previous poll have been
  /// handled.
  void before_wait() { poll_started_at_ = now(); }
  /// Frees exchanges that are over. Must not be called while a function of an exchange is running.
  void free_ended() { ended_.clear(); }

  // ---- A planned restart.

  /// Requests the client of every established connection to move, spread evenly over `span`.
  void retire(Time span);
  /// Ends everything before the program exits: answers every waiting call, as the policy decides, and
  /// requests the client of every established connection to move.
  void end_all();
  /// The number of calls waiting for their answer.
  std::size_t unanswered() const { return unanswered_; }
  std::size_t established_count() const { return calls_.size() - unanswered_; }

  /// All workers that service discovery has listed, including draining and deleted ones.
  using Worker = WorkerDirectory::Worker;
  const WorkerDirectory::Workers& workers() const { return workers_.workers(); }
  /// Incremented by every list and every change of one.
  std::uint64_t list_version() const { return workers_.version(); }

 private:
  friend class Exchange;
  /// Final answers to a call other than success.
  enum class Answer { overload, failed };

  // ---- Called by exchanges.
  bool may_begin(const Exchange& exchange) const;
  void established(Exchange& exchange);
  void message_answered(Exchange& exchange, Time delay);
  void load_changed(Exchange& exchange, double load);
  void attempt_over(Exchange& exchange, Outcome outcome, const LoadReport& report, bool terminal);
  void remember_executed(const Exchange& exchange);
  void client_left(Exchange& exchange, bool was_established);
  void redirected(Exchange& exchange, MoveReason reason);
  void watch_messages(Exchange& exchange) { messages_.watch(exchange.id_); }

  // ---- Calls.
  Exchange& register_call(Call call, ClientSide& client, WorkerSide& workers);
  void begin_attempt(Exchange& exchange, const std::string& worker, Time wait);
  void answer(Exchange& exchange, Answer answer, Time pause, std::string_view error_text);
  void answer_and_close(Exchange& exchange, Answer answer, Time pause);
  void close(Exchange& exchange);
  void end_call(Exchange& exchange);
  bool repeat_is_allowed(const Exchange& exchange, const DedupGroup& next) const;
  const policy::RequestClass& class_of(const Exchange& exchange) const;
  Exchange* find(std::uint64_t id);
  Exchange* find_waiting(std::uint64_t id);

  // ---- The policy.
  void update_list(policy::EndpointListKind kind, const config::WorkerList& list);
  void log_changes(const config::WorkerList& list) const;
  void notify(policy::Event event);
  void handle_events();
  void execute(const policy::Submit& action);
  void execute(const policy::Reject& action);
  void execute(const policy::Fail& action);
  void execute(const policy::Redirect& action);
  void execute(const policy::Probe& action);
  void execute(const policy::WatchEndpoints& action);
  void execute(const policy::SetTimer& action);
  policy::RequestEvent request_of(const Exchange& exchange) const;
  policy::ResultEvent result_of(const Exchange& exchange, Outcome outcome, const LoadReport& report,
                                bool terminal) const;

  // ---- Time.
  void expire(const Timer& timer);
  void attempt_timed_out(Exchange& exchange, int attempt);
  void deadline_passed(Exchange& exchange);
  void monitor();
  void check_messages();
  void sync_with_gate();

  const policy::Settings settings_;
  const Clock& clock_;
  Prober& prober_;
  Registry& registry_;
  ConnectionObserver* connection_observer_ = nullptr;
  CallGate* gate_ = nullptr;

  policy::Balancer balancer_;
  std::deque<policy::Event> events_;  // not yet passed to the policy
  bool handling_events_ = false;
  int balancer_count_ = 0;  // last passed to the policy; 0: the settings apply

  Exchanges calls_;
  std::vector<std::unique_ptr<Exchange>> ended_;
  std::uint64_t next_id_ = 1;
  std::size_t unanswered_ = 0;

  WorkerDirectory workers_;
  ExecutedCalls executed_calls_;
  MessageMonitor messages_;
  TimerQueue timers_;
  Time poll_started_at_ = 0;  // input read now may have arrived since; 0: unknown
  DispatcherCounters counters_;
};

}  // namespace marblehub::core
