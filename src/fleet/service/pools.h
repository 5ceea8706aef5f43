// The workers as the registry lists them and as the module finds them, and for each route the set of those
// that a call may use. A set is made once for a table's pool and stays with the calls that began by it. Free
// of I/O and clock.
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

// A pool that was left for its fallback because the module had all of it down is used again once some worker
// of it has been up for so long without a break: one that flaps does not take the pool's calls to and fro.
constexpr Time kRecoveryTime = 5 * kSecond;

class PooledWorkers {
 public:
  using WorkerSet = std::shared_ptr<const std::set<std::string>>;

  void update_list(const config::WorkerList& list);  // a whole list or changes: new sets where it differs
  // All that the module has down now; told five times a second.
  void update_down(Time now, const std::vector<std::string>& workers);
  std::vector<ListedWorker> listed() const;  // those that take new calls
  // Of the route's pool. Of its fallback where none of the pool takes new calls, or where all of it are down
  // and some of the fallback is up. Empty where neither has any: the call is then held and refused as by an
  // empty list. O(log pools) after the first call for a pool.
  WorkerSet usable(const Route& route, const Routes& routes);
  bool any_up(const std::set<std::string>& workers) const;
  void reset_pools() { pools_.clear(), ++changes_; }  // a table has come into force
  std::uint64_t changes() const { return changes_; }  // from 1; grows when `usable` may answer otherwise

 private:
  struct Pool {
    WorkerSet members;         // none: to be made anew
    bool failed_over = false;  // all of it were down, and none has been up for long
    Time up_since = -1;
  };
  Pool& pool_entry(PoolMask pools, std::uint64_t version, const Routes& routes);

  std::map<std::string, ListedWorker> ready_workers_;
  std::set<std::string> down_workers_;
  std::map<std::pair<std::uint64_t, PoolMask>, Pool> pools_;  // by version and bits
  std::uint64_t changes_ = 1;
};

}  // namespace marblehub::fleet
