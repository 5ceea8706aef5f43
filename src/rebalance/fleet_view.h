/// A summary of the load of all workers, computed from their reports.
#pragma once

#include "rebalance/connection_table.h"
#include "rebalance/fleet.h"

namespace marblehub::rebalance {

/// Loads are relative to the capacity that a worker has while it warms up. Capacity, excess and headroom are
/// in units of a warm worker of scale 1. The loads cover only workers with a current report.
struct FleetView {
  double mean_load = 0;  // weighted by capacity
  double max_load = 0;
  double gap = 0;             // highest minus lowest load; the smaller of the short- and the long-term one
  double long_term_mean = 0;  // mean of the long-term loads, weighted by capacity
  double capacity = 0;        // total
  double excess = 0;          // load above the mean
  double headroom = 0;        // load that the workers below the mean can take now
  int reporting_workers = 0;  // serving workers that have ever reported
  int stale_workers = 0;      // of these, those whose last report is too old
};

/// The share of its full capacity that the worker has at `now`.
double capacity_factor(const ConnectionTable::Worker& worker, const FleetConfig& fleet, Time now);

/// Leaves out the loads of workers whose last report is older than `max_report_age`.
FleetView compute_fleet_view(const ConnectionTable& table, const FleetConfig& fleet, Time now,
                             Time max_report_age);

}  // namespace marblehub::rebalance
