// The PROXY protocol's binary header, version 2 (HAProxy's proxy-protocol.txt, section 2.2), for datagrams:
// one stands before each datagram between router and worker, both ways, so that one socket serves all
// clients. Towards the worker the source is the client; towards the router the destination is.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "quic/endpoint.h"

namespace marblehub::quic {

// Type-length-values of our own, from the range that the specification leaves to applications (0xE0 to 0xEF):
// a worker needs both ids for its transport parameters when the router has asked for a Retry (RFC 9000, 7.3).
constexpr unsigned char kTlvOriginalId = 0xe0, kTlvRetryId = 0xe1;

struct ProxyHeader {
  bool local = false;  // the LOCAL command: of the sender's own, it stands for no client
  Endpoint source, destination;
  std::string_view original_id, retry_id;  // where the values are there
};

constexpr std::size_t kMaxProxyHeaderSize = 16 + 36 + 2 * (3 + 20);

// Writes the header and returns its length. Source and destination are of one family.
std::size_t write_proxy_header(std::array<char, kMaxProxyHeaderSize>& out, const ProxyHeader& header);

// Takes the header off a datagram; none where there is no sound one for datagrams over IPv4 or IPv6.
std::optional<ProxyHeader> consume_proxy_header(std::string_view& datagram);

}  // namespace marblehub::quic
