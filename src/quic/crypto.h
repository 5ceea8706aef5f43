// The cryptographic operations of the QUIC front, on OpenSSL's EVP interface. A failure of the library itself
// throws std::runtime_error.
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

/// AES-128 on single blocks (ECB), for connection ids and header protection. An object owns its OpenSSL
/// contexts: they are allocated by the constructor, so that encrypt() and decrypt() do not allocate.
class Aes128 {
 public:
  /// What the object is used for: encryption and decryption, or encryption alone.
  enum class Use { both, encrypt };
  /// `key` has 16 bytes.
  explicit Aes128(std::string_view key, Use use = Use::both);
  ~Aes128();
  Aes128(Aes128&&) noexcept = default;
  Aes128& operator=(Aes128&&) noexcept = default;
  void encrypt(const Block& in, Block& out) const { run(encrypting_.get(), in, out); }
  /// Requires an object made with Use::both.
  void decrypt(const Block& in, Block& out) const { run(decrypting_.get(), in, out); }

 private:
  /// Releases an OpenSSL cipher context.
  struct ContextDeleter {
    void operator()(evp_cipher_ctx_st* context) const;
  };
  using Context = std::unique_ptr<evp_cipher_ctx_st, ContextDeleter>;
  static Context make(std::string_view key, bool encrypt);
  static void run(evp_cipher_ctx_st* context, const Block& in, Block& out);
  Context encrypting_, decrypting_;
};

/// Encrypts with AES-128-GCM; returns the ciphertext with the authentication tag of 16 bytes behind it.
std::string gcm_seal(std::string_view key, std::string_view nonce, std::string_view plain,
                     std::string_view aad);
/// Decrypts what gcm_seal() returned; none where the tag does not match.
std::optional<std::string> gcm_open(std::string_view key, std::string_view nonce, std::string_view sealed,
                                    std::string_view aad);

std::string hmac_sha256(std::string_view key, std::string_view data);  // 32 bytes
/// HKDF-Extract with SHA-256 (RFC 5869, 2.2); 32 bytes.
std::string hkdf_extract(std::string_view salt, std::string_view secret);
/// HKDF-Expand-Label of TLS 1.3 (RFC 8446, 7.1) with an empty context.
std::string hkdf_expand_label(std::string_view secret, std::string_view label, std::size_t length);
/// Bytes of the library's cryptographic random generator.
std::string random_bytes(std::size_t count);
/// Compares without a dependency of the time on the contents; the lengths are not secret.
bool constant_time_equal(std::string_view a, std::string_view b);

}  // namespace marblehub::quic
