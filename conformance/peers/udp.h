/// A datagram socket on loopback that never blocks, and the clock of the peers.
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

class Udp {
 public:
  explicit Udp(int family = AF_INET, int port = 0);
  ~Udp();
  Udp(const Udp&) = delete;
  void send(std::string_view bytes, const Endpoint& to) const;
  struct ReceivedDatagram {
    std::string bytes;
    Endpoint from;
    unsigned char ecn = 0;
  };
  std::optional<ReceivedDatagram> receive() const;
  void set_ecn(unsigned char ecn) const;  // of what is sent from now on
  const Endpoint& local() const { return local_; }

 private:
  int fd_;
  Endpoint local_;
};

}  // namespace marblehub::peers
