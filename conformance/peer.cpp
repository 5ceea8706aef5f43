#include "peer.h"

#include <fmt/format.h>
#include <gnutls/crypto.h>
#include <gnutls/x509.h>
#include <netinet/ip.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "quic/crypto.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"
#include "quic/stateless_reset.h"

namespace marblehub::peers {
namespace {

constexpr std::string_view kControl = "\x04MARBLE1 ";
constexpr std::uint64_t kMoved = 0x4d;  // the application's close code for "come again"
constexpr char kPriority[] =
    "%DISABLE_TLS13_COMPAT_MODE:NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+CHACHA20-POLY1305:"
    "-GROUP-ALL:+GROUP-X25519";

ngtcp2_tstamp now_ns() { return static_cast<ngtcp2_tstamp>(now_us()) * 1000; }
const std::uint8_t* raw(std::string_view s) { return reinterpret_cast<const std::uint8_t*>(s.data()); }
std::string text_of(const ngtcp2_cid& id) { return {reinterpret_cast<const char*>(id.data), id.datalen}; }

ngtcp2_cid cid_of(std::string_view text) {
  ngtcp2_cid id;
  ngtcp2_cid_init(&id, raw(text), text.size());
  return id;
}

// An endpoint in the form that the library and the system take; it lives as long as the call it is made for.
struct Name {
  explicit Name(const Endpoint& e) : size(e.write(name)) {}
  operator ngtcp2_addr() { return {raw(), static_cast<ngtcp2_socklen>(size)}; }
  sockaddr* raw() { return reinterpret_cast<sockaddr*>(&name); }
  sockaddr_in6 name;
  socklen_t size;
};

void require(bool done, const char* what) {
  if (!done) throw std::runtime_error(what);
}

// One self-signed certificate and one ticket key for all workers of a run: what a client was given by one,
// any other takes up, as it would where they share their keys.
struct Tls {
  Tls() {
    gnutls_x509_privkey_t key;
    gnutls_x509_crt_t certificate;
    gnutls_x509_privkey_init(&key);
    gnutls_x509_crt_init(&certificate);
    require(gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA,
                                         GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0) == 0,
            "no key can be made");
    gnutls_x509_crt_set_version(certificate, 3);
    gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, "worker", 6);
    gnutls_x509_crt_set_key(certificate, key);
    gnutls_x509_crt_set_serial(certificate, "\1", 1);
    gnutls_x509_crt_set_activation_time(certificate, ::time(nullptr) - 3600);
    gnutls_x509_crt_set_expiration_time(certificate, ::time(nullptr) + 86400);
    require(gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0) == 0,
            "no certificate can be made");
    gnutls_certificate_allocate_credentials(&server);
    gnutls_certificate_allocate_credentials(&client);  // it trusts whoever answers
    gnutls_certificate_set_x509_key(server, &certificate, 1, key);
    gnutls_x509_crt_deinit(certificate);
    gnutls_x509_privkey_deinit(key);
    gnutls_session_ticket_key_generate(&tickets);
    gnutls_anti_replay_init(&anti_replay);
    gnutls_anti_replay_set_add_function(
        anti_replay, [](void*, time_t, const gnutls_datum_t*, const gnutls_datum_t*) { return 0; });
  }
  gnutls_certificate_credentials_t server, client;
  gnutls_datum_t tickets;
  gnutls_anti_replay_t anti_replay;
};

Tls& tls() {
  static Tls all;  // for the life of the process
  return all;
}

void set_alpn(gnutls_session_t session, std::size_t padding) {
  std::vector<std::string> names{"scooter"};
  for (std::size_t left = padding, i = 0; left > 0; ++i) {
    std::size_t size = std::min<std::size_t>(left, 200);
    names.push_back(fmt::format("{:06}", i) + std::string(size, 'x'));
    left -= size;
  }
  std::vector<gnutls_datum_t> protocols;
  for (std::string& name : names)
    protocols.push_back({reinterpret_cast<unsigned char*>(name.data()), static_cast<unsigned>(name.size())});
  gnutls_alpn_set_protocols(session, protocols.data(), static_cast<unsigned>(protocols.size()), 0);
}

}  // namespace

std::int64_t now_us() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

// ---- Sockets and the hop ---------------------------------------------------------------------------

