// The few cryptographic operations a router needs, over OpenSSL's EVP. Every object owns its context and
// allocates when it is made, not when it is used. A failure of the library itself throws std::runtime_error.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evp_cipher_ctx_st;

namespace marblehub::quic {

using Block = std::array<unsigned char, 16>;

// AES-128 on single blocks (ECB), for connection ids and header protection.
class Aes128 {
 public:
  enum class Use { both, encrypt };                            // whether it is to decrypt as well
  explicit Aes128(std::string_view key, Use use = Use::both);  // 16 octets
  ~Aes128();
  Aes128(Aes128&&) noexcept = default;
  Aes128& operator=(Aes128&&) noexcept = default;
  void encrypt(const Block& in, Block& out) const { run(encrypting_.get(), in, out); }
  // Only where it was made for both.
  void decrypt(const Block& in, Block& out) const { run(decrypting_.get(), in, out); }

 private:
  struct Free {
    void operator()(evp_cipher_ctx_st* context) const;
  };
  using Context = std::unique_ptr<evp_cipher_ctx_st, Free>;
  static Context make(std::string_view key, bool encrypt);
  static void run(evp_cipher_ctx_st* context, const Block& in, Block& out);
  Context encrypting_, decrypting_;
};

// AES-128-GCM with a tag of 16 octets after the ciphertext. `open` gives nothing for what is not authentic.
std::string gcm_seal(std::string_view key, std::string_view nonce, std::string_view plain,
                     std::string_view aad);
std::optional<std::string> gcm_open(std::string_view key, std::string_view nonce, std::string_view sealed,
                                    std::string_view aad);

std::string hmac_sha256(std::string_view key, std::string_view data);  // 32 octets
std::string hkdf_extract(std::string_view salt, std::string_view secret);
// HKDF-Expand-Label of TLS 1.3 (RFC 8446, 7.1) with an empty context.
std::string hkdf_expand_label(std::string_view secret, std::string_view label, std::size_t length);
std::string random_bytes(std::size_t count);
bool constant_time_equal(std::string_view a, std::string_view b);

}  // namespace marblehub::quic
