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

constexpr std::size_t kTag = 16;

unsigned char* raw(std::string& s) { return reinterpret_cast<unsigned char*>(s.data()); }
const unsigned char* raw(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }
int length_of(std::string_view s) { return static_cast<int>(s.size()); }

void require(bool done) {
  if (!done) throw std::runtime_error("the cryptographic library refuses an operation of QUIC's");
}

using Cipher = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;
Cipher cipher() { return Cipher(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free); }

std::string hkdf(int mode, std::string_view key, std::string_view salt, std::string_view info,
                 std::size_t length) {
  std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new_id(EVP_PKEY_HKDF, nullptr), EVP_PKEY_CTX_free);
  std::string out(length, '\0');
  require(context && EVP_PKEY_derive_init(context.get()) == 1 &&
          EVP_PKEY_CTX_set_hkdf_mode(context.get(), mode) == 1 &&
          EVP_PKEY_CTX_set_hkdf_md(context.get(), EVP_sha256()) == 1 &&
          EVP_PKEY_CTX_set1_hkdf_key(context.get(), raw(key), length_of(key)) == 1);
  if (!salt.empty()) require(EVP_PKEY_CTX_set1_hkdf_salt(context.get(), raw(salt), length_of(salt)) == 1);
  if (!info.empty()) require(EVP_PKEY_CTX_add1_hkdf_info(context.get(), raw(info), length_of(info)) == 1);
  require(EVP_PKEY_derive(context.get(), raw(out), &length) == 1);
  return out;
}

}  // namespace

std::uint64_t hash_secret() {
  static const std::uint64_t secret = [] {
    std::string octets = random_bytes(8);
    std::uint64_t value;
    std::memcpy(&value, octets.data(), 8);
    return value;
  }();
  return secret;
}

void Aes128::Free::operator()(evp_cipher_ctx_st* context) const { EVP_CIPHER_CTX_free(context); }

Aes128::Context Aes128::make(std::string_view key, bool encrypt) {
  Context context(EVP_CIPHER_CTX_new());
  require(key.size() == 16 && context &&
          EVP_CipherInit_ex(context.get(), EVP_aes_128_ecb(), nullptr, raw(key), nullptr, encrypt) == 1 &&
          EVP_CIPHER_CTX_set_padding(context.get(), 0) == 1);
  return context;
}

Aes128::Aes128(std::string_view key, Use use)
    : encrypting_(make(key, true)), decrypting_(use == Use::both ? make(key, false) : nullptr) {}
Aes128::~Aes128() = default;

void Aes128::run(evp_cipher_ctx_st* context, const Block& in, Block& out) {
  int size = 0;
  require(EVP_CipherUpdate(context, out.data(), &size, in.data(), 16) == 1 && size == 16);
}

std::string gcm_seal(std::string_view key, std::string_view nonce, std::string_view plain,
                     std::string_view aad) {
  Cipher c = cipher();
  std::string sealed(plain.size(), '\0'), tag(kTag, '\0');
  int size = 0;
  require(c && EVP_EncryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, raw(key), raw(nonce)) == 1 &&
          EVP_EncryptUpdate(c.get(), nullptr, &size, raw(aad), length_of(aad)) == 1 &&
          EVP_EncryptUpdate(c.get(), raw(sealed), &size, raw(plain), length_of(plain)) == 1 &&
          EVP_EncryptFinal_ex(c.get(), raw(tag), &size) == 1 &&
          EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_GET_TAG, kTag, raw(tag)) == 1);
  return sealed + tag;
}

std::optional<std::string> gcm_open(std::string_view key, std::string_view nonce, std::string_view sealed,
                                    std::string_view aad) {
  if (sealed.size() < kTag) return std::nullopt;
  std::string_view body = sealed.substr(0, sealed.size() - kTag);
  std::string tag(sealed.substr(body.size())), plain(body.size(), '\0'), rest(kTag, '\0');
  Cipher c = cipher();
  int size = 0;
  require(c && EVP_DecryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, raw(key), raw(nonce)) == 1 &&
          EVP_DecryptUpdate(c.get(), nullptr, &size, raw(aad), length_of(aad)) == 1 &&
          EVP_DecryptUpdate(c.get(), raw(plain), &size, raw(body), length_of(body)) == 1 &&
          EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_SET_TAG, kTag, raw(tag)) == 1);
  if (EVP_DecryptFinal_ex(c.get(), raw(rest), &size) != 1) return std::nullopt;
  return plain;
}

std::string hmac_sha256(std::string_view key, std::string_view data) {
  std::string out(32, '\0');
  unsigned size = 0;
  require(HMAC(EVP_sha256(), key.data(), length_of(key), raw(data), data.size(), raw(out), &size) != nullptr);
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
  require(RAND_bytes(raw(out), static_cast<int>(count)) == 1);
  return out;
}

bool constant_time_equal(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace marblehub::quic
