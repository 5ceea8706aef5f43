#include "quic/stateless_reset.h"

#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kTokenSize = 16, kMinPacketSize = 21;  // RFC 9000, 10.3: 5 bytes and the token
constexpr std::size_t kUsualPacketSize = 43;  // looks like a short-header packet with a small payload

}  // namespace

std::string stateless_reset_token(std::string_view key, std::string_view connection_id) {
  return hmac_sha256(key, connection_id).substr(0, kTokenSize);
}

std::optional<std::string> StatelessReset::answer(std::string_view connection_id, std::size_t received,
                                                  std::int64_t now) {
  if (!enabled() || received <= kMinPacketSize || !bucket_.take(now)) return std::nullopt;
  std::string packet = random_bytes(std::min(received - 1, kUsualPacketSize) - kTokenSize);
  packet[0] = static_cast<char>((packet[0] & 0x3f) | 0x40);
  return packet + stateless_reset_token(key_, connection_id);
}

}  // namespace marblehub::quic
