#include "peers/served_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "peers/ngtcp2_support.h"
#include "peers/tls.h"
#include "quic/crypto.h"
#include "quic/packet.h"
#include "quic/stateless_reset.h"

namespace marblehub::peers {
namespace {

constexpr std::uint32_t kAnyEarlyData = 0xffffffff;

}  // namespace

ServedConnection::ServedConnection(Worker& worker, const ngtcp2_pkt_hd& hd, const Endpoint& client,
                                   const std::string& original, const std::optional<std::string>& retry)
    : worker_(worker), original_id_(original), client_(client) {
  require(gnutls_init(&session_, GNUTLS_SERVER | GNUTLS_ENABLE_EARLY_DATA | GNUTLS_NO_AUTO_SEND_TICKET |
                                     GNUTLS_NO_END_OF_EARLY_DATA) == 0,
          "no TLS session");
  gnutls_priority_set_direct(session_, kTlsPriority, nullptr);
  gnutls_session_ticket_enable_server(session_, &tls().tickets);
  require(ngtcp2_crypto_gnutls_configure_server_session(session_) == 0, "no QUIC over TLS");
  gnutls_anti_replay_enable(session_, tls().anti_replay);
  gnutls_record_set_max_early_data_size(session_, kAnyEarlyData);
  gnutls_credentials_set(session_, GNUTLS_CRD_CERTIFICATE, tls().server);
  set_alpn(session_, 0);

  ngtcp2_settings settings;
  ngtcp2_settings_default(&settings);
  settings.initial_ts = now_ns();
  settings.initial_rtt = 20 * NGTCP2_MILLISECONDS;
  settings.no_pmtud = 1;
  settings.token = {hd.token.base, hd.token.len};
  ngtcp2_cid source = cid_of(worker_.make_id()), destination = hd.scid;
  ids.push_back(text_of(source));
  ngtcp2_transport_params params = transport_params(retry);
  SocketAddress here(worker_.address()), there(client);
  ngtcp2_path path{here, there, nullptr};
  ngtcp2_callbacks all = callbacks(true);
  require(ngtcp2_conn_server_new(&conn_, &destination, &source, &path, hd.version, &all, &settings, &params,
                                 nullptr, static_cast<Connection*>(this)) == 0,
          "no server connection");
  finish_setup();
}

ngtcp2_transport_params ServedConnection::transport_params(const std::optional<std::string>& retry) const {
  ngtcp2_transport_params params;
  ngtcp2_transport_params_default(&params);
  params.initial_max_streams_bidi = 100;
  params.initial_max_stream_data_bidi_remote = 65536;
  params.initial_max_data = 1 << 20;
  params.active_connection_id_limit = 3;  // ngtcp2 miscounts ids near its own limit of 8
  params.max_idle_timeout = 30 * NGTCP2_SECONDS;
  params.original_dcid = cid_of(original_id_);
  if (retry) {
    params.retry_scid_present = 1;
    params.retry_scid = cid_of(*retry);
  }
  if (!worker_.options.reset_key.empty()) {
    params.stateless_reset_token_present = 1;
    std::memcpy(params.stateless_reset_token,
                quic::stateless_reset_token(worker_.options.reset_key, ids[0]).data(),
                NGTCP2_STATELESS_RESET_TOKENLEN);
  }
  return params;
}

void ServedConnection::handle_datagram(const Endpoint& client, std::string_view bytes) {
  read(worker_.address(), client, bytes);
  if (!closed_) write();
}

void ServedConnection::step() {
  std::erase_if(locks_, [this](const Lock& lock) {
    bool due = lock.at <= now_us();
    if (due && !closed_) send_text(lock.stream, "OK " + lock.text);
    return due;
  });
  expire();
  if (!closed_) write();
  // Sent after the first flight, since the router accepts LINK only for an established connection.
  for (const std::string& id : std::exchange(unlinked_, {}))
    if (worker_.options.link_ids)
      worker_.send_control(fmt::format("LINK {} {}", quic::hex(original_id_), quic::hex(id)), client_);
}

void ServedConnection::update_router(const Endpoint& router) {
  if (router_.is_specified() && !(router_ == router)) worker_.send_left(router_, client_, ids[0]);
  router_ = router;
}

void ServedConnection::move() {
  if (closed_) return;
  close_with(kMoveCloseCode);
  worker_.send_control("END " + quic::hex(original_id_), client_);
}

bool ServedConnection::has_id(std::string_view id) const {
  return original_id_ == id || std::find(ids.begin(), ids.end(), id) != ids.end();
}

void ServedConnection::transmit(const ngtcp2_path& path, std::string_view bytes) {
  client_ = Endpoint::from(path.remote.addr);
  worker_.send(bytes, client_);
}

void ServedConnection::generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t) {
  std::string id_bytes = worker_.make_id();
  id = cid_of(id_bytes);
  std::string key = worker_.options.reset_key.empty() ? "none" : worker_.options.reset_key;
  std::memcpy(token, quic::stateless_reset_token(key, id_bytes).data(), NGTCP2_STATELESS_RESET_TOKENLEN);
  ids.push_back(id_bytes);
  unlinked_.push_back(id_bytes);
  worker_.by_id_[id_bytes] = worker_.by_id_.at(ids[0]);
}

void ServedConnection::on_handshake_completed() { gnutls_session_ticket_send(session_, 1, 0); }

void ServedConnection::on_message(std::int64_t stream, const std::string& text) {
  worker_.executed[text] += 1;
  if (text.starts_with("LOCK")) {
    locks_.push_back({now_us() + worker_.options.lock_delay_us, stream, text});
  } else {
    send_text(stream, "OK " + text);
  }
}

}  // namespace marblehub::peers
