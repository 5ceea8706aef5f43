// Worker ids inside connection ids, as draft-ietf-quic-load-balancers lays them out: the first octet holds
// the config rotation (3 bits) and the length of the rest (5 bits); a server id and a nonce follow, in the
// clear or, where they fill 16 octets and a key is set, under one pass of AES-128.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblehub::quic {

constexpr unsigned kUnroutable = 7;  // the rotation value that no config may have

struct IdConfig {
  unsigned rotation = 0;  // 0 to 6
  std::size_t server_id_length = 4, nonce_length = 6;
  std::string key;  // 16 octets; empty: in the clear

  std::size_t length() const { return 1 + server_id_length + nonce_length; }
};

// What is wrong with a config; empty when it can be used.
std::string config_error(const IdConfig& config);

class IdCodec {
 public:
  explicit IdCodec(std::vector<IdConfig> configs);

  struct Decoded {
    unsigned rotation;
    std::string server_id;
    std::string_view id;  // the connection id itself, cut to its length
  };
  // `bytes` starts with an id; `exact` where its length is known, else (short header) it may go on.
  std::optional<Decoded> decode(std::string_view bytes, bool exact) const;
  // The id a worker makes up; the nonce has the config's length.
  std::string encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const;
  const std::vector<IdConfig>& configs() const { return configs_; }

 private:
  const IdConfig* with(unsigned rotation) const;
  std::vector<IdConfig> configs_;
};

// The server id of a worker whose config names none: the start of the SHA-256 of its name.
std::string default_server_id(std::string_view worker, std::size_t length);

}  // namespace marblehub::quic
