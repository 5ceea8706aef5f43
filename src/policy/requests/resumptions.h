/// Connections that a backend held open before this balancer started, and that wait to be resumed there.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/context.h"
#include "policy/discovery/endpoint_list.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Decides when a connection is resumed at the backend that holds it, and when that is given up. Such a
/// connection is no new work for the backend, which may therefore be draining, removed or down.
class Resumptions {
 public:
  /// A resumption that has not succeeded by then is given up.
  static constexpr Time kTotalTime = 40 * kSecond;
  /// The time limit of a single attempt.
  static constexpr Time kAttemptTime = 10 * kSecond;

  /// What to do with a request now.
  enum class Step { wait, submit, give_up };

  Resumptions(const Context& context, const BackendTable& backends, EndpointList& endpoints)
      : context_(context), backends_(backends), endpoints_(endpoints) {}

  /// Adds a request whose connection `backend` holds. `patience` is how long its client waits while the
  /// backend is not listed yet; 0: as long as for an attempt.
  void add(std::uint64_t id, std::string backend, Time patience);
  /// The next step, after `attempts` attempts.
  Step next_step(std::uint64_t id, int attempts);
  /// The backend that holds the connection; kNoBackend while no list has named it.
  int backend_of(std::uint64_t id) const;
  /// Delays the next attempt, since one has failed.
  void attempt_failed(std::uint64_t id);
  /// Forgets a request; unknown ids are ignored.
  void remove(std::uint64_t id) { pending_.erase(id); }

 private:
  // A request that is not established yet.
  struct Pending {
    std::string backend;
    Time next_attempt_at = 0;
    Time unlisted_until = 0;  // given up then unless the backend is listed
  };

  const Context& context_;
  const BackendTable& backends_;
  EndpointList& endpoints_;
  std::unordered_map<std::uint64_t, Pending> pending_;
};

}  // namespace marblehub::policy
