// Stateless resets (RFC 9000, 10.3) that the router sends in place of a worker that is gone. Workers derive
// their tokens in the same way from the same key (10.3.2): the first 16 octets of HMAC-SHA256(key, id).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quic/limits.h"

namespace marblehub::quic {

std::string stateless_reset_token(std::string_view key, std::string_view connection_id);

class StatelessReset {
 public:
  // An empty key: none is ever sent. `per_second` bounds them over all clients.
  StatelessReset(std::string key, double per_second) : key_(std::move(key)), bucket_(per_second) {}
  bool enabled() const { return !key_.empty(); }
  // The answer to a packet of `received` octets for this id: shorter than it, so that two ends that reset
  // each other fall silent, and none where it could not be (10.3.3) or the rate is spent.
  std::optional<std::string> answer(std::string_view connection_id, std::size_t received, std::int64_t now);

 private:
  std::string key_;
  TokenBucket bucket_;
};

}  // namespace marblehub::quic
