#include "quic/initial.h"

#include <openssl/evp.h>
#include <openssl/kdf.h>
#include <openssl/rand.h>

#include <memory>
#include <stdexcept>

#include "quic/connection_id.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kTag = 16, kSample = 16, kNumber = 4;

unsigned char* raw(std::string& s) { return reinterpret_cast<unsigned char*>(s.data()); }
const unsigned char* raw(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }

void require(bool done) {
  if (!done) throw std::runtime_error("the cryptographic library refuses an operation of QUIC's");
}

std::string hkdf(int mode, std::string_view key, std::string_view salt, std::string_view info,
                 std::size_t length) {
  std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new_id(EVP_PKEY_HKDF, nullptr), EVP_PKEY_CTX_free);
  std::string out(length, '\0');
  require(context && EVP_PKEY_derive_init(context.get()) == 1 &&
          EVP_PKEY_CTX_set_hkdf_mode(context.get(), mode) == 1 &&
          EVP_PKEY_CTX_set_hkdf_md(context.get(), EVP_sha256()) == 1 &&
          EVP_PKEY_CTX_set1_hkdf_key(context.get(), raw(key), static_cast<int>(key.size())) == 1);
  if (!salt.empty())
    require(EVP_PKEY_CTX_set1_hkdf_salt(context.get(), raw(salt), static_cast<int>(salt.size())) == 1);
  if (!info.empty())
    require(EVP_PKEY_CTX_add1_hkdf_info(context.get(), raw(info), static_cast<int>(info.size())) == 1);
  require(EVP_PKEY_derive(context.get(), raw(out), &length) == 1);
  return out;
}

// HKDF-Expand-Label of TLS 1.3, with an empty context.
std::string expand(std::string_view secret, std::string_view label, std::size_t length) {
  std::string full = "tls13 " + std::string(label);
  std::string info{static_cast<char>(length >> 8), static_cast<char>(length), static_cast<char>(full.size())};
  info += full + '\0';
  return hkdf(EVP_PKEY_HKDEF_MODE_EXPAND_ONLY, secret, "", info, length);
}

using Cipher = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

std::string mask_of(const InitialKeys& keys, std::string_view sample) {
  Cipher c(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  std::string out(32, '\0');
  int size = 0;
  require(c && EVP_EncryptInit_ex(c.get(), EVP_aes_128_ecb(), nullptr, raw(keys.hp), nullptr) == 1 &&
          EVP_EncryptUpdate(c.get(), raw(out), &size, raw(sample), kSample) == 1);
  return out;
}

std::string nonce_of(const InitialKeys& keys, std::uint64_t number) {
  std::string nonce = keys.iv;
  for (std::size_t i = 0; i < 8; ++i)
    nonce[nonce.size() - 1 - i] = static_cast<char>(nonce[nonce.size() - 1 - i] ^ (number >> (8 * i) & 0xff));
  return nonce;
}

}  // namespace

InitialKeys initial_keys(std::string_view first_destination, bool server) {
  static const std::string salt = *unhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a");
  std::string initial = hkdf(EVP_PKEY_HKDEF_MODE_EXTRACT_ONLY, first_destination, salt, "", 32);
  std::string secret = expand(initial, server ? "server in" : "client in", 32);
  return {expand(secret, "quic key", 16), expand(secret, "quic iv", 12), expand(secret, "quic hp", 16)};
}

