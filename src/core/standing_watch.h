/// Who follows the standing connections beside the policy: a planner of moves.
#pragma once

#include <cstdint>
#include <string>

#include "core/ports.h"

namespace marblehub::core {

struct Call;

/// Notified after the fact, from within the dispatcher; it must not call back from there.
class StandingWatch {
 public:
  virtual ~StandingWatch() = default;
  /// A connection stands. `found`: it stood before this balancer learnt of it, so its age is not known.
  virtual void stands(std::uint64_t id, const std::string& worker, const Call& call, bool found) = 0;
  virtual void load_is(std::uint64_t id, double load) = 0;  // work a second, in microseconds
  virtual void gone(std::uint64_t id) = 0;                  // ended, moved or left; an id may be unknown
  virtual void reported(const std::string& worker, double load) = 0;  // of its capacity
  virtual void members(const config::WorkerList& list) = 0;
  virtual void answered(bool refused) = 0;  // a call has had its final answer
  virtual void told_to_move() = 0;          // a client, by whomever
};

}  // namespace marblehub::core
