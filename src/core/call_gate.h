/// The interface of routes and wallets to the dispatcher: they reject calls and limit the choice of workers.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ports.h"

namespace marblehub::core {

struct Call;

/// Decides on a call before the policy sees it: rejects it, or limits the workers that the policy may choose.
/// For each call, admit() is called once, then call_established() if its connection is established, and
/// call_ended() when the call is over for any reason.
class CallGate {
 public:
  /// The answer to admit().
  struct Decision {
    bool rejected = false;
    Time retry_after = 0;  // microseconds, sent to the rejected client; 0: none
    std::shared_ptr<const std::set<std::string>> allowed_workers;  // by name; null: all
  };

  virtual ~CallGate() = default;
  virtual Decision admit(std::uint64_t id, const Call& call) = 0;
  virtual void call_established(std::uint64_t id) = 0;
  virtual void call_ended(std::uint64_t id) = 0;  // may be called with an unknown id
  /// Receives each list of service discovery, or changes to one, that arrives after the start.
  virtual void worker_list_updated(const config::WorkerList& list) = 0;

  /// The number of balancers that share the fleet's budgets, polled five times a second; 0: use the settings.
  virtual int balancer_count() = 0;

  /// Receives the workers that the policy has marked down, five times a second.
  virtual void set_down_workers(const std::vector<std::string>& workers) = 0;

  /// Whether a new call like this one could be placed at the worker now. Answers change only when
  /// placement_version() increases; while that is 0, the answer is always true.
  virtual bool placement_allowed(const Call& call, const std::string& worker) = 0;
  /// Increases when placement_allowed() may answer differently; always 0: every worker is allowed.
  virtual std::uint64_t placement_version() = 0;
};

}  // namespace marblehub::core
