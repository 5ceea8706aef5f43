// Datagrams in batches: recvmmsg and sendmmsg, with UDP_GRO and UDP_SEGMENT where the kernel has them, ECN
// marks (RFC 3168; RFC 9000, 13.4) taken in and passed on, and don't-fragment set on all that is sent, as
// QUIC asks (RFC 9000, 14). After the first rounds nothing here allocates.
#pragma once

#include <sys/socket.h>

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include "net/loop.h"
#include "quic/endpoint.h"
#include "quic/proxy_header.h"

namespace marblehub::quic {

struct Datagram {
  std::string_view bytes;  // good until the next receive
  Endpoint from;           // unspecified on a connected socket
  unsigned char ecn = 0;
};

// Nonblocking, close-on-exec; an empty Fd where the system refuses.
net::Fd listening_socket(const Endpoint& at);
net::Fd connected_socket(const Endpoint& to);

// The buffers that all sockets of a front share: they are read one after another.
class Receiver {
 public:
  Receiver();
  enum class Status { drained, more, port_closed };  // refused: the peer's port is closed (ICMP)
  // One batch of what has come. `more` where it was full.
  Status receive(int fd, bool connected, const std::function<void(const Datagram&)>& each);

 private:
  static constexpr std::size_t kBatch = 32, kBuffer = 65536, kControl = 64;
  std::unique_ptr<char[]> buffers_;  // never written as a whole: pages that no datagram reaches cost nothing
  std::array<mmsghdr, kBatch> messages_{};
  std::array<iovec, kBatch> parts_{};
  std::array<sockaddr_in6, kBatch> names_{};
  std::array<std::array<char, kControl>, kBatch> control_{};
};

// What is to go out through one socket, until it is flushed. Payloads are not copied: they must live until
// then.
class Sender {
 public:
  // The bytes that stand before the payload are written by the caller into what `add` returns, if any.
  struct Entry {
    Endpoint to;  // unspecified on a connected socket
    std::array<char, kMaxProxyHeaderSize> header;
    std::size_t header_size = 0;
    std::string_view payload;
    unsigned char ecn = 0;
    std::size_t size() const { return header_size + payload.size(); }
  };
  explicit Sender(int family) : family_(family) {}  // of the socket: AF_INET or AF_INET6
  Entry& add(std::string_view payload, unsigned char ecn, const Endpoint& to = Endpoint());
  bool empty() const { return count_ == 0; }
  struct FlushResult {
    std::size_t datagrams = 0, dropped = 0;
    bool port_closed = false;  // the peer's port was found closed
  };
  FlushResult flush(int fd);

 private:
  const int family_;
  std::vector<Entry> entries_;
  std::size_t count_ = 0;
};

// One at once, outside of any batch.
void send_now(int fd, std::string_view header, std::string_view payload, const Endpoint* to = nullptr);

}  // namespace marblehub::quic
