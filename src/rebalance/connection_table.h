/// The planner's record of the fleet's workers and of this balancer's established connections.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rebalance/fleet.h"

namespace marblehub::rebalance {

/// A worker as given by the endpoint list.
struct Member {
  std::string worker;
  double scale = 1;     // capacity relative to a worker of scale 1
  Time start_time = 0;  // 0: warmed up long ago
  bool serving = true;  // false: draining or removed
};

/// An established connection, as reported to the planner.
struct Connection {
  std::uint64_t id = 0;
  std::string worker;
  double load = 0;  // work per second; 0: unknown, the mean of all is assumed
  std::uint64_t group = 0;
  bool returned = false;     // the client reconnected after a failure or a move
  bool preexisting = false;  // established before this balancer knew of it: age unknown
};

/// Indexes connections by id and by worker, with the load and the group counts of each worker.
class ConnectionTable {
 public:
  /// The state kept for one connection.
  struct Entry {
    int worker = -1;           // index into workers()
    std::size_t position = 0;  // in Worker::connections
    double load = 0;
    std::uint64_t group = 0;
    Time established_at = 0;
    bool returned = false;  // also true for preexisting connections
  };
  /// The state kept for one worker, its load as share of its capacity.
  struct Worker {
    std::string name;
    double scale = 1;
    Time start_time = 0;
    bool serving = true;
    double reported_load = -1;  // smoothed; negative: never reported
    double long_term_load = 0;  // smoothed over a longer time
    Time reported_at = 0;
    std::vector<std::uint64_t> connections;
    std::map<std::uint64_t, int> groups;  // number of connections per group
    double connection_load = 0;           // work per second of its connections
    double move_credit = 0;               // moves due; fractions accumulate over steps

    /// Whether the worker serves and its last report is no older than `max_report_age`.
    bool has_current_report(Time now, Time max_report_age) const {
      return serving && reported_load >= 0 && now - reported_at <= max_report_age;
    }
  };

  // `rng` draws the initial move credit of a worker that is new to the table.

  /// Adds the worker or updates it. A later start time discards its reported load.
  void update(const Member& member, std::mt19937_64& rng);
  /// Marks every worker that a complete endpoint list does not name as not serving.
  void keep_only(const std::unordered_set<std::string>& listed);
  /// Records a load report; after a gap longer than `max_report_age` smoothing starts over.
  void report(const std::string& worker, double load, Time now, Time max_report_age, std::mt19937_64& rng);

  /// False if the id is already in the table.
  bool add(const Connection& connection, Time now, std::mt19937_64& rng);
  /// False if the id is not in the table.
  bool remove(std::uint64_t id);
  /// Ignores unknown ids and loads that are not positive.
  void set_load(std::uint64_t id, double load);
  /// Null if the id is not in the table; valid until the entry is removed.
  Entry* find(std::uint64_t id);
  const Entry& at(std::uint64_t id) const { return connections_.at(id); }

  std::vector<Worker>& workers() { return workers_; }
  const std::vector<Worker>& workers() const { return workers_; }
  Worker& worker_of(const Entry& entry) { return workers_[static_cast<std::size_t>(entry.worker)]; }
  std::size_t size() const { return connections_.size(); }

  /// Work per second of all connections, and the mean of one (1 if there are none).
  double total_connection_load() const;
  double mean_connection_load() const;

 private:
  int index_of(const std::string& worker, std::mt19937_64& rng);

  std::vector<Worker> workers_;  // never shrinks, so indices stay valid
  std::unordered_map<std::string, int> index_;
  std::unordered_map<std::uint64_t, Entry> connections_;
};

}  // namespace marblehub::rebalance
