// Connection ids that carry a worker's server id, in the format of QUIC-LB (draft-ietf-quic-load-balancers,
// sections 3 to 5). The first byte holds the config rotation (3 bits) and the length of the rest (5 bits;
// random where the config does not encode it). The server id and the nonce follow, in plaintext or encrypted:
// with one pass of AES-128 where they have 16 bytes together (5.4.1), with a four-pass Feistel network
// otherwise (5.4.2).
//
// Bounds: rotation 0 to 6; server id 1 to 15 bytes, nonce 4 bytes or more, both together 5 to 19 bytes.
// Decoding does not allocate memory or throw; encoding throws std::invalid_argument for a server id or nonce
// of another length than the config's.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "quic/crypto.h"
#include "quic/inline_bytes.h"

namespace marblehub::quic {

/// The config rotation 0b111, which no config may use (draft, 3.1).
constexpr unsigned kUnroutableRotation = 7;

/// An invalid configuration of the QUIC front; what() names the key and the expected value.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One configuration of the connection id format, identified by its config rotation.
struct IdConfig {
  unsigned rotation = 0;
  std::size_t server_id_length = 4, nonce_length = 6;  // bytes
  std::string key;                                     // 16 bytes; empty: ids are not encrypted
  bool length_in_id = true;  // otherwise the low five bits of the first byte are random

  /// The length of a whole connection id, in bytes.
  std::size_t length() const { return 1 + server_id_length + nonce_length; }
  bool operator==(const IdConfig&) const = default;
};

/// The first error of a config, as "<key>: expected <what>"; empty for a valid config.
std::string config_error(const IdConfig& config);

/// Decodes and encodes connection ids under up to seven configs of different rotations.
class IdCodec {
 public:
  /// Throws ConfigError for an invalid config and for two configs with the same rotation.
  explicit IdCodec(std::vector<IdConfig> configs);

  /// The content of a connection id; `id` points into the decoded bytes.
  struct Decoded {
    unsigned rotation;
    ServerId server_id;
    std::string_view id;  // the connection id alone, without the bytes behind it
  };
  /// Decodes the id at the start of `bytes`; none where no config matches. With `exact`, `bytes` has to be
  /// the id alone; otherwise, as in a short header, further bytes may follow.
  std::optional<Decoded> decode(std::string_view bytes, bool exact) const;
  /// Makes an id as a worker does. Throws std::invalid_argument for an unknown rotation and for wrong
  /// lengths.
  std::string encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const;
  /// The nonce of an id that decode() returned; used by tools and tests.
  std::string nonce_of(const Decoded& decoded) const;
  const std::vector<IdConfig>& configs() const { return configs_; }

 private:
  /// The config of one rotation, none where it has no config, and the cipher where the config has a key.
  struct RotationEntry {
    const IdConfig* config = nullptr;
    std::optional<Aes128> aes;
  };
  void decrypt_id(const RotationEntry& entry, std::string_view encoded, char* plaintext) const;

  std::vector<IdConfig> configs_;
  std::array<RotationEntry, 8> by_rotation_;
};

/// Whether a connection id has the rotation of unroutable ids (draft, 3.1): it names no worker.
inline bool unroutable(std::string_view id) {
  return !id.empty() && static_cast<unsigned char>(id[0]) >> 5 == kUnroutableRotation;
}

/// The server id of a worker without a configured one: the first `length` bytes of the SHA-256 of its name.
std::string default_server_id(std::string_view worker, std::size_t length);

}  // namespace marblehub::quic
