// Sockets on the loopback network, and free ports for a program under test.
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

// 127.0.0.1 with a port in host byte order.
inline sockaddr_in loopback(int port = 0) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

// The local port of a socket.
inline int port_of(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

inline std::string loopback_address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

// An address in a part of the loopback network that belongs to this test process, so that tests running in
// parallel cannot take the port between the check and the bind.
inline std::string process_address(int member, int port) {
  unsigned pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(10 + pid / 256 % 240) + "." + std::to_string(pid % 256) + "." +
         std::to_string(1 + member) + ":" + std::to_string(port);
}

// A socket bound to a free loopback port; `type` may include SOCK_NONBLOCK. The caller closes it.
inline int bound_socket(int type) {
  int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback();
  if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) throw std::runtime_error("no free port");
  return fd;
}

// A blocking connection to a port on 127.0.0.1. The caller closes it.
inline int connected_socket(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(port);
  timeval send_timeout{5, 0};  // bounds a connect to a full listen queue
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    throw std::runtime_error("no connection");
  return fd;
}

// A loopback port that is free for sockets of this type. It lies below the ephemeral port range, so that
// connections of tests running in parallel cannot take it before the program binds it.
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
