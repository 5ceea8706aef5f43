/// Conversions between the project's types and those of ngtcp2 and GnuTLS.
#pragma once

#include <ngtcp2/ngtcp2.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <string_view>

#include "peers/udp.h"

namespace marblehub::peers {

/// The application close code that asks the client to reconnect.
inline constexpr std::uint64_t kMoveCloseCode = 0x4d;

inline ngtcp2_tstamp now_ns() { return static_cast<ngtcp2_tstamp>(now_us()) * 1000; }
inline const std::uint8_t* raw(std::string_view s) { return reinterpret_cast<const std::uint8_t*>(s.data()); }
inline std::string text_of(const ngtcp2_cid& id) {
  return {reinterpret_cast<const char*>(id.data), id.datalen};
}

inline ngtcp2_cid cid_of(std::string_view text) {
  ngtcp2_cid id;
  ngtcp2_cid_init(&id, raw(text), text.size());
  return id;
}

/// An endpoint as a socket address for ngtcp2 and system calls, which keep pointers into it.
struct SocketAddress {
  explicit SocketAddress(const Endpoint& e) : size(e.write(name)) {}
  operator ngtcp2_addr() { return {raw(), static_cast<ngtcp2_socklen>(size)}; }
  sockaddr* raw() { return reinterpret_cast<sockaddr*>(&name); }
  sockaddr_in6 name;
  socklen_t size;
};

/// Throws std::runtime_error with the message `what` unless `done`.
inline void require(bool done, const char* what) {
  if (!done) throw std::runtime_error(what);
}

}  // namespace marblehub::peers
