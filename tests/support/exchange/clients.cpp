// The stand-in clients.
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include "support/exchange/player.h"

namespace marblehub::test {

void ExchangePlayer::expect_crowd(int count, std::string text, bool answered) {
  int ms = kStepTimeout;
  if (std::size_t at = text.rfind('['); at != std::string::npos) {
    ms = std::stoi(text.substr(at + 1));
    text.resize(at > 0 ? at - 1 : 0);
  }
  int seen = 0;
  std::map<std::string, int> all;  // what became of them, for the one who reads a failure
  auto counted = [&] {
    seen = 0;
    all.clear();
    for (int i = 1; i <= crowd_; ++i) {
      const Conn& c = *conns_["crowd" + std::to_string(i)];
      std::size_t end = c.in.find("\r\n");
      std::string line = c.in.substr(0, end);
      bool whole = end != std::string::npos;
      seen += answered ? whole && c.end != Conn::rst && (text == "*" || matches(text, line))
                       : !whole && c.end != Conn::open;
      all["'" + line + (c.end == Conn::open ? "', open" : c.end == Conn::fin ? "', ended" : "', reset")] += 1;
    }
    return seen == count;
  };
  for (std::int64_t end = now_ms() + ms; now_ms() < end && !counted(); usleep(1000)) pump();
  if (counted()) return;
  std::string what;
  for (auto& [end, times] : all) what += std::to_string(times) + " " + end + "; ";
  FAIL("of " << crowd_ << " clients it was so for " << seen << ": " << what);
}

void ExchangePlayer::crowd_ends(const std::string& how) {
  for (int i = 1; i <= crowd_; ++i) {
    Conn& c = *conns_["crowd" + std::to_string(i)];
    if (how == "rst") c.reset();
    if (how == "fin") ::shutdown(c.fd, SHUT_WR);
  }
}

void ExchangePlayer::flood(Conn& from, int lines) {
  for (int i = 1; i <= lines; ++i) from.pending += flood_line(i);
}

void ExchangePlayer::take_flood(Conn& to, int lines) {
  std::string all;
  for (int i = 1; i <= lines; ++i) all += flood_line(i);
  until([&] { return to.in.size() >= all.size(); }, kFloodTimeout);
  REQUIRE(to.in.compare(0, all.size(), all) == 0);
  to.in.erase(0, all.size());
}

void ExchangePlayer::send_bytewise(Conn& to, const std::string& text) {
  int on = 1;
  setsockopt(to.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (char byte : text) {
    to.send(std::string(1, byte));
    until([&] { return bytes_untaken(to.fd) == 0; }, kStepTimeout);
    usleep(kBetweenBytes);
  }
}

void ExchangePlayer::connect_narrow(const std::string& who) {
  constexpr int receive_buffer = 4096;
  auto c = std::make_shared<Conn>();
  c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in to = loopback(program_->port);
  REQUIRE(::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  conns_[who] = std::move(c);
}

void ExchangePlayer::require_refused() {
  Conn c;
  c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(program_->port);
  REQUIRE(::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0);
  REQUIRE(errno == ECONNREFUSED);
}

void ExchangePlayer::fill(Conn& to, const std::string& line) {
  constexpr std::int64_t quiet_ms = 100;
  std::string left = line;
  for (std::int64_t end = now_ms() + quiet_ms; now_ms() < end;) {
    ssize_t n = ::send(to.fd, left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
      usleep(1000);
      continue;
    }
    left.erase(0, static_cast<std::size_t>(n));
    if (left.empty()) left = line;
    end = now_ms() + quiet_ms;
  }
}

void ExchangePlayer::expect_last(Conn& c, std::string text) {
  std::size_t limit = text.rfind(" [");
  int ms = limit == std::string::npos ? kStepTimeout : std::stoi(text.substr(limit + 2));
  if (limit != std::string::npos) text.resize(limit);
  until([&] { return c.end != Conn::open; }, ms);
  REQUIRE(c.end == Conn::fin);
  REQUIRE(c.in.ends_with(text + "\r\n"));
}

// What the program has not acknowledged; the kernel acknowledges what it has queued for the program, so a
// short pause lets the program read it as a piece of its own.
int ExchangePlayer::bytes_untaken(int fd) {
  int left = 0;
  ioctl(fd, TIOCOUTQ, &left);
  return left;
}

// '#' in the text of a crowd is the number of the client.
std::string ExchangePlayer::said_by(int client, std::string text) {
  for (std::size_t at; (at = text.find('#')) != std::string::npos;)
    text.replace(at, 1, std::to_string(client));
  return with_line_ends(text);
}

void ExchangePlayer::crowd(int count, const std::string& text) {
  for (int i = 0; i < count; ++i) {
    Conn& c = conn("crowd" + std::to_string(++crowd_));
    if (!text.empty()) c.send(said_by(crowd_, text));
  }
}

// Not one waits for its connect to come up, which takes a second or more when the listen queue is full.
void ExchangePlayer::flood(int count, const std::string& text) {
  sockaddr_in to = loopback(program_->port);
  for (int i = 0; i < count; ++i) {
    auto& c = conns_["crowd" + std::to_string(++crowd_)];
    c = std::make_shared<Conn>();
    c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    c->unsent = said_by(crowd_, text);
  }
}

void ExchangePlayer::crowd_says(const std::string& text) {
  for (int i = 1; i <= crowd_; ++i) conns_["crowd" + std::to_string(i)]->send(said_by(i, text) + "\r\n");
}

}  // namespace marblehub::test
