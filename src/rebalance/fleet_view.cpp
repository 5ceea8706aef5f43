#include "rebalance/fleet_view.h"

#include <algorithm>

#include "policy/slow_start/factor.h"

namespace marblehub::rebalance {
namespace {

constexpr double kNoMinimum = 1e9;

}  // namespace

double capacity_factor(const ConnectionTable::Worker& worker, const FleetConfig& fleet, Time now) {
  return policy::slow_start_factor(worker.start_time, now, fleet.cold_share, fleet.warm_within);
}

FleetView compute_fleet_view(const ConnectionTable& table, const FleetConfig& fleet, Time now,
                             Time max_report_age) {
  FleetView view;
  double load_sum = 0, long_term_sum = 0, min_load = kNoMinimum, max_long_term = 0,
         min_long_term = kNoMinimum;
  for (const ConnectionTable::Worker& worker : table.workers()) {
    if (!worker.serving || worker.reported_load < 0) continue;
    view.reporting_workers += 1;
    if (!worker.has_current_report(now, max_report_age)) {
      view.stale_workers += 1;
      continue;
    }
    double capacity = worker.scale * capacity_factor(worker, fleet, now);
    view.capacity += capacity;
    load_sum += capacity * worker.reported_load;
    long_term_sum += capacity * worker.long_term_load;
    max_long_term = std::max(max_long_term, worker.long_term_load);
    min_long_term = std::min(min_long_term, worker.long_term_load);
    view.max_load = std::max(view.max_load, worker.reported_load);
    min_load = std::min(min_load, worker.reported_load);
  }
  if (view.capacity <= 0) return view;
  view.mean_load = load_sum / view.capacity;
  view.long_term_mean = long_term_sum / view.capacity;
  view.gap = std::min(view.max_load - min_load, max_long_term - min_long_term);
  for (const ConnectionTable::Worker& worker : table.workers()) {
    if (!worker.has_current_report(now, max_report_age)) continue;
    double factor = capacity_factor(worker, fleet, now);
    double capacity = worker.scale * factor;
    if (worker.reported_load > view.mean_load)
      view.excess += (worker.reported_load - view.mean_load) * capacity;
    // Uses only part of the headroom of a worker that warms up; the rest becomes available as it warms.
    if (worker.reported_load < view.mean_load)
      view.headroom += (view.mean_load - worker.reported_load) * capacity * factor;
  }
  return view;
}

}  // namespace marblehub::rebalance
