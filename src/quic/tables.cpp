// The front's tables of flows, connection ids and paths. Removed objects are released by the event loop
// before its next wait, since one of their callbacks may be on the stack.
#include <algorithm>

#include "check/check.h"
#include "quic/front.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kMaxLinkedIds = 8;  // connection ids remembered for one connection

// The attempt of an adopted connection, which this front did not establish; it owns nothing.
class AdoptedAttempt final : public core::Attempt {
 public:
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void finish(core::CloseKind) override {}
};

}  // namespace

FlowKey Front::flow_key(std::string_view destination, std::string_view source) {
  char bytes[41];
  bytes[0] = static_cast<char>(destination.size());
  std::copy(destination.begin(), destination.end(), bytes + 1);
  std::copy(source.begin(), source.end(), bytes + 1 + destination.size());
  return std::string_view(bytes, 1 + destination.size() + source.size());
}

// The first byte exceeds every id length, so that address keys never equal id keys.
FlowKey Front::address_key(const Endpoint& client) {
  char bytes[41];
  bytes[0] = '\xff';
  std::string_view from = client.bytes();
  std::copy(from.begin(), from.end(), bytes + 1);
  return std::string_view(bytes, 1 + from.size());
}

Front::PathKey Front::path_key(const Endpoint& client, const WorkerTable::Worker& worker) {
  char bytes[26];
  std::string_view from = client.bytes();
  std::uint64_t index = worker.index;
  std::memcpy(bytes, &index, 8);
  std::copy(from.begin(), from.end(), bytes + 8);
  return std::string_view(bytes, 8 + from.size());
}

Path* Front::make_path(const Endpoint& client, WorkerTable::Worker& worker) {
  bool needs_descriptor = settings_.forwarding == Forwarding::socket;
  bool full = all_paths_.size() >= settings_.max_paths;
  if (full || (needs_descriptor && descriptors_.is_low())) {  // evict the least recently used path
    bool can_evict = oldest_ != nullptr;
    if (can_evict) drop_path(*oldest_);
    if (!can_evict && (full || (needs_descriptor && !descriptors_.make_one_available()))) {
      table_full_.add();
      return nullptr;
    }
  }
  auto path = std::make_unique<Path>(client, worker);
  path->last_used = loop_.now();
  if (!get_upstream(*path)) return nullptr;
  Path* raw = path.get();
  all_paths_.emplace(raw, std::move(path));
  touch(*raw);
  return raw;
}

Path* Front::find_path(const Endpoint& client, const WorkerTable::Worker& worker) {
  auto it = paths_.find(path_key(client, worker));
  return it == paths_.end() ? nullptr : it->second;
}

Path* Front::find_or_make_path(const Endpoint& client, WorkerTable::Worker& worker) {
  Path* path = find_path(client, worker);
  if (path) return path;
  path = make_path(client, worker);
  if (path) index_path(*path);
  return path;
}

void Front::index_path(Path& path) {
  path.indexed = paths_.try_emplace(path_key(path.client, path.worker), &path).second || path.indexed;
}

// Removes a path from all tables and closes its dedicated socket.
void Front::drop_path(Path& path) {
  while (path.flow) unlink_from_path(*path.flow);
  remove_from_idle_list(path);
  if (path.dedicated_upstream) {
    std::erase(unflushed_, path.dedicated_upstream.get());
    path.dedicated_upstream->close();
  }
  if (path.indexed) paths_.erase(path_key(path.client, path.worker));
  auto it = all_paths_.find(&path);
  loop_.defer_release(std::shared_ptr<Path>(std::move(it->second)));
  all_paths_.erase(it);
}

// Removes a path from the list of paths without a known connection.
void Front::remove_from_idle_list(Path& path) {
  if (path.older) path.older->newer = path.newer;
  if (path.newer) path.newer->older = path.older;
  if (oldest_ == &path) oldest_ = path.newer;
  if (newest_ == &path) newest_ = path.older;
  path.older = path.newer = nullptr;
}

void Front::touch(Path& path) {
  path.last_used = now_ > 0 ? now_ : loop_.now();
  if (path.flow || newest_ == &path) return;
  remove_from_idle_list(path);
  path.older = newest_;
  if (newest_) newest_->newer = &path;
  newest_ = &path;
  if (!oldest_) oldest_ = &path;
}

