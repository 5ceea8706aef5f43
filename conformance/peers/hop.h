/// A simulated network between a client and the router, which loses, duplicates and delays datagrams.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "peers/udp.h"

namespace marblehub::peers {

/// The probabilities (0 to 1) with which the network loses, duplicates and delays a datagram, and the seed of
/// its random generator.
struct Faults {
  double loss = 0, duplication = 0, delay = 0;  // later datagrams overtake a delayed one
  std::int64_t delay_us = 20'000;
  std::uint64_t seed = 1;
};

/// The network hop around a client's sockets, with faults in both directions. It can change the client's
/// address without the client's knowledge, as a NAT does.
class Hop {
 public:
  explicit Hop(int family, Faults faults = {});
  void send(std::string_view bytes, const Endpoint& to);
  /// The datagrams that arrive at the current and at all previous addresses.
  std::vector<std::string> receive();
  /// Sends delayed datagrams that are due.
  void step();
  /// Opens a new socket, whose address replaces the current one.
  void rebind();
  const Endpoint& address() const { return sockets_.back()->local(); }
  Udp& socket() { return *sockets_.back(); }
  std::size_t bytes_in = 0, bytes_out = 0;
  /// Replaces each sent datagram by any number of others; unset: no change.
  std::function<std::vector<std::string>(std::string)> tamper;

 private:
  // A datagram that is delivered at `due_at`.
  struct DelayedDatagram {
    std::int64_t due_at;
    std::string bytes;
    Endpoint to;
  };
  bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  const int family_;
  Faults faults_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Udp>> sockets_;
  std::vector<DelayedDatagram> delayed_out_, delayed_in_;
};

}  // namespace marblehub::peers
