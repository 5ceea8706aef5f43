/// Properties of the fleet that stay fixed for the lifetime of a planner.
#pragma once

#include <cstdint>

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

/// The number of balancers, this one's index, and how workers warm up.
struct FleetConfig {
  int balancers = 1;
  int balancer_index = 0;  // of this balancer, from 0
  double cold_share = 1;   // share of its capacity that a worker has when it starts
  Time warm_within = 0;    // time until it has all of it, in microseconds; 0: at once
  std::uint64_t seed = 1;  // of the planner's random generators
};

}  // namespace marblehub::rebalance
