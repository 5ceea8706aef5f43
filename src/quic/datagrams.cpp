#include "quic/datagrams.h"

#include <netinet/ip.h>
#include <netinet/udp.h>

#include <cerrno>
#include <cstring>

namespace marblehub::quic {
namespace {

constexpr std::size_t kMessages = 64;      // in one sendmmsg
constexpr std::size_t kSegments = 60;      // in one message under UDP_SEGMENT; the kernel takes 64
constexpr std::size_t kSegmented = 64000;  // octets of such a message; the kernel takes 65,507

// Whether the kernel segments for us: found out by the first attempt.
bool segmenting = true;

void set(int fd, int level, int name, int value) { ::setsockopt(fd, level, name, &value, sizeof value); }

net::Fd open_socket(int family) {
  net::Fd fd(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  // A kernel without one of these serves all the same, with less speed or without the marks.
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

// The marks and the size of the segments that a message was put together from; 0: it is one datagram.
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

struct Control {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int)) + CMSG_SPACE(sizeof(std::uint16_t))> octets;
};

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
  if (fd && ::connect(fd.get(), reinterpret_cast<sockaddr*>(&name), size) != 0) fd.reset();
  return fd;
}

Receiver::Receiver() : buffers_(std::make_unique_for_overwrite<char[]>(kBatch * kBuffer)) {
  for (std::size_t i = 0; i < kBatch; ++i) {
    parts_[i] = {buffers_.get() + i * kBuffer, kBuffer};
    messages_[i].msg_hdr.msg_iov = &parts_[i];
    messages_[i].msg_hdr.msg_iovlen = 1;
  }
}

Receiver::Status Receiver::receive(int fd, bool connected, const std::function<void(const Datagram&)>& each) {
  for (std::size_t i = 0; i < kBatch; ++i) {
    msghdr& m = messages_[i].msg_hdr;
    m.msg_name = connected ? nullptr : &names_[i];
    m.msg_namelen = connected ? 0 : sizeof names_[i];
    m.msg_control = control_[i].data();
    m.msg_controllen = kControl;
  }
  int n = ::recvmmsg(fd, messages_.data(), kBatch, 0, nullptr);
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
  return static_cast<std::size_t>(n) == kBatch ? Status::more : Status::drained;
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
  static std::array<mmsghdr, kMessages> messages;
  static std::array<std::array<iovec, 2 * kSegments>, kMessages> parts;
  static std::array<Control, kMessages> control;
  static std::array<sockaddr_in6, kMessages> names;
  static std::array<std::size_t, kMessages> held;  // datagrams in each message
  FlushResult result;
  std::size_t next = 0;
  while (next < count_) {
    std::size_t filled = 0, first = next;
    for (; filled < kMessages && next < count_; ++filled) {
      const Entry& lead = entries_[next];
      msghdr& m = messages[filled].msg_hdr;
      m = {};
      m.msg_iov = parts[filled].data();
      std::size_t octets = 0, segments = 0;
      // A run of datagrams to one peer, of one size (the last may be shorter) and one mark, is one message.
      while (next < count_ && segments < kSegments) {
        const Entry& e = entries_[next];
        bool alike = e.to == lead.to && e.ecn == lead.ecn && e.size() <= lead.size();
        if (segments > 0 && (!segmenting || !alike || octets + e.size() > kSegmented)) break;
        if (e.header_size > 0)
          m.msg_iov[m.msg_iovlen++] = {const_cast<char*>(e.header.data()), e.header_size};
        m.msg_iov[m.msg_iovlen++] = {const_cast<char*>(e.payload.data()), e.payload.size()};
        octets += e.size();
        segments += 1;
        next += 1;
        if (e.size() < lead.size()) break;
      }
      held[filled] = segments;
      if (lead.to.is_specified()) {
        m.msg_name = &names[filled];
        m.msg_namelen = lead.to.write(names[filled]);
      }
      m.msg_control = control[filled].octets.data();
      auto* at = reinterpret_cast<cmsghdr*>(m.msg_control);
      if (segments > 1)
        at = put_control(m, at, IPPROTO_UDP, UDP_SEGMENT, static_cast<std::uint16_t>(lead.size()));
      if (lead.ecn != 0) {
        bool six = family_ == AF_INET6;
        put_control(m, at, six ? IPPROTO_IPV6 : IPPROTO_IP, six ? IPV6_TCLASS : IP_TOS, int{lead.ecn});
      }
      if (m.msg_controllen == 0) m.msg_control = nullptr;
    }
    std::size_t done = 0;
    bool again = false;
    while (done < filled) {
      int n = ::sendmmsg(fd, messages.data() + done, static_cast<unsigned>(filled - done), MSG_NOSIGNAL);
      if (n > 0) {
        for (int i = 0; i < n; ++i) result.datagrams += held[done + static_cast<std::size_t>(i)];
        done += static_cast<std::size_t>(n);
        again = false;
        continue;
      }
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 && errno == ECONNREFUSED && !again) {  // told of an earlier one; this one has not gone out
        result.port_closed = again = true;
        continue;
      }
      if (n < 0 && held[done] > 1 && (errno == EINVAL || errno == EIO) && segmenting) {
        segmenting = false;  // not on this kernel or device: from that message on they go one by one
        std::size_t skipped = 0;
        for (std::size_t i = 0; i < done; ++i) skipped += held[i];
        next = first + skipped;
        break;
      }
      result.dropped += held[done];  // a full buffer or a datagram too long: the loss is for QUIC to mend
      done += 1;
      again = false;
    }
  }
  count_ = 0;
  return result;
}

void send_now(int fd, std::string_view header, std::string_view payload, const Endpoint* to) {
  iovec parts[2] = {{const_cast<char*>(header.data()), header.size()},
                    {const_cast<char*>(payload.data()), payload.size()}};
  msghdr m{};
  m.msg_iov = header.empty() ? parts + 1 : parts;
  m.msg_iovlen = header.empty() ? 1 : 2;
  sockaddr_in6 name;
  if (to) {
    m.msg_name = &name;
    m.msg_namelen = to->write(name);
  }
  ::sendmsg(fd, &m, MSG_NOSIGNAL);
}

}  // namespace marblehub::quic
