#include "fleet/view/gossip.h"

#include <algorithm>

namespace marblehub::fleet::view {

void Gossip::add(MemberUpdate update) {
  std::size_t bytes = encoded_size(update);
  std::string name = update.name;
  queue_.insert_or_assign(std::move(name), QueuedUpdate{std::move(update), 0, ++order_, bytes});
}

std::vector<MemberUpdate> Gossip::take(std::size_t members, std::size_t bytes, const std::string& except) {
  constexpr std::size_t max_considered = 24;  // more than fit into a datagram
  std::vector<std::map<std::string, QueuedUpdate>::iterator> candidates;
  for (auto it = queue_.begin(); it != queue_.end(); ++it)
    if (it->first != except) candidates.push_back(it);
  auto before = [](const auto& a, const auto& b) {
    return a->second.transmissions != b->second.transmissions
               ? a->second.transmissions < b->second.transmissions
               : a->second.order > b->second.order;
  };
  std::partial_sort(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(std::min(max_considered, candidates.size())),
      candidates.end(), before);
  if (candidates.size() > max_considered) candidates.resize(max_considered);
  std::vector<MemberUpdate> taken;
  const int limit = max_transmissions(members);
  for (auto it : candidates) {
    if (it->second.bytes > bytes) continue;
    bytes -= it->second.bytes;
    taken.push_back(it->second.update);
    if (++it->second.transmissions >= limit) queue_.erase(it);
  }
  return taken;
}

bool Gossip::has_fresh() const {
  return std::any_of(queue_.begin(), queue_.end(),
                     [](const auto& one) { return one.second.transmissions < kFreshTransmissions; });
}

bool Gossip::within_bounds(std::size_t members) const {
  // max_transmissions may have shrunk with the fleet; updates above it leave the queue when they are next
  // sent.
  return queue_.size() <= members && std::all_of(queue_.begin(), queue_.end(), [](const auto& one) {
           return one.second.transmissions < 64;
         });
}

}  // namespace marblehub::fleet::view
