#include "rebalance/fleet_view.h"

#include <algorithm>

#include "policy/slow_start/factor.h"

namespace marblehub::rebalance {
namespace {

constexpr double kNoLowest = 1e9;

}  // namespace

double capacity_factor(const ConnectionTable::Worker& worker, const Fleet& fleet, Time now) {
  return policy::slow_start_factor(worker.start_time, now, fleet.cold_share, fleet.warm_within);
}

FleetView view_of(const ConnectionTable& table, const Fleet& fleet, Time now, Time stale) {
  FleetView view;
  double sum = 0, lasting = 0, lowest = kNoLowest, highest_lasting = 0, lowest_lasting = kNoLowest;
  for (const ConnectionTable::Worker& worker : table.workers()) {
    if (!worker.serving || worker.level < 0) continue;
    view.reported += 1;
    if (!worker.known(now, stale)) {
      view.stale += 1;
      continue;
    }
    double size = worker.scale * capacity_factor(worker, fleet, now);
    view.scales += size;
    sum += size * worker.level;
    lasting += size * worker.lasting;
    highest_lasting = std::max(highest_lasting, worker.lasting);
    lowest_lasting = std::min(lowest_lasting, worker.lasting);
    view.highest = std::max(view.highest, worker.level);
    lowest = std::min(lowest, worker.level);
  }
  if (view.scales <= 0) return view;
  view.mean = sum / view.scales;
  view.lasting = lasting / view.scales;
  view.gap = std::min(view.highest - lowest, highest_lasting - lowest_lasting);
  for (const ConnectionTable::Worker& worker : table.workers()) {
    if (!worker.known(now, stale)) continue;
    double factor = capacity_factor(worker, fleet, now);
    double size = worker.scale * factor;
    if (worker.level > view.mean) view.excess += (worker.level - view.mean) * size;
    // What warms up takes less than its headroom seems to allow: its part comes as it warms.
    if (worker.level < view.mean) view.headroom += (view.mean - worker.level) * size * factor;
  }
  return view;
}

}  // namespace marblehub::rebalance