Udp::Udp(int family, int port) : fd_(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  std::string any = family == AF_INET6 ? std::string(15, '\0') + '\1' : std::string("\x7f\0\0\1", 4);
  Endpoint at = *Endpoint::from(any, static_cast<std::uint16_t>(port));
  Name bound(at);
  require(fd_ >= 0 && ::bind(fd_, bound.raw(), bound.size) == 0, "no free port");
  sockaddr_in6 name{};
  socklen_t size = sizeof name;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size);
  local_ = Endpoint::from(reinterpret_cast<sockaddr*>(&name));
  int on = 1, large = 1 << 20;
  ::setsockopt(fd_, IPPROTO_IP, IP_RECVTOS, &on, sizeof on);
  ::setsockopt(fd_, IPPROTO_IPV6, IPV6_RECVTCLASS, &on, sizeof on);
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &large, sizeof large);
}

Udp::~Udp() { ::close(fd_); }

void Udp::mark(unsigned char ecn) const {
  int value = ecn;
  ::setsockopt(fd_, IPPROTO_IP, IP_TOS, &value, sizeof value);
  ::setsockopt(fd_, IPPROTO_IPV6, IPV6_TCLASS, &value, sizeof value);
}

void Udp::send(std::string_view bytes, const Endpoint& to) const {
  Name name(to);
  ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, name.raw(), name.size);
}

std::optional<Udp::Came> Udp::receive() const {
  char buffer[65536];
  alignas(cmsghdr) char control[128];
  sockaddr_in6 name{};
  iovec part{buffer, sizeof buffer};
  msghdr message{};
  message.msg_name = &name;
  message.msg_namelen = sizeof name;
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t n = ::recvmsg(fd_, &message, 0);
  if (n < 0) return std::nullopt;
  Came came{std::string(buffer, static_cast<std::size_t>(n)),
            Endpoint::from(reinterpret_cast<sockaddr*>(&name)), 0};
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c))
    if ((c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_TOS) ||
        (c->cmsg_level == IPPROTO_IPV6 && c->cmsg_type == IPV6_TCLASS))
      came.ecn = *CMSG_DATA(c) & 3;
  return came;
}

Hop::Hop(int family, Faults faults) : family_(family), faults_(faults), random_(faults.seed) { rebind(); }

void Hop::rebind() { sockets_.push_back(std::make_unique<Udp>(family_)); }

void Hop::send(std::string_view bytes, const Endpoint& to) {
  std::vector<std::string> all{std::string(bytes)};
  if (tamper) all = tamper(std::string(bytes));
  for (const std::string& one : all) {
    if (chance(faults_.lose)) continue;
    int times = chance(faults_.repeat) ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      octets_out += one.size();
      if (chance(faults_.delay)) {
        held_out_.push_back({now_us() + faults_.delay_us, one, to});
      } else {
        socket().send(one, to);
      }
    }
  }
}

std::vector<std::string> Hop::receive() {
  std::vector<std::string> out;
  for (auto& one : sockets_)
    while (auto came = one->receive()) {
      octets_in += came->bytes.size();
      if (chance(faults_.lose)) continue;
      if (chance(faults_.repeat)) out.push_back(came->bytes);
      if (chance(faults_.delay)) {
        held_in_.push_back({now_us() + faults_.delay_us, std::move(came->bytes), {}});
      } else {
        out.push_back(std::move(came->bytes));
      }
    }
  std::erase_if(held_in_, [&](Held& held) {
    bool due = held.until <= now_us();
    if (due) out.push_back(std::move(held.bytes));
    return due;
  });
  return out;
}

void Hop::step() {
  std::erase_if(held_out_, [&](const Held& held) {
    bool due = held.until <= now_us();
    if (due) socket().send(held.bytes, held.to);
    return due;
  });
}

