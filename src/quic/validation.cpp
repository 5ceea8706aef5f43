#include "quic/validation.h"

#include <utility>

#include "quic/connection_id.h"
#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::string_view kTokenMagic = "mhr1";
constexpr std::size_t kNonceSize = 12, kTagSize = 16, kRetryIdLength = 12;

void put_time(std::string& out, std::int64_t time) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(time >> shift);
}

void put_id(std::string& out, std::string_view id) {
  out += static_cast<char>(id.size());
  out += id;
}

std::optional<ConnectionId> consume_id(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  auto size = static_cast<unsigned char>(bytes[0]);
  if (size > kMaxConnectionIdLength || bytes.size() < 1u + size) return std::nullopt;
  ConnectionId id(bytes.substr(1, size));
  bytes.remove_prefix(1 + size);
  return id;
}

// The Retry integrity tag of RFC 9001, 5.8 and RFC 9369, 3.3.3. Its key and nonce are public: the tag proves
// only that the sender of the Retry has seen the Initial.
std::string retry_integrity_tag(std::uint32_t version, std::string_view packet, std::string_view original) {
  static const std::string key1 = *unhex("be0c690b9f66575a1d766b54e368c84e"),
                           nonce1 = *unhex("461599d35d632bf2239825bb"),
                           key2 = *unhex("8fb4b01b56ac48e260fbcbcead7ccc92"),
                           nonce2 = *unhex("d86969bc2d7c6d9990efb04a");
  std::string pseudo;
  put_id(pseudo, original);
  pseudo += packet;
  bool is_version2 = version == kVersion2;
  return gcm_seal(is_version2 ? key2 : key1, is_version2 ? nonce2 : nonce1, "", pseudo);
}

}  // namespace

TokenSealer::TokenSealer(std::string secret, std::int64_t key_lifetime)
    : secret_(secret.empty() ? random_bytes(32) : std::move(secret)), key_lifetime_(key_lifetime) {}

const std::string& TokenSealer::key(std::int64_t epoch) {
  auto slot = static_cast<std::size_t>(epoch & 1);
  if (epochs_[slot] != epoch) {
    keys_[slot] = hkdf_expand_label(hkdf_extract("marblehub retry token", secret_),
                                    "epoch " + std::to_string(epoch), 16);
    epochs_[slot] = epoch;
  }
  return keys_[slot];
}

std::string TokenSealer::seal(const RetryToken& token, const Endpoint& client, std::int64_t now) {
  std::int64_t epoch = now / key_lifetime_;
  std::string plaintext;
  put_time(plaintext, token.issued_at);
  put_id(plaintext, token.original_id);
  put_id(plaintext, token.retry_id);
  std::string nonce = random_bytes(kNonceSize);
  return std::string(kTokenMagic) + static_cast<char>(epoch) + nonce +
         gcm_seal(key(epoch), nonce, plaintext, client.bytes());
}

bool TokenSealer::has_token_format(std::string_view token) {
  return token.starts_with(kTokenMagic) && token.size() >= kTokenMagic.size() + 1 + kNonceSize + kTagSize;
}

std::optional<RetryToken> TokenSealer::open(std::string_view token, const Endpoint& client,
                                            std::int64_t now) {
  if (!has_token_format(token)) return std::nullopt;
  // The token was sealed in the current epoch or the previous one, as its epoch byte shows.
  std::int64_t epoch = now / key_lifetime_;
  if (static_cast<char>(epoch) != token[kTokenMagic.size()]) epoch -= 1;
  if (epoch < 0 || static_cast<char>(epoch) != token[kTokenMagic.size()]) return std::nullopt;
  std::string_view rest = token.substr(kTokenMagic.size() + 1);
  auto plaintext = gcm_open(key(epoch), rest.substr(0, kNonceSize), rest.substr(kNonceSize), client.bytes());
  if (!plaintext || plaintext->size() < 8) return std::nullopt;
  RetryToken opened;
  std::string_view remaining = *plaintext;
  for (int i = 0; i < 8; ++i)
    opened.issued_at = opened.issued_at << 8 | static_cast<unsigned char>(remaining[i]);
  remaining.remove_prefix(8);
  auto original = consume_id(remaining), retry = original ? consume_id(remaining) : std::nullopt;
  if (!retry || !remaining.empty()) return std::nullopt;
  opened.original_id = *original;
  opened.retry_id = *retry;
  return opened;
}

std::string retry_packet(std::uint32_t version, std::string_view destination, std::string_view source,
                         std::string_view token, std::string_view original) {
  std::string packet(1, long_header_first_byte(PacketType::retry, version, 0));
  put_u32(packet, version);
  put_id(packet, destination);
  put_id(packet, source);
  packet += token;
  return packet + retry_integrity_tag(version, packet, original);
}

bool retry_is_authentic(std::string_view packet, std::string_view original) {
  auto header = parse(packet);
  if (!header || header->type != PacketType::retry || packet.size() < kTagSize) return false;
  std::string_view body = packet.substr(0, packet.size() - kTagSize);
  return constant_time_equal(retry_integrity_tag(header->version, body, original),
                             packet.substr(body.size()));
}

AddressValidation::AddressValidation(ValidationSettings settings)
    : settings_(std::move(settings)),
      sealer_(settings_.secret, settings_.key_lifetime),
      requires_retry_(settings_.mode == RetryMode::always) {}

AddressValidation::Decision AddressValidation::validate(const Header& initial, const Endpoint& from,
                                                        std::int64_t now) {
  if (TokenSealer::has_token_format(initial.token)) {
    // A client ignores a second Retry (RFC 9000, 17.2.5.2), so an invalid Retry token ends the connection
    // attempt.
    auto token = sealer_.open(initial.token, from, now);
    bool valid = token && token->retry_id == initial.destination && token->issued_at <= now &&
                 now - token->issued_at <= settings_.token_lifetime && mark_used(initial.token, now);
    if (!valid) return {Verdict::reject, std::nullopt};
    return {Verdict::accept, token};
  }
  // Any other token, such as one of a worker's NEW_TOKEN frame, is treated as absent (RFC 9000, 8.1.3).
  unvalidated_rate_.add(now);
  if (settings_.mode == RetryMode::from_rate) {
    double rate = unvalidated_rate_.rate(now);
    // Hysteresis: Retry stays required until the rate falls to half of the threshold.
    requires_retry_ = requires_retry_ ? rate > settings_.from_rate / 2 : rate > settings_.from_rate;
  }
  return {requires_retry_ ? Verdict::send_retry : Verdict::accept, std::nullopt};
}

bool AddressValidation::mark_used(std::string_view token, std::int64_t now) {
  if (now - used_start_ > settings_.token_lifetime || used_.size() >= settings_.max_remembered_tokens) {
    // A full set is rotated before its period ends, which forgets the older nonces early.
    previous_used_ = std::exchange(used_, {});
    used_start_ = now;
  }
  std::string nonce(token.substr(kTokenMagic.size() + 1, kNonceSize));
  return !previous_used_.contains(nonce) && used_.insert(std::move(nonce)).second;
}

std::string AddressValidation::make_retry(const Header& initial, const Endpoint& from, std::int64_t now) {
  std::string source = random_bytes(kRetryIdLength);
  source[0] = static_cast<char>(source[0] | kUnroutableRotation << 5);
  std::string token = sealer_.seal({initial.destination, source, now}, from, now);
  return retry_packet(initial.version, initial.source, source, token, initial.destination);
}

}  // namespace marblehub::quic
