#include "peers/udp.h"

#include <netinet/ip.h>
#include <unistd.h>

#include <chrono>

#include "peers/ngtcp2_support.h"

namespace marblehub::peers {

std::int64_t now_us() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

Udp::Udp(int family, int port) : fd_(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  std::string any = family == AF_INET6 ? std::string(15, '\0') + '\1' : std::string("\x7f\0\0\1", 4);
  Endpoint at = *Endpoint::from(any, static_cast<std::uint16_t>(port));
  SocketAddress bound(at);
  require(fd_ >= 0 && ::bind(fd_, bound.raw(), bound.size) == 0, "no free port");
  sockaddr_in6 name{};
  socklen_t size = sizeof name;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size);
  local_ = Endpoint::from(reinterpret_cast<sockaddr*>(&name));
  int on = 1, large = 1 << 20;
  ::setsockopt(fd_, IPPROTO_IP, IP_RECVTOS, &on, sizeof on);
  ::setsockopt(fd_, IPPROTO_IPV6, IPV6_RECVTCLASS, &on, sizeof on);
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &large, sizeof large);
}

Udp::~Udp() { ::close(fd_); }

void Udp::set_ecn(unsigned char ecn) const {
  int value = ecn;
  ::setsockopt(fd_, IPPROTO_IP, IP_TOS, &value, sizeof value);
  ::setsockopt(fd_, IPPROTO_IPV6, IPV6_TCLASS, &value, sizeof value);
}

void Udp::send(std::string_view bytes, const Endpoint& to) const {
  SocketAddress name(to);
  ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, name.raw(), name.size);
}

std::optional<Udp::ReceivedDatagram> Udp::receive() const {
  char buffer[65536];
  alignas(cmsghdr) char control[128];
  sockaddr_in6 name{};
  iovec part{buffer, sizeof buffer};
  msghdr message{};
  message.msg_name = &name;
  message.msg_namelen = sizeof name;
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t n = ::recvmsg(fd_, &message, 0);
  if (n < 0) return std::nullopt;
  ReceivedDatagram received{std::string(buffer, static_cast<std::size_t>(n)),
                            Endpoint::from(reinterpret_cast<sockaddr*>(&name)), 0};
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c))
    if ((c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_TOS) ||
        (c->cmsg_level == IPPROTO_IPV6 && c->cmsg_type == IPV6_TCLASS))
      received.ecn = *CMSG_DATA(c) & 3;
  return received;
}

}  // namespace marblehub::peers
