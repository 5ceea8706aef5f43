/// A parallel discrete-event simulation engine: logical processes exchange timestamped events and run on
/// several threads. An entity belongs to one process and is accessed only by the events of that process. An
/// event for another process is at least `lookahead` in the future, so within a window of that length the
/// processes run independently (conservative synchronization: Fujimoto, "Parallel Discrete Event Simulation",
/// CACM 33(10), 1990, section "Conservative Mechanisms"). Events with equal timestamps are ordered by their
/// sender and its event count, so the result does not depend on the number of threads.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::model {

using marblehub::policy::Time;
constexpr Time kMillisecond = 1000, kSecond = 1'000'000;

/// The state of a simulated client that travels with it from balancer to balancer.
struct Client {
  std::uint32_t id = 0;
  std::uint32_t rng_count = 0;             // position in its random stream
  std::uint32_t group = 0;                 // 0: none
  float load = 0;                          // work per second, in microseconds of a core
  Time departs_at = 0;                     // end of its stay: it needs no connection after that
  Time state_since = 0;                    // start of its current period with or without a connection
  Time moved_at = -1;                      // time of its last move request; -1: never
  std::uint16_t consecutive_failures = 0;  // calls refused or failed since its last connection
  bool returned = false;                   // reconnects after a lost or moved connection
  bool quic = false;
};

/// The event types, grouped by the process that handles them.
enum class EventType : std::uint8_t {
  // At a balancer.
  dispatcher_timer,
  planner_step,
  message_tick,
  client_arrival,
  client_connect,
  client_departure,
  attempt_established,
  attempt_ended,
  probe_reply,
  probe_timeout,
  message_reply,
  endpoint_update,
  balancer_crash,
  balancer_restart,
  connection_drop,
  forced_moves,
  // At a worker.
  setup_request,
  store_reply,
  setup_done,
  connection_closed,
  probe_request,
  message_request,
  load_sample,
  drain_start,
  worker_stop,
  worker_start,
  hang_start,
  hang_end,
  speed_change,
  // At the session store.
  store_request
};

/// An event. The meaning of `outcome`, `key`, `time` and `value` depends on the type.
struct Event {
  Time when = 0;              // timestamp in virtual time
  std::uint64_t order = 0;    // sender and its event count; breaks ties in `when`
  std::uint32_t process = 0;  // the process that handles it
  EventType type = EventType::dispatcher_timer;
  std::uint8_t outcome = 0;  // marblehub::policy::Outcome, or Health in an endpoint update
  std::uint32_t balancer = 0, worker = 0;
  std::uint64_t key = 0;  // of a connection attempt, a session or a message
  Time time = 0;
  double value = 0;
  Client client;
};

/// A unit of parallel execution: its events are handled one at a time, in timestamp order.
class LogicalProcess {
 public:
  virtual ~LogicalProcess() = default;
  /// Called for each event of this process, with now() at the timestamp of the event.
  virtual void handle(const Event& event) = 0;

  Time now() const { return now_; }
  /// The index that Engine::add assigned.
  std::uint32_t number() const { return number_; }

 protected:
  /// Schedules an event for `event.process`. Throws std::logic_error if that is another process and `when` is
  /// less than the lookahead away.
  void schedule(Event event, Time when);

 private:
  friend class Engine;
  class Engine* engine_ = nullptr;
  std::uint32_t number_ = 0;
  std::uint64_t scheduled_count_ = 0;
  std::uint64_t handled_ = 0;
  Time now_ = 0;
  // An entry of the heap: the sort key and the slot of the event in events_, which is not moved by the heap.
  struct HeapEntry {
    Time when;
    std::uint64_t order;
    std::uint32_t slot;
  };
  static bool is_later(const HeapEntry& a, const HeapEntry& b) {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }
  void push(const Event& event);
  Event pop();

  std::vector<HeapEntry> heap_;
  std::vector<Event> events_;
  std::vector<std::uint32_t> free_slots_;
  std::mutex inbox_mutex_;
  std::vector<Event> inbox_;
};

/// Runs the logical processes. It refers to them and does not own them.
class Engine {
 public:
  /// `lookahead`: the minimum delay of an event for another process, in microseconds.
  Engine(Time lookahead, int threads);
  ~Engine();

  /// Registers a process before the run and returns its number.
  std::uint32_t add(LogicalProcess& process);
  /// Schedules an event before the run, at any time and for any process.
  void schedule_initial(Event event, Time when);
  /// Runs all events before `end`. Calls `progress` with the virtual time about twice per second of real
  /// time. Rethrows the first exception of a handler.
  void run(Time end, const std::function<void(Time)>& progress = {});
  /// The number of events handled by all processes.
  std::uint64_t handled() const;

 private:
  friend class LogicalProcess;
  void run_thread(int thread, Time end, const std::function<void(Time)>& progress);

  const Time lookahead_;
  const int threads_;
  std::vector<LogicalProcess*> processes_;
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace marblehub::model
