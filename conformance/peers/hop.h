/// The network between a client and the router: a hop that loses, repeats and delays datagrams.
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

// What the network between a client and the router does to datagrams, drawn from a seed. Shares are of 1.
struct Faults {
  double loss = 0, duplication = 0, delay = 0;  // a delayed one is overtaken by those behind it
  std::int64_t delay_us = 20'000;
  std::uint64_t seed = 1;
};

// The hop that does it, both ways, around a client's socket; it can also give the client another address, as
// a NAT does, without the client knowing.
class Hop {
 public:
  explicit Hop(int family, Faults faults = {});
  void send(std::string_view bytes, const Endpoint& to);
  std::vector<std::string> receive();  // from the present address and all earlier ones
  void step();                         // lets go of what was delayed
  void rebind();
  const Endpoint& address() const { return sockets_.back()->local(); }
  Udp& socket() { return *sockets_.back(); }
  std::size_t bytes_in = 0, bytes_out = 0;
  std::function<std::vector<std::string>(std::string)> tamper;  // of what is sent: several, other or none

 private:
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
