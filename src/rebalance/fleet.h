/// What a planner is told of the fleet once, for its balancer's life.
#pragma once

#include <cstdint>

#include "marblehub/policy.h"

namespace marblehub::rebalance {

using policy::Time;

struct Fleet {
  int balancers = 1;
  int me = 0;  // this balancer's number, from 0
  double cold_share = 1;
  Time warm_within = 0;
  std::uint64_t seed = 1;
};

}  // namespace marblehub::rebalance
