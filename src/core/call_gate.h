/// What may stand before the policy: routes and wallets, which reject calls and bound the choice of workers.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ports.h"

namespace marblehub::core {

struct Call;

/// May reject a call before the policy sees it, and says among which workers the policy may choose. Notified
/// of each call once: when it enters, and when it is over, by whatever way; call_established() between, where
/// it comes to that.
class CallGate {
 public:
  struct Decision {
    bool rejected = false;
    Time retry_after = 0;  // told to the client that is rejected; 0: none
    std::shared_ptr<const std::set<std::string>> allowed_workers;  // names of workers; none: any
  };

  virtual ~CallGate() = default;
  virtual Decision admit(std::uint64_t id, const Call& call) = 0;
  virtual void call_established(std::uint64_t id) = 0;
  virtual void call_ended(std::uint64_t id) = 0;  // an id may be unknown
  virtual void worker_list_updated(const config::WorkerList& list) = 0;

  /// By how many balancers the fleet's budgets are shared, asked five times a second; 0: as the settings say.
  virtual int balancer_count() = 0;

  /// The workers that the policy has marked down, as often.
  virtual void set_down_workers(const std::vector<std::string>& workers) = 0;

  /// Whether a connection that stands at this worker is where its call might be placed now. An answer may
  /// change only when placement_version() has grown; as long as that is 0 it is always so.
  virtual bool placement_allowed(const Call& call, const std::string& worker) = 0;
  virtual std::uint64_t placement_version() = 0;
};

}  // namespace marblehub::core
