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
  std::uint32_t draws = 0;  // where its stream goes on
  std::uint32_t group = 0;  // 0: none
  float load = 0;           // work a second, in microseconds
  Time until = 0;           // when it has no further wish
  Time wanting_since = 0;   // since when it has been without a connection
  Time moved_at = -1;       // when it was last told to move; -1: never
  std::uint16_t tries = 0;  // in a row that were refused or failed
  bool returned = false;
  bool quic = false;
};

enum class What : std::uint8_t {
  // At a balancer.
  wake,
  plan,
  tick,
  spawn,
  arrives,
  wish_over,
  up,
  over,
  probed,
  probes_due,
  answered,
  listed,
  dies,
  revives,
  drops,
  moves,
  // At a worker.
  setup,
  stored,
  ready,
  gone,
  probe,
  message,
  sample,
  drains,
  stops,
  starts,
  hangs,
  resumes,
  slows,
  // At the session store.
  store
};

struct Event {
  Time when = 0;
  std::uint64_t order = 0;  // lane of origin and its count
  std::uint32_t lane = 0;   // where it happens
  What what = What::wake;
  std::uint8_t outcome = 0;  // marblehub::policy::Outcome, or Health in a list
  std::uint32_t host = 0, worker = 0;
  std::uint64_t key = 0;  // of a connection attempt, a session or a message
  Time time = 0;
  double value = 0;
  Client client;
};

class Lane {
 public:
  virtual ~Lane() = default;
  virtual void happens(const Event& event) = 0;

  Time now() const { return now_; }
  std::uint32_t number() const { return number_; }

 protected:
  // At this lane, or at another no sooner than the lookahead; sooner is a defect and ends the run.
  void later(Event event, Time when);

 private:
  friend class Lanes;
  class Lanes* lanes_ = nullptr;
  std::uint32_t number_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t handled_ = 0;
  Time now_ = 0;
  // The heap holds what it is ordered by; the events lie still beside it.
  struct Place {
    Time when;
    std::uint64_t order;
    std::uint32_t slot;
  };
  static bool after(const Place& a, const Place& b) {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }
  void push(const Event& event);
  Event pop();

  std::vector<Place> heap_;
  std::vector<Event> events_;
  std::vector<std::uint32_t> free_;
  std::mutex inbox_mutex_;
  std::vector<Event> inbox_;
};

class Lanes {
 public:
  Lanes(Time lookahead, int threads);
  ~Lanes();

  std::uint32_t add(Lane& lane);
  // Before the run, and with no bound on the time: to any lane.
  void begin_with(Event event, Time when);
  // Runs all events before `end`. Progress is told about twice a second of real time.
  void run(Time end, const std::function<void(Time)>& progress = {});
  std::uint64_t handled() const;

 private:
  friend class Lane;
  void work(int thread, Time end, const std::function<void(Time)>& progress);

  const Time lookahead_;
  const int threads_;
  std::vector<Lane*> lanes_;
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace marblehub::model
