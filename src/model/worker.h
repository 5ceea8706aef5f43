/// Simulated workers, as a fluid queue: the demand of connections, set-ups, probes and groups is served at
/// the rate of the cores; the excess accumulates as a backlog that delays messages and set-ups.
#pragma once

#include <array>
#include <unordered_map>
#include <vector>

#include "model/engine.h"
#include "model/random.h"
#include "model/scenario.h"

namespace marblehub::model {

/// The process numbers of the fleet's entities and the names of the workers.
struct Topology {
  std::vector<std::uint32_t> balancers, workers;
  std::uint32_t store = 0;
  std::vector<std::string> names;                // of the workers, by index
  std::unordered_map<std::string, int> numbers;  // the index of a worker, by name
};

/// A client whose load, group, protocol and stay are drawn from its own random stream.
Client new_client(const Scenario& scenario, std::uint64_t seed, std::uint32_t id, Time now);

/// The one-way network delay of an event.
inline Time random_hop_delay(const Scenario& scenario, RandomStream& rng) {
  return scenario.hop_delay + static_cast<Time>(rng.uniform() * static_cast<double>(scenario.hop_jitter));
}

/// The state of one worker at a sampling time.
struct Sample {
  float load = 0;      // relative to capacity; negative: the worker is down or draining
  float capacity = 0;  // microseconds of work per second
  std::uint32_t connections = 0;
};
constexpr Time kSampleEvery = 10 * kSecond;

/// One worker. Its WorkerProcess drives it.
class Worker {
 public:
  Worker(const Scenario& scenario, int number, std::uint64_t seed);

  /// Totals over the run.
  struct Statistics {
    double served_seconds = 0;  // connection-seconds, weighted by the timeliness of messages
    long cut_connections = 0;
    int crashes = 0, cold_crashes = 0;
  };
  const Statistics& statistics() const { return statistics_; }
  const std::vector<Sample>& samples() const { return samples_; }

 private:
  friend class WorkerProcess;
  // An attempt being set up, or an established connection.
  struct Connection {
    float load = 0;
    std::uint32_t group = 0;
    bool established = false;
  };

  void advance(Time now);              // brings backlog and statistics up to date
  double slow_start(Time now) const;   // share of the full capacity that is available
  double capacity(Time now) const;     // microseconds of work per second
  double demand(Time now) const;       // work per second of established connections and their groups
  double queue_wait(Time now) const;   // seconds until new work is started
  Time message_delay(Time now) const;  // until a message is answered
  double load(Time now) const;         // as the worker would report it
  void add(std::uint64_t key, float load, std::uint32_t group);
  void remove(std::uint64_t key);
  void mark_established(Connection& connection);  // called once per connection

  const Scenario& scenario_;
  const WorkerKind& kind_;
  const int number_;
  RandomStream report_rng_;
  const double wave_phase_;
  bool up_ = true, hung_ = false, draining_ = false;
  double speed_factor_ = 1;
  Time started_ = 0;  // 0: warm from the beginning
  Time advanced_to_ = 0;
  double backlog_ = 0;            // microseconds of work
  double connection_demand_ = 0;  // work per second of established connections
  double recent_work_ = 0;        // set-ups and probes, decaying exponentially within about a second
  std::unordered_map<std::uint64_t, Connection> connections_;
  std::size_t established_count_ = 0;
  std::unordered_map<std::uint32_t, int> groups_;
  std::array<std::pair<Time, double>, 32> load_history_{};  // ring buffer, since reports are delayed
  std::size_t history_index_ = 0;
  std::vector<Sample> samples_;
  Statistics statistics_;
};

/// The logical process of some of the workers. It refers to them and does not own them.
class WorkerProcess : public LogicalProcess {
 public:
  WorkerProcess(const Scenario& scenario, const Topology& topology, std::uint64_t seed)
      : scenario_(scenario),
        topology_(topology),
        seed_(seed),
        network_rng_(seed, Purpose::network, 1'000'000) {}

  void add_worker(Worker& worker) {
    workers_.resize(static_cast<std::size_t>(scenario_.workers()));
    workers_[static_cast<std::size_t>(worker.number_)] = &worker;
  }
  /// Schedules the first events; after Engine::add and before the run.
  void start();
  /// Adds a connection that is established at the start of the run.
  void add_initial_connection(int worker, std::uint64_t key, const Client& client);
  void handle(const Event& event) override;

 private:
  void handle_setup(Worker& w, const Event& event);
  void reply(const Event& to, EventType type, marblehub::policy::Outcome outcome, double value = -1,
             Time after = 0);
  void send_endpoint_update(const Worker& w, marblehub::policy::Health health);
  void stop_worker(Worker& w, bool crashed);
  void start_worker(Worker& w);
  double reported_load(Worker& w);
  Time hop_delay() { return random_hop_delay(scenario_, network_rng_); }

  const Scenario& scenario_;
  const Topology& topology_;
  const std::uint64_t seed_;
  RandomStream network_rng_;
  std::vector<Worker*> workers_;  // by index; null for workers of other processes
};

/// The session store that every set-up calls: a single-server queue with a fixed service rate.
class Store : public LogicalProcess {
 public:
  explicit Store(const Scenario& scenario) : scenario_(scenario) {}
  void handle(const Event& event) override;
  const std::vector<std::uint32_t>& calls() const { return calls_; }  // per interval of kSampleEvery
  long total_calls() const { return total_calls_; }
  Time max_wait() const { return max_wait_; }  // longest wait of a call, in microseconds

 private:
  const Scenario& scenario_;
  Time free_at_ = 0, max_wait_ = 0;
  long total_calls_ = 0;
  std::vector<std::uint32_t> calls_;
};

}  // namespace marblehub::model