// ---- A connection ----------------------------------------------------------------------------------

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
    std::memcpy(out, quic::random_octets(size).data(), size);
  };
  c.get_new_connection_id = [](ngtcp2_conn*, ngtcp2_cid* id, std::uint8_t* token, std::size_t size,
                               void* self) {
    static_cast<Connection*>(self)->new_id(*id, token, size);
    return 0;
  };
  c.recv_stream_data = [](ngtcp2_conn* conn, std::uint32_t flags, std::int64_t id, std::uint64_t,
                          const std::uint8_t* data, std::size_t size, void* user, void*) {
    auto& self = *static_cast<Connection*>(user);
    Stream& stream = self.streams_[id];
    stream.in.append(reinterpret_cast<const char*>(data), size);
    ngtcp2_conn_extend_max_stream_offset(conn, id, size);
    ngtcp2_conn_extend_max_offset(conn, size);
    if (flags & NGTCP2_STREAM_DATA_FLAG_FIN) self.text_came(id, stream.in);
    return 0;
  };
  c.stream_close = [](ngtcp2_conn* conn, std::uint32_t, std::int64_t id, std::uint64_t, void* user, void*) {
    static_cast<Connection*>(user)->streams_.erase(id);
    if (!ngtcp2_conn_is_local_stream(conn, id)) ngtcp2_conn_extend_max_streams_bidi(conn, 1);
    return 0;
  };
  c.handshake_completed = [](ngtcp2_conn*, void* user) {
    static_cast<Connection*>(user)->completed();
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
  if (over_) return;
  Name here(local), there(remote);
  ngtcp2_path path{here, there, nullptr};
  ngtcp2_pkt_info info{};
  int result = ngtcp2_conn_read_pkt(conn_, &path, &info, peers::raw(bytes), bytes.size(), now_ns());
  if (result == 0) return;
  over_ = true;
  if (result == NGTCP2_ERR_DRAINING && !was_reset_) {
    ngtcp2_connection_close_error error;
    ngtcp2_connection_close_error_default(&error);
    ngtcp2_conn_get_connection_close_error(conn_, &error);
    close_code_ = error.error_code;
  }
}

void Connection::expire() {
  if (over_ || ngtcp2_conn_get_expiry(conn_) > now_ns()) return;
  if (ngtcp2_conn_handle_expiry(conn_, now_ns()) != 0) over_ = true;
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
    over_ = true;
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
  if (over_) return;
  for (auto& [id, stream] : streams_)
    while (!over_ && stream.has_out && !stream.fin_sent && write_one(id, &stream)) {
    }
  while (!over_ && write_one(-1, nullptr)) {
  }
  if (!over_) ngtcp2_conn_update_pkt_tx_time(conn_, now_ns());
}

void Connection::shut(std::uint64_t code) {
  if (over_) return;
  std::uint8_t buffer[1452];
  ngtcp2_path_storage path;
  ngtcp2_path_storage_zero(&path);
  ngtcp2_pkt_info info;
  ngtcp2_connection_close_error error;
  ngtcp2_connection_close_error_set_application_error(&error, code, nullptr, 0);
  ngtcp2_ssize n =
      ngtcp2_conn_write_connection_close(conn_, &path.path, &info, buffer, sizeof buffer, &error, now_ns());
  over_ = true;
  if (n > 0) transmit(path.path, {reinterpret_cast<char*>(buffer), static_cast<std::size_t>(n)});
}

// ---- The client ------------------------------------------------------------------------------------

