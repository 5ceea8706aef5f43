#include "peers/connection.h"

#include <cstring>
#include <utility>

#include "peers/ngtcp2_support.h"
#include "quic/crypto.h"

namespace marblehub::peers {

Connection::Connection() {
  ref_.get_conn = [](ngtcp2_crypto_conn_ref* ref) { return static_cast<Connection*>(ref->user_data)->conn_; };
  ref_.user_data = this;
}

Connection::~Connection() {
  if (conn_) ngtcp2_conn_del(conn_);
  if (session_) gnutls_deinit(session_);
}

ngtcp2_callbacks Connection::callbacks(bool server) {
  ngtcp2_callbacks c{};
  if (server) {
    c.recv_client_initial = ngtcp2_crypto_recv_client_initial_cb;
  } else {
    c.client_initial = ngtcp2_crypto_client_initial_cb;
    c.recv_retry = ngtcp2_crypto_recv_retry_cb;
  }
  c.recv_crypto_data = ngtcp2_crypto_recv_crypto_data_cb;
  c.encrypt = ngtcp2_crypto_encrypt_cb;
  c.decrypt = ngtcp2_crypto_decrypt_cb;
  c.hp_mask = ngtcp2_crypto_hp_mask_cb;
  c.update_key = ngtcp2_crypto_update_key_cb;
  c.delete_crypto_aead_ctx = ngtcp2_crypto_delete_crypto_aead_ctx_cb;
  c.delete_crypto_cipher_ctx = ngtcp2_crypto_delete_crypto_cipher_ctx_cb;
  c.get_path_challenge_data = ngtcp2_crypto_get_path_challenge_data_cb;
  c.version_negotiation = ngtcp2_crypto_version_negotiation_cb;
  c.rand = [](std::uint8_t* out, std::size_t size, const ngtcp2_rand_ctx*) {
    std::memcpy(out, quic::random_bytes(size).data(), size);
  };
  c.get_new_connection_id = [](ngtcp2_conn*, ngtcp2_cid* id, std::uint8_t* token, std::size_t size,
                               void* self) {
    static_cast<Connection*>(self)->generate_id(*id, token, size);
    return 0;
  };
  c.recv_stream_data = [](ngtcp2_conn* conn, std::uint32_t flags, std::int64_t id, std::uint64_t,
                          const std::uint8_t* data, std::size_t size, void* user, void*) {
    auto& self = *static_cast<Connection*>(user);
    Stream& stream = self.streams_[id];
    stream.in.append(reinterpret_cast<const char*>(data), size);
    ngtcp2_conn_extend_max_stream_offset(conn, id, size);
    ngtcp2_conn_extend_max_offset(conn, size);
    if (flags & NGTCP2_STREAM_DATA_FLAG_FIN) self.on_message(id, stream.in);
    return 0;
  };
  c.stream_close = [](ngtcp2_conn* conn, std::uint32_t, std::int64_t id, std::uint64_t, void* user, void*) {
    static_cast<Connection*>(user)->streams_.erase(id);
    if (!ngtcp2_conn_is_local_stream(conn, id)) ngtcp2_conn_extend_max_streams_bidi(conn, 1);
    return 0;
  };
  c.handshake_completed = [](ngtcp2_conn*, void* user) {
    static_cast<Connection*>(user)->on_handshake_completed();
    return 0;
  };
  c.recv_stateless_reset = [](ngtcp2_conn*, const ngtcp2_pkt_stateless_reset*, void* user) {
    static_cast<Connection*>(user)->was_reset_ = true;
    return 0;
  };
  return c;
}

void Connection::finish_setup() {
  gnutls_session_set_ptr(session_, &ref_);
  ngtcp2_conn_set_tls_native_handle(conn_, session_);
}

void Connection::read(const Endpoint& local, const Endpoint& remote, std::string_view bytes) {
  if (closed_) return;
  SocketAddress here(local), there(remote);
  ngtcp2_path path{here, there, nullptr};
  ngtcp2_pkt_info info{};
  int result = ngtcp2_conn_read_pkt(conn_, &path, &info, peers::raw(bytes), bytes.size(), now_ns());
  if (result == 0) return;
  closed_ = true;
  if (result == NGTCP2_ERR_DRAINING && !was_reset_) {
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    ngtcp2_conn_get_connection_close_error(conn_, &error);
    close_code_ = error.error_code;
  }
}

void Connection::expire() {
  if (closed_ || ngtcp2_conn_get_expiry(conn_) > now_ns()) return;
  if (ngtcp2_conn_handle_expiry(conn_, now_ns()) != 0) closed_ = true;
}

void Connection::send_text(std::int64_t stream, std::string text) {
  Stream& s = streams_[stream];
  s.out = std::move(text);
  s.has_out = true;
}

bool Connection::write_one(std::int64_t id, Stream* stream) {
  std::uint8_t buffer[1452];
  ngtcp2_path_storage path;
  ngtcp2_path_storage_zero(&path);
  ngtcp2_pkt_info info;
  ngtcp2_vec data{};
  std::uint32_t flags = 0;
  if (stream) {
    data.base = reinterpret_cast<std::uint8_t*>(stream->out.data()) + stream->sent;
    data.len = stream->out.size() - stream->sent;
    flags = NGTCP2_WRITE_STREAM_FLAG_FIN;
  }
  ngtcp2_ssize taken = -1;
  ngtcp2_ssize n =
      ngtcp2_conn_writev_stream(conn_, &path.path, &info, buffer, sizeof buffer, &taken, flags,
                                stream ? id : -1, stream ? &data : nullptr, stream ? 1 : 0, now_ns());
  if (n == NGTCP2_ERR_STREAM_DATA_BLOCKED || n == NGTCP2_ERR_STREAM_SHUT_WR ||
      n == NGTCP2_ERR_STREAM_NOT_FOUND)
    return false;
  if (n < 0) {
    closed_ = true;
    return false;
  }
  if (stream && taken >= 0) {
    stream->sent += static_cast<std::size_t>(taken);
    stream->fin_sent = stream->sent == stream->out.size();
  }
  if (n == 0) return false;
  transmit(path.path, {reinterpret_cast<char*>(buffer), static_cast<std::size_t>(n)});
  return true;
}

void Connection::write() {
  if (closed_) return;
  for (auto& [id, stream] : streams_)
    while (!closed_ && stream.has_out && !stream.fin_sent && write_one(id, &stream)) {
    }
  while (!closed_ && write_one(-1, nullptr)) {
  }
  if (!closed_) ngtcp2_conn_update_pkt_tx_time(conn_, now_ns());
}

void Connection::close_with(std::uint64_t code) {
  if (closed_) return;
  std::uint8_t buffer[1452];
  ngtcp2_path_storage path;
  ngtcp2_path_storage_zero(&path);
  ngtcp2_pkt_info info;
  ngtcp2_connection_close_error error;
  ngtcp2_connection_close_error_set_application_error(&error, code, nullptr, 0);
  ngtcp2_ssize n =
      ngtcp2_conn_write_connection_close(conn_, &path.path, &info, buffer, sizeof buffer, &error, now_ns());
  closed_ = true;
  if (n > 0) transmit(path.path, {reinterpret_cast<char*>(buffer), static_cast<std::size_t>(n)});
}

}  // namespace marblehub::peers
