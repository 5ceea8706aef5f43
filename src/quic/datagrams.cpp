#include "quic/datagrams.h"

#include <linux/errqueue.h>
#include <netinet/ip.h>
#include <netinet/udp.h>

#include <cerrno>
#include <cstring>

namespace marblehub::quic {
namespace {

constexpr std::size_t kMaxMessages = 64;           // in one sendmmsg
constexpr std::size_t kMaxSegments = 60;           // in one message with UDP_SEGMENT; the kernel allows 64
constexpr std::size_t kMaxSegmentedBytes = 64000;  // bytes of such a message; the kernel allows 65,507

constexpr std::size_t kMaxQuotedBytes = 1024;   // of a returned datagram; Linux quotes up to 520
constexpr std::size_t kErrorControlSize = 256;  // an extended error and the address of its sender

// Whether a send may fail with this error because of an ICMP message about an earlier datagram.
bool is_icmp_error(int error) {
  return error == ECONNREFUSED || error == EHOSTUNREACH || error == ENETUNREACH;
}

// Whether the kernel supports UDP_SEGMENT; cleared by the first failed send.
bool segmentation_supported = true;

void set(int fd, int level, int name, int value) { ::setsockopt(fd, level, name, &value, sizeof value); }

net::Fd open_socket(int family) {
  net::Fd fd(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  // These options are optional: without them ECN or batched receives are not available.
  if (family == AF_INET6) {
    set(fd.get(), IPPROTO_IPV6, IPV6_V6ONLY, 1);
    set(fd.get(), IPPROTO_IPV6, IPV6_RECVTCLASS, 1);
    set(fd.get(), IPPROTO_IPV6, IPV6_MTU_DISCOVER, IPV6_PMTUDISC_PROBE);
  } else {
    set(fd.get(), IPPROTO_IP, IP_RECVTOS, 1);
    set(fd.get(), IPPROTO_IP, IP_MTU_DISCOVER, IP_PMTUDISC_PROBE);
  }
  set(fd.get(), IPPROTO_UDP, UDP_GRO, 1);
  return fd;
}

// Reads the ECN codepoint and the size of the segments that UDP_GRO has merged; 0: a single datagram.
void read_control(msghdr& message, unsigned char& ecn, std::size_t& segment) {
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
    if (c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_TOS) ecn = *CMSG_DATA(c) & 3;
    if (c->cmsg_level == IPPROTO_IPV6 && c->cmsg_type == IPV6_TCLASS) {
      int value;
      std::memcpy(&value, CMSG_DATA(c), sizeof value);
      ecn = static_cast<unsigned char>(value & 3);
    }
    if (c->cmsg_level == IPPROTO_UDP && c->cmsg_type == UDP_GRO) {
      int value;
      std::memcpy(&value, CMSG_DATA(c), sizeof value);
      segment = static_cast<std::size_t>(value);
    }
  }
}

// The control data of a sent message: the ECN codepoint and the segment size.
struct Control {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int)) + CMSG_SPACE(sizeof(std::uint16_t))> bytes;
};

// Writes one control message at `at` and returns the position of the next.
template <class Value>
cmsghdr* put_control(msghdr& message, cmsghdr* at, int level, int type, Value value) {
  at->cmsg_level = level;
  at->cmsg_type = type;
  at->cmsg_len = CMSG_LEN(sizeof value);
  std::memcpy(CMSG_DATA(at), &value, sizeof value);
  message.msg_controllen += CMSG_SPACE(sizeof value);
  return reinterpret_cast<cmsghdr*>(reinterpret_cast<char*>(at) + CMSG_SPACE(sizeof value));
}

}  // namespace

net::Fd listening_socket(const Endpoint& at) {
  net::Fd fd = open_socket(at.family());
  sockaddr_in6 name;
  socklen_t size = at.write(name);
  if (fd && ::bind(fd.get(), reinterpret_cast<sockaddr*>(&name), size) != 0) fd.reset();
  if (fd) set(fd.get(), SOL_SOCKET, SO_RCVBUF, 4 << 20);
  return fd;
}

