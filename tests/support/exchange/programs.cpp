// Steps that start, check and signal the programs under test.
#include "support/exchange/player.h"

namespace marblehub::test {

std::unique_ptr<Program> ExchangePlayer::make_program(Launch launch) {
  json known = json::array();
  for (auto& [name, entry] : worker_entries_) known.push_back(entry);
  return std::make_unique<Program>(known, settings_, port_of(registry_fd_), "/nonexistent", "/nonexistent",
                                   file_limit_, "/nonexistent", list_version_, "/nonexistent", launch);
}

void ExchangePlayer::start(Launch launch) {
  program_ = make_program(socket_limit_ == 0 ? launch : Launch::at_once);
  if (socket_limit_ > 0) {
    program_->config()["limits"]["sockets"] = socket_limit_;
    program_->restart();
  }
  if (launch == Launch::awaited) confirm_list();
}

void ExchangePlayer::restart() {
  program_->restart();
  confirm_list();
}

void ExchangePlayer::signal_until_exit(int number) {
  for (std::int64_t end = now_ms() + 2 * kStepTimeout; now_ms() < end;) {
    for (int i = 0; i < 1000; ++i) program_->signal(number);
    if (program_->has_ended()) return;
  }
  FAIL("the program has not ended");
}

void ExchangePlayer::start_other_programs(int count, int ms) {
  std::int64_t end = now_ms() + ms;
  for (int i = 0; i < count; ++i) other_programs_.push_back(make_program(Launch::at_once));
  for (auto& other : other_programs_) {
    INFO("the log: " << other->log());
    REQUIRE(answers_ping(other->port, end));
  }
}

bool ExchangePlayer::answers_ping(int port, std::int64_t end) {
  for (; now_ms() < end; usleep(10000)) {
    Connection c;
    c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(port);
    if (::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) continue;
    c.send("PING\r\n");
    for (; now_ms() < end && c.state == Connection::open; usleep(1000)) {
      run_once();
      c.read();
      if (std::optional<std::string> line = c.line()) return *line == "PONG";
    }
  }
  return false;
}

// Each gets its own loopback address, so that no two can choose the same port.
void ExchangePlayer::start_extra_programs(int count) {
  for (int i = 0; i < count; ++i) {
    std::string address = process_address(i, 1);
    std::string host = address.substr(0, address.find(':'));
    ExtraProgram extra;
    extra.program = std::make_unique<Program>(json::array(), settings_, port_of(registry_fd_), "/nonexistent",
                                              "/nonexistent", file_limit_, "/nonexistent", list_version_,
                                              "/nonexistent", Launch::at_once, host);
    inet_pton(AF_INET, host.c_str(), &extra.address.sin_addr);
    extra.address.sin_family = AF_INET;
    extra.address.sin_port = htons(static_cast<std::uint16_t>(extra.program->port));
    extra_programs_.push_back(std::move(extra));
  }
}

// Connects until it succeeds, and sends PING once, as a health check does.
bool ExchangePlayer::receives_pong(ExtraProgram& extra) {
  if (!extra.connection) {
    auto connection = std::make_unique<Connection>();
    connection->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(connection->fd, reinterpret_cast<sockaddr*>(&extra.address), sizeof extra.address) != 0)
      return false;
    connection->send("PING\r\n");
    extra.connection = std::move(connection);
  }
  extra.connection->read();
  return extra.connection->received == "PONG\r\n";
}

void ExchangePlayer::expect_ready(std::size_t count, const std::string& limit) {
  wait_until(
      [&] {
        std::size_t ready = 0;
        for (ExtraProgram& extra : extra_programs_) ready += receives_pong(extra);
        return ready == count;
      },
      limit.empty() ? kStepTimeout : std::stoi(limit.substr(1)));
}

}  // namespace marblehub::test
