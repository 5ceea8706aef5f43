#include "fleet/view/gossip.h"

#include <algorithm>

namespace marblehub::fleet::view {

void Gossip::add(MemberUpdate update) {
  std::size_t octets = encoded_size(update);
  std::string name = update.name;
  queue_.insert_or_assign(std::move(name), Told{std::move(update), 0, ++order_, octets});
}

std::vector<MemberUpdate> Gossip::take(std::size_t members, std::size_t octets, const std::string& except) {
  constexpr std::size_t considered = 24;  // more than fit into a datagram
  std::vector<std::map<std::string, Told>::iterator> next;
  for (auto it = queue_.begin(); it != queue_.end(); ++it)
    if (it->first != except) next.push_back(it);
  auto before = [](const auto& a, const auto& b) {
    return a->second.times != b->second.times ? a->second.times < b->second.times
                                              : a->second.order > b->second.order;
  };
  std::partial_sort(next.begin(),
                    next.begin() + static_cast<std::ptrdiff_t>(std::min(considered, next.size())), next.end(),
                    before);
  if (next.size() > considered) next.resize(considered);
  std::vector<MemberUpdate> taken;
  const int most = most_times(members);
  for (auto it : next) {
    if (it->second.octets > octets) continue;
    octets -= it->second.octets;
    taken.push_back(it->second.update);
    if (++it->second.times >= most) queue_.erase(it);
  }
  return taken;
}

bool Gossip::fresh() const {
  return std::any_of(queue_.begin(), queue_.end(), [](const auto& one) { return one.second.times < kFresh; });
}

bool Gossip::bounded(std::size_t members) const {
  // The fleet may have shrunk since: what is over the bound now leaves the queue when it is next told.
  return queue_.size() <= members &&
         std::all_of(queue_.begin(), queue_.end(), [](const auto& one) { return one.second.times < 64; });
}

}  // namespace marblehub::fleet::view
