/// A QUIC client of the conformance tests.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "peers/connection.h"
#include "peers/hop.h"

namespace marblehub::peers {

/// The session data with which a client resumes a connection with 0-RTT.
struct Resumption {
  std::string session;  // the TLS session with its ticket
  ngtcp2_transport_params params{};
};

/// The options of a client.
struct ClientOptions {
  int family = AF_INET;
  std::size_t id_length = 8;  // of the client's own connection ids; 0 is allowed
  std::uint32_t version = 1;
  Faults faults;
  const Resumption* resume = nullptr;  // dereferenced by the constructor only
  std::size_t padding = 0;             // bytes of ALPN names, to make the ClientHello longer than a datagram
};

/// A client with one connection, which its first step opens.
class Client final : public Connection {
 public:
  Client(const Endpoint& router, ClientOptions options = {});
  /// Processes received datagrams and timers and sends what is due; never blocks.
  void step();
  /// Queues a request, which is sent as soon as a stream can be opened. Each text is used once.
  void request(std::string text);
  /// Changes the client's address without its knowledge, as a NAT rebinding does.
  void rebind() { hop.rebind(); }
  /// Sends later datagrams to another router, as routing may do after an address change.
  void use_router(const Endpoint& router) { current_router_ = router; }
  /// Migrates to another address with a new connection id (RFC 9000, 9.2); returns whether it has begun.
  bool migrate();
  bool update_key();
  void close() { close_with(0); }
  bool early_data_accepted() const { return early_data_accepted_; }
  const std::map<std::string, int>& answers() const { return answers_; }
  std::size_t request_count() const { return request_count_; }
  bool all_answered_once() const;
  std::optional<Resumption> resumption() const { return resumption_; }
  /// The destination connection id of the packets it sends.
  std::string current_id() const;
  /// Whether it has received a Retry.
  bool retried() const { return retried_; }
  std::int64_t started_at = 0, completed_at = 0;  // completed_at: of the handshake

  Hop hop;

 private:
  void transmit(const ngtcp2_path& path, std::string_view bytes) override;
  void on_message(std::int64_t stream, const std::string& text) override;
  void on_handshake_completed() override;
  void generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) override;
  void open_streams();
  static int on_session_ticket(gnutls_session_t, unsigned, unsigned, unsigned, const gnutls_datum_t*);

  const Endpoint router_;    // the peer address in ngtcp2's path
  Endpoint current_router_;  // the actual destination of datagrams
  const ClientOptions options_;
  Endpoint local_address_;  // the local address in ngtcp2's path
  std::deque<std::string> queued_requests_;
  std::map<std::string, int> answers_;
  std::size_t request_count_ = 0;
  std::optional<Resumption> resumption_;
  bool early_data_accepted_ = false, retried_ = false;
};

}  // namespace marblehub::peers