Client::Client(const Endpoint& router, ClientOptions options)
    : began(now_us()), hop(options.family, options.faults), router_(router), via_(router), options_(options) {
  believed_ = hop.address();
  require(gnutls_init(&session_, GNUTLS_CLIENT | GNUTLS_ENABLE_EARLY_DATA | GNUTLS_NO_END_OF_EARLY_DATA) == 0,
          "no TLS session");
  require(gnutls_priority_set_direct(session_, kPriority, nullptr) == 0, "no TLS priorities");
  require(ngtcp2_crypto_gnutls_configure_client_session(session_) == 0, "no QUIC over TLS");
  gnutls_credentials_set(session_, GNUTLS_CRD_CERTIFICATE, tls().client);
  gnutls_handshake_set_hook_function(session_, GNUTLS_HANDSHAKE_NEW_SESSION_TICKET, GNUTLS_HOOK_POST,
                                     ticket_came);
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

  std::string first = quic::random_octets(12);
  first[0] = static_cast<char>(first[0] | quic::kUnroutable << 5);
  ngtcp2_cid destination = cid_of(first), source = cid_of(quic::random_octets(options_.id_length));
  Name here(believed_), there(router_);
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

int Client::ticket_came(gnutls_session_t session, unsigned, unsigned, unsigned, const gnutls_datum_t*) {
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

void Client::new_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) {
  id = cid_of(quic::random_octets(size));
  std::memcpy(token, quic::random_octets(NGTCP2_STATELESS_RESET_TOKENLEN).data(),
              NGTCP2_STATELESS_RESET_TOKENLEN);
}

void Client::completed() {
  up_at = now_us();
  early_taken_ = options_.resume && !ngtcp2_conn_get_early_data_rejected(conn_);
}

void Client::transmit(const ngtcp2_path&, std::string_view bytes) { hop.send(bytes, via_); }

void Client::text_came(std::int64_t, const std::string& text) { answers_[text] += 1; }

void Client::request(std::string text) {
  asked_ += 1;
  waiting_.push_back(std::move(text));
}

bool Client::all_answered_once() const {
  if (answers_.size() != asked_) return false;
  return std::all_of(answers_.begin(), answers_.end(), [](const auto& answer) { return answer.second == 1; });
}

void Client::open_streams() {
  while (!waiting_.empty() && !over_) {
    std::int64_t id;
    if (ngtcp2_conn_open_bidi_stream(conn_, &id, nullptr) != 0) return;
    send_text(id, std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

void Client::step() {
  for (const std::string& bytes : hop.receive()) {
    auto header = quic::parse(bytes);
    if (header && header->kind == quic::Kind::retry) retried_ = true;
    read(believed_, router_, bytes);
  }
  expire();
  if (!over_) open_streams();
  write();
  hop.step();
}

bool Client::migrate() {
  hop.rebind();
  believed_ = hop.address();
  Name here(believed_), there(router_);
  ngtcp2_path path{here, there, nullptr};
  return ngtcp2_conn_initiate_immediate_migration(conn_, &path, now_ns()) == 0;
}

bool Client::update_key() { return ngtcp2_conn_initiate_key_update(conn_, now_ns()) == 0; }

std::string Client::current_id() const { return text_of(*ngtcp2_conn_get_dcid(conn_)); }

// ---- The worker ------------------------------------------------------------------------------------

class Served final : public Connection {
 public:
  Served(Worker& worker, const ngtcp2_pkt_hd& hd, const Endpoint& client, const std::string& original,
         const std::optional<std::string>& retry)
      : worker_(worker), first_(original), client_(client) {
    require(gnutls_init(&session_, GNUTLS_SERVER | GNUTLS_ENABLE_EARLY_DATA | GNUTLS_NO_AUTO_SEND_TICKET |
                                       GNUTLS_NO_END_OF_EARLY_DATA) == 0,
            "no TLS session");
    gnutls_priority_set_direct(session_, kPriority, nullptr);
    gnutls_session_ticket_enable_server(session_, &tls().tickets);
    require(ngtcp2_crypto_gnutls_configure_server_session(session_) == 0, "no QUIC over TLS");
    gnutls_anti_replay_enable(session_, tls().anti_replay);
    gnutls_record_set_max_early_data_size(session_, 0xffffffffu);
    gnutls_credentials_set(session_, GNUTLS_CRD_CERTIFICATE, tls().server);
    set_alpn(session_, 0);

    ngtcp2_settings settings;
    ngtcp2_settings_default(&settings);
    settings.initial_ts = now_ns();
    settings.initial_rtt = 20 * NGTCP2_MILLISECONDS;
    settings.no_pmtud = 1;
    settings.token = {hd.token.base, hd.token.len};
    ngtcp2_transport_params params;
    ngtcp2_transport_params_default(&params);
    params.initial_max_streams_bidi = 100;
    params.initial_max_stream_data_bidi_remote = 65536;
    params.initial_max_data = 1 << 20;
    params.active_connection_id_limit = 3;  // the library miscounts near its own bound of 8
    params.max_idle_timeout = 30 * NGTCP2_SECONDS;
    params.original_dcid = cid_of(original);
    if (retry) {
      params.retry_scid_present = 1;
      params.retry_scid = cid_of(*retry);
    }
    ngtcp2_cid source = cid_of(worker_.make_id()), destination = hd.scid;
    ids.push_back(text_of(source));
    if (!worker_.options.reset_key.empty()) {
      params.stateless_reset_token_present = 1;
      std::memcpy(params.stateless_reset_token, quic::reset_token(worker_.options.reset_key, ids[0]).data(),
                  NGTCP2_STATELESS_RESET_TOKENLEN);
    }
    Name here(worker_.address()), there(client);
    ngtcp2_path path{here, there, nullptr};
    ngtcp2_callbacks all = callbacks(true);
    require(ngtcp2_conn_server_new(&conn_, &destination, &source, &path, hd.version, &all, &settings, &params,
                                   nullptr, static_cast<Connection*>(this)) == 0,
            "no server connection");
    finish_setup();
  }

  void take(const Endpoint& client, std::string_view bytes) {
    read(worker_.address(), client, bytes);
    if (!over_) write();
  }
  void step() {
    std::erase_if(locks_, [this](const Lock& lock) {
      bool due = lock.at <= now_us();
      if (due && !over_) send_text(lock.stream, "OK " + lock.text);
      return due;
    });
    expire();
    if (!over_) write();
    // Ids are linked once the router knows the connection: after the first flight.
    for (const std::string& id : std::exchange(unlinked_, {}))
      if (worker_.options.links)
        worker_.say(fmt::format("LINK {} {}", quic::hex(first_), quic::hex(id)), client_);
  }
  // Through another router than before: the one before is told that the connection has left it.
  void came_through(const Endpoint& router) {
    if (router_.known() && !(router_ == router)) worker_.leave(router_, client_, ids[0]);
    router_ = router;
  }
  void move() {
    if (over_) return;
    shut(kMoved);
    worker_.say("END " + quic::hex(first_), client_);
  }
  bool known_as(std::string_view id) const {
    return first_ == id || std::find(ids.begin(), ids.end(), id) != ids.end();
  }
  const Endpoint& client() const { return client_; }

  std::vector<std::string> ids;

 private:
  void transmit(const ngtcp2_path& path, std::string_view bytes) override {
    client_ = Endpoint::from(path.remote.addr);
    worker_.send(bytes, client_);
  }
  void new_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t) override {
    std::string made = worker_.make_id();
    id = cid_of(made);
    std::string key = worker_.options.reset_key.empty() ? "none" : worker_.options.reset_key;
    std::memcpy(token, quic::reset_token(key, made).data(), NGTCP2_STATELESS_RESET_TOKENLEN);
    ids.push_back(made);
    unlinked_.push_back(made);
    worker_.by_id_[made] = worker_.by_id_.at(ids[0]);
  }
  void completed() override { gnutls_session_ticket_send(session_, 1, 0); }
  void text_came(std::int64_t stream, const std::string& text) override {
    worker_.executed[text] += 1;
    if (text.starts_with("LOCK")) {
      locks_.push_back({now_us() + worker_.options.lock_us, stream, text});
    } else {
      send_text(stream, "OK " + text);
    }
  }

  struct Lock {
    std::int64_t at;
    std::int64_t stream;
    std::string text;
  };
  Worker& worker_;
  const std::string first_;  // the id that the client's very first Initial went to
  Endpoint client_, router_;
  std::vector<Lock> locks_;
  std::vector<std::string> unlinked_;
};

Worker::Worker(std::string n, WorkerOptions o)
    : name(std::move(n)),
      server_id(quic::default_server_id(name, o.ids.server_id_length)),
      options(std::move(o)),
      codec_({options.ids}),
      udp_(std::make_unique<Udp>(options.family)),
      random_(std::hash<std::string>()(name)) {}

Worker::~Worker() = default;

std::string Worker::make_id() {
  return codec_.encode(options.ids.rotation, server_id, quic::random_octets(options.ids.nonce_length));
}

std::size_t Worker::connections() const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(), [](const auto& c) { return !c->over(); }));
}

