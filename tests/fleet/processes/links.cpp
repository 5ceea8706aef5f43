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

constexpr std::size_t kHeld = 1 << 20;  // octets of a stream in the link
constexpr std::int64_t kResend = 200'000, kOvertaken = 50'000;

std::int64_t now_us() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

}  // namespace

struct Links::Pair {
  sockaddr_in to{};
  int udp = -1, listener = -1;
  Faults faults;
  Watched on_udp, on_listener;
  ~Pair() {
    if (udp >= 0) ::close(udp);
    if (listener >= 0) ::close(listener);
  }
};

struct Links::Conn {
  Pair* pair = nullptr;
  int near = -1, far = -1;
  struct Part {
    std::int64_t due;
    std::string octets;
  };
  std::deque<Part> held;
  std::size_t octets = 0;
  bool ended = false, over = false;
  Watched on_near, on_far;
  ~Conn() {
    if (near >= 0) ::close(near);
    if (far >= 0) ::close(far);
  }
};

Links::Links(std::uint64_t seed) : random_(seed), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

Links::~Links() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  conns_.clear();
  ::close(epoll_);
}

std::string Links::add(const std::string& from, const std::string& to, const std::string& address) {
  auto pair = std::make_unique<Pair>();
  pair->to = *config::parse_address(address);
  for (int tries = 0; pair->listener < 0; ++tries) {  // one port for both
    pair->udp = bound_socket(SOCK_DGRAM | SOCK_NONBLOCK);
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(port_of(pair->udp));
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(fd, 64) == 0) {
      pair->listener = fd;
    } else {
      ::close(fd);
      ::close(std::exchange(pair->udp, -1));
      if (tries == 100) throw std::runtime_error("no port for a link");
    }
  }
  pair->on_udp = {Watched::udp, pair.get(), nullptr};
  pair->on_listener = {Watched::listener, pair.get(), nullptr};
  watch(pair->udp, pair->on_udp);
  watch(pair->listener, pair->on_listener);
  std::string own = loopback_address_text(port_of(pair->udp));
  pairs_[{from, to}] = std::move(pair);
  return own;
}

void Links::watch(int fd, Watched& what, bool add) {
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
  pairs_.at({from, to})->faults = faults;
}

Faults Links::get(const std::string& from, const std::string& to) {
  std::lock_guard lock(mutex_);
  return pairs_.at({from, to})->faults;
}

Links::Counts Links::counts() {
  std::lock_guard lock(mutex_);
  return counts_;
}

void Links::run() {
  epoll_event events[64];
  while (!stop_) {
    int n = ::epoll_wait(epoll_, events, 64, late_.empty() && conns_.empty() ? 10 : 1);
    std::lock_guard lock(mutex_);
    std::int64_t now = now_us();
    for (int i = 0; i < n; ++i) {
      auto& what = *static_cast<Watched*>(events[i].data.ptr);
      if (what.kind == Watched::udp) datagrams(*what.pair, now);
      if (what.kind == Watched::listener) accept(*what.pair);
      if (what.kind == Watched::near_end) read(*what.conn, now);
      if (what.kind == Watched::far_end) what.conn->over = true;  // nothing is said that way: it has ended
    }
    pump(now);
    ::usleep(200);  // what a cut leaves ready must not keep the processor busy
  }
}

void Links::datagrams(Pair& pair, std::int64_t now) {
  char buffer[65536];
  for (ssize_t n; (n = ::recv(pair.udp, buffer, sizeof buffer, 0)) >= 0;) {
    const Faults& f = pair.faults;
    if (f.cut || chance() < f.loss) {
      counts_.lost += 1;
      continue;
    }
    int copies = 1 + (chance() < f.repeat);
    counts_.repeated += copies > 1;
    for (int i = 0; i < copies; ++i) {
      double delay = (f.delay_from + (f.delay_to - f.delay_from) * chance()) * 1000;
      if (i > 0 || chance() < f.reorder) delay += kOvertaken;
      late_.push({now + static_cast<std::int64_t>(delay), order_++, &pair,
                  std::string(buffer, static_cast<std::size_t>(n))});
    }
  }
}

void Links::accept(Pair& pair) {
  if (pair.faults.cut) return;  // it waits where it is, as a SYN that is lost is sent again
  for (int fd; (fd = ::accept4(pair.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    auto conn = std::make_unique<Conn>();
    conn->pair = &pair;
    conn->near = fd;
    conn->far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Loopback: it is there at once or refused at once.
    if (::connect(conn->far, reinterpret_cast<sockaddr*>(&pair.to), sizeof pair.to) != 0) continue;
    ::fcntl(conn->far, F_SETFL, O_NONBLOCK);
    conn->on_near = {Watched::near_end, &pair, conn.get()};
    conn->on_far = {Watched::far_end, &pair, conn.get()};
    watch(conn->near, conn->on_near);
    watch(conn->far, conn->on_far);
    Conn* key = conn.get();
    conns_.emplace(key, std::move(conn));
  }
}

void Links::read(Conn& conn, std::int64_t now) {
  const Faults& f = conn.pair->faults;
  char buffer[16384];
  while (!conn.ended && !f.cut && conn.octets < kHeld) {
    ssize_t n = ::recv(conn.near, buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) {
      conn.ended = true;
      watch(conn.near, conn.on_near, false);
      return;
    }
    double delay = (f.delay_from + (f.delay_to - f.delay_from) * chance()) * 1000;
    if (chance() < f.loss) delay += kResend;
    std::int64_t due = now + static_cast<std::int64_t>(delay);
    if (!conn.held.empty()) due = std::max(due, conn.held.back().due);  // in order
    conn.held.push_back({due, std::string(buffer, static_cast<std::size_t>(n))});
    conn.octets += static_cast<std::size_t>(n);
  }
}

bool Links::pump(Conn& conn, std::int64_t now) {
  if (conn.over) return false;
  if (conn.pair->faults.cut) return true;
  while (!conn.held.empty() && conn.held.front().due <= now) {
    std::string& octets = conn.held.front().octets;
    ssize_t n = ::send(conn.far, octets.data(), octets.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EAGAIN) return true;
    if (n < 0) return false;
    conn.octets -= static_cast<std::size_t>(n);
    octets.erase(0, static_cast<std::size_t>(n));
    if (octets.empty()) conn.held.pop_front();
  }
  return !conn.ended || !conn.held.empty();
}

void Links::pump(std::int64_t now) {
  while (!late_.empty() && late_.top().due <= now) {
    const Packet& p = late_.top();
    if (p.pair->faults.cut) {
      counts_.lost += 1;
    } else {
      counts_.passed += 1;
      ::sendto(p.pair->udp, p.octets.data(), p.octets.size(), 0, reinterpret_cast<sockaddr*>(&p.pair->to),
               sizeof p.pair->to);
    }
    late_.pop();
  }
  for (auto it = conns_.begin(); it != conns_.end();)
    it = pump(*it->second, now) ? std::next(it) : conns_.erase(it);
}

}  // namespace marblehub::test
