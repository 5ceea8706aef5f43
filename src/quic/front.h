// The QUIC front: a QUIC-LB load balancer (draft-ietf-quic-load-balancers) that routes packets by connection
// id and terminates no connection. A client's first Initial becomes a call to the core, which selects the
// worker; later packets follow the server id in their destination connection id, from any client address.
// docs/quic.md describes its features and limits.
//
// front.cpp: datagrams from clients. maintenance.cpp: reload and the periodic sweep. worker_side.cpp: sockets
// to workers and datagrams from them. closed_ports.cpp: closed ports of workers. tables.cpp: the tables of
// flows, connection ids and paths. table_checks.cpp: their consistency. flow.cpp: the state of a call.
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

/// The prefix of control messages, which share the workers' sockets with QUIC packets. No protocol that RFC
/// 9443 distinguishes by its first byte begins with it.
constexpr std::string_view kControlPrefix = "\x04MARBLE1 ";

using core::Time;

/// The QUIC front. It owns its sockets, its tables and all flows; the references given to the constructor
/// must outlive it.
class Front {
 public:
  /// Listens on the address in the settings; throws ConfigError where an address or class in them is invalid
  /// or the address is not available.
  Front(net::Loop& loop, core::Dispatcher& dispatcher, QuicSettings settings,
        net::DescriptorBudget& descriptors, metrics::Registry& metrics);
  ~Front();
  /// Refuses new connections from now on; established connections continue.
  void close();
  /// Applies new settings without closing any connection. Throws ConfigError with the offending key and then
  /// changes nothing. Returns the keys whose change takes effect only after a restart.
  std::vector<std::string> reload(QuicSettings settings);

 private:
  friend class Flow;
  friend class Upstream;
  friend class Attempt;

  static constexpr Time kSweepInterval = 200'000;  // microseconds
  using PathKey = InlineBytes<26>;                 // the worker's index and the client's address
  static FlowKey flow_key(std::string_view destination, std::string_view source);
  static FlowKey address_key(const Endpoint& client);
  static PathKey path_key(const Endpoint& client, const WorkerTable::Worker& worker);
  template <class Key, class Value>
  using Table = std::unordered_map<Key, Value, BytesHash, BytesEqual>;

  // ---- front.cpp
  void receive_from_clients();
  void handle_client_datagram(const Datagram& datagram);
  void handle_known(Flow& flow, const Datagram& datagram, std::string_view bytes);
  std::optional<IdCodec::Decoded> id_of_held_handshake(const Header& header, std::string_view bytes);
  void send_version_negotiation(const Header& header, std::string_view bytes, const Endpoint& from);
  // `packets`: the leading packets of the datagram that share its first destination id; only these may be
  // forwarded.
  void handle_initial(const Header& header, const Datagram& datagram, std::string_view packets);
  void accept_initial(const Header& header, const Datagram& datagram, std::string_view packets,
                      const std::optional<RetryToken>& token);
  void handle_pending(Flow& flow, const Datagram& datagram, std::string_view bytes);
  void route_by_address(std::string_view bytes, const Datagram& datagram);
  core::Call call_of(const Flow& flow) const;
  core::Call call() const;  // the request class and deadline of every call of this front
  void begin_call(const std::shared_ptr<Flow>& flow, const FlowKey& key, std::string_view bytes);
  void route_by_id(const IdCodec::Decoded& id, std::string_view bytes, const Datagram& datagram);
  void forward(Flow& flow, std::string_view bytes, const Datagram& datagram);
  void buffer_early_data(const Header& header, std::string_view bytes);
  void send_stateless_reset(std::string_view id, std::string_view bytes, const Endpoint& to);
  void send_to_client(const Endpoint& client, std::string_view bytes);

  // ---- maintenance.cpp
  void refresh_workers();
  void close_sockets_of(WorkerTable::Worker& worker);
  void end_attempts_at(const WorkerTable::Worker& worker);
  Time close_packet_lifetime(const Flow& flow) const;
  void sweep();

