/// Drives the policy: turns what the fronts see into its events, carries out its actions, and keeps every
/// deadline. It owns the policy, the calls and the timers.
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
#include "core/message_monitor.h"
#include "core/ports.h"
#include "core/timer_queue.h"
#include "core/worker_directory.h"

namespace marblehub::core {

class Dispatcher {
 public:
  /// All that it refers to outlives it.
  Dispatcher(const config::Startup& startup, const Clock& clock, Prober& prober, Registry& registry,
             Counters& counters);
  ~Dispatcher();

  Time now() const { return clock_.now(); }
  /// Index of the settings' request class of that name; -1: none.
  int class_index(std::string_view name) const;
  const policy::Settings& settings() const { return settings_; }

  // ---- From the fronts.

  /// A client's call. The exchange lives until it is over and free_ended() has been called.
  Exchange& accept_call(Call call, ClientSide& client, WorkerSide& workers);

  /// A connection that stands already, at this worker: another balancer set it up, and it has come here. Its
  /// past, how long it has stood and whether its client was moved, is known only where the call says it all.
  Exchange& adopt(Call call, ClientSide& client, WorkerSide& workers, const std::string& worker,
                  std::unique_ptr<Attempt> attempt, bool history_known = false);

  void probe_result(const std::string& worker, Time rtt, Outcome outcome, const LoadReport& report);
  void list_received(const config::WorkerList& list);
  void list_failed();

  // ---- For a planner of moves.

  void set_connection_observer(ConnectionObserver& observer) { connection_observer_ = &observer; }

  /// Tells a standing connection's client to move. False where there is none by that number, or it is moving
  /// already.
  bool move(std::uint64_t id);

  /// Standing connections that the gate would not place where they stand, by its rules of now. O(standing)
  std::vector<std::uint64_t> out_of_pool() const;
  std::uint64_t placement_version() const { return gate_ ? gate_->placement_version() : 0; }

  // ---- For routes and wallets.

  /// Before the first call; it outlives the dispatcher's last step, and has the list of the start from
  /// elsewhere.
  void set_gate(CallGate& gate) { gate_ = &gate; }

  // ---- Time.

  /// The earliest moment at which advance() has something to do.
  Time next_due() const;
  void advance();
  /// To be called before each wait for the fronts' sockets, when all that was found by the last one has been
  /// handled.
  void before_wait() { waiting_since_ = now(); }
  /// Frees what is over. Only when no front is inside a call of it.
  void free_ended() { ended_.clear(); }

  // ---- A planned restart.

  /// Tells every standing connection to move, spread over `span`.
  void retire(Time span);
  /// The last moment: no call taken goes without its answer, and no client that stands without being told to
  /// move.
  void end_all();
  std::size_t unanswered() const { return unanswered_; }
  std::size_t established_count() const { return calls_.size() - unanswered_; }

  /// The workers that service discovery has named, those that drain or are gone included.
  using Worker = WorkerDirectory::Worker;
  const WorkerDirectory::Workers& workers() const { return workers_.workers(); }
  /// Grows with every list or change.
  std::uint64_t list_version() const { return workers_.version(); }

 private:
  friend class Exchange;
  enum class Answer { overload, failed };

  // ---- From exchanges.
  bool may_begin(const std::string& worker, const std::string& address) const;
  void established(Exchange& exchange);
  void message_answered(Exchange& exchange, Time delay);
  void load_changed(Exchange& exchange, double load);
  void attempt_over(Exchange& exchange, Outcome outcome, const LoadReport& report, bool terminal);
  void client_left(Exchange& exchange, bool stood);
  void redirected(Exchange& exchange, MoveReason reason);
  void watch_messages(Exchange& exchange) { messages_.watch(exchange.id_); }

  // ---- The life of a call.
  Exchange& enter(Call call, ClientSide& client, WorkerSide& workers);
  void begin_attempt(Exchange& exchange, const std::string& worker, Time wait);
  void hand_over(Exchange& exchange);
  void hand_over_again(Exchange& exchange);
  void answer(Exchange& exchange, Answer answer, Time pause, std::string_view words);
  void answer_and_close(Exchange& exchange, Answer answer, Time pause);
  void close(Exchange& exchange);
  Exchange* find(std::uint64_t id);
  Exchange* find_waiting(std::uint64_t id);

  // ---- The policy.
  void update_list(policy::EndpointListKind form, const config::WorkerList& list);
  void notify(policy::Event event);
  void handle_events();
  void carry_out(const policy::Submit& action);
  void carry_out(const policy::Reject& action);
  void carry_out(const policy::Fail& action);
  void carry_out(const policy::Redirect& action);
  void carry_out(const policy::Probe& action);
  void carry_out(const policy::WatchEndpoints& action);
  void carry_out(const policy::SetTimer& action);
  policy::RequestEvent request_of(const Exchange& exchange) const;
  policy::ResultEvent result_of(const Exchange& exchange, Outcome outcome, const LoadReport& report,
                                bool terminal) const;

  // ---- Time.
  void expire(const Timer& timer);
  void attempt_timed_out(Exchange& exchange, int attempt);
  void deadline_passed(Exchange& exchange);
  void monitor();
  void look_at_messages();
  void follow_gate();

  const policy::Settings settings_;
  const Clock& clock_;
  Prober& prober_;
  Registry& registry_;
  ConnectionObserver* connection_observer_ = nullptr;
  CallGate* gate_ = nullptr;

  policy::Balancer balancer_;
  std::deque<policy::Event> events_;  // that the policy has not seen yet
  bool handling_events_ = false;
  int balancer_count_ = 0;  // balancers, as the policy was last told; 0: as the settings say

  Exchanges calls_;
  std::vector<std::unique_ptr<Exchange>> ended_;
  std::uint64_t next_id_ = 1;
  std::size_t unanswered_ = 0;

  WorkerDirectory workers_;
  MessageMonitor messages_;
  TimerQueue timers_;
  Time waiting_since_ = 0;  // what is read now may have come at any time since; 0: not known
  DispatcherCounters counters_;
};

}  // namespace marblehub::core