std::string seal_initial(const InitialKeys& keys, std::string_view destination, std::string_view source,
                         std::uint32_t packet_number, std::string_view frames) {
  std::string plain(frames);
  std::string packet(1, static_cast<char>(0xc0 | (kNumber - 1)));
  packet += std::string_view("\0\0\0\1", 4);
  packet += static_cast<char>(destination.size());
  packet += destination;
  packet += static_cast<char>(source.size());
  packet += source;
  put_varint(packet, 0);  // no token
  put_varint(packet, kNumber + plain.size() + kTag);
  std::size_t number_at = packet.size();
  for (int shift = 24; shift >= 0; shift -= 8) packet += static_cast<char>(packet_number >> shift);

  Cipher c(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  std::string sealed(plain.size(), '\0'), tag(kTag, '\0'), nonce = nonce_of(keys, packet_number);
  int size = 0;
  require(c && EVP_EncryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, raw(keys.key), raw(nonce)) == 1 &&
          EVP_EncryptUpdate(c.get(), nullptr, &size, raw(packet), static_cast<int>(packet.size())) == 1 &&
          EVP_EncryptUpdate(c.get(), raw(sealed), &size, raw(plain), static_cast<int>(plain.size())) == 1 &&
          EVP_EncryptFinal_ex(c.get(), raw(tag), &size) == 1 &&
          EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_GET_TAG, kTag, raw(tag)) == 1);
  packet += sealed + tag;
  std::string mask = mask_of(keys, std::string_view(packet).substr(number_at + 4, kSample));
  packet[0] = static_cast<char>(packet[0] ^ (mask[0] & 0x0f));
  for (std::size_t i = 0; i < kNumber; ++i)
    packet[number_at + i] = static_cast<char>(packet[number_at + i] ^ mask[1 + i]);
  return packet;
}

std::optional<std::string> open_initial(const InitialKeys& keys, std::string_view datagram) {
  auto header = parse(datagram);
  if (!header || header->kind != Kind::initial) return std::nullopt;
  std::string_view rest = datagram.substr(7 + header->destination.size() + header->source.size());
  auto token = take_varint(rest);
  rest.remove_prefix(static_cast<std::size_t>(*token));
  auto length = static_cast<std::size_t>(*take_varint(rest));
  std::size_t number_at = datagram.size() - rest.size();
  std::string packet(datagram.substr(0, number_at + length));
  std::string mask = mask_of(keys, rest.substr(4, kSample));
  packet[0] = static_cast<char>(packet[0] ^ (mask[0] & 0x0f));
  std::size_t number_size = (packet[0] & 3) + 1u;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < number_size; ++i) {
    packet[number_at + i] = static_cast<char>(packet[number_at + i] ^ mask[1 + i]);
    number = number << 8 | static_cast<unsigned char>(packet[number_at + i]);
  }
  std::size_t body_at = number_at + number_size;
  if (packet.size() < body_at + kTag) return std::nullopt;
  std::string sealed = packet.substr(body_at, packet.size() - body_at - kTag);
  std::string tag = packet.substr(packet.size() - kTag), plain(sealed.size() + kTag, '\0');
  std::string nonce = nonce_of(keys, number);
  Cipher c(EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free);
  int size = 0;
  require(c && EVP_DecryptInit_ex(c.get(), EVP_aes_128_gcm(), nullptr, raw(keys.key), raw(nonce)) == 1 &&
          EVP_DecryptUpdate(c.get(), nullptr, &size, raw(packet), static_cast<int>(body_at)) == 1 &&
          EVP_DecryptUpdate(c.get(), raw(plain), &size, raw(sealed), static_cast<int>(sealed.size())) == 1 &&
          EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_SET_TAG, kTag, raw(tag)) == 1);
  if (EVP_DecryptFinal_ex(c.get(), raw(tag), &size) != 1) return std::nullopt;
  plain.resize(sealed.size());
  return plain;
}

std::string close_initial(const Header& client, std::uint64_t error, std::string_view reason) {
  std::string frames(1, '\x1c');
  put_varint(frames, error);
  put_varint(frames, 0);  // no frame of the client's is to blame
  put_varint(frames, reason.size());
  frames += reason;
  std::string source(8, '\0');
  require(RAND_bytes(raw(source), static_cast<int>(source.size())) == 1);
  source[0] = static_cast<char>(source[0] | kUnroutable << 5);
  return seal_initial(initial_keys(client.destination, true), client.source, source, 0, frames);
}

}  // namespace marblehub::quic
