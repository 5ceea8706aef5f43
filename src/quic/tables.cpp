// Flows, the connection ids that lead to them, and paths. What is over is freed by the loop before its next
// wait, as its own callback may be what led here.
#include <algorithm>

#include "quic/front.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kLinksBound = 8;  // connection ids remembered for one connection

// The core's hold on a connection that this router did not set up: there is nothing to give up.
class Adopted final : public core::Attempt {
 public:
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void finish(core::CloseKind) override {}
};

}  // namespace

Front::FlowKey Front::flow_key(std::string_view destination, std::string_view source) {
  char octets[41];
  octets[0] = static_cast<char>(destination.size());
  std::copy(destination.begin(), destination.end(), octets + 1);
  std::copy(source.begin(), source.end(), octets + 1 + destination.size());
  return std::string_view(octets, 1 + destination.size() + source.size());
}

// No id is so long: the two kinds of key are never alike.
Front::FlowKey Front::tuple_key(const Endpoint& client) {
  char octets[41];
  octets[0] = '\xff';
  std::string_view from = client.bytes();
  std::copy(from.begin(), from.end(), octets + 1);
  return std::string_view(octets, 1 + from.size());
}

Front::PathKey Front::path_key(const Endpoint& client, const WorkerTable::Worker& worker) {
  char octets[26];
  std::string_view from = client.bytes();
  std::uint64_t index = worker.index;
  std::memcpy(octets, &index, 8);
  std::copy(from.begin(), from.end(), octets + 8);
  return std::string_view(octets, 8 + from.size());
}

Path* Front::make_path(const Endpoint& client, WorkerTable::Worker& worker) {
  bool needs_descriptor = settings_.forwarding == Forwarding::socket;
  bool full = all_paths_.size() >= settings_.max_paths;
  if (full || (needs_descriptor && descriptors_.scarce())) {  // the one unused for longest is evicted
    bool made = oldest_ != nullptr;
    if (made) drop_path(*oldest_);
    if (!made && (full || (needs_descriptor && !descriptors_.make_one_available()))) {
      full_.add();
      return nullptr;
    }
  }
  auto path = std::make_unique<Path>(client, worker);
  path->used = loop_.now();
  if (!upstream_of(*path)) return nullptr;
  Path* raw = path.get();
  all_paths_.emplace(raw, std::move(path));
  touch(*raw);
  return raw;
}

Path* Front::known_path(const Endpoint& client, const WorkerTable::Worker& worker) {
  auto it = paths_.find(path_key(client, worker));
  return it == paths_.end() ? nullptr : it->second;
}

Path* Front::path_between(const Endpoint& client, WorkerTable::Worker& worker) {
  Path* path = known_path(client, worker);
  if (path) return path;
  path = make_path(client, worker);
  if (path) list_path(*path);
  return path;
}

void Front::list_path(Path& path) {
  path.listed = paths_.try_emplace(path_key(path.client, path.worker), &path).second || path.listed;
}

// The one place where a path's descriptor is given back.
void Front::drop_path(Path& path) {
  unchain(path);
  if (path.flow && path.flow->path == &path) path.flow->path = nullptr;
  path.flow = nullptr;
  if (path.own) {
    std::erase(dirty_, path.own.get());
    path.own->close();
  }
  if (path.listed) paths_.erase(path_key(path.client, path.worker));
  auto it = all_paths_.find(&path);
  loop_.defer_release(std::shared_ptr<Path>(std::move(it->second)));
  all_paths_.erase(it);
}

// Paths that carry no known connection stand in the order of their use, the oldest first to go.
void Front::unchain(Path& path) {
  if (path.older) path.older->newer = path.newer;
  if (path.newer) path.newer->older = path.older;
  if (oldest_ == &path) oldest_ = path.newer;
  if (newest_ == &path) newest_ = path.older;
  path.older = path.newer = nullptr;
}

void Front::touch(Path& path) {
  path.used = now_ > 0 ? now_ : loop_.now();
  if (path.flow || newest_ == &path) return;
  unchain(path);
  path.older = newest_;
  if (newest_) newest_->newer = &path;
  newest_ = &path;
  if (!oldest_) oldest_ = &path;
}

void Front::attach(Flow& flow, Path& path) {
  if (flow.path && flow.path != &path) detach(flow);
  unchain(path);
  flow.path = &path;
  flow.client = path.client;
  path.flow = &flow;
}

// The old path still carries what is under way, until it falls idle.
void Front::detach(Flow& flow) {
  Path* path = std::exchange(flow.path, nullptr);
  if (!path || path->flow != &flow) return;
  path->flow = nullptr;
  path->from_client = path->from_worker = 0;  // what it carries next must show itself anew
  touch(*path);
}

void Front::begin_trying(Flow& flow) {
  trying_.emplace(path_key(flow.path->client, flow.path->worker), &flow);
  flow.trying = true;
}

void Front::stop_trying(Flow& flow) {
  if (!std::exchange(flow.trying, false)) return;
  auto [at, end] = trying_.equal_range(path_key(flow.path->client, flow.path->worker));
  while (at != end && at->second != &flow) ++at;
  if (at != end) trying_.erase(at);
}

Flow* Front::linked(std::string_view id) {
  auto it = links_.find(id);
  return it == links_.end() ? nullptr : it->second;
}

void Front::link(Flow& flow, std::string_view id) {
  auto [it, fresh] = links_.try_emplace(ConnectionId(id), &flow);
  if (!fresh) return;
  flow.links.emplace_back(id);
  if (flow.links.size() <= kLinksBound) return;
  links_.erase(flow.links.front());
  flow.links.erase(flow.links.begin());
}

// A connection that another router set up, or this one before it started anew, has come here: the core counts
// it from now on. Both sides have spoken on it, so it is no mere guess at an id.
void Front::adopt(Path& path) {
  if (flows_.size() >= settings_.max_calls) return;
  Header header;
  header.type = PacketType::handshake;
  header.version = kVersion1;
  header.destination = path.last_id;
  auto flow = std::make_shared<Flow>(*this, header, path.client);
  if (!flows_.try_emplace(flow_key(path.last_id, ""), flow).second) return;
  adopted_.add();
  flow->standing = flow->validated = true;
  flow->used = now_;
  attach(*flow, path);
  link(*flow, path.last_id);
  core::Exchange& exchange =
      dispatcher_.adopt(call(), *flow, *flow, path.worker.name, std::make_unique<Adopted>());
  if (flow->moves_left == 0 && !flow->done) flow->exchange = &exchange;  // else it has ended from within
}

void Front::remove(Flow& flow) {
  for (const ConnectionId& id : flow.links) links_.erase(id);
  flow.links.clear();
  if (flow.path) {
    stop_trying(flow);
    detach(flow);
  }
  auto it = flows_.find(flow.by_tuple ? tuple_key(flow.client)
                                      : flow_key(flow.first_destination, flow.client_source));
  loop_.defer_release(it->second);
  flows_.erase(it);
}

}  // namespace marblehub::quic
