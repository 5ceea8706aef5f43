/// Helpers of the suites: a raw socket towards the router, packets without a QUIC stack, and checks on peers.
#pragma once

#include <array>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "quic/initial.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"
#include "report.h"
#include "testbed.h"

namespace marblehub::conformance {

using namespace peers;
using namespace quic;

inline const std::string kResetKey(16, 'r');

/// Testbed options with stateless resets enabled.
inline TestbedOptions default_options(bool proxy = true) {
  TestbedOptions options;
  options.proxy = proxy;
  options.worker.reset_key = kResetKey;
  return options;
}

/// A raw client socket that sends packets to the router without a QUIC stack.
struct Probe {
  explicit Probe(Testbed& s) : testbed(s), udp(s.options.family) {}
  void send(const std::string& bytes) { udp.send(bytes, testbed.router()); }
  /// The datagrams received within `ms` milliseconds, or the first `enough` of them.
  std::vector<std::string> answers(int ms = 250, std::size_t enough = 1) {
    std::vector<std::string> out;
    testbed.run(ms, [&] {
      while (auto received = udp.receive()) out.push_back(received->bytes);
      return out.size() >= enough;
    });
    return out;
  }
  std::optional<std::string> answer(int ms = 250) {
    auto all = answers(ms);
    return all.empty() ? std::nullopt : std::optional(all[0]);
  }
  Testbed& testbed;
  Udp udp;
};

/// An Initial packet of `size` bytes without a ClientHello.
inline std::string bare_initial(std::string_view destination, std::string_view source,
                                std::uint32_t version = kVersion1, std::string_view token = "",
                                std::size_t size = 1200) {
  std::string empty =
      seal_initial(initial_keys(destination, false, version), destination, source, 0, "", version, token);
  // The length field takes one byte for lengths below 64, otherwise two.
  std::string frames(size > empty.size() + 1 ? size - empty.size() - 1 : 1, '\0');
  return seal_initial(initial_keys(destination, false, version), destination, source, 0, frames, version,
                      token);
}

/// A random connection id with the unroutable codepoint.
inline std::string unroutable_id(std::size_t size = 10) {
  std::string id = random_bytes(size);
  id[0] = static_cast<char>(id[0] | kUnroutableRotation << 5);
  return id;
}

/// Registers the given sockets as the new addresses of workers.
inline void replace_workers(Testbed& testbed,
                            std::initializer_list<std::pair<const char*, const Udp*>> places) {
  testbed.run(4500, [&] { return testbed.registry.has_watch(); });
  for (const auto& [worker, sink] : places) testbed.registry.set(worker, sink->local().text(), "ready");
  testbed.run(400);
}

/// The PROXY header of a worker's reply to a datagram with this header.
inline std::string reply_header(const ProxyHeader& received) {
  std::array<char, kMaxProxyHeaderSize> out;
  std::size_t size = write_proxy_header(out, {false, received.destination, received.source, {}, {}});
  return std::string(out.data(), size);
}

/// Whether the client completes its handshake in time.
inline bool connects(Testbed& testbed, Client& client, int ms = 2500) {
  return testbed.run(ms, [&] { return client.handshaken(); }) && !client.closed();
}

/// Sends a request; whether all of the client's requests have exactly one answer in time.
inline bool request_succeeds(Testbed& testbed, Client& client, const std::string& text, int ms = 2500) {
  client.request(text);
  return testbed.run(ms, [&] { return client.all_answered_once() || client.closed(); }) &&
         client.all_answered_once();
}

/// The token of a Retry packet.
inline std::string token_of(const std::string& retry) {
  auto header = parse(retry);
  std::size_t at = 7 + header->destination.size() + header->source.size();
  return retry.substr(at, retry.size() - at - 16);
}

/// The decrypted frames of a server's Initial.
inline std::optional<std::string> close_frames(const std::string& packet, std::string_view destination,
                                               std::uint32_t version = kVersion1) {
  return open_initial(initial_keys(destination, true, version), packet);
}

/// Whether a packet is an Initial with a CONNECTION_CLOSE of this transport error code.
inline bool is_close_with(const std::optional<std::string>& packet, std::string_view destination,
                          std::uint64_t code, std::uint32_t version = kVersion1) {
  auto frames = packet ? close_frames(*packet, destination, version) : std::nullopt;
  if (!frames || frames->empty() || (*frames)[0] != 0x1c) return false;
  std::string_view rest = std::string_view(*frames).substr(1);
  return consume_varint(rest) == code;
}

}  // namespace marblehub::conformance