  // ---- worker_side.cpp
  void receive_from_worker(Upstream& upstream);
  void handle_worker_datagram(Upstream& upstream, const Datagram& datagram);
  void handle_long_header_reply(Upstream& upstream, std::string_view bytes, const Endpoint& client,
                                unsigned char ecn);
  // A worker's reply and the call that it belongs to.
  struct Reply {
    Flow* flow = nullptr;  // none where no pending call matches
    std::string frames;    // the decrypted frames of an Initial
  };
  Reply match_reply(Upstream& upstream, const Header& header, std::string_view bytes, const Endpoint& client);
  std::vector<Flow*> pending_attempts(Upstream& upstream, const Endpoint& client);
  void establish(Flow& flow, std::string_view bytes);
  Flow* find_flow(Upstream& upstream, const Endpoint& client, std::string_view id);
  void forward_to_client(const Endpoint& client, Path* path, std::string_view bytes, unsigned char ecn);
  static void turned_away(Flow& flow);
  void handle_control(Upstream& upstream, const Endpoint& client, std::string_view message);
  Upstream* get_upstream(Path& path);
  void send_to_worker(Path& path, std::string_view bytes, unsigned char ecn);
  void send_handshake_datagram(Flow& flow, std::string_view bytes);
  bool send_control(Path& path, const std::string& message);  // whether the system took it
  ProxyHeader proxy_header_for(const Path& path) const { return {false, path.client, listen_, {}, {}}; }
  void flush();

  // ---- closed_ports.cpp
  void handle_closed_port(Upstream& upstream);
  bool collect_returned(Upstream& upstream);
  Flow* flow_of_returned(Upstream& upstream, std::string_view bytes);
  static void fail_call(Flow& flow, core::Outcome outcome);

  // ---- tables.cpp
  Path* make_path(const Endpoint& client, WorkerTable::Worker& worker);
  Path* find_or_make_path(const Endpoint& client, WorkerTable::Worker& worker);
  Path* find_path(const Endpoint& client, const WorkerTable::Worker& worker);
  void index_path(Path& path);
  void drop_path(Path& path);
  void add_pending_attempt(Flow& flow);
  void remove_pending_attempt(Flow& flow);
  void touch(Path& path);
  void remove_from_idle_list(Path& path);
  void attach(Flow& flow, Path& path);
  void detach(Flow& flow);
  static void unlink_from_path(Flow& flow);
  void link_id(Flow& flow, std::string_view id);
  Flow* find_linked(std::string_view id);
  void adopt(Path& path);
  bool insert(const std::shared_ptr<Flow>& flow, const FlowKey& key);
  void remove(Flow& flow);

  // ---- table_checks.cpp
  // The first inconsistency of the tables; empty if there is none. Linear in their size.
  std::string table_fault() const;
  std::string flow_fault(const FlowKey& key, const Flow& flow) const;
  std::string path_fault(const Path& path) const;
  std::string idle_list_fault() const;

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
  net::TimerWatch sweep_timer_;
  Receiver receiver_;
  Sender to_clients_;
  std::vector<Upstream*> unflushed_;  // with datagrams queued
  Time now_ = 0;                      // the time of the current batch; 0 outside of batches
  bool closed_ = false;

  Table<FlowKey, std::shared_ptr<Flow>> flows_;
  Table<ConnectionId, Flow*> flows_by_id_;  // by connection ids issued by the worker
  Table<PathKey, Path*> paths_;             // by client address and worker
  std::unordered_map<Path*, std::unique_ptr<Path>> all_paths_;
  // The list of paths without a known connection, in the order of their last use.
  Path *oldest_ = nullptr, *newest_ = nullptr;
  std::unordered_map<WorkerTable::Worker*, std::unique_ptr<Upstream>> shared_upstreams_;  // proxy-v2
  // Flows whose worker has not replied yet, by client address and worker; several may have the same key.
  std::unordered_multimap<PathKey, Flow*, BytesHash, BytesEqual> pending_attempts_;
  // 0-RTT datagrams that arrived before their Initial.
  struct EarlyData {
    std::vector<std::string> datagrams;
    Time received_at;
  };
  std::unordered_map<std::string, EarlyData> early_data_;  // by flow key
  std::uint64_t workers_version_ = 0;
  bool workers_stale_ = true;

  metrics::Metric &received_, &sent_, &malformed_, &unknown_id_, &unknown_version_, &table_full_,
      &workers_lost_, &closes_, &address_changes_, &retries_, &bad_tokens_, &stateless_resets_, &send_drops_,
      &amplification_stops_, &late_replies_, &adopted_, &left_, &move_requests_, &flows_gauge_, &paths_gauge_,
      &retry_gauge_, &retiring_gauge_, &closed_gauge_, &sockets_gauge_;
};

}  // namespace marblehub::quic
