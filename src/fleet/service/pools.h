/// Which workers the calls of a route may use.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/json.h"
#include "fleet/routes/routes.h"

namespace marblehub::fleet {

/// A pool that has failed over is used again once at least one of its workers has been up for this long
/// without interruption, so that a flapping worker does not move the pool's calls back and forth.
constexpr Time kRecoveryTime = 5 * kSecond;

/// The workers of the registry's list, those that the policy has marked down, and the set of usable workers
/// for each pool of a table. A set is built once and shared by the calls that use it. Free of I/O and clock.
class PooledWorkers {
 public:
  using WorkerSet = std::shared_ptr<const std::set<std::string>>;

  /// Applies a whole list or changes to it, and rebuilds the sets if the workers differ.
  void update_list(const config::WorkerList& list);
  /// Replaces the set of workers that are down. Called five times a second.
  void update_down(Time now, const std::vector<std::string>& workers);
  /// The workers that take new calls.
  std::vector<ListedWorker> listed() const;
  /// The workers of the route's pool that take new calls. Those of its fallback if there are none, or if the
  /// pool has failed over and a worker of the fallback is up. Empty if neither has any: the policy then
  /// treats the call as with an empty list. O(log pools) after the first call for a pool.
  WorkerSet usable(const Route& route, const Routes& routes);
  /// Whether at least one of the workers is not down.
  bool any_up(const std::set<std::string>& workers) const;
  /// Forgets all sets. Called when another table comes into force.
  void reset_pools() { pools_.clear(), ++placement_version_; }
  /// At least 1. Increases when `usable` may return another set.
  std::uint64_t placement_version() const { return placement_version_; }

 private:
  /// The state of the pools with one mask in one table version.
  struct Pool {
    WorkerSet members;         // null: to be built
    bool failed_over = false;  // all members were down, and none has been up for kRecoveryTime since
    Time up_since = -1;        // since when a member is up, while failed over; -1: none is
  };
  Pool& pool_entry(PoolMask pools, std::uint64_t version, const Routes& routes);

  std::map<std::string, ListedWorker> ready_workers_;
  std::set<std::string> down_workers_;
  std::map<std::pair<std::uint64_t, PoolMask>, Pool> pools_;  // by version and mask
  std::uint64_t placement_version_ = 1;
};

}  // namespace marblehub::fleet
