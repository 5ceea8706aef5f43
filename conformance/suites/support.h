/// What the suites have in common: bare sockets that speak to the router, and what peers are asked for.
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

inline TestbedOptions default_options(bool proxy = true) {
  TestbedOptions options;
  options.proxy = proxy;
  options.worker.reset_key = kResetKey;
  return options;
}

// A bare socket that speaks to the router as a client that is no QUIC stack.
struct Probe {
  explicit Probe(Testbed& s) : testbed(s), udp(s.options.family) {}
  void send(const std::string& bytes) { udp.send(bytes, testbed.router()); }
  // All that comes back within so long.
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

// An Initial that no TLS stands behind, of 1,200 octets or as many as said.
inline std::string bare_initial(std::string_view destination, std::string_view source,
                                std::uint32_t version = kVersion1, std::string_view token = "",
                                std::size_t size = 1200) {
  std::string empty =
      seal_initial(initial_keys(destination, false, version), destination, source, 0, "", version, token);
  // The length field of what is under 64 octets takes one octet, of more two.
  std::string frames(size > empty.size() + 1 ? size - empty.size() - 1 : 1, '\0');
  return seal_initial(initial_keys(destination, false, version), destination, source, 0, frames, version,
                      token);
}

inline std::string unroutable_id(std::size_t size = 10) {
  std::string id = random_bytes(size);
  id[0] = static_cast<char>(id[0] | kUnroutableRotation << 5);
  return id;
}

// Sockets of ours in workers' places: the router is told that the workers are there now.
inline void replace_workers(Testbed& testbed,
                            std::initializer_list<std::pair<const char*, const Udp*>> places) {
  testbed.run(4500, [&] { return testbed.registry.has_watch(); });
  for (const auto& [worker, sink] : places) testbed.registry.set(worker, sink->local().text(), "ready");
  testbed.run(400);
}

// What goes before a worker's answer to a datagram that came with this header.
inline std::string reply_header(const ProxyHeader& received) {
  std::array<char, kMaxProxyHeaderSize> out;
  std::size_t size = write_proxy_header(out, {false, received.destination, received.source, {}, {}});
  return std::string(out.data(), size);
}

inline bool connects(Testbed& testbed, Client& client, int ms = 2500) {
  return testbed.run(ms, [&] { return client.handshaken(); }) && !client.closed();
}

inline bool request_succeeds(Testbed& testbed, Client& client, const std::string& text, int ms = 2500) {
  client.request(text);
  return testbed.run(ms, [&] { return client.all_answered_once() || client.closed(); }) &&
         client.all_answered_once();
}

inline std::string token_of(const std::string& retry) {
  auto header = parse(retry);
  std::size_t at = 7 + header->destination.size() + header->source.size();
  return retry.substr(at, retry.size() - at - 16);
}

inline std::optional<std::string> close_frames(const std::string& packet, std::string_view destination,
                                               std::uint32_t version = kVersion1) {
  return open_initial(initial_keys(destination, true, version), packet);
}

inline bool is_close_with(const std::optional<std::string>& packet, std::string_view destination,
                          std::uint64_t code, std::uint32_t version = kVersion1) {
  auto frames = packet ? close_frames(*packet, destination, version) : std::nullopt;
  if (!frames || frames->empty() || (*frames)[0] != 0x1c) return false;
  std::string_view rest = std::string_view(*frames).substr(1);
  return consume_varint(rest) == code;
}

}  // namespace marblehub::conformance
