/// A real QUIC client.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "peers/connection.h"
#include "peers/hop.h"

namespace marblehub::peers {

// What a client needs to come back with 0-RTT.
struct Resumption {
  std::string session;
  ngtcp2_transport_params params{};
};

struct ClientOptions {
  int family = AF_INET;
  std::size_t id_length = 8;  // of the client's own connection ids; 0 is allowed
  std::uint32_t version = 1;
  Faults faults;
  const Resumption* resume = nullptr;
  std::size_t padding = 0;  // octets of ALPN that make the ClientHello longer than a datagram
};

class Client final : public Connection {
 public:
  Client(const Endpoint& router, ClientOptions options = {});
  void step();
  // Sent as soon as a stream is to be had; each text once.
  void request(std::string text);
  void rebind() { hop.rebind(); }  // another address, unknown to the client itself
  // Its datagrams go to another router from now on, as a new address may have them go.
  void use_router(const Endpoint& router) { current_router_ = router; }
  bool migrate();  // another address, announced, with a fresh id (RFC 9000, 9.2)
  bool update_key();
  void close() { close_with(0); }
  bool early_data_accepted() const { return early_data_accepted_; }
  const std::map<std::string, int>& answers() const { return answers_; }
  std::size_t request_count() const { return request_count_; }
  bool all_answered_once() const;
  std::optional<Resumption> resumption() const { return resumption_; }
  std::string current_id() const;  // the connection id it sends to
  bool retried() const { return retried_; }
  std::int64_t started_at = 0, completed_at = 0;

  Hop hop;

 private:
  void transmit(const ngtcp2_path& path, std::string_view bytes) override;
  void on_message(std::int64_t stream, const std::string& text) override;
  void on_handshake_completed() override;
  void generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) override;
  void open_streams();
  static int on_session_ticket(gnutls_session_t, unsigned, unsigned, unsigned, const gnutls_datum_t*);

  const Endpoint router_;    // the address that the library has for the other end
  Endpoint current_router_;  // where the datagrams go
  const ClientOptions options_;
  Endpoint local_address_;  // the address that the library has for this end
  std::deque<std::string> queued_requests_;
  std::map<std::string, int> answers_;
  std::size_t request_count_ = 0;
  std::optional<Resumption> resumption_;
  bool early_data_accepted_ = false, retried_ = false;
};

}  // namespace marblehub::peers
