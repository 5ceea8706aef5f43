#include "quic/endpoint.h"

#include <arpa/inet.h>

#include <cstring>

#include "config/options.h"

namespace marblehub::quic {

Endpoint Endpoint::from(const sockaddr* address) {
  if (address->sa_family == AF_INET) {
    sockaddr_in a;
    std::memcpy(&a, address, sizeof a);
    return *from(std::string_view(reinterpret_cast<char*>(&a.sin_addr), 4), ntohs(a.sin_port));
  }
  if (address->sa_family != AF_INET6) return {};
  sockaddr_in6 a;
  std::memcpy(&a, address, sizeof a);
  return *from(std::string_view(reinterpret_cast<char*>(&a.sin6_addr), 16), ntohs(a.sin6_port));
}

std::optional<Endpoint> Endpoint::from(std::string_view address, std::uint16_t port) {
  if (address.size() != 4 && address.size() != 16) return std::nullopt;
  Endpoint e;
  std::uint16_t network = htons(port);
  std::memcpy(e.bytes_, address.data(), address.size());
  std::memcpy(e.bytes_ + address.size(), &network, 2);
  e.size_ = static_cast<unsigned char>(address.size() + 2);
  return e;
}

socklen_t Endpoint::write(sockaddr_in6& out) const {
  out = {};
  std::string_view ip = address();
  if (ip.size() == 16) {
    out.sin6_family = AF_INET6;
    out.sin6_port = htons(port());
    std::memcpy(&out.sin6_addr, ip.data(), 16);
    return sizeof out;
  }
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port());
  std::memcpy(&a.sin_addr, ip.data(), ip.size());
  std::memcpy(&out, &a, sizeof a);
  return sizeof a;
}

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto port = config::parse_number<std::uint16_t>(text.substr(colon + 1));
  std::string host(text.substr(0, colon));
  if (!port || *port == 0) return std::nullopt;
  char raw[16];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), raw) != 1) return std::nullopt;
    return from(std::string_view(raw, 16), *port);
  }
  if (inet_pton(AF_INET, host.c_str(), raw) != 1) return std::nullopt;
  return from(std::string_view(raw, 4), *port);
}

std::uint16_t Endpoint::port() const {
  if (size_ < 2) return 0;
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes_[size_ - 2]) << 8 |
                                    static_cast<unsigned char>(bytes_[size_ - 1]));
}

std::string Endpoint::text() const {
  char out[INET6_ADDRSTRLEN] = "";
  inet_ntop(family(), address().data(), out, sizeof out);
  std::string host = family() == AF_INET6 ? "[" + std::string(out) + "]" : out;
  return host + ":" + std::to_string(port());
}

}  // namespace marblehub::quic
