// Consistency of the front's tables. Test builds check it after each sweep (check/check.h).
#include "quic/front.h"

namespace marblehub::quic {

// What is wrong with a flow's entries in the tables; empty if nothing is.
std::string Front::flow_fault(const FlowKey& key, const Flow& flow) const {
  if (flow.table_key != &key) return "a flow is not in the table under its key";
  for (const ConnectionId& id : flow.linked_ids) {
    auto it = flows_by_id_.find(id);
    if (it == flows_by_id_.end() || it->second != &flow) return "a connection id of a flow leads elsewhere";
  }
  if (!flow.attempt_pending) return "";
  if (!flow.path || flow.is_established) return "a pending attempt has no path of its own";
  auto [at, end] = pending_attempts_.equal_range(path_key(flow.path->client, flow.path->worker));
  while (at != end && at->second != &flow) ++at;
  return at == end ? "a pending attempt is not found by its client and worker" : "";
}

std::string Front::table_fault() const {
  std::size_t linked_ids = 0, pending_attempts = 0;
  for (const auto& [key, flow] : flows_) {
    if (std::string fault = flow_fault(key, *flow); !fault.empty()) return fault;
    linked_ids += flow->linked_ids.size();
    pending_attempts += flow->attempt_pending;
  }
  if (linked_ids != flows_by_id_.size()) return "a connection id leads to a flow that has ended";
  if (pending_attempts != pending_attempts_.size())
    return "a pending attempt belongs to a flow that has ended";
  return "";
}

}  // namespace marblehub::quic
