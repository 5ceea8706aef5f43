// Worker ids inside connection ids, as draft-ietf-quic-load-balancers lays them out (sections 3 to 5): the
// first octet holds the config rotation (3 bits) and, where the config says so, the length of the rest (5
// bits); a server id and a nonce follow, in the clear or under a key: one pass of AES-128 where they fill 16
// octets together (5.4.1), four passes of a Feistel network otherwise (5.4.2).
//
// Bounds: rotation 0 to 6; server id 1 to 15 octets, nonce 4 and up, 5 to 19 together. Decoding neither
// allocates nor throws; encoding throws std::invalid_argument for parts of other lengths.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "quic/crypto.h"
#include "quic/inline_bytes.h"

namespace marblehub::quic {

constexpr unsigned kUnroutableRotation = 7;  // the rotation value that no config may have

/// A configuration of the second front that cannot be used: what() names the key and what was expected.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct IdConfig {
  unsigned rotation = 0;
  std::size_t server_id_length = 4, nonce_length = 6;
  std::string key;           // 16 octets; empty: in the clear
  bool length_in_id = true;  // else the five bits are random

  std::size_t length() const { return 1 + server_id_length + nonce_length; }
  bool operator==(const IdConfig&) const = default;
};

// What is wrong with a config, as "key: what was expected"; empty when it can be used.
std::string config_error(const IdConfig& config);

class IdCodec {
 public:
  // Throws ConfigError where a config cannot be used or two have the same rotation.
  explicit IdCodec(std::vector<IdConfig> configs);

  struct Decoded {
    unsigned rotation;
    ServerId server_id;
    std::string_view id;  // the connection id itself, cut to its length
  };
  // `bytes` starts with an id; `exact` where its length is known, else (short header) it may go on.
  std::optional<Decoded> decode(std::string_view bytes, bool exact) const;
  // The id a worker makes up; the nonce has the config's length.
  std::string encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const;
  // The nonce of an id that `decode` knows; for tools.
  std::string nonce_of(const Decoded& decoded) const;
  const std::vector<IdConfig>& configs() const { return configs_; }

 private:
  struct Sealed {  // of one rotation
    const IdConfig* config = nullptr;
    std::optional<Aes128> aes;
  };
  void open(const Sealed& with, std::string_view sealed, char* plain) const;

  std::vector<IdConfig> configs_;
  std::array<Sealed, 8> by_rotation_;
};

// Whether an id says by itself that it names no worker (draft, section 3.1).
inline bool unroutable(std::string_view id) {
  return !id.empty() && static_cast<unsigned char>(id[0]) >> 5 == kUnroutableRotation;
}

// The server id of a worker whose config names none: the start of the SHA-256 of its name.
std::string default_server_id(std::string_view worker, std::size_t length);

}  // namespace marblehub::quic
