// Whether a client's address must be validated before its Initial becomes a call, and the Retry packets and
// tokens that do it (RFC 9000, 8.1.2 to 8.1.4 and 17.2.5; RFC 9001, 5.8; RFC 9369, 3.3.3). No I/O and no
// clock: times are handed in, in microseconds of Unix time, as tokens must mean the same at every router.
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

enum class RetryMode { never, always, from_rate };

struct ValidationSettings {
  RetryMode mode = RetryMode::never;
  double from_rate = 200;  // unvalidated Initials a second above which Retry is asked for
  std::int64_t token_lifetime =
      10'000'000;  // microseconds from the Retry to the Initial that carries its token
  std::int64_t key_lifetime =
      3'600'000'000;        // microseconds; keys are derived anew from the secret that often
  std::string secret = {};  // 16 octets or more, the same at every router; drawn if empty
  std::size_t max_remembered_tokens = 65536;  // used ones, so that none counts twice
};

// What a token of ours says of the client that shows it.
struct RetryToken {
  ConnectionId original_id, retry_id;  // the ids that its first Initial and its Retry carried
  std::int64_t issued_at = 0;
};

// Seals and opens tokens. The layout: "mhr1", the low octet of the key's epoch, a nonce of 12 octets, then
// under AES-128-GCM, with the client's address as associated data: time, original id, retry id.
class TokenSealer {
 public:
  TokenSealer(std::string secret, std::int64_t key_lifetime);
  std::string seal(const RetryToken& token, const Endpoint& client, std::int64_t now);
  static bool has_token_format(std::string_view token);  // by its shape only
  std::optional<RetryToken> open(std::string_view token, const Endpoint& client, std::int64_t now);

 private:
  const std::string& key(std::int64_t epoch);
  std::string secret_;
  std::int64_t key_lifetime_;
  std::int64_t epochs_[2] = {-1, -1};
  std::string keys_[2];
};

// A Retry packet of version 1 or 2 with its integrity tag; `original` is the id of the Initial it answers.
std::string retry_packet(std::uint32_t version, std::string_view destination, std::string_view source,
                         std::string_view token, std::string_view original);
bool retry_is_authentic(std::string_view packet, std::string_view original);

class AddressValidation {
 public:
  explicit AddressValidation(ValidationSettings settings);

  enum class Verdict {
    accept,      // becomes a call; `token` says whether its address is validated
    send_retry,  // answer with a Retry
    reject,      // a token of ours that is late, used or another client's: close with INVALID_TOKEN
  };
  struct Decision {
    Verdict verdict;
    std::optional<RetryToken> token;
  };
  Decision validate(const Header& initial, const Endpoint& from, std::int64_t now);
  // The Retry for this Initial; its source id is drawn, and names no worker.
  std::string make_retry(const Header& initial, const Endpoint& from, std::int64_t now);
  bool requires_retry() const {
    return requires_retry_;
  }  // for metrics: whether Retry is asked for at the moment

 private:
  bool first_use(std::string_view token, std::int64_t now);

  ValidationSettings settings_;
  TokenSealer sealer_;
  RateMeter unvalidated_;
  bool requires_retry_ = false;
  // Used tokens of this and the last span of a token's life; a token older than both is late anyway.
  std::unordered_set<std::string> used_, used_before_;
  std::int64_t used_since_ = 0;
};

}  // namespace marblehub::quic
