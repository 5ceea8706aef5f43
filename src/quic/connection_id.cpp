#include "quic/connection_id.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace marblehub::quic {
namespace {

/// The two halves of the concatenated server id and nonce in the four-pass algorithm (draft, 5.4.2). For an
/// odd length both halves have ceil(n/2) bytes and share the middle byte: its high nibble belongs to the left
/// half, its low nibble to the right half.
class FeistelHalves {
 public:
  FeistelHalves(const Aes128& aes, std::string_view text)
      : aes_(aes), size_(text.size()), half_size_((text.size() + 1) / 2), odd_(text.size() % 2 != 0) {
    std::memcpy(left_.data(), text.data(), half_size_);
    std::memcpy(right_.data(), text.data() + size_ - half_size_, half_size_);
    mask_shared_byte();
  }
  /// One Feistel pass: encrypts one half with AES and XORs the result into the other. Odd passes change the
  /// right half, even ones the left. Running the four passes in reverse order inverts them.
  void pass(unsigned char pass_number) {
    bool to_right = pass_number % 2 != 0;
    const Block& from = to_right ? left_ : right_;
    Block& to = to_right ? right_ : left_;
    Block in{}, out;
    std::memcpy(in.data(), from.data(), half_size_);
    in[14] = static_cast<unsigned char>(size_);
    in[15] = pass_number;
    aes_.encrypt(in, out);
    for (std::size_t i = 0; i < half_size_; ++i) to[i] ^= out[i];
    mask_shared_byte();
  }
  void write(char* out) const {
    std::memcpy(out, left_.data(), half_size_);
    if (odd_) {
      out[half_size_ - 1] = static_cast<char>(left_[half_size_ - 1] | right_[0]);
      std::memcpy(out + half_size_, right_.data() + 1, half_size_ - 1);
    } else {
      std::memcpy(out + half_size_, right_.data(), half_size_);
    }
  }

 private:
  void mask_shared_byte() {
    if (!odd_) return;
    left_[half_size_ - 1] &= 0xf0;
    right_[0] &= 0x0f;
  }

  const Aes128& aes_;
  const std::size_t size_, half_size_;
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
  if (c.length() > 20) return "nonce_length: expected at most 19 bytes together with the server id";
  if (!c.key.empty() && c.key.size() != 16) return "key: expected 32 hexadecimal digits";
  return "";
}

IdCodec::IdCodec(std::vector<IdConfig> configs) : configs_(std::move(configs)) {
  for (const IdConfig& config : configs_) {
    if (std::string error = config_error(config); !error.empty()) throw ConfigError(error);
    RotationEntry& entry = by_rotation_[config.rotation];
    if (entry.config) throw ConfigError("rotation: two configs have the same value");
    entry.config = &config;
    if (!config.key.empty()) entry.aes.emplace(config.key);
  }
}

void IdCodec::decrypt_id(const RotationEntry& entry, std::string_view encoded, char* plaintext) const {
  if (!entry.aes) {
    std::memcpy(plaintext, encoded.data(), encoded.size());
  } else if (encoded.size() == 16) {
    Block out;
    entry.aes->decrypt(block_of(encoded), out);
    std::memcpy(plaintext, out.data(), out.size());
  } else {
    FeistelHalves halves(*entry.aes, encoded);
    for (unsigned char pass_number = 4; pass_number >= 1; --pass_number) halves.pass(pass_number);
    halves.write(plaintext);
  }
}

std::optional<IdCodec::Decoded> IdCodec::decode(std::string_view bytes, bool exact) const {
  if (bytes.empty()) return std::nullopt;
  auto first = static_cast<unsigned char>(bytes[0]);
  const RotationEntry& entry = by_rotation_[first >> 5];
  if (!entry.config) return std::nullopt;
  std::size_t length = entry.config->length();
  if (entry.config->length_in_id && (first & 0x1fu) + 1 != length) return std::nullopt;
  if (exact ? bytes.size() != length : bytes.size() < length) return std::nullopt;
  char plaintext[19];
  decrypt_id(entry, bytes.substr(1, length - 1), plaintext);
  return Decoded{entry.config->rotation,
                 ServerId(std::string_view(plaintext, entry.config->server_id_length)),
                 bytes.substr(0, length)};
}

std::string IdCodec::nonce_of(const Decoded& decoded) const {
  const RotationEntry& entry = by_rotation_[decoded.rotation];
  char plaintext[19];
  decrypt_id(entry, decoded.id.substr(1), plaintext);
  return std::string(plaintext + entry.config->server_id_length, entry.config->nonce_length);
}

std::string IdCodec::encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const {
  const RotationEntry& entry = by_rotation_[rotation & 7];
  if (!entry.config || server_id.size() != entry.config->server_id_length ||
      nonce.size() != entry.config->nonce_length)
    throw std::invalid_argument("no config with this rotation, or wrong length of server id or nonce");
  std::string rest = std::string(server_id) + std::string(nonce);
  if (entry.aes && rest.size() == 16) {
    Block out;
    entry.aes->encrypt(block_of(rest), out);
    std::memcpy(rest.data(), out.data(), out.size());
  } else if (entry.aes) {
    FeistelHalves halves(*entry.aes, rest);
    for (unsigned char pass_number = 1; pass_number <= 4; ++pass_number) halves.pass(pass_number);
    halves.write(rest.data());
  }
  unsigned low = entry.config->length_in_id ? static_cast<unsigned>(entry.config->length() - 1)
                                            : static_cast<unsigned char>(random_bytes(1)[0]) & 0x1fu;
  return std::string(1, static_cast<char>(rotation << 5 | low)) + rest;
}

std::string default_server_id(std::string_view worker, std::size_t length) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(worker.data(), worker.size(), digest, &size, EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("the cryptographic library does not provide SHA-256");
  return std::string(reinterpret_cast<char*>(digest), length);
}

}  // namespace marblehub::quic
