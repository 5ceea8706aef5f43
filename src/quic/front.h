// The second front: clients and gateways that speak QUIC, routed by connection id. It terminates no
// connection. A new client's Initial is a call to the core; later packets follow the worker id in their
// connection id, whatever address they come from. docs/quic.md describes what it does and cannot do.
//
// front.cpp: what comes from clients, reload and time. worker_side.cpp: sockets to workers and what comes
// from them. tables.cpp: flows, ids and paths. flow.cpp: a call's life between them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "net/descriptor_budget.h"
#include "net/loop.h"
#include "quic/connection_id.h"
#include "quic/datagrams.h"
#include "quic/flow.h"
#include "quic/packet.h"
#include "quic/settings.h"
#include "quic/stateless_reset.h"
#include "quic/validation.h"
#include "quic/worker_table.h"

namespace marblehub::quic {

using core::Time;

class Front {
 public:
  Front(net::Loop& loop, core::Dispatcher& dispatcher, QuicSettings settings,
        net::DescriptorBudget& descriptors, metrics::Registry& metrics);
  ~Front();
  void close();  // new clients are taken no more; what stands goes on
  // Another file, whole or not at all: throws ConfigError with the key that stands against it. No
  // connection is cut. Returns the keys that take a restart to follow.
  std::vector<std::string> reload(QuicSettings settings);

 private:
  friend class Flow;
  friend class Upstream;
  friend class Attempt;

  using FlowKey = InlineBytes<41>;  // both ids of the client's Initials, the length of the first before them
  using PathKey = InlineBytes<26>;  // the client's address, and the worker's index
  static FlowKey flow_key(std::string_view destination, std::string_view source);
  static FlowKey tuple_key(const Endpoint& client);
  static PathKey path_key(const Endpoint& client, const WorkerTable::Worker& worker);
  template <class Key, class Value>
  using Table = std::unordered_map<Key, Value, BytesHash, BytesEqual>;

  // ---- front.cpp
  void receive();
  void from_client(const Datagram& datagram);
  void other_version(const Header& header, std::string_view bytes, const Endpoint& from);
  // `sound` is the part of the datagram that may be passed on.
  void initial(const Header& header, const Datagram& datagram, std::string_view sound);
  void new_call(const Header& header, const Datagram& datagram, std::string_view sound,
                const std::optional<RetryToken>& token);
  void waiting(Flow& flow, const Datagram& datagram, std::string_view bytes);
  void by_tuple(std::string_view bytes, const Datagram& datagram);
  core::Call call() const;  // what every call of this front asks for
  void take(std::shared_ptr<Flow> flow, FlowKey key, std::string_view bytes);
  void route(const IdCodec::Decoded& id, std::string_view bytes, const Datagram& datagram);
  void follow(Flow& flow, std::string_view bytes, const Datagram& datagram);
  void stash(const Header& header, std::string_view bytes);
  void reset_for(std::string_view id, std::string_view bytes, const Endpoint& to);
  void to_client(const Endpoint& client, std::string_view bytes);
  void refresh_workers();
  void sweep();

  // ---- worker_side.cpp
  void from_upstream(Upstream& upstream);
  void from_worker(Upstream& upstream, const Datagram& datagram);
  void long_reply(Upstream& upstream, std::string_view bytes, const Endpoint& client, unsigned char ecn);
  struct Reply {
    Flow* flow = nullptr;  // the call it answers; none where no one waits for it
    std::string frames;    // of an Initial, opened
  };
  Reply answered_by(Upstream& upstream, const Header& header, std::string_view bytes, const Endpoint& client);
  std::vector<Flow*> trying_at(Upstream& upstream, const Endpoint& client);
  void establish(Flow& flow, std::string_view bytes);
  Flow* named(Upstream& upstream, const Endpoint& client, std::string_view id);
  void pass_to_client(const Endpoint& client, Path* path, std::string_view bytes, unsigned char ecn);
  void control(Upstream& upstream, const Endpoint& client, std::string_view words);
  void worker_lost(Upstream& upstream);
  void lose(Flow& flow, core::Outcome outcome);
  Upstream* upstream_of(Path& path);
  void send_to_worker(Path& path, std::string_view bytes, unsigned char ecn);
  void send_first(Flow& flow, std::string_view bytes);
  void send_control(Path& path, const std::string& words);
  ProxyHeader header_towards(const Path& path) const { return {false, path.client, listen_, {}, {}}; }
  void flush();

  // ---- tables.cpp
  Path* make_path(const Endpoint& client, WorkerTable::Worker& worker);
  Path* path_between(const Endpoint& client, WorkerTable::Worker& worker);
  Path* known_path(const Endpoint& client, const WorkerTable::Worker& worker);
  void list_path(Path& path);
  void drop_path(Path& path);
  void begin_trying(Flow& flow);
  void stop_trying(Flow& flow);
  void touch(Path& path);
  void unchain(Path& path);
  void attach(Flow& flow, Path& path);
  void detach(Flow& flow);
  void link(Flow& flow, std::string_view id);
  Flow* linked(std::string_view id);
  void adopt(Path& path);
  void remove(Flow& flow);

  net::Loop& loop_;
  core::Dispatcher& dispatcher_;
  QuicSettings settings_;
  IdConfigs ids_;
  AddressValidation validation_;
  StatelessReset reset_;
  WorkerTable workers_;
  const int request_class_;
  net::DescriptorBudget& descriptors_;
  const Endpoint listen_;
  net::Fd fd_;
  net::IoWatch io_;
  net::TimerWatch sweep_;
  Receiver receiver_;
  Sender to_clients_;
  std::vector<Upstream*> dirty_;  // with something to flush
  Time now_ = 0;                  // of the batch under way
  bool closed_ = false;

  Table<FlowKey, std::shared_ptr<Flow>> flows_;
  Table<ConnectionId, Flow*> links_;  // connection ids known to be of a flow
  Table<PathKey, Path*> paths_;       // by client and worker
  std::unordered_map<Path*, std::unique_ptr<Path>> all_paths_;
  Path *oldest_ = nullptr, *newest_ = nullptr;
  std::unordered_map<WorkerTable::Worker*, std::unique_ptr<Upstream>> shared_;  // proxy-v2
  // Calls that are out at a worker that has not replied yet, by client and worker: several may be alike.
  std::unordered_multimap<PathKey, Flow*, BytesHash, BytesEqual> trying_;
  struct Early {
    std::vector<std::string> datagrams;
    Time since;
  };
  std::unordered_map<std::string, Early> early_;  // 0-RTT that overtook its Initial
  std::uint64_t workers_version_ = 0;
  bool stale_workers_ = true;

  metrics::Metric &in_, &out_, &malformed_, &unknown_id_, &unknown_version_, &full_, &lost_, &closes_,
      &new_addresses_, &retries_, &bad_tokens_, &resets_, &dropped_, &over_budget_, &late_replies_, &adopted_,
      &left_, &moves_, &calls_gauge_, &paths_gauge_, &asking_gauge_, &retiring_gauge_, &closed_gauge_,
      &sockets_gauge_;
};

}  // namespace marblehub::quic
