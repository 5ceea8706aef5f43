/// The interface of the rebalancing planner to the dispatcher: updates on established connections.
#pragma once

#include <cstdint>
#include <string>

#include "core/ports.h"

namespace marblehub::core {

struct Call;

/// Called by the dispatcher after each event; must not call the dispatcher from there.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// `preexisting`: it was established before this balancer received it, so its age is unknown.
  virtual void connection_established(std::uint64_t id, const std::string& worker, const Call& call,
                                      bool preexisting) = 0;
  virtual void connection_load_changed(std::uint64_t id,
                                       double load) = 0;  // work per second, in microseconds
  virtual void connection_ended(std::uint64_t id) = 0;    // for any reason; the id may be unknown
  virtual void worker_load_reported(const std::string& worker,
                                    double load) = 0;  // as a share of its capacity
  /// A full list of service discovery, or changes to one.
  virtual void worker_list_updated(const config::WorkerList& list) = 0;
  virtual void call_answered(bool refused) = 0;  // with a final answer
  virtual void move_requested() = 0;             // of any client, for any reason
};

}  // namespace marblehub::core
