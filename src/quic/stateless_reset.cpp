#include "quic/stateless_reset.h"

#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kToken = 16, kShortest = 21;  // RFC 9000, 10.3: 5 octets and the token
constexpr std::size_t kUsual = 43;                  // as long as a short packet that carries little

}  // namespace

std::string stateless_reset_token(std::string_view key, std::string_view connection_id) {
  return hmac_sha256(key, connection_id).substr(0, kToken);
}

std::optional<std::string> StatelessReset::answer(std::string_view connection_id, std::size_t received,
                                                  std::int64_t now) {
  if (!enabled() || received <= kShortest || !bucket_.take(now)) return std::nullopt;
  std::string packet = random_bytes(std::min(received - 1, kUsual) - kToken);
  packet[0] = static_cast<char>((packet[0] & 0x3f) | 0x40);
  return packet + stateless_reset_token(key_, connection_id);
}

}  // namespace marblehub::quic
