// Consistency of the front's tables. Test builds check it after each sweep (check/check.h).
#include <algorithm>

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

// What is wrong with a path's entries and with the connections on it; empty if nothing is.
std::string Front::path_fault(const Path& path) const {
  for (const Flow* flow = path.flow; flow; flow = flow->next_on_path) {
    if (flow->path != &path) return "a path carries a connection that has another path";
    const Flow* next = flow->next_on_path;
    if (next && next->previous_on_path != flow) return "the connections of a path are not linked both ways";
    if (next && !next->is_established) return "the path of a pending call is shared";
  }
  if (!path.indexed) return "";
  auto it = paths_.find(path_key(path.client, path.worker));
  return it == paths_.end() || it->second != &path ? "a path is not found by its client and worker" : "";
}

// What is wrong with the list of paths without a connection; empty if it has exactly these.
std::string Front::idle_list_fault() const {
  std::size_t listed = 0;
  for (const Path* path = oldest_; path; path = path->newer) {
    listed += 1;
    if (!all_paths_.contains(const_cast<Path*>(path))) return "a path that was dropped is listed as idle";
    if (path->flow) return "a path that carries a connection is listed as idle";
    if (!path->newer && path != newest_) return "the list of idle paths does not end with the newest";
  }
  auto idle = std::count_if(all_paths_.begin(), all_paths_.end(),
                            [](const auto& entry) { return !entry.first->flow; });
  return listed == static_cast<std::size_t>(idle) ? "" : "a path without a connection is not listed as idle";
}

std::string Front::table_fault() const {
  std::size_t linked_ids = 0, pending_attempts = 0, attached_flows = 0, flows_on_paths = 0, indexed_paths = 0;
  for (const auto& [key, flow] : flows_) {
    if (std::string fault = flow_fault(key, *flow); !fault.empty()) return fault;
    linked_ids += flow->linked_ids.size();
    pending_attempts += flow->attempt_pending;
    attached_flows += flow->path != nullptr;
  }
  for (const auto& [raw, path] : all_paths_) {
    if (std::string fault = path_fault(*path); !fault.empty()) return fault;
    for (const Flow* flow = path->flow; flow; flow = flow->next_on_path) flows_on_paths += 1;
    indexed_paths += path->indexed;
  }
  if (linked_ids != flows_by_id_.size()) return "a connection id leads to a flow that has ended";
  if (pending_attempts != pending_attempts_.size())
    return "a pending attempt belongs to a flow that has ended";
  if (attached_flows != flows_on_paths) return "a flow refers to a path that does not carry it";
  if (indexed_paths != paths_.size()) return "an entry of the index leads to a path that was dropped";
  return idle_list_fault();
}

}  // namespace marblehub::quic
