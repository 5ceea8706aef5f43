/// How the fleet's load looks at one moment, as far as it is known.
#pragma once

#include "rebalance/connection_table.h"
#include "rebalance/fleet.h"

namespace marblehub::rebalance {

/// Loads are over what a worker can do while it warms up; sizes are in what it can do then.
struct FleetView {
  double mean = 0;      // load
  double highest = 0;   // load
  double gap = 0;       // highest less lowest load, as far as it has lasted
  double lasting = 0;   // mean load, smoothed over long
  double scales = 0;    // size of all
  double excess = 0;    // work of those above the mean
  double headroom = 0;  // work that those below it can take now
  int reported = 0;     // workers that ever reported
  int stale = 0;        // of them, those whose report is old
};

/// The part of its capacity that the worker has by now.
double capacity_factor(const ConnectionTable::Worker& worker, const Fleet& fleet, Time now);

/// A report older than `stale` tells nothing.
FleetView view_of(const ConnectionTable& table, const Fleet& fleet, Time now, Time stale);

}  // namespace marblehub::rebalance