void Worker::die() {
  udp_.reset();
  by_id_.clear();
  all_.clear();
}

void Worker::restart() {
  die();
  udp_ = std::make_unique<Udp>(options.family);
}

void Worker::send(std::string_view bytes, const Endpoint& client) {
  if (!udp_) return;
  if (!options.proxy) return udp_->send(bytes, client);
  auto router = routers_.find(std::string(client.octets()));
  if (router == routers_.end()) return;
  std::array<char, quic::kLongestProxyHeader> header;
  std::size_t size = quic::write_proxy_header(header, {false, listen_, client, {}, {}});
  udp_->send(std::string(header.data(), size) + std::string(bytes), router->second);
}

void Worker::say(const std::string& words, const Endpoint& client) {
  send(std::string(kControl) + words, client);
}

void Worker::leave(const Endpoint& router, const Endpoint& client, const std::string& id) {
  std::array<char, quic::kLongestProxyHeader> header;
  std::size_t size = quic::write_proxy_header(header, {false, listen_, client, {}, {}});
  udp_->send(std::string(header.data(), size) + std::string(kControl) + "LEFT " + quic::hex(id), router);
}

void Worker::control(std::string_view words, const Endpoint&, const Endpoint&) {
  if (words.starts_with("MOVE ")) {
    auto id = quic::unhex(words.substr(5));
    if (!id) return;
    moves.insert(*id);
    for (auto& served : all_)
      if (served->known_as(*id)) served->move();
  } else if (words.starts_with("RETRIED ")) {
    std::string_view rest = words.substr(8);
    auto retry = quic::unhex(rest.substr(0, rest.find(' '))),
         original = quic::unhex(rest.substr(rest.find(' ') + 1));
    if (retry && original) told_[*retry] = *original;
  }
}

