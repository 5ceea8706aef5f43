#include "quic/connection_id.h"

#include <openssl/evp.h>

#include <memory>
#include <set>
#include <stdexcept>

namespace marblehub::quic {
namespace {

const unsigned char* raw(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }

std::string aes_block(std::string_view key, std::string_view block, bool encrypt) {
  std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)> context(EVP_CIPHER_CTX_new(),
                                                                          EVP_CIPHER_CTX_free);
  std::string out(32, '\0');
  int size = 0;
  if (!context ||
      EVP_CipherInit_ex(context.get(), EVP_aes_128_ecb(), nullptr, raw(key), nullptr, encrypt) != 1 ||
      EVP_CIPHER_CTX_set_padding(context.get(), 0) != 1 ||
      EVP_CipherUpdate(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size, raw(block),
                       static_cast<int>(block.size())) != 1)
    throw std::runtime_error("AES-128 is not to be had");
  out.resize(static_cast<std::size_t>(size));
  return out;
}

}  // namespace

std::string config_error(const IdConfig& c) {
  if (c.rotation >= kUnroutable) return "rotation: expected 0 to 6";
  if (c.server_id_length < 1 || c.server_id_length > 15) return "server_id_length: expected 1 to 15";
  if (c.nonce_length < 4 || c.nonce_length > 18) return "nonce_length: expected 4 to 18";
  if (c.length() > 20) return "nonce_length: an id may have 20 octets in all";
  if (!c.key.empty() && c.key.size() != 16) return "key: expected 32 hexadecimal digits";
  if (!c.key.empty() && c.server_id_length + c.nonce_length != 16)
    return "key: server id and nonce must fill 16 octets together";
  return "";
}

IdCodec::IdCodec(std::vector<IdConfig> configs) : configs_(std::move(configs)) {
  std::set<unsigned> seen;
  for (const IdConfig& config : configs_) {
    if (std::string error = config_error(config); !error.empty()) throw std::runtime_error(error);
    if (!seen.insert(config.rotation).second) throw std::runtime_error("rotation: two configs have the same");
  }
}

const IdConfig* IdCodec::with(unsigned rotation) const {
  for (const IdConfig& config : configs_)
    if (config.rotation == rotation) return &config;
  return nullptr;
}

std::optional<IdCodec::Decoded> IdCodec::decode(std::string_view bytes, bool exact) const {
  if (bytes.empty()) return std::nullopt;
  auto first = static_cast<unsigned char>(bytes[0]);
  const IdConfig* config = with(first >> 5);
  if (!config || (first & 0x1fu) + 1 != config->length()) return std::nullopt;
  if (exact ? bytes.size() != config->length() : bytes.size() < config->length()) return std::nullopt;
  std::string rest(bytes.substr(1, config->length() - 1));
  if (!config->key.empty()) rest = aes_block(config->key, rest, false);
  return Decoded{config->rotation, rest.substr(0, config->server_id_length),
                 bytes.substr(0, config->length())};
}

std::string IdCodec::encode(unsigned rotation, std::string_view server_id, std::string_view nonce) const {
  const IdConfig* config = with(rotation);
  if (!config || server_id.size() != config->server_id_length || nonce.size() != config->nonce_length)
    throw std::invalid_argument("no such config, or parts of other lengths");
  std::string rest = std::string(server_id) + std::string(nonce);
  if (!config->key.empty()) rest = aes_block(config->key, rest, true);
  return std::string(1, static_cast<char>(rotation << 5 | (config->length() - 1))) + rest;
}

std::string default_server_id(std::string_view worker, std::size_t length) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(worker.data(), worker.size(), digest, &size, EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("SHA-256 is not to be had");
  return std::string(reinterpret_cast<char*>(digest), length);
}

}  // namespace marblehub::quic
