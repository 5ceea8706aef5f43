/// The workers and the connections that stand at them, as the planner has been shown them.
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

/// A worker, as the endpoint list has it.
struct Member {
  std::string worker;
  double scale = 1;
  Time start_time = 0;  // 0: long ago
  bool serving = true;  // else it drains or is gone
};

/// A connection that stands.
struct Connection {
  std::uint64_t id = 0;
  std::string worker;
  double load = 0;  // work a second; 0: unknown, then a usual one
  std::uint64_t group = 0;
  bool returned = false;  // its client has come back after a break or a move
  bool found = false;     // it stood before this balancer knew it: its age is unknown
};

class ConnectionTable {
 public:
  struct Standing {  // a connection
    int worker = -1;
    std::size_t place = 0;  // in its worker's list
    double load = 0;
    std::uint64_t group = 0;
    Time since = 0;
    bool returned = false;
  };
  struct Worker {
    std::string name;
    double scale = 1;
    Time start_time = 0;
    bool serving = true;
    double level = -1;   // reported load, smoothed; negative: never reported
    double lasting = 0;  // the same, smoothed over long
    Time reported_at = 0;
    std::vector<std::uint64_t> connections;
    std::map<std::uint64_t, int> groups;  // connections of each
    double load = 0;                      // of the connections
    double credit = 0;                    // moves due, in part

    /// Whether its load is known and not older than `stale`.
    bool known(Time now, Time stale) const { return serving && level >= 0 && now - reported_at <= stale; }
  };

  // `random` draws the phase of a new worker's moves.

  void update(const Member& member, std::mt19937_64& random);
  /// What a complete list does not name is gone.
  void keep_only(const std::unordered_set<std::string>& named);
  void report(const std::string& worker, double load, Time now, Time stale, std::mt19937_64& random);

  /// False if a connection of that id stands already.
  bool add(const Connection& connection, Time now, std::mt19937_64& random);
  /// False if there is none of that id.
  bool remove(std::uint64_t id);
  void set_load(std::uint64_t id, double load);
  Standing* find(std::uint64_t id);
  const Standing& at(std::uint64_t id) const { return connections_.at(id); }

  std::vector<Worker>& workers() { return workers_; }
  const std::vector<Worker>& workers() const { return workers_; }
  Worker& worker_of(const Standing& standing) { return workers_[static_cast<std::size_t>(standing.worker)]; }
  std::size_t size() const { return connections_.size(); }

  /// Work a second of all connections, and of a usual one.
  double total_load() const;
  double usual_load() const;

 private:
  int index_of(const std::string& worker, std::mt19937_64& random);

  std::vector<Worker> workers_;  // never shrinks: an index stays good
  std::unordered_map<std::string, int> index_;
  std::unordered_map<std::uint64_t, Standing> connections_;
};

}  // namespace marblehub::rebalance
