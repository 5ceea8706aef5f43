// A scenario: a fleet, its clients, what happens to them and what is expected of it. docs/model.md tells the
// form of the files; what is wrong in one is thrown with its place and key.
#pragma once

#include <string>
#include <vector>

#include "config/options.h"
#include "model/engine.h"
#include "rebalance/settings.h"

namespace marblehub::model {

struct WorkerKind {  // of workers
  std::string name;
  int count = 0;
  double cores = 4, speed = 1;  // a core of speed 1 does a second of work a second
  double scale = 0;             // as the registry tells it; 0: what it is
  int max_connections = 0;      // connections; 0: no bound
  Time max_queue_wait = 0;      // set-ups are refused when they would wait longer
  Time starts_at = 0;           // when it starts, cold; 0: it is warm since long ago
};

struct ScheduledEvent {
  enum class EventType { drain, stop, hang, slow, kill_balancer, drop, move };
  EventType type = EventType::drain;
  Time at = 0, duration = 0;
  std::string kind;  // of workers
  int number = 0;    // of the worker in its kind, or of the balancer
  double value = 0;
};

struct Expectation {
  enum class Comparison { below, above, at_most, at_least, exactly };
  std::string text, statistic;
  Time at = -1;  // -1: over the whole run
  Comparison comparison = Comparison::below;
  double value = 0;
};

struct Scenario {
  std::string name;
  Time duration = 0;
  int balancers = 1;
  std::vector<WorkerKind> kinds;
  // Work, in microseconds of a core.
  double setup_work = 2000, probe_work = 100, group_work = 0;
  Time service_time = 0, store_time = 0;
  double store_rate = 0;  // calls a second that the session store takes; 0: no bound
  // Clients.
  int initial_connections = 0;
  double arrival_rate = 0;  // a second, all balancers together
  Time arrivals_end = 0;    // 0: always
  double mean_stay = 0;     // mean seconds
  double load = 0, load_sigma = 0, heavy_share = 0, heavy_factor = 1;
  int groups = 0;
  double big_group_share = 0, quic_share = 0, quic_obeys = 1, lost_share = 0;
  std::string initial_kind;  // the kind that holds all that stand at the start; empty: all, by scale
  Time reconnect_delay = 0, client_timeout = 0;
  int max_tries = 0;
  // The net, the registry and the reports.
  Time hop_delay = 0, hop_jitter = 0, min_list_delay = 0, max_list_delay = 0, max_report_age = 0;
  double report_noise = 0;
  // Cold starts and falls.
  double cold_share = 1;
  Time warm_up_time = 0, crash_wait = 0, restart_delay = 0;
  double wave_amplitude = 0;  // amplitude of the load of the clients of one worker, each in its own phase
  Time wave_period = 0;
  Time slo = 0, message_objective = 0;
  int attempts = 4;
  rebalance::Settings rebalance;
  std::vector<ScheduledEvent> scheduled_events;
  std::vector<Expectation> expectations;

  int workers() const;
  // The number of a worker among all, by its kind and its number in it, from 1.
  int worker(const std::string& kind, int number) const;
  const WorkerKind& kind_of(int worker) const { return *locate(worker).first; }
  std::string name_of(int worker) const;  // kind-number

 private:
  std::pair<const WorkerKind*, int> locate(int worker) const;  // its kind, and its number in it, from 1
};

// `changes` are key=value pairs that go before those of the file.
Scenario parse_scenario(const std::string& text, const std::string& source,
                        const std::vector<std::pair<std::string, std::string>>& changes = {});
Scenario load_scenario(const std::string& path,
                       const std::vector<std::pair<std::string, std::string>>& changes = {});

}  // namespace marblehub::model
