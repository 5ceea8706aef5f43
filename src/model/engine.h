// The engine: events in virtual time on lanes that run at once on several threads. An entity belongs to one
// lane and is touched by its events only. What one lane tells another takes at least `lookahead`, so all
// lanes may run that far ahead of the earliest event without hearing of each other (conservative
// synchronization: Fujimoto, "Parallel Discrete Event Simulation", CACM 33(10), 1990, section "Conservative
// Mechanisms"). Events of one moment go in the order of their lane of origin and its count, so the number of
// threads changes nothing in the result.
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

// A client as it goes from balancer to balancer.
struct Client {
  std::uint32_t id = 0;
  std::uint32_t rng_count = 0;             // where its stream goes on
  std::uint32_t group = 0;                 // 0: none
  float load = 0;                          // work a second, in microseconds
  Time departs_at = 0;                     // when it has no further wish
  Time state_since = 0;                    // since when it has been without a connection
  Time moved_at = -1;                      // when it was last told to move; -1: never
  std::uint16_t consecutive_failures = 0;  // in a row that were refused or failed
  bool returned = false;
  bool quic = false;
};

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

struct Event {
  Time when = 0;
  std::uint64_t order = 0;    // lane of origin and its count
  std::uint32_t process = 0;  // where it happens
  EventType type = EventType::dispatcher_timer;
  std::uint8_t outcome = 0;  // marblehub::policy::Outcome, or Health in a list
  std::uint32_t balancer = 0, worker = 0;
  std::uint64_t key = 0;  // of a connection attempt, a session or a message
  Time time = 0;
  double value = 0;
  Client client;
};

class LogicalProcess {
 public:
  virtual ~LogicalProcess() = default;
  virtual void handle(const Event& event) = 0;

  Time now() const { return now_; }
  std::uint32_t number() const { return number_; }

 protected:
  // At this lane, or at another no sooner than the lookahead; sooner is a defect and ends the run.
  void schedule(Event event, Time when);

 private:
  friend class Engine;
  class Engine* engine_ = nullptr;
  std::uint32_t number_ = 0;
  std::uint64_t scheduled_count_ = 0;
  std::uint64_t handled_ = 0;
  Time now_ = 0;
  // The heap holds what it is ordered by; the events lie still beside it.
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

class Engine {
 public:
  Engine(Time lookahead, int threads);
  ~Engine();

  std::uint32_t add(LogicalProcess& process);
  // Before the run, and with no bound on the time: to any lane.
  void schedule_initial(Event event, Time when);
  // Runs all events before `end`. Progress is told about twice a second of real time.
  void run(Time end, const std::function<void(Time)>& progress = {});
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
