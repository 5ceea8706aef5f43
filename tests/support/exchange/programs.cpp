// The programs under test: started, checked, signalled.
#include "support/exchange/player.h"

namespace marblehub::test {

std::unique_ptr<Program> ExchangePlayer::launched(Launch launch) {
  json known = json::array();
  for (auto& [name, entry] : entries_) known.push_back(entry);
  return std::make_unique<Program>(known, settings_, port_of(registry_fd_), "/nonexistent", "/nonexistent",
                                   files_, "/nonexistent", index_, "/nonexistent", launch);
}

void ExchangePlayer::start(Launch launch) {
  program_ = launched(sockets_ == 0 ? launch : Launch::at_once);
  if (sockets_ == 0) return;
  program_->config()["limits"]["sockets"] = sockets_;
  program_->restart();
}

void ExchangePlayer::storm(int number) {
  for (std::int64_t end = now_ms() + 2 * kStepTimeout; now_ms() < end;) {
    for (int i = 0; i < 1000; ++i) program_->signal(number);
    if (program_->has_ended()) return;
  }
  FAIL("the program has not ended");
}

void ExchangePlayer::start_others(int count, int ms) {
  std::int64_t end = now_ms() + ms;
  for (int i = 0; i < count; ++i) others_.push_back(launched(Launch::at_once));
  for (auto& other : others_) {
    INFO("the log: " << other->log());
    REQUIRE(answers_ping(other->port, end));
  }
}

bool ExchangePlayer::answers_ping(int port, std::int64_t end) {
  for (; now_ms() < end; usleep(10000)) {
    Conn c;
    c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(port);
    if (::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) continue;
    c.send("PING\r\n");
    for (; now_ms() < end && c.end == Conn::open; usleep(1000)) {
      c.read();
      if (std::optional<std::string> line = c.line()) return *line == "PONG";
    }
  }
  return false;
}

// Each has a loopback address to itself, so that no port found free for one is taken by another.
void ExchangePlayer::start_fellows(int count) {
  for (int i = 0; i < count; ++i) {
    std::string address = own_address(i, 1);
    std::string host = address.substr(0, address.find(':'));
    Fellow fellow;
    fellow.program = std::make_unique<Program>(json::array(), settings_, port_of(registry_fd_),
                                               "/nonexistent", "/nonexistent", files_, "/nonexistent", index_,
                                               "/nonexistent", Launch::at_once, host);
    inet_pton(AF_INET, host.c_str(), &fellow.address.sin_addr);
    fellow.address.sin_family = AF_INET;
    fellow.address.sin_port = htons(static_cast<std::uint16_t>(fellow.program->port));
    fellows_.push_back(std::move(fellow));
  }
}

// As a front does it: connects until it is let in, and asks once.
bool ExchangePlayer::says_pong(Fellow& fellow) {
  if (!fellow.checker) {
    auto checker = std::make_unique<Conn>();
    checker->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(checker->fd, reinterpret_cast<sockaddr*>(&fellow.address), sizeof fellow.address) != 0)
      return false;
    checker->send("PING\r\n");
    fellow.checker = std::move(checker);
  }
  fellow.checker->read();
  return fellow.checker->in == "PONG\r\n";
}

void ExchangePlayer::expect_ready(std::size_t count, const std::string& limit) {
  until(
      [&] {
        std::size_t ready = 0;
        for (Fellow& fellow : fellows_) ready += says_pong(fellow);
        return ready == count;
      },
      limit.empty() ? kStepTimeout : std::stoi(limit.substr(1)));
}

}  // namespace marblehub::test
