#include "fleet/processes/links.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <deque>
#include <stdexcept>

#include "config/json.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

constexpr std::size_t kMaxQueuedBytes = 1 << 20;  // bytes of a stream queued in a link
constexpr std::int64_t kRetransmitDelayUs = 200'000, kReorderDelayUs = 50'000;

std::int64_t now_us() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

}  // namespace

/// One directed link: its datagram socket, its listener and the address of its target.
struct Links::Link {
  sockaddr_in to{};
  int udp = -1, listener = -1;
  Faults faults;
  EpollTarget on_udp, on_listener;
  ~Link() {
    if (udp >= 0) ::close(udp);
    if (listener >= 0) ::close(listener);
  }
};

/// A stream over a link: both its connections and the data read but not yet sent.
struct Links::Stream {
  Link* link = nullptr;
  int source_fd = -1, target_fd = -1;
  // Data to be sent at `due`, in microseconds.
  struct Chunk {
    std::int64_t due;
    std::string bytes;
  };
  std::deque<Chunk> queued;
  std::size_t bytes = 0;
  bool source_closed = false, closed = false;
  EpollTarget on_source, on_target;
  ~Stream() {
    if (source_fd >= 0) ::close(source_fd);
    if (target_fd >= 0) ::close(target_fd);
  }
};

Links::Links(std::uint64_t seed) : rng_(seed), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

Links::~Links() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  streams_.clear();
  ::close(epoll_);
}

std::string Links::add(const std::string& from, const std::string& to, const std::string& address) {
  auto link = std::make_unique<Link>();
  link->to = *config::parse_address(address);
  for (int tries = 0; link->listener < 0; ++tries) {  // the same port for datagrams and streams
    link->udp = bound_socket(SOCK_DGRAM | SOCK_NONBLOCK);
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(port_of(link->udp));
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(fd, 64) == 0) {
      link->listener = fd;
    } else {
      ::close(fd);
      ::close(std::exchange(link->udp, -1));
      if (tries == 100) throw std::runtime_error("no free port for a link");
    }
  }
  link->on_udp = {EpollTarget::udp, link.get(), nullptr};
  link->on_listener = {EpollTarget::listener, link.get(), nullptr};
  set_watched(link->udp, link->on_udp);
  set_watched(link->listener, link->on_listener);
  std::string own = loopback_address_text(port_of(link->udp));
  links_[{from, to}] = std::move(link);
  return own;
}

void Links::set_watched(int fd, EpollTarget& what, bool add) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = &what;
  ::epoll_ctl(epoll_, add ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, fd, &event);
}

void Links::start() {
  thread_ = std::thread([this] { run(); });
}

void Links::set(const std::string& from, const std::string& to, const Faults& faults) {
  std::lock_guard lock(mutex_);
  links_.at({from, to})->faults = faults;
}

Faults Links::get(const std::string& from, const std::string& to) {
  std::lock_guard lock(mutex_);
  return links_.at({from, to})->faults;
}

Links::Counts Links::counts() {
  std::lock_guard lock(mutex_);
  return counts_;
}

void Links::run() {
  epoll_event events[64];
  while (!stop_) {
    int n = ::epoll_wait(epoll_, events, 64, delayed_.empty() && streams_.empty() ? 10 : 1);
    std::lock_guard lock(mutex_);
    std::int64_t now = now_us();
    for (int i = 0; i < n; ++i) {
      auto& what = *static_cast<EpollTarget*>(events[i].data.ptr);
      if (what.kind == EpollTarget::udp) receive_datagrams(*what.link, now);
      if (what.kind == EpollTarget::listener) accept(*what.link);
      if (what.kind == EpollTarget::source_end) read_stream(*what.stream, now);
      if (what.kind == EpollTarget::target_end)
        what.stream->closed = true;  // no data comes from the target: the stream has ended
    }
    forward_due(now);
    ::usleep(200);  // descriptors stay readable over a cut link: no busy loop
  }
}

