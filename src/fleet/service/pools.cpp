#include "fleet/service/pools.h"

#include <algorithm>

namespace marblehub::fleet {

void PooledWorkers::learn(const config::WorkerList& list) {
  const auto before = ready_;
  if (list.snapshot) ready_.clear();
  for (const config::WorkerEntry& entry : list.workers) {
    const marblehub::policy::BackendEntry& b = entry.backend;
    if (b.health == marblehub::policy::Health::serving)
      ready_[b.address] = {b.address, b.zone, "", b.cell < 0 ? "" : std::to_string(b.cell)};
    else
      ready_.erase(b.address);
  }
  auto same = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.zone == b.second.zone && a.second.group == b.second.group;
  };
  if (std::equal(before.begin(), before.end(), ready_.begin(), ready_.end(), same)) return;
  for (auto& [key, pool] : pools_) pool.names = nullptr;
  ++changes_;
}

void PooledWorkers::down(Time now, const std::vector<std::string>& workers) {
  down_ = {workers.begin(), workers.end()};
  for (auto& [key, pool] : pools_) {
    if (!pool.names || pool.names->empty()) continue;
    const bool was_left = pool.left;
    if (!some_up(*pool.names)) {
      pool.left = true;
      pool.up_since = -1;
    } else if (pool.left) {
      if (pool.up_since < 0) pool.up_since = now;
      pool.left = now - pool.up_since < kSteady;
    }
    changes_ += pool.left != was_left;
  }
}

bool PooledWorkers::some_up(const std::set<std::string>& workers) const {
  return std::any_of(workers.begin(), workers.end(),
                     [this](const std::string& name) { return !down_.count(name); });
}

std::vector<ListedWorker> PooledWorkers::listed() const {
  std::vector<ListedWorker> workers;
  for (const auto& [name, worker] : ready_) workers.push_back(worker);
  return workers;
}

PooledWorkers::Set PooledWorkers::usable(const Route& route, const Routes& routes) {
  const Pool& pool = of(route.pool, route.version, routes);
  if (route.fallback == 0 || (!pool.left && !pool.names->empty())) return pool.names;
  const Pool& fallback = of(route.fallback, route.version, routes);
  return pool.names->empty() || some_up(*fallback.names) ? fallback.names : pool.names;
}

PooledWorkers::Pool& PooledWorkers::of(PoolMask pools, std::uint64_t version, const Routes& routes) {
  Pool& made = pools_[{version, pools}];
  if (made.names) return made;
  auto names = std::make_shared<std::set<std::string>>();
  for (const auto& [name, worker] : ready_)
    if ((pools & kAnyWorkerBit) != 0 || (routes.pool_mask(name, version) & pools) != 0) names->insert(name);
  made.left = made.left || (!names->empty() && !some_up(*names));
  made.names = std::move(names);
  return made;
}

}  // namespace marblehub::fleet
