/// Open connections per group.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace marblehub::policy {

/// Counts the open connections of each group at this balancer, over all backends.
class GroupConnections {
 public:
  int count(std::uint64_t group) const {
    auto it = counts_.find(group);
    return it == counts_.end() ? 0 : it->second;
  }

  void add(std::uint64_t group) { counts_[group] += 1; }

  void remove(std::uint64_t group) {
    if ((counts_[group] -= 1) == 0) counts_.erase(group);
  }

 private:
  std::unordered_map<std::uint64_t, int> counts_;
};

}  // namespace marblehub::policy
