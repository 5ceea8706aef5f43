// What a router may read of a QUIC datagram: the version-independent part (RFC 8999), and of version 1 the
// packet type and the fields of an Initial (RFC 9000, 17.2).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblehub::quic {

constexpr std::uint32_t kVersion1 = 1;
constexpr std::size_t kLongestId = 20;          // of a connection id in version 1
constexpr std::size_t kSmallestInitial = 1200;  // of a client's datagram that carries one
constexpr std::size_t kShortestFirstId = 8;     // of the id that a client makes up

enum class Kind { initial, zero_rtt, handshake, retry, short_header, negotiation, other_version };

struct Header {
  Kind kind = Kind::short_header;
  std::uint32_t version = 0;
  std::string_view destination, source;  // of a short header: all that follows the first octet
};

// The first packet of a datagram; none where it breaks the rules of its version.
std::optional<Header> parse(std::string_view datagram);

std::optional<std::uint64_t> take_varint(std::string_view& bytes);
void put_varint(std::string& out, std::uint64_t value);

// The answer to a version that no worker speaks.
std::string version_negotiation(const Header& header, const std::vector<std::uint32_t>& versions);

std::string hex(std::string_view bytes);
std::optional<std::string> unhex(std::string_view text);

}  // namespace marblehub::quic
