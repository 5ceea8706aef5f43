/// The queue of updates to piggyback on messages. This member sends each update at most max(6, 3 log10(n +
/// 1)) times and never more than ceil(3 ln(n + 1)) times, which reaches nearly all of n members (SWIM,
/// section 4.1); a member that missed one has another digest and gets it by push-pull. Updates with the
/// fewest transmissions go first, the newest of these before older ones.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "fleet/view/message.h"

namespace marblehub::fleet::view {

/// The updates still to be sent, at most one for each member.
class Gossip {
 public:
  /// An update sent fewer times than this is worth a gossip message of its own.
  static constexpr int kFreshTransmissions = 6;
  /// How often an update is sent in a fleet of `members`.
  static int max_transmissions(std::size_t members) {
    const double n = static_cast<double>(members) + 1;
    return static_cast<int>(
        std::min(std::ceil(3 * std::log(n)), std::max(6.0, std::ceil(3 * std::log10(n)))));
  }
  /// Replaces a queued update about the same member.
  void add(MemberUpdate update);
  void clear() { queue_.clear(); }
  void remove(const std::string& name) { queue_.erase(name); }
  /// As many updates as fit into `bytes`; counts a transmission of each. Skips the update about `except`.
  std::vector<MemberUpdate> take(std::size_t members, std::size_t bytes, const std::string& except);
  std::size_t size() const { return queue_.size(); }
  bool has_fresh() const;  ///< whether any was sent fewer than kFreshTransmissions times
  bool within_bounds(std::size_t members) const;  ///< invariant: queue length and transmissions

 private:
  /// An update with what decides its place in the queue.
  struct QueuedUpdate {
    MemberUpdate update;
    int transmissions = 0;
    std::uint64_t order = 0;  // higher is newer
    std::size_t bytes = 0;    // encoded size
  };
  std::map<std::string, QueuedUpdate> queue_;  // by the member's name
  std::uint64_t order_ = 0;
};

}  // namespace marblehub::fleet::view
