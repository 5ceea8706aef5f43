#include "fleet/service/pools.h"

#include <algorithm>

namespace marblehub::fleet {

void PooledWorkers::update_list(const config::WorkerList& list) {
  const auto before = ready_workers_;
  if (list.snapshot) ready_workers_.clear();
  for (const config::WorkerEntry& entry : list.workers) {
    const marblehub::policy::BackendEntry& b = entry.backend;
    if (b.health == marblehub::policy::Health::serving)
      ready_workers_[b.address] = {b.address, b.zone, "", b.cell < 0 ? "" : std::to_string(b.cell)};
    else
      ready_workers_.erase(b.address);
  }
  auto same = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.zone == b.second.zone && a.second.group == b.second.group;
  };
  if (std::equal(before.begin(), before.end(), ready_workers_.begin(), ready_workers_.end(), same)) return;
  for (auto& [key, pool] : pools_) pool.members = nullptr;
  ++placement_version_;
}

void PooledWorkers::update_down(Time now, const std::vector<std::string>& workers) {
  down_workers_ = {workers.begin(), workers.end()};
  for (auto& [key, pool] : pools_) {
    if (!pool.members || pool.members->empty()) continue;
    const bool was_left = pool.failed_over;
    if (!any_up(*pool.members)) {
      pool.failed_over = true;
      pool.up_since = -1;
    } else if (pool.failed_over) {
      if (pool.up_since < 0) pool.up_since = now;
      pool.failed_over = now - pool.up_since < kRecoveryTime;
    }
    placement_version_ += pool.failed_over != was_left;
  }
}

bool PooledWorkers::any_up(const std::set<std::string>& workers) const {
  return std::any_of(workers.begin(), workers.end(),
                     [this](const std::string& name) { return !down_workers_.count(name); });
}

std::vector<ListedWorker> PooledWorkers::listed() const {
  std::vector<ListedWorker> workers;
  for (const auto& [name, worker] : ready_workers_) workers.push_back(worker);
  return workers;
}

PooledWorkers::WorkerSet PooledWorkers::usable(const Route& route, const Routes& routes) {
  const Pool& pool = pool_entry(route.pool, route.version, routes);
  if (route.fallback == 0 || (!pool.failed_over && !pool.members->empty())) return pool.members;
  const Pool& fallback = pool_entry(route.fallback, route.version, routes);
  return pool.members->empty() || any_up(*fallback.members) ? fallback.members : pool.members;
}

PooledWorkers::Pool& PooledWorkers::pool_entry(PoolMask pools, std::uint64_t version, const Routes& routes) {
  Pool& entry = pools_[{version, pools}];
  if (entry.members) return entry;
  auto members = std::make_shared<std::set<std::string>>();
  for (const auto& [name, worker] : ready_workers_)
    if ((pools & kAnyWorkerBit) != 0 || (routes.pool_mask(name, version) & pools) != 0) members->insert(name);
  entry.failed_over = entry.failed_over || (!members->empty() && !any_up(*members));
  entry.members = std::move(members);
  return entry;
}

}  // namespace marblehub::fleet
