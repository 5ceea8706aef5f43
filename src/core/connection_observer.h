/// Who follows the standing connections beside the policy: a planner of moves.
#pragma once

#include <cstdint>
#include <string>

#include "core/ports.h"

namespace marblehub::core {

struct Call;

/// Notified after the fact, from within the dispatcher; it must not call back from there.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// A connection stands. `preexisting`: it stood before this balancer learnt of it, so its age is not known.
  virtual void connection_established(std::uint64_t id, const std::string& worker, const Call& call,
                                      bool preexisting) = 0;
  virtual void connection_load_changed(std::uint64_t id, double load) = 0;  // work a second, in microseconds
  virtual void connection_ended(std::uint64_t id) = 0;  // ended, moved or left; an id may be unknown
  virtual void worker_load_reported(const std::string& worker, double load) = 0;  // of its capacity
  virtual void worker_list_updated(const config::WorkerList& list) = 0;
  virtual void call_answered(bool refused) = 0;  // a call has had its final answer
  virtual void move_requested() = 0;             // a client, by whomever
};

}  // namespace marblehub::core
