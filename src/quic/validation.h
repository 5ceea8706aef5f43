// Address validation with Retry packets and tokens (RFC 9000, 8.1.2 to 8.1.4 and 17.2.5; RFC 9001, 5.8; RFC
// 9369, 3.3.3). No I/O and no clock: the caller passes times in microseconds of Unix time, since tokens are
// valid at every balancer with the same secret.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "quic/endpoint.h"
#include "quic/inline_bytes.h"
#include "quic/limits.h"
#include "quic/packet.h"

namespace marblehub::quic {

/// When a client without a valid token has to complete a Retry: never, always, or above a rate of Initials.
enum class RetryMode { never, always, from_rate };

/// The settings of address validation, the section `retry` of quic.json. Times are in microseconds.
struct ValidationSettings {
  RetryMode mode = RetryMode::never;
  double from_rate = 200;                     ///< unvalidated Initials a second above which Retry is required
  std::int64_t token_lifetime = 10'000'000;   ///< from the Retry to the Initial that carries its token
  std::int64_t key_lifetime = 3'600'000'000;  ///< a new key is derived from the secret for each such period
  std::string secret = {};                    ///< 16 bytes or more, shared by all balancers; random if empty
  std::size_t max_remembered_tokens = 65536;  ///< used tokens, in each of the two sets against replay
};

/// The content of a Retry token.
struct RetryToken {
  // The destination id of the client's first Initial, and the source id of the Retry packet.
  ConnectionId original_id, retry_id;
  std::int64_t issued_at = 0;
};

/// Encrypts and decrypts Retry tokens. Layout: "mhr1", the low byte of the key's epoch, a nonce of 12 bytes,
/// then encrypted with AES-128-GCM: time, original id, retry id. The client's address is the associated data.
class TokenSealer {
 public:
  /// Keys are derived from `secret`, one for each epoch of `key_lifetime` microseconds.
  TokenSealer(std::string secret, std::int64_t key_lifetime);
  /// A token for the client at this address, encrypted with the key of the current epoch.
  std::string seal(const RetryToken& token, const Endpoint& client, std::int64_t now);
  /// Whether a token has the prefix and the minimum length of tokens of this class; it may be forged.
  static bool has_token_format(std::string_view token);
  /// The content of a token; none where it is not authentic, was issued to another address, or comes
  /// from an epoch before the previous one. The caller checks its age.
  std::optional<RetryToken> open(std::string_view token, const Endpoint& client, std::int64_t now);

 private:
  const std::string& key(std::int64_t epoch);
  std::string secret_;
  std::int64_t key_lifetime_;
  std::int64_t epochs_[2] = {-1, -1};
  std::string keys_[2];
};

/// A Retry packet of version 1 or 2 with its integrity tag; `original` is the destination id of the Initial
/// that it answers.
std::string retry_packet(std::uint32_t version, std::string_view destination, std::string_view source,
                         std::string_view token, std::string_view original);
/// Whether a packet is a Retry whose integrity tag matches this original destination id.
bool retry_is_authentic(std::string_view packet, std::string_view original);

/// Decides for each Initial whether its client's address has to be validated; issues and checks Retry tokens.
class AddressValidation {
 public:
  explicit AddressValidation(ValidationSettings settings);

  /// What happens to an Initial.
  enum class Verdict {
    accept,      ///< it becomes a call; the address is validated if `token` is set
    send_retry,  ///< the client gets a Retry
    reject,      ///< its Retry token is expired, used or another client's: close with INVALID_TOKEN
  };
  /// The verdict and, for an accepted Initial with a Retry token, the token's content.
  struct Decision {
    Verdict verdict;
    std::optional<RetryToken> token;
  };
  /// Checks an Initial from this address and marks its token as used.
  Decision validate(const Header& initial, const Endpoint& from, std::int64_t now);
  /// The Retry packet for this Initial; its source id is random and unroutable.
  std::string make_retry(const Header& initial, const Endpoint& from, std::int64_t now);
  /// Whether clients without a token currently have to complete a Retry.
  bool requires_retry() const { return requires_retry_; }

 private:
  // Remembers a token's nonce as used; returns false where it was already.
  bool mark_used(std::string_view token, std::int64_t now);

  ValidationSettings settings_;
  TokenSealer sealer_;
  RateMeter unvalidated_rate_;
  bool requires_retry_ = false;
  // The nonces of tokens used in the current and the previous period of token_lifetime; older tokens have
  // expired.
  std::unordered_set<std::string> used_, previous_used_;
  std::int64_t used_start_ = 0;  // when the current period began
};

}  // namespace marblehub::quic
