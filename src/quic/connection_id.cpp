#include "quic/connection_id.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace marblehub::quic {
namespace {

// The two halves of server id and nonce. Of an odd number of octets each half has ceil(n/2): they share the
// middle one, the left half its high nibble and the right half its low one.
class Halves {
 public:
  Halves(const Aes128& aes, std::string_view text)
      : aes_(aes), size_(text.size()), half_((text.size() + 1) / 2), odd_(text.size() % 2 != 0) {
    std::memcpy(left_.data(), text.data(), half_);
    std::memcpy(right_.data(), text.data() + size_ - half_, half_);
    cut();
  }
  // A pass feeds one half to AES and adds the outcome to the other. Going through the four backwards undoes
  // them: each changes only the half that it does not read.
  void pass(unsigned char number) {
    bool to_right = number % 2 != 0;
    const Block& from = to_right ? left_ : right_;
    Block& to = to_right ? right_ : left_;
    Block in{}, out;
    std::memcpy(in.data(), from.data(), half_);
    in[14] = static_cast<unsigned char>(size_);
    in[15] = number;
    aes_.encrypt(in, out);
    for (std::size_t i = 0; i < half_; ++i) to[i] ^= out[i];
    cut();
  }
  void write(char* out) const {
    std::memcpy(out, left_.data(), half_);
    if (odd_) {
      out[half_ - 1] = static_cast<char>(left_[half_ - 1] | right_[0]);
      std::memcpy(out + half_, right_.data() + 1, half_ - 1);
    } else {
      std::memcpy(out + half_, right_.data(), half_);
    }
  }

 private:
  void cut() {
    if (!odd_) return;
    left_[half_ - 1] &= 0xf0;
    right_[0] &= 0x0f;
  }

  const Aes128& aes_;
  const std::size_t size_, half_;
  const bool odd_;
  Block left_{}, right_{};
};

Block block_of(std::string_view text) {
  Block block;
  std::memcpy(block.data(), text.data(), block.size());
  return block;
}

}  // namespace

std::string config_error(const IdConfig& c) {
  if (c.rotation >= kUnroutableRotation) return "rotation: expected 0 to 6";
  if (c.server_id_length < 1 || c.server_id_length > 15) return "server_id_length: expected 1 to 15";
  if (c.nonce_length < 4 || c.nonce_length > 18) return "nonce_length: expected 4 to 18";
  if (c.length() > 20) return "nonce_length: expected at most 19 octets together with the server id";
  if (!c.key.empty() && c.key.size() != 16) return "key: expected 32 hexadecimal digits";
  return "";
}

IdCodec::IdCodec(std::vector<IdConfig> configs) : configs_(std::move(configs)) {
  for (const IdConfig& config : configs_) {
    if (std::string error = config_error(config); !error.empty()) throw ConfigError(error);
    Sealed& place = by_rotation_[config.rotation];
    if (place.config) throw ConfigError("rotation: two configs have the same");
    place.config = &config;
    if (!config.key.empty()) place.aes.emplace(config.key);
  }
}

void IdCodec::open(const Sealed& with, std::string_view sealed, char* plain) const {
  if (!with.aes) {
    std::memcpy(plain, sealed.data(), sealed.size());
  } else if (sealed.size() == 16) {
    Block out;
    with.aes->decrypt(block_of(sealed), out);
    std::memcpy(plain, out.data(), out.size());
  } else {
    Halves halves(*with.aes, sealed);
    for (unsigned char number = 4; number >= 1; --number) halves.pass(number);
    halves.write(plain);
  }
}

std::optional<IdCodec::Decoded> IdCodec::decode(std::string_view bytes, bool exact) const {
  if (bytes.empty()) return std::nullopt;
  auto first = static_cast<unsigned char>(bytes[0]);
  const Sealed& with = by_rotation_[first >> 5];
  if (!with.config) return std::nullopt;
  std::size_t length = with.config->length();
  if (with.config->length_in_id && (first & 0x1fu) + 1 != length) return std::nullopt;
  if (exact ? bytes.size() != length : bytes.size() < length) return std::nullopt;
  char plain[19];
  open(with, bytes.substr(1, length - 1), plain);
  return Decoded{with.config->rotation, ServerId(std::string_view(plain, with.config->server_id_length)),
                 bytes.substr(0, length)};
}

std::string IdCodec::nonce_of(const Decoded& decoded) const {
  const Sealed& with = by_rotation_[decoded.rotation];
  char plain[19];
  open(with, decoded.id.substr(1), plain);
  return std::string(plain + with.config->server_id_length, with.config->nonce_length);
}

std::string IdCodec::encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const {
  const Sealed& with = by_rotation_[rotation & 7];
  if (!with.config || server_id.size() != with.config->server_id_length ||
      nonce.size() != with.config->nonce_length)
    throw std::invalid_argument("no such config, or parts of other lengths");
  std::string rest = std::string(server_id) + std::string(nonce);
  if (with.aes && rest.size() == 16) {
    Block out;
    with.aes->encrypt(block_of(rest), out);
    std::memcpy(rest.data(), out.data(), out.size());
  } else if (with.aes) {
    Halves halves(*with.aes, rest);
    for (unsigned char number = 1; number <= 4; ++number) halves.pass(number);
    halves.write(rest.data());
  }
  unsigned low = with.config->length_in_id ? static_cast<unsigned>(with.config->length() - 1)
                                           : static_cast<unsigned char>(random_bytes(1)[0]) & 0x1fu;
  return std::string(1, static_cast<char>(rotation << 5 | low)) + rest;
}

std::string default_server_id(std::string_view worker, std::size_t length) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(worker.data(), worker.size(), digest, &size, EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("SHA-256 is not to be had");
  return std::string(reinterpret_cast<char*>(digest), length);
}

}  // namespace marblehub::quic
