// Steps of the simulated clients.
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
  std::map<std::string, int> outcomes;  // number of clients by outcome, for the failure message
  auto counted = [&] {
    seen = 0;
    outcomes.clear();
    for (int i = 1; i <= crowd_size_; ++i) {
      const Connection& c = *connections_["crowd" + std::to_string(i)];
      std::size_t end = c.received.find("\r\n");
      std::string line = c.received.substr(0, end);
      bool whole = end != std::string::npos;
      seen += answered ? whole && c.state != Connection::rst && (text == "*" || matches(text, line))
                       : !whole && c.state != Connection::open;
      outcomes["'" + line +
               (c.state == Connection::open  ? "', open"
                : c.state == Connection::fin ? "', ended"
                                             : "', reset")] += 1;
    }
    return seen == count;
  };
  for (std::int64_t end = now_ms() + ms; now_ms() < end && !counted(); usleep(1000)) run_once();
  if (counted()) return;
  std::string what;
  for (auto& [end, times] : outcomes) what += std::to_string(times) + " " + end + "; ";
  FAIL("of " << crowd_size_ << " clients this was true for " << seen << ": " << what);
}

void ExchangePlayer::close_crowd(const std::string& how) {
  for (int i = 1; i <= crowd_size_; ++i) {
    Connection& c = *connections_["crowd" + std::to_string(i)];
    if (how == "rst") c.reset();
    if (how == "fin") ::shutdown(c.fd, SHUT_WR);
  }
}

void ExchangePlayer::flood(Connection& from, int lines) {
  for (int i = 1; i <= lines; ++i) from.flood_backlog += flood_line(i);
}

void ExchangePlayer::expect_flood(Connection& to, int lines) {
  std::string expected;
  for (int i = 1; i <= lines; ++i) expected += flood_line(i);
  wait_until([&] { return to.received.size() >= expected.size(); }, kFloodTimeout);
  REQUIRE(to.received.compare(0, expected.size(), expected) == 0);
  to.received.erase(0, expected.size());
}

void ExchangePlayer::send_bytewise(Connection& to, const std::string& text) {
  int on = 1;
  setsockopt(to.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (char byte : text) {
    to.send(std::string(1, byte));
    wait_until([&] { return unacknowledged_bytes(to.fd) == 0; }, kStepTimeout);
    usleep(kByteInterval);
  }
}

void ExchangePlayer::connect_narrow(const std::string& who) {
  constexpr int receive_buffer = 4096;
  auto c = std::make_shared<Connection>();
  c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in to = loopback(program_->port);
  REQUIRE(::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  connections_[who] = std::move(c);
}

void ExchangePlayer::require_refused() {
  Connection c;
  c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(program_->port);
  REQUIRE(::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0);
  REQUIRE(errno == ECONNREFUSED);
}

void ExchangePlayer::fill(Connection& to, const std::string& line) {
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

void ExchangePlayer::expect_last(Connection& c, std::string text) {
  std::size_t limit = text.rfind(" [");
  int ms = limit == std::string::npos ? kStepTimeout : std::stoi(text.substr(limit + 2));
  if (limit != std::string::npos) text.resize(limit);
  wait_until([&] { return c.state != Connection::open; }, ms);
  REQUIRE(c.state == Connection::fin);
  REQUIRE(c.received.ends_with(text + "\r\n"));
}

// Sent bytes that are not acknowledged. The kernel acknowledges bytes that it has queued for the program; a
// short pause after that lets the program read them separately.
int ExchangePlayer::unacknowledged_bytes(int fd) {
  int left = 0;
  ioctl(fd, TIOCOUTQ, &left);
  return left;
}

// Replaces '#' in the text of a crowd by the client's number.
std::string ExchangePlayer::crowd_text(int client, std::string text) {
  for (std::size_t at; (at = text.find('#')) != std::string::npos;)
    text.replace(at, 1, std::to_string(client));
  return with_line_ends(text);
}

void ExchangePlayer::crowd(int count, const std::string& text) {
  for (int i = 0; i < count; ++i) {
    Connection& c = conn("crowd" + std::to_string(++crowd_size_));
    if (!text.empty()) c.send(crowd_text(crowd_size_, text));
  }
}

// Does not wait for the connects to complete, which takes a second or more if the listen queue is full.
void ExchangePlayer::flood(int count, const std::string& text) {
  sockaddr_in to = loopback(program_->port);
  for (int i = 0; i < count; ++i) {
    auto& c = connections_["crowd" + std::to_string(++crowd_size_)];
    c = std::make_shared<Connection>();
    c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    c->unsent = crowd_text(crowd_size_, text);
  }
}

void ExchangePlayer::send_from_crowd(const std::string& text) {
  for (int i = 1; i <= crowd_size_; ++i)
    connections_["crowd" + std::to_string(i)]->send(crowd_text(i, text) + "\r\n");
}

}  // namespace marblehub::test
