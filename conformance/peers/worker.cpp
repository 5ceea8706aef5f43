#include "peers/worker.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "peers/ngtcp2_support.h"
#include "peers/served_connection.h"
#include "quic/crypto.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"

namespace marblehub::peers {

namespace {

constexpr std::string_view kControl = "\x04MARBLE1 ";

}  // namespace

Worker::Worker(std::string n, WorkerOptions o)
    : name(std::move(n)),
      server_id(quic::default_server_id(name, o.ids.server_id_length)),
      options(std::move(o)),
      codec_({options.ids}),
      udp_(std::make_unique<Udp>(options.family)),
      random_(std::hash<std::string>()(name)) {}

Worker::~Worker() = default;

std::string Worker::make_id() {
  return codec_.encode(options.ids.rotation, server_id, quic::random_bytes(options.ids.nonce_length));
}

std::size_t Worker::connections() const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(), [](const auto& c) { return !c->closed(); }));
}

void Worker::kill() {
  udp_.reset();
  by_id_.clear();
  all_.clear();
}

void Worker::restart() {
  kill();
  udp_ = std::make_unique<Udp>(options.family);
}

void Worker::send(std::string_view bytes, const Endpoint& client) {
  if (!udp_) return;
  if (!options.proxy) return udp_->send(bytes, client);
  auto router = routers_.find(std::string(client.bytes()));
  if (router == routers_.end()) return;
  std::array<char, quic::kMaxProxyHeaderSize> header;
  std::size_t size = quic::write_proxy_header(header, {false, listen_, client, {}, {}});
  udp_->send(std::string(header.data(), size) + std::string(bytes), router->second);
}

void Worker::send_control(const std::string& message, const Endpoint& client) {
  send(std::string(kControl) + message, client);
}

void Worker::send_left(const Endpoint& router, const Endpoint& client, const std::string& id) {
  std::array<char, quic::kMaxProxyHeaderSize> header;
  std::size_t size = quic::write_proxy_header(header, {false, listen_, client, {}, {}});
  udp_->send(std::string(header.data(), size) + std::string(kControl) + "LEFT " + quic::hex(id), router);
}

void Worker::handle_control(std::string_view message, const Endpoint&, const Endpoint&) {
  if (message.starts_with("MOVE ")) {
    auto id = quic::unhex(message.substr(5));
    if (!id) return;
    moves.insert(*id);
    for (auto& served : all_)
      if (served->has_id(*id)) served->move();
  } else if (message.starts_with("RETRIED ")) {
    std::string_view rest = message.substr(8);
    auto retry = quic::unhex(rest.substr(0, rest.find(' '))),
         original = quic::unhex(rest.substr(rest.find(' ') + 1));
    if (retry && original) original_ids_[*retry] = *original;
  }
}

ServedConnection* Worker::accept(const std::string& bytes, const Endpoint& client) {
  ngtcp2_pkt_hd hd;
  if (ngtcp2_accept(&hd, raw(bytes), bytes.size()) != 0) return nullptr;
  initials += 1;
  std::string first = text_of(hd.dcid);
  if (options.unresponsive) return nullptr;
  if (options.busy) {
    send_control("BUSY " + quic::hex(first), client);
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
  if (auto entry = original_ids_.find(first); entry != original_ids_.end()) {  // after a Retry of the router
    original = entry->second;
    retry = first;
    last_retry = {original, first};
  } else if (options.retry) {
    ngtcp2_cid odcid;
    if (hd.token.len == 0) {
      ngtcp2_cid source = cid_of(make_id());
      std::uint8_t token[NGTCP2_CRYPTO_MAX_RETRY_TOKENLEN], packet[512];
      ngtcp2_ssize size = ngtcp2_crypto_generate_retry_token(
          token, raw(secret), secret.size(), hd.version, SocketAddress(client).raw(),
          static_cast<ngtcp2_socklen>(SocketAddress(client).size), &source, &hd.dcid, now_ns());
      ngtcp2_ssize n = ngtcp2_crypto_write_retry(packet, sizeof packet, hd.version, &hd.scid, &source,
                                                 &hd.dcid, token, static_cast<std::size_t>(size));
      if (n > 0) send({reinterpret_cast<char*>(packet), static_cast<std::size_t>(n)}, client);
      return nullptr;
    }
    if (ngtcp2_crypto_verify_retry_token(&odcid, hd.token.base, hd.token.len, raw(secret), secret.size(),
                                         hd.version, SocketAddress(client).raw(),
                                         static_cast<ngtcp2_socklen>(SocketAddress(client).size), &hd.dcid,
                                         10 * NGTCP2_SECONDS, now_ns()) != 0)
      return nullptr;
    original = text_of(odcid);
    retry = first;
    last_retry = {original, first};
  }
  auto served = std::make_shared<ServedConnection>(*this, hd, client, original, retry);
  by_id_[first] = by_id_[served->ids[0]] = served;
  all_.push_back(served);
  accepted += 1;
  store_calls += 1;
  accepted_at.push_back(now_us());
  return served.get();
}

void Worker::step() {
  if (!udp_) return;
  while (auto received = udp_->receive()) {
    std::string_view bytes = received->bytes;
    Endpoint client = received->from;
    if (options.proxy) {
      auto header = quic::consume_proxy_header(bytes);
      if (!header || header->local) continue;
      client = header->source;
      listen_ = header->destination;
      routers_[std::string(client.bytes())] = received->from;
      if (!header->original_id.empty())
        original_ids_[std::string(header->retry_id)] = std::string(header->original_id);
    }
    client_addresses.insert(client.text());
    if (bytes.starts_with(kControl)) {
      handle_control(bytes.substr(kControl.size()), client, received->from);
      continue;
    }
    datagrams += 1;
    ecn_marked += received->ecn != 0;
    ngtcp2_version_cid ids;
    if (ngtcp2_pkt_decode_version_cid(&ids, raw(bytes), bytes.size(), options.ids.length()) != 0) continue;
    std::string destination(reinterpret_cast<const char*>(ids.dcid), ids.dcidlen);
    auto known = by_id_.find(destination);
    if (known != by_id_.end()) {
      auto served = known->second;
      if (options.proxy) served->update_router(received->from);
      served->handle_datagram(client, bytes);
      continue;
    }
    if (bytes.empty() || !(bytes[0] & 0x80)) continue;
    if (ServedConnection* served = accept(std::string(bytes), client)) served->handle_datagram(client, bytes);
  }
  for (auto& served : all_) served->step();
}

}  // namespace marblehub::peers
