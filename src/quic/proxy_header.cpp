#include "quic/proxy_header.h"

#include <cstring>

namespace marblehub::quic {
namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr unsigned char kVersion2Local = 0x20, kVersion2Proxy = 0x21, kDatagramIpv4 = 0x12,
                        kDatagramIpv6 = 0x22;

std::uint16_t read_u16(std::string_view bytes) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                    static_cast<unsigned char>(bytes[1]));
}

}  // namespace

std::size_t write_proxy_header(std::array<char, kMaxProxyHeaderSize>& out, const ProxyHeader& header) {
  char* cursor = out.data();
  auto put = [&cursor](std::string_view bytes) {
    std::memcpy(cursor, bytes.data(), bytes.size());
    cursor += bytes.size();
  };
  auto put_u16 = [&cursor](std::size_t value) {
    *cursor++ = static_cast<char>(value >> 8);
    *cursor++ = static_cast<char>(value);
  };
  auto tlv = [&](unsigned char type, std::string_view value) {
    if (value.empty()) return;
    *cursor++ = static_cast<char>(type);
    put_u16(value.size());
    put(value);
  };
  put(kSignature);
  *cursor++ = static_cast<char>(header.local ? kVersion2Local : kVersion2Proxy);
  *cursor++ = static_cast<char>(header.local                         ? 0
                                : header.source.family() == AF_INET6 ? kDatagramIpv6
                                                                     : kDatagramIpv4);
  char* length_field = cursor;
  cursor += 2;
  if (!header.local) {
    put(header.source.address());
    put(header.destination.address());
    put_u16(header.source.port());
    put_u16(header.destination.port());
  }
  tlv(kTlvOriginalId, header.original_id);
  tlv(kTlvRetryId, header.retry_id);
  std::size_t length = static_cast<std::size_t>(cursor - length_field) - 2;
  length_field[0] = static_cast<char>(length >> 8);
  length_field[1] = static_cast<char>(length);
  return static_cast<std::size_t>(cursor - out.data());
}

std::optional<ProxyHeader> consume_proxy_header(std::string_view& datagram) {
  if (datagram.size() < 16 || !datagram.starts_with(kSignature)) return std::nullopt;
  auto command = static_cast<unsigned char>(datagram[12]), family = static_cast<unsigned char>(datagram[13]);
  std::size_t length = read_u16(datagram.substr(14));
  if (datagram.size() < 16 + length) return std::nullopt;
  std::string_view body = datagram.substr(16, length);
  ProxyHeader header;
  if (command == kVersion2Local) {
    header.local = true;  // its addresses and TLVs are ignored (section 2.2)
    datagram.remove_prefix(16 + length);
    return header;
  }
  std::size_t address_size = family == kDatagramIpv4 ? 4 : family == kDatagramIpv6 ? 16 : 0;
  if (command != kVersion2Proxy || address_size == 0 || body.size() < 2 * address_size + 4)
    return std::nullopt;
  header.source = *Endpoint::from(body.substr(0, address_size), read_u16(body.substr(2 * address_size)));
  header.destination =
      *Endpoint::from(body.substr(address_size, address_size), read_u16(body.substr(2 * address_size + 2)));
  body.remove_prefix(2 * address_size + 4);
  while (body.size() >= 3) {
    std::size_t size = read_u16(body.substr(1));
    if (body.size() < 3 + size) return std::nullopt;
    std::string_view value = body.substr(3, size);
    if (static_cast<unsigned char>(body[0]) == kTlvOriginalId) header.original_id = value;
    if (static_cast<unsigned char>(body[0]) == kTlvRetryId) header.retry_id = value;
    body.remove_prefix(3 + size);
  }
  if (!body.empty() || header.original_id.size() > 20 || header.retry_id.size() > 20) return std::nullopt;
  datagram.remove_prefix(16 + length);
  return header;
}

}  // namespace marblehub::quic