net::Fd connected_socket(const Endpoint& to) {
  net::Fd fd = open_socket(to.family());
  sockaddr_in6 name;
  socklen_t size = to.write(name);
  if (to.family() == AF_INET6) {
    set(fd.get(), IPPROTO_IPV6, IPV6_RECVERR, 1);
  } else {
    set(fd.get(), IPPROTO_IP, IP_RECVERR, 1);
  }
  if (fd && ::connect(fd.get(), reinterpret_cast<sockaddr*>(&name), size) != 0) fd.reset();
  return fd;
}

void read_returned(int fd, const std::function<void(const ReturnedDatagram&)>& each) {
  std::array<char, kMaxQuotedBytes> buffer;
  alignas(cmsghdr) std::array<char, kErrorControlSize> control;
  for (;;) {
    iovec part{buffer.data(), buffer.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    ssize_t size = ::recvmsg(fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT);
    if (size < 0) return;
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
      bool is_error = (c->cmsg_level == IPPROTO_IP && c->cmsg_type == IP_RECVERR) ||
                      (c->cmsg_level == IPPROTO_IPV6 && c->cmsg_type == IPV6_RECVERR);
      if (!is_error) continue;
      sock_extended_err error;
      std::memcpy(&error, CMSG_DATA(c), sizeof error);
      each({static_cast<int>(error.ee_errno), {buffer.data(), static_cast<std::size_t>(size)}});
    }
  }
}

Receiver::Receiver() : buffers_(std::make_unique_for_overwrite<char[]>(kBatchSize * kBufferSize)) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    iovecs_[i] = {buffers_.get() + i * kBufferSize, kBufferSize};
    messages_[i].msg_hdr.msg_iov = &iovecs_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
  }
}

Receiver::Status Receiver::receive(int fd, bool connected, const std::function<void(const Datagram&)>& each) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    msghdr& m = messages_[i].msg_hdr;
    m.msg_name = connected ? nullptr : &addresses_[i];
    m.msg_namelen = connected ? 0 : sizeof addresses_[i];
    m.msg_control = control_[i].data();
    m.msg_controllen = kControlSize;
  }
  int n = ::recvmmsg(fd, messages_.data(), kBatchSize, 0, nullptr);
  if (n < 0) return errno == ECONNREFUSED ? Status::port_closed : Status::drained;
  for (int i = 0; i < n; ++i) {
    msghdr& m = messages_[static_cast<std::size_t>(i)].msg_hdr;
    if (m.msg_flags & MSG_TRUNC) continue;
    Datagram datagram;
    std::size_t segment = 0;
    read_control(m, datagram.ecn, segment);
    if (!connected) datagram.from = Endpoint::from(static_cast<const sockaddr*>(m.msg_name));
    std::string_view all(static_cast<const char*>(m.msg_iov->iov_base),
                         messages_[static_cast<std::size_t>(i)].msg_len);
    if (segment == 0) segment = all.size();
    do {
      datagram.bytes = all.substr(0, segment);
      all.remove_prefix(datagram.bytes.size());
      each(datagram);
    } while (!all.empty());
  }
  return static_cast<std::size_t>(n) == kBatchSize ? Status::more : Status::drained;
}

Sender::Entry& Sender::add(std::string_view payload, unsigned char ecn, const Endpoint& to) {
  if (count_ == entries_.size()) entries_.emplace_back();
  Entry& entry = entries_[count_++];
  entry.to = to;
  entry.header_size = 0;
  entry.payload = payload;
  entry.ecn = ecn;
  return entry;
}

