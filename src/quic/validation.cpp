#include "quic/validation.h"

#include <utility>

#include "quic/connection_id.h"
#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::string_view kMagic = "mhr1";
constexpr std::size_t kNonce = 12, kTag = 16, kRetryId = 12;

void put_time(std::string& out, std::int64_t time) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(time >> shift);
}

void put_id(std::string& out, std::string_view id) {
  out += static_cast<char>(id.size());
  out += id;
}

std::optional<ConnectionId> take_id(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  auto size = static_cast<unsigned char>(bytes[0]);
  if (size > kMaxConnectionIdLength || bytes.size() < 1u + size) return std::nullopt;
  ConnectionId id(bytes.substr(1, size));
  bytes.remove_prefix(1 + size);
  return id;
}

// RFC 9001, 5.8 and RFC 9369, 3.3.3: the key and nonce are public; the tag shows only that whoever made the
// Retry has seen the Initial.
std::string retry_tag(std::uint32_t version, std::string_view packet, std::string_view original) {
  static const std::string key1 = *unhex("be0c690b9f66575a1d766b54e368c84e"),
                           nonce1 = *unhex("461599d35d632bf2239825bb"),
                           key2 = *unhex("8fb4b01b56ac48e260fbcbcead7ccc92"),
                           nonce2 = *unhex("d86969bc2d7c6d9990efb04a");
  std::string pseudo;
  put_id(pseudo, original);
  pseudo += packet;
  bool second = version == kVersion2;
  return gcm_seal(second ? key2 : key1, second ? nonce2 : nonce1, "", pseudo);
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
  std::string plain;
  put_time(plain, token.issued_at);
  put_id(plain, token.original_id);
  put_id(plain, token.retry_id);
  std::string nonce = random_bytes(kNonce);
  return std::string(kMagic) + static_cast<char>(epoch) + nonce +
         gcm_seal(key(epoch), nonce, plain, client.bytes());
}

bool TokenSealer::has_token_format(std::string_view token) {
  return token.starts_with(kMagic) && token.size() >= kMagic.size() + 1 + kNonce + kTag;
}

std::optional<RetryToken> TokenSealer::open(std::string_view token, const Endpoint& client,
                                            std::int64_t now) {
  if (!has_token_format(token)) return std::nullopt;
  // The key is this epoch's or the last one's; an octet tells which.
  std::int64_t epoch = now / key_lifetime_;
  if (static_cast<char>(epoch) != token[kMagic.size()]) epoch -= 1;
  if (epoch < 0 || static_cast<char>(epoch) != token[kMagic.size()]) return std::nullopt;
  std::string_view rest = token.substr(kMagic.size() + 1);
  auto plain = gcm_open(key(epoch), rest.substr(0, kNonce), rest.substr(kNonce), client.bytes());
  if (!plain || plain->size() < 8) return std::nullopt;
  RetryToken opened;
  std::string_view left = *plain;
  for (int i = 0; i < 8; ++i) opened.issued_at = opened.issued_at << 8 | static_cast<unsigned char>(left[i]);
  left.remove_prefix(8);
  auto original = take_id(left), retry = original ? take_id(left) : std::nullopt;
  if (!retry || !left.empty()) return std::nullopt;
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
  return packet + retry_tag(version, packet, original);
}

bool retry_is_authentic(std::string_view packet, std::string_view original) {
  auto header = parse(packet);
  if (!header || header->type != PacketType::retry || packet.size() < kTag) return false;
  std::string_view body = packet.substr(0, packet.size() - kTag);
  return constant_time_equal(retry_tag(header->version, body, original), packet.substr(body.size()));
}

AddressValidation::AddressValidation(ValidationSettings settings)
    : settings_(std::move(settings)),
      sealer_(settings_.secret, settings_.key_lifetime),
      requires_retry_(settings_.mode == RetryMode::always) {}

AddressValidation::Decision AddressValidation::validate(const Header& initial, const Endpoint& from,
                                                        std::int64_t now) {
  if (TokenSealer::has_token_format(initial.token)) {
    // The client will take no second Retry (RFC 9000, 17.2.5.2): what is wrong with a token is final.
    auto token = sealer_.open(initial.token, from, now);
    bool good = token && token->retry_id == initial.destination && token->issued_at <= now &&
                now - token->issued_at <= settings_.token_lifetime && first_use(initial.token, now);
    if (!good) return {Verdict::reject, std::nullopt};
    return {Verdict::accept, token};
  }
  // Any other token, say a worker's NEW_TOKEN, proves nothing here and counts as none (RFC 9000, 8.1.3).
  unvalidated_.add(now);
  if (settings_.mode == RetryMode::from_rate) {
    double rate = unvalidated_.rate(now);
    // Half the rate ends it: at the very rate it would switch with every Initial.
    requires_retry_ = requires_retry_ ? rate > settings_.from_rate / 2 : rate > settings_.from_rate;
  }
  return {requires_retry_ ? Verdict::send_retry : Verdict::accept, std::nullopt};
}

bool AddressValidation::first_use(std::string_view token, std::int64_t now) {
  if (now - used_since_ > settings_.token_lifetime || used_.size() >= settings_.max_remembered_tokens) {
    // A set that is full before its time forgets the older half early; until then no token counts twice.
    used_before_ = std::exchange(used_, {});
    used_since_ = now;
  }
  std::string nonce(token.substr(kMagic.size() + 1, kNonce));
  return !used_before_.contains(nonce) && used_.insert(std::move(nonce)).second;
}

std::string AddressValidation::make_retry(const Header& initial, const Endpoint& from, std::int64_t now) {
  std::string source = random_bytes(kRetryId);
  source[0] = static_cast<char>(source[0] | kUnroutableRotation << 5);
  std::string token = sealer_.seal({initial.destination, source, now}, from, now);
  return retry_packet(initial.version, initial.source, source, token, initial.destination);
}

}  // namespace marblehub::quic
