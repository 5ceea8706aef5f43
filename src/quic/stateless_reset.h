// Stateless resets (RFC 9000, 10.3) that the QUIC front sends on behalf of a worker that no longer runs.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quic/limits.h"

namespace marblehub::quic {

/// The stateless reset token of a connection id: the first 16 bytes of HMAC-SHA256(key, connection id).
/// Workers derive it in the same way from the same key (10.3.2).
std::string stateless_reset_token(std::string_view key, std::string_view connection_id);

/// Makes stateless reset packets, at a limited rate.
class StatelessReset {
 public:
  /// An empty key disables stateless resets. `per_second` is the limit for all clients together.
  StatelessReset(std::string key, double per_second) : key_(std::move(key)), bucket_(per_second) {}
  bool enabled() const { return !key_.empty(); }
  /// The reset in reply to a packet of `received` bytes for this id. It is shorter than that packet, so that
  /// two endpoints cannot reset each other in a loop (10.3.3); none where the packet is too short for this,
  /// where resets are disabled, or above the rate limit.
  std::optional<std::string> answer(std::string_view connection_id, std::size_t received, std::int64_t now);

 private:
  std::string key_;
  TokenBucket bucket_;
};

}  // namespace marblehub::quic
