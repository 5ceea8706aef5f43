#include "quic/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/kdf.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

#include "quic/inline_bytes.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kTagSize = 16;

unsigned char* unsigned_data(std::string& s) { return reinterpret_cast<unsigned char*>(s.data()); }
const unsigned char* unsigned_data(std::string_view s) {
  return reinterpret_cast<const unsigned char*>(s.data());
}
int int_size(std::string_view s) { return static_cast<int>(s.size()); }

void require_success(bool success) {
  if (!success)
    throw std::runtime_error("the cryptographic library failed in an operation of the QUIC front");
}

using Cipher = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;
Cipher cipher() { return Cipher(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free); }

std::string hkdf(int mode, std::string_view key, std::string_view salt, std::string_view info,
                 std::size_t length) {
  std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new_id(EVP_PKEY_HKDF, nullptr), EVP_PKEY_CTX_free);
  std::string out(length, '\0');
  require_success(context && EVP_PKEY_derive_init(context.get()) == 1 &&
                  EVP_PKEY_CTX_set_hkdf_mode(context.get(), mode) == 1 &&
                  EVP_PKEY_CTX_set_hkdf_md(context.get(), EVP_sha256()) == 1 &&
                  EVP_PKEY_CTX_set1_hkdf_key(context.get(), unsigned_data(key), int_size(key)) == 1);
  if (!salt.empty())
    require_success(EVP_PKEY_CTX_set1_hkdf_salt(context.get(), unsigned_data(salt), int_size(salt)) == 1);
  if (!info.empty())
    require_success(EVP_PKEY_CTX_add1_hkdf_info(context.get(), unsigned_data(info), int_size(info)) == 1);
  require_success(EVP_PKEY_derive(context.get(), unsigned_data(out), &length) == 1);
  return out;
}

}  // namespace

std::uint64_t hash_secret() {
  static const std::uint64_t secret = [] {
    std::string seed_bytes = random_bytes(8);
    std::uint64_t value;
    std::memcpy(&value, seed_bytes.data(), 8);
    return value;
  }();
  return secret;
}

void Aes128::ContextDeleter::operator()(evp_cipher_ctx_st* context) const { EVP_CIPHER_CTX_free(context); }

Aes128::Context Aes128::make(std::string_view key, bool encrypt) {
  Context context(EVP_CIPHER_CTX_new());
  require_success(key.size() == 16 && context &&
                  EVP_CipherInit_ex(context.get(), EVP_aes_128_ecb(), nullptr, unsigned_data(key), nullptr,
                                    encrypt) == 1 &&
                  EVP_CIPHER_CTX_set_padding(context.get(), 0) == 1);
  return context;
}

Aes128::Aes128(std::string_view key, Use use)
    : encrypting_(make(key, true)), decrypting_(use == Use::both ? make(key, false) : nullptr) {}
Aes128::~Aes128() = default;

void Aes128::run(evp_cipher_ctx_st* context, const Block& in, Block& out) {
  int size = 0;
  require_success(EVP_CipherUpdate(context, out.data(), &size, in.data(), 16) == 1 && size == 16);
}

std::string gcm_seal(std::string_view key, std::string_view nonce, std::string_view plain,
                     std::string_view aad) {
  Cipher c = cipher();
  std::string sealed(plain.size(), '\0'), tag(kTagSize, '\0');
  int size = 0;
  require_success(
      c &&
      EVP_EncryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, unsigned_data(key), unsigned_data(nonce)) ==
          1 &&
      EVP_EncryptUpdate(c.get(), nullptr, &size, unsigned_data(aad), int_size(aad)) == 1 &&
      EVP_EncryptUpdate(c.get(), unsigned_data(sealed), &size, unsigned_data(plain), int_size(plain)) == 1 &&
      EVP_EncryptFinal_ex(c.get(), unsigned_data(tag), &size) == 1 &&
      EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_GET_TAG, kTagSize, unsigned_data(tag)) == 1);
  return sealed + tag;
}

std::optional<std::string> gcm_open(std::string_view key, std::string_view nonce, std::string_view sealed,
                                    std::string_view aad) {
  if (sealed.size() < kTagSize) return std::nullopt;
  std::string_view body = sealed.substr(0, sealed.size() - kTagSize);
  std::string tag(sealed.substr(body.size())), plain(body.size(), '\0'), final_block(kTagSize, '\0');
  Cipher c = cipher();
  int size = 0;
  require_success(
      c &&
      EVP_DecryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, unsigned_data(key), unsigned_data(nonce)) ==
          1 &&
      EVP_DecryptUpdate(c.get(), nullptr, &size, unsigned_data(aad), int_size(aad)) == 1 &&
      EVP_DecryptUpdate(c.get(), unsigned_data(plain), &size, unsigned_data(body), int_size(body)) == 1 &&
      EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_SET_TAG, kTagSize, unsigned_data(tag)) == 1);
  if (EVP_DecryptFinal_ex(c.get(), unsigned_data(final_block), &size) != 1) return std::nullopt;
  return plain;
}

std::string hmac_sha256(std::string_view key, std::string_view data) {
  std::string out(32, '\0');
  unsigned size = 0;
  require_success(HMAC(EVP_sha256(), key.data(), int_size(key), unsigned_data(data), data.size(),
                       unsigned_data(out), &size) != nullptr);
  return out;
}

std::string hkdf_extract(std::string_view salt, std::string_view secret) {
  return hkdf(EVP_PKEY_HKDEF_MODE_EXTRACT_ONLY, secret, salt, "", 32);
}

std::string hkdf_expand_label(std::string_view secret, std::string_view label, std::size_t length) {
  std::string full = "tls13 " + std::string(label);
  std::string info{static_cast<char>(length >> 8), static_cast<char>(length), static_cast<char>(full.size())};
  info += full + '\0';
  return hkdf(EVP_PKEY_HKDEF_MODE_EXPAND_ONLY, secret, "", info, length);
}

std::string random_bytes(std::size_t count) {
  std::string out(count, '\0');
  require_success(RAND_bytes(unsigned_data(out), static_cast<int>(count)) == 1);
  return out;
}

bool constant_time_equal(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace marblehub::quic
