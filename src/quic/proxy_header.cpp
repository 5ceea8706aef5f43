#include "quic/proxy_header.h"

#include <cstring>

namespace marblehub::quic {
namespace {

constexpr std::string_view kSignature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr unsigned char kVersionLocal = 0x20, kVersionProxy = 0x21, kDgram4 = 0x12, kDgram6 = 0x22;

std::uint16_t u16(std::string_view bytes) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                    static_cast<unsigned char>(bytes[1]));
}

}  // namespace

std::size_t write_proxy_header(std::array<char, kMaxProxyHeaderSize>& out, const ProxyHeader& header) {
  char* at = out.data();
  auto put = [&at](std::string_view bytes) {
    std::memcpy(at, bytes.data(), bytes.size());
    at += bytes.size();
  };
  auto put16 = [&at](std::size_t value) {
    *at++ = static_cast<char>(value >> 8);
    *at++ = static_cast<char>(value);
  };
  auto tlv = [&](unsigned char type, std::string_view value) {
    if (value.empty()) return;
    *at++ = static_cast<char>(type);
    put16(value.size());
    put(value);
  };
  put(kSignature);
  *at++ = static_cast<char>(header.local ? kVersionLocal : kVersionProxy);
  *at++ = static_cast<char>(header.local ? 0 : header.source.family() == AF_INET6 ? kDgram6 : kDgram4);
  char* length_at = at;
  at += 2;
  if (!header.local) {
    put(header.source.address());
    put(header.destination.address());
    put16(header.source.port());
    put16(header.destination.port());
  }
  tlv(kTlvOriginalId, header.original_id);
  tlv(kTlvRetryId, header.retry_id);
  std::size_t length = static_cast<std::size_t>(at - length_at) - 2;
  length_at[0] = static_cast<char>(length >> 8);
  length_at[1] = static_cast<char>(length);
  return static_cast<std::size_t>(at - out.data());
}

std::optional<ProxyHeader> consume_proxy_header(std::string_view& datagram) {
  if (datagram.size() < 16 || !datagram.starts_with(kSignature)) return std::nullopt;
  auto command = static_cast<unsigned char>(datagram[12]), family = static_cast<unsigned char>(datagram[13]);
  std::size_t length = u16(datagram.substr(14));
  if (datagram.size() < 16 + length) return std::nullopt;
  std::string_view body = datagram.substr(16, length);
  ProxyHeader header;
  if (command == kVersionLocal) {
    header.local = true;  // the rest is to be passed over, whatever it is (section 2.2)
    datagram.remove_prefix(16 + length);
    return header;
  }
  std::size_t address = family == kDgram4 ? 4 : family == kDgram6 ? 16 : 0;
  if (command != kVersionProxy || address == 0 || body.size() < 2 * address + 4) return std::nullopt;
  header.source = *Endpoint::from(body.substr(0, address), u16(body.substr(2 * address)));
  header.destination = *Endpoint::from(body.substr(address, address), u16(body.substr(2 * address + 2)));
  body.remove_prefix(2 * address + 4);
  while (body.size() >= 3) {
    std::size_t size = u16(body.substr(1));
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
