// Protection of Initial packets (RFC 9001, 5; RFC 9369, 3.3 for version 2), with which the QUIC front sends a
// CONNECTION_CLOSE for a call that ends before a worker has accepted it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quic/packet.h"

namespace marblehub::quic {

constexpr std::uint64_t kInternalError = 0x01, kConnectionRefused = 0x02,
                        kInvalidToken = 0x0b;  // RFC 9000, 20.1

/// The packet protection key, IV and header protection key of one direction (RFC 9001, 5.1).
struct InitialKeys {
  std::string key, iv, hp;
};
/// Derives the keys of the server or the client from the destination connection id of the client's first
/// Initial.
InitialKeys initial_keys(std::string_view first_destination, bool server, std::uint32_t version = kVersion1);

/// A protected Initial packet with these frames.
std::string seal_initial(const InitialKeys& keys, std::string_view destination, std::string_view source,
                         std::uint32_t packet_number, std::string_view frames,
                         std::uint32_t version = kVersion1, std::string_view token = "");
/// The frames of the Initial packet at the start of a datagram; none where it is no Initial or not authentic.
std::optional<std::string> open_initial(const InitialKeys& keys, std::string_view datagram);

/// The end of the handshake data that the CRYPTO frames among these frames carry, as an offset in the stream
/// of this data; 0 if they carry none. Frames behind one that no Initial may hold are not read.
std::uint64_t crypto_data_end(std::string_view frames);

/// An Initial packet of a server with a CONNECTION_CLOSE frame, in reply to the client's packet `client`, of
/// which version and connection ids are read. Its source connection id is random and unroutable.
std::string connection_close_packet(const Header& client, std::uint64_t error, std::string_view reason);

}  // namespace marblehub::quic
