#include "peers/client.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "peers/ngtcp2_support.h"
#include "peers/tls.h"
#include "quic/connection_id.h"
#include "quic/crypto.h"
#include "quic/packet.h"

namespace marblehub::peers {

Client::Client(const Endpoint& router, ClientOptions options)
    : started_at(now_us()),
      hop(options.family, options.faults),
      router_(router),
      current_router_(router),
      options_(options) {
  local_address_ = hop.address();
  require(gnutls_init(&session_, GNUTLS_CLIENT | GNUTLS_ENABLE_EARLY_DATA | GNUTLS_NO_END_OF_EARLY_DATA) == 0,
          "no TLS session");
  require(gnutls_priority_set_direct(session_, kTlsPriority, nullptr) == 0, "no TLS priorities");
  require(ngtcp2_crypto_gnutls_configure_client_session(session_) == 0, "no QUIC over TLS");
  gnutls_credentials_set(session_, GNUTLS_CRD_CERTIFICATE, tls().client);
  gnutls_handshake_set_hook_function(session_, GNUTLS_HANDSHAKE_NEW_SESSION_TICKET, GNUTLS_HOOK_POST,
                                     on_session_ticket);
  set_alpn(session_, options_.padding);

  ngtcp2_settings settings;
  ngtcp2_settings_default(&settings);
  settings.initial_ts = now_ns();
  settings.initial_rtt = 20 * NGTCP2_MILLISECONDS;
  settings.no_pmtud = 1;
  ngtcp2_transport_params params;
  ngtcp2_transport_params_default(&params);
  params.initial_max_streams_bidi = 0;
  params.initial_max_stream_data_bidi_local = 65536;
  params.initial_max_data = 1 << 20;
  params.active_connection_id_limit = 7;
  params.max_idle_timeout = 30 * NGTCP2_SECONDS;

  std::string first = quic::random_bytes(12);
  first[0] = static_cast<char>(first[0] | quic::kUnroutableRotation << 5);
  ngtcp2_cid destination = cid_of(first), source = cid_of(quic::random_bytes(options_.id_length));
  SocketAddress here(local_address_), there(router_);
  ngtcp2_path path{here, there, nullptr};
  ngtcp2_callbacks all = callbacks(false);
  require(ngtcp2_conn_client_new(&conn_, &destination, &source, &path, options_.version, &all, &settings,
                                 &params, nullptr, static_cast<Connection*>(this)) == 0,
          "no client connection");
  finish_setup();
  if (options_.resume) {
    const std::string& ticket = options_.resume->session;
    gnutls_session_set_data(session_, ticket.data(), ticket.size());
    ngtcp2_transport_params remembered = options_.resume->params;
    ngtcp2_conn_set_early_remote_transport_params(conn_, &remembered);
  }
}

int Client::on_session_ticket(gnutls_session_t session, unsigned, unsigned, unsigned, const gnutls_datum_t*) {
  auto& self = static_cast<Client&>(*static_cast<Connection*>(
      static_cast<ngtcp2_crypto_conn_ref*>(gnutls_session_get_ptr(session))->user_data));
  gnutls_datum_t data;
  if (gnutls_session_get_data2(session, &data) != 0) return 0;
  Resumption resumption;
  resumption.session.assign(reinterpret_cast<char*>(data.data), data.size);
  gnutls_free(data.data);
  resumption.params = *ngtcp2_conn_get_remote_transport_params(self.conn_);
  self.resumption_ = std::move(resumption);
  return 0;
}

void Client::generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) {
  id = cid_of(quic::random_bytes(size));
  std::memcpy(token, quic::random_bytes(NGTCP2_STATELESS_RESET_TOKENLEN).data(),
              NGTCP2_STATELESS_RESET_TOKENLEN);
}

void Client::on_handshake_completed() {
  completed_at = now_us();
  early_data_accepted_ = options_.resume && !ngtcp2_conn_get_early_data_rejected(conn_);
}

void Client::transmit(const ngtcp2_path&, std::string_view bytes) { hop.send(bytes, current_router_); }

void Client::on_message(std::int64_t, const std::string& text) { answers_[text] += 1; }

void Client::request(std::string text) {
  request_count_ += 1;
  queued_requests_.push_back(std::move(text));
}

bool Client::all_answered_once() const {
  if (answers_.size() != request_count_) return false;
  return std::all_of(answers_.begin(), answers_.end(), [](const auto& answer) { return answer.second == 1; });
}

void Client::open_streams() {
  while (!queued_requests_.empty() && !closed_) {
    std::int64_t id;
    if (ngtcp2_conn_open_bidi_stream(conn_, &id, nullptr) != 0) return;
    send_text(id, std::move(queued_requests_.front()));
    queued_requests_.pop_front();
  }
}

void Client::step() {
  for (const std::string& bytes : hop.receive()) {
    auto header = quic::parse(bytes);
    if (header && header->type == quic::PacketType::retry) retried_ = true;
    read(local_address_, router_, bytes);
  }
  expire();
  if (!closed_) open_streams();
  write();
  hop.step();
}

bool Client::migrate() {
  hop.rebind();
  local_address_ = hop.address();
  SocketAddress here(local_address_), there(router_);
  ngtcp2_path path{here, there, nullptr};
  return ngtcp2_conn_initiate_immediate_migration(conn_, &path, now_ns()) == 0;
}

bool Client::update_key() { return ngtcp2_conn_initiate_key_update(conn_, now_ns()) == 0; }

std::string Client::current_id() const { return text_of(*ngtcp2_conn_get_dcid(conn_)); }

}  // namespace marblehub::peers