// Several connections of one client address share a path, which is idle once the last of them is detached.
void Front::attach(Flow& flow, Path& path) {
  if (flow.path == &path) return;
  detach(flow);
  remove_from_idle_list(path);
  flow.path = &path;
  flow.client = path.client;
  flow.next_on_path = std::exchange(path.flow, &flow);
  if (flow.next_on_path) flow.next_on_path->previous_on_path = &flow;
}

// The old path still forwards packets in flight, until it is idle.
void Front::detach(Flow& flow) {
  Path* path = flow.path;
  if (!path) return;
  unlink_from_path(flow);
  if (path->flow) return;
  path->client_datagrams = path->worker_datagrams = 0;  // a next connection on it is adopted on new evidence
  touch(*path);
}

void Front::unlink_from_path(Flow& flow) {
  Flow* next = std::exchange(flow.next_on_path, nullptr);
  Flow* previous = std::exchange(flow.previous_on_path, nullptr);
  Path& path = *std::exchange(flow.path, nullptr);
  (previous ? previous->next_on_path : path.flow) = next;
  if (next) next->previous_on_path = previous;
}

void Front::add_pending_attempt(Flow& flow) {
  pending_attempts_.emplace(path_key(flow.path->client, flow.path->worker), &flow);
  flow.attempt_pending = true;
}

void Front::remove_pending_attempt(Flow& flow) {
  if (!std::exchange(flow.attempt_pending, false)) return;
  auto [at, end] = pending_attempts_.equal_range(path_key(flow.path->client, flow.path->worker));
  while (at != end && at->second != &flow) ++at;
  if (at != end) pending_attempts_.erase(at);
}

Flow* Front::find_linked(std::string_view id) {
  auto it = flows_by_id_.find(id);
  return it == flows_by_id_.end() ? nullptr : it->second;
}

void Front::link_id(Flow& flow, std::string_view id) {
  auto [it, inserted] = flows_by_id_.try_emplace(ConnectionId(id), &flow);
  if (!inserted) return;
  flow.linked_ids.emplace_back(id);
  if (flow.linked_ids.size() <= kMaxLinkedIds) return;
  flows_by_id_.erase(flow.linked_ids.front());
  flow.linked_ids.erase(flow.linked_ids.begin());
}

// Adds a connection that another router established, or this one before a restart; the core counts it from
// now on. Both sides have sent packets on the path, so the id is not a guess.
void Front::adopt(Path& path) {
  if (flows_.size() >= settings_.max_calls) return;
  Header header;
  header.type = PacketType::handshake;
  header.version = kVersion1;
  header.destination = path.last_id;
  auto flow = std::make_shared<Flow>(*this, header, path.client);
  if (!insert(flow, flow_key(path.last_id, ""))) return;
  adopted_.add();
  flow->is_established = flow->validated = true;
  flow->last_used = now_;
  attach(*flow, path);
  link_id(*flow, path.last_id);
  core::Exchange& exchange =
      dispatcher_.adopt(call(), *flow, *flow, path.worker.name, std::make_unique<AdoptedAttempt>());
  // Otherwise the call ended or was redirected inside adopt.
  if (flow->move_requests_left == 0 && !flow->finished) flow->exchange = &exchange;
}

// Adds a flow to the table; false if the key belongs to another one.
bool Front::insert(const std::shared_ptr<Flow>& flow, const FlowKey& key) {
  auto [it, inserted] = flows_.try_emplace(key, flow);
  if (inserted) flow->table_key = &it->first;  // stays valid until the entry is erased
  return inserted;
}

void Front::remove(Flow& flow) {
  for (const ConnectionId& id : flow.linked_ids) flows_by_id_.erase(id);
  flow.linked_ids.clear();
  if (flow.path) {
    remove_pending_attempt(flow);
    detach(flow);
  }
  auto it = flows_.find(*flow.table_key);
  const bool found = it != flows_.end() && it->second.get() == &flow;
  MARBLEHUB_INVARIANT("quic", found, "a flow is not in the table under its key");
  if (!found) return;
  loop_.defer_release(it->second);
  flows_.erase(it);
}

}  // namespace marblehub::quic
