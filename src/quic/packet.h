// Parsing of the QUIC header fields that are readable without connection keys: the version-independent part
// (RFC 8999) and, in versions 1 and 2, the packet type and the fields of an Initial (RFC 9000, 17.2; RFC
// 9369, 3.2). Views point into the datagram.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblehub::quic {

constexpr std::uint32_t kVersion1 = 1;
constexpr std::uint32_t kVersion2 = 0x6b3343cf;            // RFC 9369, 3.1
constexpr std::size_t kMaxConnectionIdLength = 20;         // versions 1 and 2; RFC 9000, 17.2
constexpr std::size_t kMinInitialDatagramSize = 1200;      // from a client; RFC 9000, 14.1
constexpr std::size_t kMinInitialDestinationIdLength = 8;  // chosen by a client; RFC 9000, 7.2

/// The packet types of versions 1 and 2 (RFC 9000, 17.2 and 17.3); `unsupported_version` is any packet with a
/// long header of another version, except Version Negotiation.
enum class PacketType {
  initial,
  zero_rtt,
  handshake,
  retry,
  short_header,
  version_negotiation,
  unsupported_version
};

/// The readable header fields of one packet. Views point into the parsed datagram.
struct Header {
  PacketType type = PacketType::short_header;
  std::uint32_t version = 0;
  std::string_view destination, source;  // of a short header: all that follows the first byte
  std::string_view token;                // of an Initial; empty otherwise
  std::string_view packet;               // the packet: to the end that its length gives, else of the datagram
  // The fixed bit (RFC 9000, 17.2). Endpoints that negotiated grease_quic_bit (RFC 9287) clear it at random,
  // so a balancer can require it only of the first Initials, before any negotiation.
  bool fixed_bit = true;
};

/// Parses the header of a datagram's first packet; none where it violates the rules of its version.
std::optional<Header> parse(std::string_view datagram);

/// The connection ids of a packet with a long header.
struct LongHeaderIds {
  std::string_view destination, source;
};

/// Reads the connection ids of a packet that may be cut off behind them; none for a short header, and where
/// they are incomplete.
std::optional<LongHeaderIds> long_header_ids(std::string_view packet);

/// The length of the datagram's prefix that belongs to the connection of its first packet: a coalesced packet
/// with another destination connection id is dropped (RFC 9000, 12.2), together with all that follows it.
std::size_t same_connection_length(std::string_view datagram, const Header& first);

/// Reads a variable-length integer (RFC 9000, 16) and removes it from the front of `bytes`; none, with
/// `bytes` unchanged, where it is truncated.
std::optional<std::uint64_t> consume_varint(std::string_view& bytes);
/// Appends a variable-length integer (RFC 9000, 16) in its shortest encoding.
void put_varint(std::string& out, std::uint64_t value);
/// Appends 4 bytes in network byte order.
void put_u32(std::string& out, std::uint32_t value);

/// The first byte of a packet with a long header: header form, fixed bit, type, and the low four bits as
/// given.
char long_header_first_byte(PacketType type, std::uint32_t version, unsigned low);

/// A Version Negotiation packet (RFC 9000, 17.2.1) in reply to `header`. It offers `versions` and one
/// reserved version (0x?a?a?a?a, section 15), which clients have to ignore.
std::string version_negotiation(const Header& header, const std::vector<std::uint32_t>& versions);

/// Lower-case hexadecimal digits, two for each byte.
std::string hex(std::string_view bytes);
/// The bytes of a hexadecimal text of either case; none for an odd length or other characters.
std::optional<std::string> unhex(std::string_view text);

}  // namespace marblehub::quic
