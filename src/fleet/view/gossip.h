// News that are still to be told. Each is told at most 3 log10(n + 1) times by this member, or six times, but
// never more than ceil(3 ln(n + 1)): enough for nearly all of n to hear it (SWIM, section 4.1); whoever does
// not shows another digest and is told by an exchange. The least told go first, of those the newest.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "fleet/view/message.h"

namespace marblehub::fleet::view {

class Gossip {
 public:
  static constexpr int kFresh = 6;
  static int most_times(std::size_t members) {
    const double n = static_cast<double>(members) + 1;
    return static_cast<int>(
        std::min(std::ceil(3 * std::log(n)), std::max(6.0, std::ceil(3 * std::log10(n)))));
  }
  // Takes the place of what was still to be told about the same member.
  void add(MemberUpdate update);
  void clear() { queue_.clear(); }
  void forget(const std::string& name) { queue_.erase(name); }
  // As many as fit into `octets`; each counts as told once more. `except` is told in another way.
  std::vector<MemberUpdate> take(std::size_t members, std::size_t octets, const std::string& except);
  std::size_t size() const { return queue_.size(); }
  bool fresh() const;                       // something was told fewer than kFresh times
  bool bounded(std::size_t members) const;  // invariant: nothing told more often than it may be

 private:
  struct Told {
    MemberUpdate update;
    int times = 0;
    std::uint64_t order = 0;
    std::size_t octets = 0;
  };
  std::map<std::string, Told> queue_;  // one a member
  std::uint64_t order_ = 0;
};

}  // namespace marblehub::fleet::view
