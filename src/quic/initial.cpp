#include "quic/initial.h"

#include <algorithm>

#include "quic/connection_id.h"
#include "quic/crypto.h"

namespace marblehub::quic {
namespace {

constexpr std::size_t kTagSize = 16, kSampleSize = 16, kPacketNumberSize = 4;

Block header_protection_mask(const InitialKeys& keys, std::string_view sample) {
  Block in, out;
  std::memcpy(in.data(), sample.data(), kSampleSize);
  // Applying and removing header protection both encrypt the sample (RFC 9001, 5.4.1).
  Aes128(keys.hp, Aes128::Use::encrypt).encrypt(in, out);
  return out;
}

std::string nonce_of(const InitialKeys& keys, std::uint64_t number) {
  std::string nonce = keys.iv;
  for (std::size_t i = 0; i < 8; ++i)
    nonce[nonce.size() - 1 - i] = static_cast<char>(nonce[nonce.size() - 1 - i] ^ (number >> (8 * i) & 0xff));
  return nonce;
}

constexpr char kPadding = 0x00, kPing = 0x01, kAck = 0x02, kAckEcn = 0x03, kCrypto = 0x06;  // RFC 9000, 19

// Removes an ACK frame behind its type; false where it is incomplete.
bool skip_ack(std::string_view& frames, bool has_ecn_counts) {
  consume_varint(frames);  // largest acknowledged
  consume_varint(frames);  // delay
  auto ranges = consume_varint(frames);
  if (!ranges || *ranges > frames.size()) return false;
  std::uint64_t fields = 1 + 2 * *ranges + (has_ecn_counts ? 3 : 0);
  for (std::uint64_t i = 0; i < fields; ++i)
    if (!consume_varint(frames)) return false;
  return true;
}

void apply_mask(char& byte, unsigned char mask) { byte = static_cast<char>(byte ^ mask); }

}  // namespace

InitialKeys initial_keys(std::string_view first_destination, bool server, std::uint32_t version) {
  static const std::string salt1 = *unhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a");
  static const std::string salt2 = *unhex("0dede3def700a6db819381be6e269dcbf9bd2ed9");
  bool is_version2 = version == kVersion2;
  std::string initial = hkdf_extract(is_version2 ? salt2 : salt1, first_destination);
  std::string secret = hkdf_expand_label(initial, server ? "server in" : "client in", 32);
  std::string prefix = is_version2 ? "quicv2 " : "quic ";
  return {hkdf_expand_label(secret, prefix + "key", 16), hkdf_expand_label(secret, prefix + "iv", 12),
          hkdf_expand_label(secret, prefix + "hp", 16)};
}

std::string seal_initial(const InitialKeys& keys, std::string_view destination, std::string_view source,
                         std::uint32_t packet_number, std::string_view frames, std::uint32_t version,
                         std::string_view token) {
  std::string packet(1, long_header_first_byte(PacketType::initial, version, kPacketNumberSize - 1));
  put_u32(packet, version);
  packet += static_cast<char>(destination.size());
  packet += destination;
  packet += static_cast<char>(source.size());
  packet += source;
  put_varint(packet, token.size());
  packet += token;
  put_varint(packet, kPacketNumberSize + frames.size() + kTagSize);
  std::size_t number_offset = packet.size();
  put_u32(packet, packet_number);
  packet += gcm_seal(keys.key, nonce_of(keys, packet_number), frames, packet);
  Block mask = header_protection_mask(keys, std::string_view(packet).substr(number_offset + 4, kSampleSize));
  apply_mask(packet[0], mask[0] & 0x0f);
  for (std::size_t i = 0; i < kPacketNumberSize; ++i) apply_mask(packet[number_offset + i], mask[1 + i]);
  return packet;
}

std::optional<std::string> open_initial(const InitialKeys& keys, std::string_view datagram) {
  auto header = parse(datagram);
  if (!header || header->type != PacketType::initial) return std::nullopt;
  // parse() has checked that the packet's length covers the packet number and the sample.
  std::string packet(header->packet);
  std::string_view rest = header->packet.substr(7 + header->destination.size() + header->source.size());
  auto token = consume_varint(rest);
  rest.remove_prefix(static_cast<std::size_t>(*token));
  consume_varint(rest);
  std::size_t number_offset = packet.size() - rest.size();
  Block mask = header_protection_mask(keys, rest.substr(4, kSampleSize));
  apply_mask(packet[0], mask[0] & 0x0f);
  std::size_t number_size = (packet[0] & 3) + 1u;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < number_size; ++i) {
    apply_mask(packet[number_offset + i], mask[1 + i]);
    number = number << 8 | static_cast<unsigned char>(packet[number_offset + i]);
  }
  std::string_view unprotected = packet;
  std::size_t payload_offset = number_offset + number_size;
  return gcm_open(keys.key, nonce_of(keys, number), unprotected.substr(payload_offset),
                  unprotected.substr(0, payload_offset));
}

std::uint64_t crypto_data_end(std::string_view frames) {
  std::uint64_t data_end = 0;
  while (!frames.empty()) {
    const char type = frames[0];
    frames.remove_prefix(1);
    if (type == kPadding || type == kPing) continue;
    if (type == kAck || type == kAckEcn) {
      if (!skip_ack(frames, type == kAckEcn)) break;
      continue;
    }
    if (type != kCrypto) break;
    auto offset = consume_varint(frames);
    auto length = offset ? consume_varint(frames) : std::nullopt;
    if (!length || *length > frames.size()) break;
    frames.remove_prefix(static_cast<std::size_t>(*length));
    data_end = std::max(data_end, *offset + *length);
  }
  return data_end;
}

std::string connection_close_packet(const Header& client, std::uint64_t error, std::string_view reason) {
  std::string frames(1, '\x1c');
  put_varint(frames, error);
  put_varint(frames, 0);  // frame type: none caused the error (RFC 9000, 19.19)
  put_varint(frames, reason.size());
  frames += reason;
  std::string source = random_bytes(8);
  source[0] = static_cast<char>(source[0] | kUnroutableRotation << 5);
  return seal_initial(initial_keys(client.destination, true, client.version), client.source, source, 0,
                      frames, client.version);
}

}  // namespace marblehub::quic