Sender::FlushResult Sender::flush(int fd) {
  static std::array<mmsghdr, kMaxMessages> messages;
  static std::array<std::array<iovec, 2 * kMaxSegments>, kMaxMessages> iovecs;
  static std::array<Control, kMaxMessages> control;
  static std::array<sockaddr_in6, kMaxMessages> addresses;
  static std::array<std::size_t, kMaxMessages> datagram_counts;  // datagrams in each message
  FlushResult result;
  std::size_t next = 0;
  while (next < count_) {
    std::size_t filled = 0, first = next;
    for (; filled < kMaxMessages && next < count_; ++filled) {
      const Entry& lead = entries_[next];
      msghdr& m = messages[filled].msg_hdr;
      m = {};
      m.msg_iov = iovecs[filled].data();
      std::size_t bytes = 0, segments = 0;
      // Consecutive datagrams to one peer with one ECN codepoint and of one size (the last may be shorter)
      // are sent as one message.
      while (next < count_ && segments < kMaxSegments) {
        const Entry& e = entries_[next];
        bool mergeable = e.to == lead.to && e.ecn == lead.ecn && e.size() <= lead.size();
        if (segments > 0 && (!segmentation_supported || !mergeable || bytes + e.size() > kMaxSegmentedBytes))
          break;
        if (e.header_size > 0)
          m.msg_iov[m.msg_iovlen++] = {const_cast<char*>(e.header.data()), e.header_size};
        m.msg_iov[m.msg_iovlen++] = {const_cast<char*>(e.payload.data()), e.payload.size()};
        bytes += e.size();
        segments += 1;
        next += 1;
        if (e.size() < lead.size()) break;
      }
      datagram_counts[filled] = segments;
      if (lead.to.is_specified()) {
        m.msg_name = &addresses[filled];
        m.msg_namelen = lead.to.write(addresses[filled]);
      }
      m.msg_control = control[filled].bytes.data();
      auto* at = reinterpret_cast<cmsghdr*>(m.msg_control);
      if (segments > 1)
        at = put_control(m, at, IPPROTO_UDP, UDP_SEGMENT, static_cast<std::uint16_t>(lead.size()));
      if (lead.ecn != 0) {
        bool is_ipv6 = family_ == AF_INET6;
        put_control(m, at, is_ipv6 ? IPPROTO_IPV6 : IPPROTO_IP, is_ipv6 ? IPV6_TCLASS : IP_TOS,
                    int{lead.ecn});
      }
      if (m.msg_controllen == 0) m.msg_control = nullptr;
    }
    std::size_t done = 0;
    bool error_reported = false;
    while (done < filled) {
      int n = ::sendmmsg(fd, messages.data() + done, static_cast<unsigned>(filled - done), MSG_NOSIGNAL);
      if (n > 0) {
        for (int i = 0; i < n; ++i) result.datagrams += datagram_counts[done + static_cast<std::size_t>(i)];
        done += static_cast<std::size_t>(n);
        error_reported = false;
        continue;
      }
      if (n < 0 && errno == EINTR) continue;
      // The error belongs to an earlier datagram; this one was not sent.
      if (n < 0 && is_icmp_error(errno) && !error_reported) {
        error_reported = true;
        result.port_closed = result.port_closed || errno == ECONNREFUSED;
        continue;
      }
      if (n < 0 && datagram_counts[done] > 1 && (errno == EINVAL || errno == EIO) && segmentation_supported) {
        // Not supported by the kernel or device: send one by one from this message on.
        segmentation_supported = false;
        std::size_t skipped = 0;
        for (std::size_t i = 0; i < done; ++i) skipped += datagram_counts[i];
        next = first + skipped;
        break;
      }
      result.dropped += datagram_counts[done];  // full buffer or oversized datagram; QUIC recovers the loss
      done += 1;
      error_reported = false;
    }
  }
  count_ = 0;
  return result;
}

bool send_now(int fd, std::string_view header, std::string_view payload, const Endpoint* to) {
  iovec iovecs[2] = {{const_cast<char*>(header.data()), header.size()},
                     {const_cast<char*>(payload.data()), payload.size()}};
  msghdr m{};
  m.msg_iov = header.empty() ? iovecs + 1 : iovecs;
  m.msg_iovlen = header.empty() ? 1 : 2;
  sockaddr_in6 name;
  if (to) {
    m.msg_name = &name;
    m.msg_namelen = to->write(name);
  }
  if (::sendmsg(fd, &m, MSG_NOSIGNAL) >= 0) return true;
  return is_icmp_error(errno) && ::sendmsg(fd, &m, MSG_NOSIGNAL) >= 0;
}

}  // namespace marblehub::quic
