// Batched datagram I/O: recvmmsg and sendmmsg, with UDP_GRO and UDP_SEGMENT where the kernel supports them.
// ECN codepoints (RFC 3168; RFC 9000, 13.4) are read and preserved, and don't-fragment is set on all sent
// datagrams (RFC 9000, 14). No allocation in steady state.
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

/// A received datagram.
struct Datagram {
  std::string_view bytes;  // valid until the next receive
  Endpoint from;           // unspecified on a connected socket
  unsigned char ecn = 0;   // the ECN codepoint, 0 to 3
};

/// UDP sockets, nonblocking and close-on-exec; an empty Fd where the system refuses.
net::Fd listening_socket(const Endpoint& at);
net::Fd connected_socket(const Endpoint& to);

/// A datagram that came back with an ICMP error.
struct ReturnedDatagram {
  int error = 0;           // an errno value; ECONNREFUSED: the port was closed
  std::string_view bytes;  // its beginning, as far as the error quotes it
};

/// Reads and removes the errors of a socket made by connected_socket, in the order in which they arrived.
/// Each is for one datagram.
void read_returned(int fd, const std::function<void(const ReturnedDatagram&)>& each);

/// Receive buffers, shared by all sockets of a front, which are read one after another.
class Receiver {
 public:
  Receiver();
  /// The result of a receive.
  enum class Status {
    drained,     ///< the socket has no more datagrams
    more,        ///< the batch was full, so there may be more
    port_closed  ///< an ICMP error showed the peer's port closed
  };
  /// Receives one batch and passes each datagram to `each`. `connected`: the socket is connected, and the
  /// datagrams carry no source address.
  Status receive(int fd, bool connected, const std::function<void(const Datagram&)>& each);

 private:
  static constexpr std::size_t kBatchSize = 32, kBufferSize = 65536, kControlSize = 64;
  std::unique_ptr<char[]> buffers_;  // not zeroed, so that unused pages stay unmapped
  std::array<mmsghdr, kBatchSize> messages_{};
  std::array<iovec, kBatchSize> iovecs_{};
  std::array<sockaddr_in6, kBatchSize> addresses_{};
  std::array<std::array<char, kControlSize>, kBatchSize> control_{};
};

/// A queue of datagrams to send through one socket. Payloads are not copied and must stay valid until the
/// flush.
class Sender {
 public:
  /// A queued datagram. The caller of `add` may write a PROXY header into it, which precedes the payload.
  struct Entry {
    Endpoint to;  // unspecified on a connected socket
    std::array<char, kMaxProxyHeaderSize> header;
    std::size_t header_size = 0;
    std::string_view payload;
    unsigned char ecn = 0;
    std::size_t size() const { return header_size + payload.size(); }
  };
  /// `family` of the socket: AF_INET or AF_INET6.
  explicit Sender(int family) : family_(family) {}
  /// Queues a datagram; the reference is valid until the next `add`.
  Entry& add(std::string_view payload, unsigned char ecn, const Endpoint& to = Endpoint());
  bool empty() const { return count_ == 0; }
  /// The numbers of datagrams sent and dropped.
  struct FlushResult {
    std::size_t datagrams = 0, dropped = 0;
    bool port_closed = false;  // an ICMP error showed the peer's port closed
  };
  /// Sends all queued datagrams; those that the system refuses are dropped.
  FlushResult flush(int fd);

 private:
  const int family_;
  std::vector<Entry> entries_;
  std::size_t count_ = 0;
};

/// Sends one datagram at once, outside of any batch. Returns whether the system took it; errors of earlier
/// datagrams are passed over.
bool send_now(int fd, std::string_view header, std::string_view payload, const Endpoint* to = nullptr);

}  // namespace marblehub::quic
