// What a router may read of a QUIC datagram: the version-independent part (RFC 8999), and of versions 1 and 2
// the packet type and the fields of an Initial (RFC 9000, 17.2; RFC 9369, 3.2). Views point into the
// datagram.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblehub::quic {

constexpr std::uint32_t kVersion1 = 1;
constexpr std::uint32_t kVersion2 = 0x6b3343cf;     // RFC 9369, 3.1
constexpr std::size_t kMaxConnectionIdLength = 20;  // of a connection id in both versions
constexpr std::size_t kMinInitialDatagramSize =
    1200;  // of a client's datagram that carries one (RFC 9000, 14.1)
constexpr std::size_t kMinInitialDestinationIdLength = 8;  // of the id that a client makes up (RFC 9000, 7.2)

enum class PacketType {
  initial,
  zero_rtt,
  handshake,
  retry,
  short_header,
  version_negotiation,
  unsupported_version
};

struct Header {
  PacketType type = PacketType::short_header;
  std::uint32_t version = 0;
  std::string_view destination, source;  // of a short header: all that follows the first octet
  std::string_view token;                // of an Initial
  std::string_view packet;               // all of this packet, to its own end
  // The fixed bit. Ends that have agreed on it clear it at random (RFC 9287): only they can hold that against
  // a packet, and a router only where nothing can have been agreed on yet.
  bool fixed_bit = true;
};

// The first packet of a datagram; none where it breaks the rules of its version.
std::optional<Header> parse(std::string_view datagram);

// How much of a client's datagram counts: packets coalesced behind the first one that have another
// destination are dropped (RFC 9000, 12.2), and so is what follows them.
std::size_t same_connection_length(std::string_view datagram, const Header& first);

std::optional<std::uint64_t> consume_varint(std::string_view& bytes);
void put_varint(std::string& out, std::uint64_t value);
void put_u32(std::string& out, std::uint32_t value);

// The first octet of a long header's packet: type and the low four bits.
char long_header_first_byte(PacketType type, std::uint32_t version, unsigned low);

// The answer to a version that no worker speaks (RFC 9000, 17.2.1). Among the versions stands one that is
// reserved (0x?a?a?a?a, section 15), so that clients keep passing over what they do not know.
std::string version_negotiation(const Header& header, const std::vector<std::uint32_t>& versions);

std::string hex(std::string_view bytes);
std::optional<std::string> unhex(std::string_view text);

}  // namespace marblehub::quic
