// The binary header of the PROXY protocol, version 2 (HAProxy's proxy-protocol.txt, section 2.2), for
// datagrams. It precedes each datagram between balancer and worker in both directions, so that one socket
// serves all clients. In datagrams to the worker the source is the client's address, in those to the balancer
// the destination.
#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "quic/endpoint.h"

namespace marblehub::quic {

/// TLV types from the range for applications (0xE0 to 0xEF). They carry the connection ids of a Retry that
/// the balancer sent: a worker needs both for its transport parameters (RFC 9000, 7.3).
constexpr unsigned char kTlvOriginalId = 0xe0, kTlvRetryId = 0xe1;

/// The fields of a header. Parsed connection ids point into the datagram.
struct ProxyHeader {
  bool local = false;  // the LOCAL command: the datagram is the sender's own and belongs to no client
  Endpoint source, destination;
  std::string_view original_id, retry_id;  // the values of the TLVs; empty if absent
};

/// Fixed part, addresses and ports of IPv6, and both TLVs with ids of 20 bytes.
constexpr std::size_t kMaxProxyHeaderSize = 16 + 36 + 2 * (3 + 20);

/// Writes a header and returns its length. Source and destination must have the same address family.
std::size_t write_proxy_header(std::array<char, kMaxProxyHeaderSize>& out, const ProxyHeader& header);

/// Parses the header and removes it from the front of the datagram; none, with the datagram unchanged, unless
/// it is valid and of the family DGRAM over IPv4 or IPv6, or LOCAL. Unknown TLVs are ignored.
std::optional<ProxyHeader> consume_proxy_header(std::string_view& datagram);

}  // namespace marblehub::quic
