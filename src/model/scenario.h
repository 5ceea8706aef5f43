/// A scenario: a fleet, its clients, scheduled events and expectations. docs/model.md describes the file
/// format. Errors in a file are thrown as config::DecodeError with the file, the line or the key.
#pragma once

#include <string>
#include <vector>

#include "config/options.h"
#include "model/engine.h"
#include "rebalance/settings.h"

namespace marblehub::model {

/// A set of workers with equal properties.
struct WorkerKind {
  std::string name;
  int count = 0;
  double cores = 4, speed = 1;  // a core of speed 1 does one second of work per second
  double scale = 0;             // capacity as registered; the default is the actual one
  int max_connections = 0;      // 0: unlimited
  Time max_queue_wait = 0;      // set-ups that would wait longer are refused
  Time starts_at = 0;           // start time, with slow start; 0: running and warm from the beginning
};

/// A fault or an operator action at a fixed time (`at` lines of the file).
struct ScheduledEvent {
  /// The fault or action; `drop` and `move` apply to connections, the others to workers or balancers.
  enum class EventType { drain, stop, hang, slow, kill_balancer, drop, move };
  EventType type = EventType::drain;
  Time at = 0, duration = 0;
  std::string kind;  // of the worker
  int number = 0;    // of the worker within its kind, or of the balancer; from 1
  double value = 0;
};

/// A bound on a statistic of the run, or on a column of the snapshot at a time (`expect` lines).
struct Expectation {
  /// How the statistic must compare with `value`.
  enum class Comparison { below, above, at_most, at_least, exactly };
  std::string text, statistic;
  Time at = -1;  // -1: the whole run
  Comparison comparison = Comparison::below;
  double value = 0;
};

/// A decoded scenario. Times are in microseconds; shares and probabilities are from 0 to 1.
struct Scenario {
  std::string name;
  Time duration = 0;
  int balancers = 1;
  std::vector<WorkerKind> kinds;
  // Work, in microseconds of a core.
  double setup_work = 2000, probe_work = 100, group_work = 0;
  Time service_time = 0, store_time = 0;
  double store_rate = 0;  // calls per second that the session store serves; 0: unlimited
  // Clients.
  int initial_connections = 0;
  double arrival_rate = 0;  // clients per second at all balancers together
  Time arrivals_end = 0;    // no new clients after this time; 0: no limit
  double mean_stay = 0;     // seconds
  double load = 0, load_sigma = 0, heavy_share = 0, heavy_factor = 1;
  int groups = 0;
  double big_group_share = 0, quic_share = 0, quic_obeys = 1, lost_share = 0;
  std::string initial_kind;  // kind of workers with the initial connections; empty: all, by scale
  Time reconnect_delay = 0, client_timeout = 0;
  int max_tries = 0;
  // Network, registry and load reports.
  Time hop_delay = 0, hop_jitter = 0, min_list_delay = 0, max_list_delay = 0, max_report_age = 0;
  double report_noise = 0;
  // Slow start, crashes from overload and periodic load.
  double cold_share = 1;
  Time warm_up_time = 0, crash_wait = 0, restart_delay = 0;
  double wave_amplitude = 0;  // relative, of a sine that scales the load; the phase differs by worker
  Time wave_period = 0;
  Time slo = 0, message_objective = 0;
  int attempts = 4;
  rebalance::Settings rebalance;
  std::vector<ScheduledEvent> scheduled_events;
  std::vector<Expectation> expectations;

  /// The number of workers of all kinds.
  int workers() const;
  /// The index of a worker among all, by its kind and its number within it, from 1; -1 if there is none.
  int worker(const std::string& kind, int number) const;
  const WorkerKind& kind_of(int worker) const { return *locate(worker).first; }
  /// KIND-NUMBER.
  std::string name_of(int worker) const;

 private:
  std::pair<const WorkerKind*, int> locate(int worker) const;  // its kind and its number within it, from 1
};

/// Decodes the text of a scenario file. `source` names it in errors; `changes` are key-value pairs that
/// override those of the file.
Scenario parse_scenario(const std::string& text, const std::string& source,
                        const std::vector<std::pair<std::string, std::string>>& changes = {});
/// Reads and decodes a scenario file.
Scenario load_scenario(const std::string& path,
                       const std::vector<std::pair<std::string, std::string>>& changes = {});

}  // namespace marblehub::model
