#include "fleet/wire/envelope.h"

#include <flatbuffers/flatbuffers.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <stdexcept>

#include "envelope_generated.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMacBytes = 32;
using Mac = std::array<unsigned char, kMacBytes>;

/// HMAC-SHA-256 of `bytes`.
Mac mac_of(const std::string& key, std::string_view bytes) {
  Mac mac{};
  unsigned length = 0;
  if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &length) ||
      length != kMacBytes)
    throw std::runtime_error("HMAC-SHA-256 is not available from OpenSSL");
  return mac;
}

bool component_known(std::uint8_t component) {
  return component >= static_cast<std::uint8_t>(Component::view) &&
         component <= static_cast<std::uint8_t>(Component::wallet);
}

}  // namespace

EnvelopeSealer::EnvelopeSealer(std::string fleet, std::vector<std::string> keys)
    : fleet_(std::move(fleet)), keys_(std::move(keys)) {
  if (keys_.empty()) throw std::invalid_argument("EnvelopeSealer: expected at least one key");
}

std::string EnvelopeSealer::seal(const Envelope& envelope) const {
  flatbuffers::FlatBufferBuilder builder(envelope.body.size() + 256);
  auto fleet = builder.CreateString(fleet_);
  auto sender = builder.CreateString(envelope.sender);
  auto body =
      builder.CreateVector(reinterpret_cast<const std::uint8_t*>(envelope.body.data()), envelope.body.size());
  builder.FinishSizePrefixed(wire::CreateSealed(builder, envelope.schema, fleet, sender, envelope.incarnation,
                                                envelope.sent_at,
                                                static_cast<std::uint8_t>(envelope.component), body));
  std::string_view bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  Mac mac = mac_of(keys_.front(), bytes);
  std::string sealed(mac.begin(), mac.end());
  return sealed.append(bytes);
}

std::optional<Envelope> EnvelopeSealer::open(std::string_view bytes, DropReason& why,
                                             Transport transport) const {
  auto drop = [&](DropReason reason) {
    why = reason;
    return std::nullopt;
  };
  if (bytes.size() > (transport == Transport::datagram ? kMaxDatagramBytes : kMaxStreamMessageBytes))
    return drop(DropReason::too_long);
  if (bytes.size() < kMacBytes + sizeof(flatbuffers::uoffset_t)) return drop(DropReason::malformed);
  std::string_view content = bytes.substr(kMacBytes);
  auto length = flatbuffers::ReadScalar<flatbuffers::uoffset_t>(content.data());
  if (length != content.size() - sizeof(length)) return drop(DropReason::malformed);

  bool authentic = false;  // every key is tried, so that the duration does not reveal which one matches
  for (const std::string& key : keys_) {
    Mac mac = mac_of(key, content);
    authentic |= CRYPTO_memcmp(mac.data(), bytes.data(), kMacBytes) == 0;
  }
  if (!authentic) return drop(DropReason::forged);

  // FlatBuffers reads in place and needs an aligned buffer, which the copy provides.
  std::string copy(content);
  const auto* data = reinterpret_cast<const std::uint8_t*>(copy.data());
  flatbuffers::Verifier verifier(data, copy.size());
  if (!wire::VerifySizePrefixedSealedBuffer(verifier)) return drop(DropReason::malformed);
  const wire::Sealed& sealed = *wire::GetSizePrefixedSealed(data);
  if (sealed.fleet()->string_view() != fleet_) return drop(DropReason::other_fleet);
  if (sealed.schema() < kOldestSchema || sealed.schema() > kNewestSchema || !component_known(sealed.part()))
    return drop(DropReason::schema);
  if (sealed.sender()->size() == 0 || sealed.sender()->size() > kMaxNameBytes)
    return drop(DropReason::malformed);

  Envelope envelope;
  envelope.schema = sealed.schema();
  envelope.sender = sealed.sender()->str();
  envelope.incarnation = sealed.incarnation();
  envelope.sent_at = sealed.sent_at();
  envelope.component = static_cast<Component>(sealed.part());
  envelope.body.assign(reinterpret_cast<const char*>(sealed.body()->data()), sealed.body()->size());
  return envelope;
}

}  // namespace marblehub::fleet
