// Finds from receipts which balancer placed calls by which version of the route table, and when.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "fleet/processes/fake_environment.h"

namespace marblehub::test {

/// The workers that each version of the route table names.
using PoolsByVersion = std::map<std::uint64_t, std::vector<std::string>>;

/// The version whose pool holds the receipt's worker; 0 if no pool does.
std::uint64_t version_of(const Receipt& receipt, const PoolsByVersion& pools);

/// Balancers with a receipt by `version` (0: by any worker) at `since` or later.
std::set<std::string> placed_by(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                                std::uint64_t version, double since);

/// A switch to a version: each balancer's first receipt by it, the earliest and the latest of these, in
/// seconds, and the number of balancers that have one.
struct VersionSwitch {
  double first = 0, last = 0;
  std::size_t balancers = 0;
};
VersionSwitch find_switch(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                          std::uint64_t version);

/// The longest time in seconds between two successive receipts of a balancer, both at `since` or later.
double longest_gap(const std::vector<Receipt>& receipts, const std::string& balancer, double since);

}  // namespace marblehub::test
