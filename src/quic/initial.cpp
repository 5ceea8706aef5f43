#include "quic/initial.h"

#include "quic/connection_id.h"
#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kTag = 16, kSample = 16, kNumber = 4;

Block mask_of(const InitialKeys& keys, std::string_view sample) {
  Block in, out;
  std::memcpy(in.data(), sample.data(), kSample);
  Aes128(keys.hp, Aes128::Use::encrypt)
      .encrypt(in, out);  // header protection never decrypts (RFC 9001, 5.4.1)
  return out;
}

std::string nonce_of(const InitialKeys& keys, std::uint64_t number) {
  std::string nonce = keys.iv;
  for (std::size_t i = 0; i < 8; ++i)
    nonce[nonce.size() - 1 - i] = static_cast<char>(nonce[nonce.size() - 1 - i] ^ (number >> (8 * i) & 0xff));
  return nonce;
}

void mask_octet(char& octet, unsigned char mask) { octet = static_cast<char>(octet ^ mask); }

}  // namespace

InitialKeys initial_keys(std::string_view first_destination, bool server, std::uint32_t version) {
  static const std::string salt1 = *unhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a");
  static const std::string salt2 = *unhex("0dede3def700a6db819381be6e269dcbf9bd2ed9");
  bool second = version == kVersion2;
  std::string initial = hkdf_extract(second ? salt2 : salt1, first_destination);
  std::string secret = hkdf_expand_label(initial, server ? "server in" : "client in", 32);
  std::string prefix = second ? "quicv2 " : "quic ";
  return {hkdf_expand_label(secret, prefix + "key", 16), hkdf_expand_label(secret, prefix + "iv", 12),
          hkdf_expand_label(secret, prefix + "hp", 16)};
}

std::string seal_initial(const InitialKeys& keys, std::string_view destination, std::string_view source,
                         std::uint32_t packet_number, std::string_view frames, std::uint32_t version,
                         std::string_view token) {
  std::string packet(1, long_header_first_byte(PacketType::initial, version, kNumber - 1));
  put_u32(packet, version);
  packet += static_cast<char>(destination.size());
  packet += destination;
  packet += static_cast<char>(source.size());
  packet += source;
  put_varint(packet, token.size());
  packet += token;
  put_varint(packet, kNumber + frames.size() + kTag);
  std::size_t number_at = packet.size();
  put_u32(packet, packet_number);
  packet += gcm_seal(keys.key, nonce_of(keys, packet_number), frames, packet);
  Block mask = mask_of(keys, std::string_view(packet).substr(number_at + 4, kSample));
  mask_octet(packet[0], mask[0] & 0x0f);
  for (std::size_t i = 0; i < kNumber; ++i) mask_octet(packet[number_at + i], mask[1 + i]);
  return packet;
}

std::optional<std::string> open_initial(const InitialKeys& keys, std::string_view datagram) {
  auto header = parse(datagram);
  if (!header || header->type != PacketType::initial) return std::nullopt;
  // parse has seen to it that the length covers number and sample.
  std::string packet(header->packet);
  std::string_view rest = header->packet.substr(7 + header->destination.size() + header->source.size());
  auto token = consume_varint(rest);
  rest.remove_prefix(static_cast<std::size_t>(*token));
  consume_varint(rest);
  std::size_t number_at = packet.size() - rest.size();
  Block mask = mask_of(keys, rest.substr(4, kSample));
  mask_octet(packet[0], mask[0] & 0x0f);
  std::size_t number_size = (packet[0] & 3) + 1u;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < number_size; ++i) {
    mask_octet(packet[number_at + i], mask[1 + i]);
    number = number << 8 | static_cast<unsigned char>(packet[number_at + i]);
  }
  std::string_view whole = packet;
  std::size_t body_at = number_at + number_size;
  return gcm_open(keys.key, nonce_of(keys, number), whole.substr(body_at), whole.substr(0, body_at));
}

std::string connection_close_packet(const Header& client, std::uint64_t error, std::string_view reason) {
  std::string frames(1, '\x1c');
  put_varint(frames, error);
  put_varint(frames, 0);  // no frame of the client's is to blame
  put_varint(frames, reason.size());
  frames += reason;
  std::string source = random_bytes(8);
  source[0] = static_cast<char>(source[0] | kUnroutableRotation << 5);
  return seal_initial(initial_keys(client.destination, true, client.version), client.source, source, 0,
                      frames, client.version);
}

}  // namespace marblehub::quic
