#include "quic/packet.h"

#include <fmt/format.h>

namespace marblehub::quic {
namespace {

std::uint8_t byte(char c) { return static_cast<std::uint8_t>(c); }

std::optional<std::string_view> take(std::string_view& bytes, std::uint64_t size) {
  if (bytes.size() < size) return std::nullopt;
  std::string_view part = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return part;
}

std::optional<std::string_view> take_id(std::string_view& bytes) {
  auto length = take(bytes, 1);
  if (!length) return std::nullopt;
  return take(bytes, byte((*length)[0]));
}

}  // namespace

std::optional<std::uint64_t> consume_varint(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  std::size_t size = std::size_t{1} << (byte(bytes[0]) >> 6);
  auto part = take(bytes, size);
  if (!part) return std::nullopt;
  std::uint64_t value = byte((*part)[0]) & 0x3f;
  for (std::size_t i = 1; i < size; ++i) value = value << 8 | byte((*part)[i]);
  return value;
}

void put_varint(std::string& out, std::uint64_t value) {
  int size_bits = value < 0x40 ? 0 : value < 0x4000 ? 1 : value < 0x40000000 ? 2 : 3;
  std::size_t at = out.size();
  for (int shift = 8 * ((1 << size_bits) - 1); shift >= 0; shift -= 8)
    out += static_cast<char>(value >> shift);
  out[at] = static_cast<char>(byte(out[at]) | size_bits << 6);
}

namespace {

// RFC 9000, 17.2, table 5, and RFC 9369, 3.2: version 2 rotates the values of the four types by one.
constexpr PacketType kLongHeaderTypes[] = {PacketType::initial, PacketType::zero_rtt, PacketType::handshake,
                                           PacketType::retry};

unsigned type_bits_of(PacketType type, std::uint32_t version) {
  auto type_bits = static_cast<unsigned>(type);  // initial, 0-RTT, handshake, retry: 0 to 3
  return version == kVersion2 ? (type_bits + 1) & 3 : type_bits;
}

}  // namespace

void put_u32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift);
}

char long_header_first_byte(PacketType type, std::uint32_t version, unsigned low) {
  return static_cast<char>(0xc0 | type_bits_of(type, version) << 4 | (low & 0x0f));
}

std::optional<LongHeaderIds> long_header_ids(std::string_view packet) {
  constexpr std::size_t ids_offset = 5;  // behind the first byte and the version
  if (packet.size() < ids_offset || !(packet[0] & 0x80)) return std::nullopt;
  packet.remove_prefix(ids_offset);
  auto consume_id = [&packet]() -> std::optional<std::string_view> {
    if (packet.empty() || packet.size() <= byte(packet[0])) return std::nullopt;
    std::string_view id = packet.substr(1, byte(packet[0]));
    packet.remove_prefix(1 + id.size());
    return id;
  };
  auto destination = consume_id();
  auto source = destination ? consume_id() : std::nullopt;
  if (!source) return std::nullopt;
  return LongHeaderIds{*destination, *source};
}

std::optional<Header> parse(std::string_view datagram) {
  if (datagram.empty()) return std::nullopt;
  std::uint8_t first = byte(datagram[0]);
  Header header;
  header.packet = datagram;
  header.fixed_bit = (first & 0x40) != 0;
  std::string_view rest = datagram.substr(1);
  if (!(first & 0x80)) {
    if (rest.empty()) return std::nullopt;
    header.destination = rest;
    return header;
  }
  auto version = take(rest, 4);
  if (!version) return std::nullopt;
  for (char c : *version) header.version = header.version << 8 | byte(c);
  auto destination = take_id(rest);
  auto source = destination ? take_id(rest) : std::nullopt;
  if (!source) return std::nullopt;
  header.destination = *destination;
  header.source = *source;
  if (header.version == 0) {
    header.type = PacketType::version_negotiation;
    return header;
  }
  if (header.version != kVersion1 && header.version != kVersion2) {
    header.type = PacketType::unsupported_version;
    return header;
  }
  if (destination->size() > kMaxConnectionIdLength || source->size() > kMaxConnectionIdLength)
    return std::nullopt;
  unsigned type_bits = first >> 4 & 3;
  header.type = kLongHeaderTypes[header.version == kVersion2 ? (type_bits + 3) & 3 : type_bits];
  if (header.type == PacketType::retry) return header;
  if (header.type == PacketType::initial) {
    auto size = consume_varint(rest);
    auto token = size ? take(rest, *size) : std::nullopt;
    if (!token) return std::nullopt;
    header.token = *token;
  }
  // The length covers the packet number and the payload; header protection samples 16 bytes behind the first
  // 4, so that 20 bytes are the minimum (RFC 9001, 5.4.2).
  auto length = consume_varint(rest);
  if (!length || *length < 20 || *length > rest.size()) return std::nullopt;
  header.packet = datagram.substr(0, datagram.size() - rest.size() + static_cast<std::size_t>(*length));
  return header;
}

std::size_t same_connection_length(std::string_view datagram, const Header& first) {
  if (first.type == PacketType::short_header || first.type == PacketType::retry) return datagram.size();
  std::size_t prefix_length = first.packet.size();
  while (prefix_length < datagram.size()) {
    std::string_view rest = datagram.substr(prefix_length);
    auto next = parse(rest);
    if (!next || (next->type == PacketType::short_header && !next->fixed_bit))
      return datagram.size();  // padding outside of packets, which receivers ignore
    if (next->type == PacketType::short_header)
      return next->destination.starts_with(first.destination) ? datagram.size() : prefix_length;
    if (next->version != first.version || next->destination != first.destination) return prefix_length;
    prefix_length += next->packet.size();
  }
  return prefix_length;
}

std::string version_negotiation(const Header& header, const std::vector<std::uint32_t>& versions) {
  std::string out(1, static_cast<char>(0xc0));
  put_u32(out, 0);
  out += static_cast<char>(header.source.size());
  out += header.source;
  out += static_cast<char>(header.destination.size());
  out += header.destination;
  for (std::uint32_t version : versions) put_u32(out, version);
  // The reserved version varies with the client's connection id.
  std::uint32_t salt = header.destination.empty() ? 0 : byte(header.destination.back());
  std::uint32_t reserved = 0x0a0a0a0au | (salt & 0xf0u) << 24 | (salt & 0x0fu) << 20;
  if (reserved == header.version) reserved ^= 0xf000u;
  put_u32(out, reserved);
  return out;
}

std::string hex(std::string_view bytes) {
  std::string out;
  for (char c : bytes) out += fmt::format("{:02x}", byte(c));
  return out;
}

std::optional<std::string> unhex(std::string_view text) {
  auto digit = [](char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
  };
  if (text.size() % 2 != 0) return std::nullopt;
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    int high = digit(text[i]), low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    out += static_cast<char>(high << 4 | low);
  }
  return out;
}

}  // namespace marblehub::quic
