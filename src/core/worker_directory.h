/// The workers that service discovery has named, those that drain or are gone included: where each is
/// reached, and whether it may still be sent something new.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/ports.h"

namespace marblehub::core {

class WorkerDirectory {
 public:
  struct Worker {
    std::string address;  // where this balancer reaches it
    policy::Health health = policy::Health::serving;
    Time leaving_since = 0;  // when it was first said to drain or be gone
    Time moved_since = 0;    // when it was said to be at another address than before
  };
  using Workers = std::unordered_map<std::string, Worker>;  // by name

  /// `drain_grace`: how long after the news that a worker leaves something new may still be sent to it.
  explicit WorkerDirectory(Time drain_grace) : drain_grace_(drain_grace) {}

  /// Takes a list, or a change of one, that service discovery wrote at `written_at`; at the latest that is
  /// `now`. What a complete list does not name is gone.
  void update(const config::WorkerList& list, Time written_at, Time now);

  /// Empty: unknown.
  std::string address_of(const std::string& worker) const;

  /// Whether the worker at this address may be sent something new. One that is unknown may.
  bool may_begin(const std::string& worker, const std::string& address, Time now) const;

  const Workers& workers() const { return workers_; }

  /// Grows with every list or change.
  std::uint64_t version() const { return version_; }

 private:
  static void set_health(Worker& worker, policy::Health health, Time written_at);

  const Time drain_grace_;
  Workers workers_;
  std::uint64_t version_ = 0;
};

}  // namespace marblehub::core
