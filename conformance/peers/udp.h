/// Nonblocking loopback datagram sockets, and the clock of the peers.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quic/endpoint.h"

namespace marblehub::peers {

using quic::Endpoint;

/// Microseconds on a steady clock.
std::int64_t now_us();

/// A nonblocking UDP socket on a loopback address.
class Udp {
 public:
  /// Port 0 selects a free port. Throws std::runtime_error where the port cannot be bound.
  explicit Udp(int family = AF_INET, int port = 0);
  ~Udp();
  Udp(const Udp&) = delete;
  void send(std::string_view bytes, const Endpoint& to) const;
  /// A received datagram, its source address and its ECN codepoint.
  struct ReceivedDatagram {
    std::string bytes;
    Endpoint from;
    unsigned char ecn = 0;
  };
  /// The next datagram, if one is available.
  std::optional<ReceivedDatagram> receive() const;
  /// Sets the ECN codepoint of datagrams sent from now on.
  void set_ecn(unsigned char ecn) const;
  const Endpoint& local() const { return local_; }

 private:
  int fd_;
  Endpoint local_;
};

}  // namespace marblehub::peers
