/// All workers that service discovery has listed, including draining and deleted ones: their addresses, and
/// whether new calls may still be sent to them.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/ports.h"

namespace marblehub::core {

/// Filled from the lists of service discovery. Owned by the dispatcher.
class WorkerDirectory {
 public:
  /// A worker as last listed.
  struct Worker {
    std::string address;  // at which this balancer reaches it
    policy::Health health = policy::Health::serving;
    Time leaving_since = 0;       // when it was first listed as draining or deleted
    Time address_changed_at = 0;  // when it was listed with another address than before
    std::string zone = {};
    std::int64_t cell = -1;  // of workers that deduplicate requests among each other; -1: none
  };
  using Workers = std::unordered_map<std::string, Worker>;  // by name

  /// `drain_grace`: microseconds after a worker was listed as leaving in which new calls may still be sent.
  explicit WorkerDirectory(Time drain_grace) : drain_grace_(drain_grace) {}

  /// Applies a list, or a change of one, that service discovery wrote at `written_at`, not after `now`.
  /// Workers that are missing in a full list count as deleted.
  void update(const config::WorkerList& list, Time written_at, Time now);

  /// The worker's address; empty if it is unknown.
  std::string address_of(const std::string& worker) const;

  /// Whether new calls may be sent to the worker at this address. True for unknown workers.
  bool may_begin(const std::string& worker, const std::string& address, Time now) const;

  const Workers& workers() const { return workers_; }

  /// Incremented by every list and every change of one.
  std::uint64_t version() const { return version_; }

 private:
  static void set_health(Worker& worker, policy::Health health, Time written_at);

  const Time drain_grace_;
  Workers workers_;
  std::uint64_t version_ = 0;
};

}  // namespace marblehub::core
