// Sockets on the loopback net, and ports that a program under test can listen on.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <random>
#include <stdexcept>
#include <string>

namespace marblehub::test {

inline sockaddr_in loopback(int port = 0) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

inline int port_of(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

inline std::string loopback_address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

// Each test process has a part of the loopback net to itself, so that a port there is free whenever it is
// bound: one found free may be taken by a test beside before the program has it.
inline std::string process_address(int member, int port) {
  unsigned pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(10 + pid / 256 % 240) + "." + std::to_string(pid % 256) + "." +
         std::to_string(1 + member) + ":" + std::to_string(port);
}

// A socket bound to a free loopback port; type may carry SOCK_NONBLOCK.
inline int bound_socket(int type) {
  int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback();
  if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) throw std::runtime_error("no free port");
  return fd;
}

// A client's connection to a port of this machine.
inline int connected_socket(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(port);
  timeval send_timeout{5, 0};  // a listen queue that is full lets nobody in
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    throw std::runtime_error("no connection");
  return fd;
}

// A loopback port that is free for sockets of this type, below the range from which the system itself takes
// ports: none of the many connections and sockets that tests beside this one open can take it before the
// program binds it.
inline int free_port(int type) {
  constexpr int lowest = 12000, highest = 32000;  // net.ipv4.ip_local_port_range begins at 32768
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> any(lowest, highest);
  for (int tries = 0; tries < 1000; ++tries) {
    int port = any(random);
    int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free) return port;
  }
  throw std::runtime_error("no free port");
}

}  // namespace marblehub::test
