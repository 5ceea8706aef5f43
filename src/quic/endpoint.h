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
  Endpoint() { storage_.sin6_family = AF_UNSPEC; }
  static Endpoint from(const sockaddr* address);  // another family: unspecified
  // Network byte order; 4 octets or 16. Nothing for other lengths.
  static std::optional<Endpoint> from(std::string_view address, std::uint16_t port);
  // "a.b.c.d:port" or "[ipv6]:port". Names are not looked up.
  static std::optional<Endpoint> parse(std::string_view text);

  bool known() const { return family() != AF_UNSPEC; }
  int family() const { return storage_.sin6_family; }
  const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  socklen_t size() const { return family() == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in); }
  std::string_view address() const;  // 4 or 16 octets
  std::uint16_t port() const;
  std::string text() const;
  // Address and port as octets, equal for equal endpoints.
  std::string_view octets() const { return {octets_, size_}; }

  friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.octets() == b.octets(); }

 private:
  void note();

  sockaddr_in6 storage_{};
  char octets_[18]{};
  unsigned char size_ = 0;
};

}  // namespace marblehub::quic
