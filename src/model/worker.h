// Workers of the model. Work is a fluid: what the connections ask for a second, and set-ups, probes and
// shared work of groups beside it, against what the cores do; what is over piles up and makes messages late.
#pragma once

#include <array>
#include <unordered_map>
#include <vector>

#include "model/lanes.h"
#include "model/random.h"
#include "model/scenario.h"

namespace marblehub::model {

struct Places {  // which lane is whose, and what the workers are called
  std::vector<std::uint32_t> hosts, workers;
  std::uint32_t store = 0;
  std::vector<std::string> names;                // of the workers, by number
  std::unordered_map<std::string, int> numbers;  // and back
};

// A client with all that is drawn of it once, from its own stream.
Client new_client(const Scenario& scenario, std::uint64_t seed, std::uint32_t id, Time now);

// One way through the net.
inline Time hop_time(const Scenario& scenario, Stream& net) {
  return scenario.hop + static_cast<Time>(net.uniform() * static_cast<double>(scenario.jitter));
}

struct Sample {        // of one worker, every kSampleEvery
  float level = 0;     // load over capacity; negative: it does not serve
  float capacity = 0;  // microseconds of work a second
  std::uint32_t connections = 0;
};
constexpr Time kSampleEvery = 10 * kSecond;

class Worker {
 public:
  Worker(const Scenario& scenario, int number, std::uint64_t seed);

  struct Figures {
    double served = 0;  // connection-seconds, weighted by how timely messages were
    long cut = 0;
    int fell = 0, fell_cold = 0;
  };
  const Figures& figures() const { return figures_; }
  const std::vector<Sample>& samples() const { return samples_; }

 private:
  friend class WorkerLane;
  struct Standing {
    float load = 0;
    std::uint32_t group = 0;
    bool stands = false;
  };

  void advance(Time now);
  double warmth(Time now) const;
  double capacity(Time now) const;  // microseconds of work a second
  double demand(Time now) const;    // of the standing connections and their groups
  double wait(Time now) const;      // seconds until new work is begun
  Time delay(Time now) const;       // of a message
  double load(Time now) const;
  void add(std::uint64_t key, float load, std::uint32_t group);
  void remove(std::uint64_t key);
  void stands(Standing& standing);

  const Scenario& scenario_;
  const Kind& kind_;
  const int number_;
  Stream reports_;
  const double phase_;
  bool up_ = true, hung_ = false, draining_ = false;
  double slow_ = 1;
  Time started_ = 0;  // 0: warm since long ago
  Time advanced_ = 0;
  double backlog_ = 0;  // microseconds of work
  double asked_ = 0;    // by the standing connections
  double extra_ = 0;    // work of set-ups and probes in about the last second
  std::unordered_map<std::uint64_t, Standing> held_;
  std::size_t standing_ = 0;
  std::unordered_map<std::uint32_t, int> groups_;
  std::array<std::pair<Time, double>, 32> told_{};  // recent loads: reports are of a moment ago
  std::size_t told_at_ = 0;
  std::vector<Sample> samples_;
  Figures figures_;
};

// Some workers on one lane.
class WorkerLane : public Lane {
 public:
  WorkerLane(const Scenario& scenario, const Places& places, std::uint64_t seed)
      : scenario_(scenario), places_(places), seed_(seed), net_(seed, Purpose::network, 1'000'000) {}

  void take(Worker& worker) {
    workers_.resize(static_cast<std::size_t>(scenario_.workers()));
    workers_[static_cast<std::size_t>(worker.number_)] = &worker;
  }
  void begin();  // once its number is known
  // A connection that stands from the beginning.
  void stands_already(int worker, std::uint64_t key, const Client& client);
  void happens(const Event& event) override;

 private:
  void set_up(Worker& w, const Event& event);
  void reply(const Event& to, What what, marblehub::policy::Outcome outcome, double value = -1,
             Time after = 0);
  void tell_list(const Worker& w, marblehub::policy::Health health);
  void stop(Worker& w, bool fell);
  void start(Worker& w);
  double report(Worker& w);
  Time hop() { return hop_time(scenario_, net_); }

  const Scenario& scenario_;
  const Places& places_;
  const std::uint64_t seed_;
  Stream net_;
  std::vector<Worker*> workers_;  // by number; none where it is another lane's
};

// The session store that every set-up calls: a queue with one rate.
class Store : public Lane {
 public:
  explicit Store(const Scenario& scenario) : scenario_(scenario) {}
  void happens(const Event& event) override;
  const std::vector<std::uint32_t>& calls() const { return calls_; }  // in each kSampleEvery
  long all() const { return all_; }
  Time longest() const { return longest_; }

 private:
  const Scenario& scenario_;
  Time free_at_ = 0, longest_ = 0;
  long all_ = 0;
  std::vector<std::uint32_t> calls_;
};

}  // namespace marblehub::model
