#include "quic/endpoint.h"

#include <arpa/inet.h>

#include <cstring>

#include "config/options.h"

namespace marblehub::quic {

void Endpoint::note() {
  std::string_view where = address();
  std::uint16_t port_octets = htons(port());
  std::memcpy(octets_, where.data(), where.size());
  std::memcpy(octets_ + where.size(), &port_octets, 2);
  size_ = static_cast<unsigned char>(where.size() + 2);
}

Endpoint Endpoint::from(const sockaddr* address) {
  Endpoint e;
  if (address->sa_family != AF_INET && address->sa_family != AF_INET6) return e;
  std::memcpy(&e.storage_, address,
              address->sa_family == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6));
  if (address->sa_family == AF_INET6) e.storage_.sin6_flowinfo = 0;
  e.note();
  return e;
}

std::optional<Endpoint> Endpoint::from(std::string_view address, std::uint16_t port) {
  if (address.size() == 4) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    std::memcpy(&a.sin_addr, address.data(), 4);
    return from(reinterpret_cast<const sockaddr*>(&a));
  }
  if (address.size() != 16) return std::nullopt;
  sockaddr_in6 a{};
  a.sin6_family = AF_INET6;
  a.sin6_port = htons(port);
  std::memcpy(&a.sin6_addr, address.data(), 16);
  return from(reinterpret_cast<const sockaddr*>(&a));
}

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto port = config::number_in<std::uint16_t>(text.substr(colon + 1));
  std::string host(text.substr(0, colon));
  if (!port || *port == 0) return std::nullopt;
  char octets[16];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), octets) != 1) return std::nullopt;
    return from(std::string_view(octets, 16), *port);
  }
  if (inet_pton(AF_INET, host.c_str(), octets) != 1) return std::nullopt;
  return from(std::string_view(octets, 4), *port);
}

std::string_view Endpoint::address() const {
  if (family() == AF_INET6) return {reinterpret_cast<const char*>(&storage_.sin6_addr), 16};
  if (family() == AF_INET)
    return {reinterpret_cast<const char*>(&reinterpret_cast<const sockaddr_in*>(&storage_)->sin_addr), 4};
  return {};
}

std::uint16_t Endpoint::port() const { return ntohs(storage_.sin6_port); }  // at the same place in both

std::string Endpoint::text() const {
  char out[INET6_ADDRSTRLEN] = "";
  inet_ntop(family(), address().data(), out, sizeof out);
  std::string host = family() == AF_INET6 ? "[" + std::string(out) + "]" : out;
  return host + ":" + std::to_string(port());
}

}  // namespace marblehub::quic
