/// QUIC connections of the test peers, based on ngtcp2 with GnuTLS; the balancer links neither. All peers run
/// in one thread, and their owner polls each with `step`.
#pragma once

#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>
#include <ngtcp2/ngtcp2_crypto_gnutls.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "peers/udp.h"

namespace marblehub::peers {

/// One endpoint of a connection. Each side sends one text message on a stream and closes it.
class Connection {
 public:
  virtual ~Connection();
  Connection(const Connection&) = delete;

  bool handshaken() const { return conn_ && ngtcp2_conn_get_handshake_completed(conn_); }
  bool closed() const { return closed_; }
  bool was_reset() const { return was_reset_; }                            // by a stateless reset of the peer
  std::optional<std::uint64_t> close_code() const { return close_code_; }  // of the peer's CONNECTION_CLOSE
  ngtcp2_conn* raw() { return conn_; }
  void write();

 protected:
  Connection();
  /// Sends a datagram that ngtcp2 has produced.
  virtual void transmit(const ngtcp2_path& path, std::string_view bytes) = 0;
  /// Called with the peer's message when the stream ends.
  virtual void on_message(std::int64_t stream, const std::string& text) = 0;
  virtual void on_handshake_completed() {}
  /// Makes a connection id and its stateless reset token, which ngtcp2 announces to the peer.
  virtual void generate_id(ngtcp2_cid&, std::uint8_t*, std::size_t) = 0;
  /// Passes a received datagram to ngtcp2.
  void read(const Endpoint& local, const Endpoint& remote, std::string_view bytes);
  /// Handles expired timers.
  void expire();
  /// Queues a message and the end of the stream.
  void send_text(std::int64_t stream, std::string text);
  /// Closes the connection with an application error code.
  void close_with(std::uint64_t application_code);
  ngtcp2_callbacks callbacks(bool server);
  void finish_setup();

  /// The messages of a stream, and how much of the outgoing one was sent.
  struct Stream {
    std::string out, in;
    std::size_t sent = 0;
    bool has_out = false, fin_sent = false;
  };
  ngtcp2_conn* conn_ = nullptr;
  gnutls_session_t session_ = nullptr;
  ngtcp2_crypto_conn_ref ref_;
  std::map<std::int64_t, Stream> streams_;
  bool closed_ = false, was_reset_ = false;
  std::optional<std::uint64_t> close_code_;

 private:
  bool write_one(std::int64_t id, Stream* stream);
};

}  // namespace marblehub::peers
