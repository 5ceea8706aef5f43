// Verdicts from receipts alone, by the pools of each version: who placed by which table, and when.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "fleet/processes/fake_environment.h"

namespace marblehub::test {

using PoolsByVersion =
    std::map<std::uint64_t, std::vector<std::string>>;  // by version: the workers that it names

// 0: a worker of no pool.
std::uint64_t version_of(const Receipt& receipt, const PoolsByVersion& pools);

// Balancers with a receipt by `version` (0: by any worker) at `since` or later.
std::set<std::string> placed_by(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                                std::uint64_t version, double since);

// Of a switch to `version`: the first receipt by it of the first balancer and of the last one, and how many
// have one.
struct VersionSwitch {
  double first = 0, last = 0;
  std::size_t balancers = 0;
};
VersionSwitch find_switch(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                          std::uint64_t version);

// The longest time in which one of those named placed nothing, begun at `since` or later and over since.
double longest_gap(const std::vector<Receipt>& receipts, const std::string& balancer, double since);

}  // namespace marblehub::test
