// The protection of Initial packets (RFC 9001, 5; RFC 9369, 3.3 for version 2), so that a call that ends
// before a worker took it ends with a real CONNECTION_CLOSE instead of silence.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "quic/packet.h"

namespace marblehub::quic {

constexpr std::uint64_t kConnectionRefused = 0x02, kInvalidToken = 0x0b;  // RFC 9000, 20.1

struct InitialKeys {
  std::string key, iv, hp;
};
// Of one side, from the id that the client's first Initial was sent to.
InitialKeys initial_keys(std::string_view first_destination, bool server, std::uint32_t version = kVersion1);

// An Initial packet with these frames, protected.
std::string seal_initial(const InitialKeys& keys, std::string_view destination, std::string_view source,
                         std::uint32_t packet_number, std::string_view frames,
                         std::uint32_t version = kVersion1, std::string_view token = "");
// The frames of an Initial packet; none where it is not authentic.
std::optional<std::string> open_initial(const InitialKeys& keys, std::string_view datagram);

// What a server sends to end a connection that it has not begun; `client` needs version and ids only.
std::string connection_close_packet(const Header& client, std::uint64_t error, std::string_view reason);

}  // namespace marblehub::quic
