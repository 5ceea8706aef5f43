// The state of one call and its connection, of paths between clients and workers, and of sockets to workers.
// Flows and paths are kept small, since there are tens of thousands; the state that only the handshake needs
// is freed when it ends.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/exchange.h"
#include "quic/datagrams.h"
#include "quic/delivery.h"
#include "quic/packet.h"
#include "quic/worker_table.h"

namespace marblehub::quic {

class Front;
class Flow;
class Path;

/// The key of a flow in the front's table: the length of the destination id of the client's Initials, that id
/// and the source id; or, for a flow routed by address, a marker and the client address at its beginning.
using FlowKey = InlineBytes<41>;

/// A connected socket to one worker, shared by all its clients (forwarding proxy-v2) or dedicated to one path
/// (forwarding socket).
class Upstream {
 public:
  /// `dedicated_path` is null for a shared socket.
  Upstream(Front& front, WorkerTable::Worker& worker, Path* dedicated_path);
  /// Connects to the worker's current address; false where the system refuses.
  bool open();
  /// Closes the socket and discards queued datagrams.
  void close();
  bool is_open() const { return static_cast<bool>(fd_); }
  int fd() const { return fd_.get(); }

  Front& front;
  WorkerTable::Worker& worker;
  Path* const dedicated_path;  // null for a shared socket
  std::unique_ptr<Sender> sender;
  bool unflushed = false;  // datagrams are queued in `sender`

 private:
  net::Fd fd_;
  net::IoWatch io_;
};

/// The path between one client address and one worker. Owned by the front.
class Path {
 public:
  Path(const Endpoint& client, WorkerTable::Worker& worker) : worker(worker), client(client) {}

  WorkerTable::Worker& worker;
  Endpoint client;
  // The call or connection that it carries, if known; of several from one client address, the one attached
  // last. They are linked by Flow::next_on_path.
  Flow* flow = nullptr;
  std::unique_ptr<Upstream> dedicated_upstream;  // forwarding socket only
  Time last_used = 0;
  bool indexed = false;  // in the front's index by client address and worker
  // Until its connection is known: the datagrams of each side, counted up to 255, and the client's latest
  // destination id.
  std::uint8_t client_datagrams = 0, worker_datagrams = 0;
  ConnectionId last_id;
  // Neighbours in the list of paths without a known connection, from which the least recently used is
  // evicted.
  Path *older = nullptr, *newer = nullptr;
};

/// A call from the client's first Initial, then the connection established from it. Shared with the core as
/// both sides of its exchange.
class Flow final : public core::ClientSide, public core::WorkerSide {
 public:
  Flow(Front& front, const Header& header, const Endpoint& from);

  // ---- The client's side.
  void established(std::string_view receipt) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view) override;
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  // Asks the worker to move its client, since only the worker terminates the connection. The request is
  // repeated until the worker sends END.
  void redirect() override;
  void ended(core::CloseKind) override;

  // ---- The worker's side.
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& to, const std::string& worker,
                                               const std::string& address, Time wait) override;

  // Sends one move request to the worker, unless the limit of repetitions is reached.
  void request_move();
  // Whether so many more bytes may be sent to the client, which are then counted: at most three times the
  // bytes received until its address is validated (RFC 9000, 8.1).
  bool allow_reply(std::size_t bytes);
  bool timeout_blames_worker() const;
  // Whether it is certain that the pending attempt had no effect at its worker.
  bool reached_no_worker() const {
    return !is_established && handshake_state && handshake_state->delivery.none_arrived();
  }
  bool refused() const { return handshake_state && !handshake_state->close_packet.empty(); }
  bool has_initial_destination(std::string_view id) const {
    return first_destination == id || (original_destination && *original_destination == id);
  }
  Front& front;
  // Its key in the front's table, which owns it. Unlike `client`, it never changes while the flow exists.
  const FlowKey* table_key = nullptr;
  ConnectionId first_destination, client_source;  // the ids in its Initials
  // State that is needed until the connection is established, or until its CONNECTION_CLOSE expires.
  struct HandshakeState {
    Delivery delivery;  // of the client's first datagrams, which each attempt sends
    // The id that its Initial keys are derived from; a worker's Retry changes it.
    ConnectionId initial_keys_id;
    std::string close_packet;   // sent to a client whose call has failed
    bool may_have_run = false;  // so the call has not been rejected, but has failed
  };
  std::unique_ptr<HandshakeState> handshake_state;
  // The destination id of the first Initial, where a Retry replaced it.
  std::unique_ptr<ConnectionId> original_destination;
  std::uint32_t version = kVersion1;
  Endpoint client;
  core::Exchange* exchange = nullptr;
  Path* path = nullptr;  // to the worker of the connection or of the pending attempt
  Flow *next_on_path = nullptr, *previous_on_path = nullptr;  // other connections on the same path
  std::vector<ConnectionId> linked_ids;
  bool is_established = false, finished = false, validated = false, attempt_pending = false;
  bool routed_by_address = false;  // begun with an unroutable id; it is identified by the client address
  bool bound_by_retry = false;     // the worker has sent a Retry, which no other worker can validate
  signed char move_requests_left = 0;
  std::size_t bytes_received = 0, bytes_sent = 0;  // counted until validated
  Time last_used = 0;

 private:
  // Answers the client with CONNECTION_CLOSE; `error` is a code of RFC 9000, 20.1.
  void close_call(std::uint64_t error, std::string_view reason);
};

}  // namespace marblehub::quic
