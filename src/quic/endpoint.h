// An IPv4 or IPv6 address with a port, as used in tables, in socket calls and in the PROXY header.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace marblehub::quic {

/// An IP address and a port, or unspecified if default-constructed.
class Endpoint {
 public:
  Endpoint() = default;
  /// Converts from a socket address; unspecified for a family other than IPv4 and IPv6.
  static Endpoint from(const sockaddr* address);
  /// `address`: 4 or 16 bytes in network byte order; none for other lengths. `port`: in host byte order.
  static std::optional<Endpoint> from(std::string_view address, std::uint16_t port);
  /// Parses "a.b.c.d:port" or "[ipv6]:port" with a port other than 0; none for other texts, host names
  /// included.
  static std::optional<Endpoint> parse(std::string_view text);

  bool is_specified() const { return size_ > 0; }
  int family() const { return size_ == 0 ? AF_UNSPEC : size_ == 6 ? AF_INET : AF_INET6; }
  /// Writes a socket address for system calls and returns its length; an IPv4 address is a sockaddr_in at the
  /// start of `out`.
  socklen_t write(sockaddr_in6& out) const;
  /// 4 or 16 bytes in network byte order; empty if unspecified.
  std::string_view address() const { return {bytes_, size_ > 0 ? size_ - 2u : 0u}; }
  std::uint16_t port() const;
  /// The form that parse() reads.
  std::string text() const;
  /// Address and port in network byte order; equal for equal endpoints.
  std::string_view bytes() const { return {bytes_, size_}; }

  friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.bytes() == b.bytes(); }

 private:
  char bytes_[18]{};  // address and port in network byte order, stored inline
  unsigned char size_ = 0;
};

}  // namespace marblehub::quic
