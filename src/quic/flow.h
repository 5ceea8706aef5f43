// A call from its first Initial, and the connection that came of it; and the paths on which it goes. Small,
// as there are tens of thousands: what only the handshake needs is freed with it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/exchange.h"
#include "quic/datagrams.h"
#include "quic/packet.h"
#include "quic/worker_table.h"

namespace marblehub::quic {

class Front;
class Flow;
class Path;

// A socket to one worker: of all its clients (proxy-v2) or of one path (socket).
class Upstream {
 public:
  Upstream(Front& front, WorkerTable::Worker& worker, Path* dedicated_path);
  bool open();  // to where the worker is now
  void close();
  bool is_open() const { return static_cast<bool>(fd_); }
  int fd() const { return fd_.get(); }

  Front& front;
  WorkerTable::Worker& worker;
  Path* const dedicated_path;  // none where it serves all
  std::unique_ptr<Sender> sender;
  bool unflushed = false;  // there is something to flush

 private:
  net::Fd fd_;
  net::IoWatch io_;
};

// One client address to one worker.
class Path {
 public:
  Path(const Endpoint& client, WorkerTable::Worker& worker) : worker(worker), client(client) {}

  WorkerTable::Worker& worker;
  Endpoint client;
  Flow* flow = nullptr;                          // the call or connection that it carries, where known
  std::unique_ptr<Upstream> dedicated_upstream;  // its socket where it has one of its own
  Time last_used = 0;
  bool indexed = false;  // in the table by client and worker
  // Until its connection is known: how often each side has spoken, and the latest id.
  std::uint8_t client_datagrams = 0, worker_datagrams = 0;
  ConnectionId last_id;
  // In the order of use, so that the longest unused gives way at once.
  Path *older = nullptr, *newer = nullptr;
};

class Flow final : public core::ClientSide, public core::WorkerSide {
 public:
  Flow(Front& front, const Header& header, const Endpoint& from);

  // ---- The client's side.
  void established(std::string_view receipt) override;
  void overload_reply(Time pause) override;
  void failed(std::string_view) override;
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  // Only the worker can move its client: the connection is its own. It is asked until it says END.
  void redirect() override;
  void ended(core::CloseKind) override;

  // ---- The worker's side.
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& to, const std::string& worker,
                                               const std::string& address, Time wait) override;

  void request_move();
  // Whether so much more may go to the client: three times what came in until its address is validated
  // (RFC 9000, 8.1).
  bool allow_reply(std::size_t bytes);
  bool timeout_blames_worker() const;
  bool refused() const { return handshake_state && !handshake_state->close_packet.empty(); }
  bool has_initial_destination(std::string_view id) const {
    return first_destination == id || (original_destination && *original_destination == id);
  }
  Front& front;
  ConnectionId first_destination, client_source;  // what its Initials carry; the key in the table
  // Until it stands, or its answer is out of use.
  struct HandshakeState {
    std::vector<std::string> flight;  // the client's first datagrams, for another attempt
    ConnectionId initial_keys_id;     // the id that its Initial keys come from: a worker's Retry changes it
    std::string close_packet;         // the answer to a call that was not established
  };
  std::unique_ptr<HandshakeState> handshake_state;
  std::unique_ptr<ConnectionId> original_destination;  // the first id of all, where a Retry changed it
  std::uint32_t version = kVersion1;
  Endpoint client;
  core::Exchange* exchange = nullptr;
  Path* path = nullptr;  // to the worker that holds it, or that is being tried
  std::vector<ConnectionId> linked_ids;
  bool is_established = false, finished = false, validated = false, attempt_pending = false;
  bool routed_by_address = false;  // its ids name no worker: it is known by its address alone
  bool bound_by_retry = false;     // its worker has sent it a Retry: no other could take it up
  signed char move_requests_left = 0;
  std::size_t bytes_received = 0, bytes_sent = 0;  // until validated
  Time last_used = 0;

 private:
  void close_call(std::string_view reason);
};

}  // namespace marblehub::quic