void Links::receive_datagrams(Link& link, std::int64_t now) {
  char buffer[65536];
  for (ssize_t n; (n = ::recv(link.udp, buffer, sizeof buffer, 0)) >= 0;) {
    const Faults& f = link.faults;
    if (f.cut || random_fraction() < f.loss) {
      counts_.lost += 1;
      continue;
    }
    int copies = 1 + (random_fraction() < f.repeat);
    counts_.repeated += copies > 1;
    for (int i = 0; i < copies; ++i) {
      double delay = (f.delay_from + (f.delay_to - f.delay_from) * random_fraction()) * 1000;
      if (i > 0 || random_fraction() < f.reorder) delay += kReorderDelayUs;
      delayed_.push({now + static_cast<std::int64_t>(delay), next_order_++, &link,
                     std::string(buffer, static_cast<std::size_t>(n))});
    }
  }
}

void Links::accept(Link& link) {
  if (link.faults.cut) return;  // stays in the backlog, as a lost SYN would be retransmitted
  for (int fd; (fd = ::accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    auto stream = std::make_unique<Stream>();
    stream->link = &link;
    stream->source_fd = fd;
    stream->target_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // On loopback a connection is established or refused immediately.
    if (::connect(stream->target_fd, reinterpret_cast<sockaddr*>(&link.to), sizeof link.to) != 0) continue;
    ::fcntl(stream->target_fd, F_SETFL, O_NONBLOCK);
    stream->on_source = {EpollTarget::source_end, &link, stream.get()};
    stream->on_target = {EpollTarget::target_end, &link, stream.get()};
    set_watched(stream->source_fd, stream->on_source);
    set_watched(stream->target_fd, stream->on_target);
    Stream* key = stream.get();
    streams_.emplace(key, std::move(stream));
  }
}

void Links::read_stream(Stream& stream, std::int64_t now) {
  const Faults& f = stream.link->faults;
  char buffer[16384];
  while (!stream.source_closed && !f.cut && stream.bytes < kMaxQueuedBytes) {
    ssize_t n = ::recv(stream.source_fd, buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) {
      stream.source_closed = true;
      set_watched(stream.source_fd, stream.on_source, false);
      return;
    }
    double delay = (f.delay_from + (f.delay_to - f.delay_from) * random_fraction()) * 1000;
    if (random_fraction() < f.loss) delay += kRetransmitDelayUs;
    std::int64_t due = now + static_cast<std::int64_t>(delay);
    if (!stream.queued.empty())
      due = std::max(due, stream.queued.back().due);  // keeps the order of the stream
    stream.queued.push_back({due, std::string(buffer, static_cast<std::size_t>(n))});
    stream.bytes += static_cast<std::size_t>(n);
  }
}

bool Links::forward_due(Stream& stream, std::int64_t now) {
  if (stream.closed) return false;
  if (stream.link->faults.cut) return true;
  while (!stream.queued.empty() && stream.queued.front().due <= now) {
    std::string& bytes = stream.queued.front().bytes;
    ssize_t n = ::send(stream.target_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EAGAIN) return true;
    if (n < 0) return false;
    stream.bytes -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty()) stream.queued.pop_front();
  }
  return !stream.source_closed || !stream.queued.empty();
}

void Links::forward_due(std::int64_t now) {
  while (!delayed_.empty() && delayed_.top().due <= now) {
    const DelayedDatagram& p = delayed_.top();
    if (p.link->faults.cut) {
      counts_.lost += 1;
    } else {
      counts_.passed += 1;
      ::sendto(p.link->udp, p.bytes.data(), p.bytes.size(), 0, reinterpret_cast<sockaddr*>(&p.link->to),
               sizeof p.link->to);
    }
    delayed_.pop();
  }
  for (auto it = streams_.begin(); it != streams_.end();)
    it = forward_due(*it->second, now) ? std::next(it) : streams_.erase(it);
}

}  // namespace marblehub::test
