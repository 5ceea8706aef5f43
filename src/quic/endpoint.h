// An address and port of IPv4 or IPv6, in one form for tables, sockets and the PROXY header.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace marblehub::quic {

class Endpoint {
 public:
  Endpoint() = default;
  static Endpoint from(const sockaddr* address);  // another family: unspecified
  // Network byte order; 4 octets or 16. Nothing for other lengths.
  static std::optional<Endpoint> from(std::string_view address, std::uint16_t port);
  // "a.b.c.d:port" or "[ipv6]:port". Names are not looked up.
  static std::optional<Endpoint> parse(std::string_view text);

  bool is_specified() const { return size_ > 0; }
  int family() const { return size_ == 0 ? AF_UNSPEC : size_ == 6 ? AF_INET : AF_INET6; }
  // As the system wants it; returns its length. IPv4 takes the front of what is there.
  socklen_t write(sockaddr_in6& out) const;
  std::string_view address() const { return {bytes_, size_ > 0 ? size_ - 2u : 0u}; }  // 4 or 16 octets
  std::uint16_t port() const;
  std::string text() const;
  // Address and port as octets, equal for equal endpoints.
  std::string_view bytes() const { return {bytes_, size_}; }

  friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.bytes() == b.bytes(); }

 private:
  char bytes_[18]{};  // in network byte order; small, as every connection has one or two
  unsigned char size_ = 0;
};

}  // namespace marblehub::quic
