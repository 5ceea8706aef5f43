#include "fleet/processes/receipt_analysis.h"

#include <algorithm>

namespace marblehub::test {

std::uint64_t version_of(const Receipt& receipt, const PoolsByVersion& pools) {
  for (const auto& [version, workers] : pools)
    if (std::find(workers.begin(), workers.end(), receipt.worker) != workers.end()) return version;
  return 0;
}

std::set<std::string> placed_by(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                                std::uint64_t version, double since) {
  std::set<std::string> balancers;
  for (const Receipt& r : receipts)
    if (r.at >= since && (version == 0 || version_of(r, pools) == version)) balancers.insert(r.balancer);
  return balancers;
}

VersionSwitch find_switch(const std::vector<Receipt>& receipts, const PoolsByVersion& pools,
                          std::uint64_t version) {
  std::map<std::string, double> first;
  for (const Receipt& r : receipts)
    if (version_of(r, pools) == version) {
      auto known = first.emplace(r.balancer, r.at).first;
      known->second = std::min(known->second, r.at);
    }
  VersionSwitch s;
  s.balancers = first.size();
  for (const auto& [balancer, at] : first) {
    s.first = s.first == 0 ? at : std::min(s.first, at);
    s.last = std::max(s.last, at);
  }
  return s;
}

double longest_gap(const std::vector<Receipt>& receipts, const std::string& balancer, double since) {
  std::vector<double> times;
  for (const Receipt& r : receipts)
    if (r.balancer == balancer && r.at >= since) times.push_back(r.at);
  std::sort(times.begin(), times.end());
  double longest = 0;
  for (std::size_t i = 1; i < times.size(); ++i) longest = std::max(longest, times[i] - times[i - 1]);
  return longest;
}

}  // namespace marblehub::test