Served* Worker::accept(const std::string& bytes, const Endpoint& client) {
  ngtcp2_pkt_hd hd;
  if (ngtcp2_accept(&hd, raw(bytes), bytes.size()) != 0) return nullptr;
  initials += 1;
  std::string first = text_of(hd.dcid);
  if (options.mute) return nullptr;
  if (options.busy) {
    say("BUSY " + quic::hex(first), client);
    return nullptr;
  }
  if (options.refuse) {
    std::uint8_t packet[256];
    ngtcp2_ssize n = ngtcp2_crypto_write_connection_close(packet, sizeof packet, hd.version, &hd.scid,
                                                          &hd.dcid, NGTCP2_CONNECTION_REFUSED, nullptr, 0);
    if (n > 0) send({reinterpret_cast<char*>(packet), static_cast<std::size_t>(n)}, client);
    return nullptr;
  }
  std::string original = first;
  std::optional<std::string> retry;
  static const std::string secret = "worker's own token key";
  if (auto told = told_.find(first); told != told_.end()) {  // the router has asked for a Retry
    original = told->second;
    retry = first;
    last_retry = {original, first};
  } else if (options.retry) {
    ngtcp2_cid odcid;
    if (hd.token.len == 0) {
      ngtcp2_cid source = cid_of(make_id());
      std::uint8_t token[NGTCP2_CRYPTO_MAX_RETRY_TOKENLEN], packet[512];
      ngtcp2_ssize size = ngtcp2_crypto_generate_retry_token(
          token, raw(secret), secret.size(), hd.version, Name(client).raw(),
          static_cast<ngtcp2_socklen>(Name(client).size), &source, &hd.dcid, now_ns());
      ngtcp2_ssize n = ngtcp2_crypto_write_retry(packet, sizeof packet, hd.version, &hd.scid, &source,
                                                 &hd.dcid, token, static_cast<std::size_t>(size));
      if (n > 0) send({reinterpret_cast<char*>(packet), static_cast<std::size_t>(n)}, client);
      return nullptr;
    }
    if (ngtcp2_crypto_verify_retry_token(
            &odcid, hd.token.base, hd.token.len, raw(secret), secret.size(), hd.version, Name(client).raw(),
            static_cast<ngtcp2_socklen>(Name(client).size), &hd.dcid, 10 * NGTCP2_SECONDS, now_ns()) != 0)
      return nullptr;
    original = text_of(odcid);
    retry = first;
    last_retry = {original, first};
  }
  auto served = std::make_shared<Served>(*this, hd, client, original, retry);
  by_id_[first] = by_id_[served->ids[0]] = served;
  all_.push_back(served);
  accepted += 1;
  store_calls += 1;
  accepted_at.push_back(now_us());
  return served.get();
}

void Worker::step() {
  if (!udp_) return;
  while (auto came = udp_->receive()) {
    std::string_view bytes = came->bytes;
    Endpoint client = came->from;
    if (options.proxy) {
      auto header = quic::take_proxy_header(bytes);
      if (!header || header->local) continue;
      client = header->source;
      listen_ = header->destination;
      routers_[std::string(client.octets())] = came->from;
      if (!header->original_id.empty())
        told_[std::string(header->retry_id)] = std::string(header->original_id);
    }
    clients_seen.insert(client.text());
    if (bytes.starts_with(kControl)) {
      control(bytes.substr(kControl.size()), client, came->from);
      continue;
    }
    datagrams += 1;
    with_ecn += came->ecn != 0;
    ngtcp2_version_cid ids;
    if (ngtcp2_pkt_decode_version_cid(&ids, raw(bytes), bytes.size(), options.ids.length()) != 0) continue;
    std::string destination(reinterpret_cast<const char*>(ids.dcid), ids.dcidlen);
    auto known = by_id_.find(destination);
    if (known != by_id_.end()) {
      auto served = known->second;
      if (options.proxy) served->came_through(came->from);
      served->take(client, bytes);
      continue;
    }
    if (bytes.empty() || !(bytes[0] & 0x80)) continue;
    if (Served* served = accept(std::string(bytes), client)) served->take(client, bytes);
  }
  for (auto& served : all_) served->step();
}

}  // namespace marblehub::peers
