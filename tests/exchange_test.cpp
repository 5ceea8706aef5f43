// Plays the recorded exchanges of tests/exchanges, one section per file. Floods are tested separately.
#include <catch2/catch.hpp>
#include <filesystem>
#include <vector>

#include "support/exchange_player.h"
#include "support/program.h"

namespace marblehub::test {

TEST_CASE("recorded exchanges") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(MARBLEHUB_EXCHANGES))
    files.push_back(entry.path());
  REQUIRE(files.size() >= 10);
  for (const auto& path : files) {
    DYNAMIC_SECTION(path.stem().string()) { play_exchange(path); }
  }
}

TEST_CASE("a client that does not read blocks its worker, with bounded memory and without loss") {
  int worker = bound_socket(SOCK_STREAM);
  ::listen(worker, 1);
  json known = json::array({{{"name", "w1"},
                             {"address", loopback_address_text(port_of(worker))},
                             {"zone", "a"},
                             {"status", "ready"},
                             {"weight", 1.0}}});
  json own = settings();
  own["limits"]["probes"] = false;
  Program program(known, own, free_port(SOCK_STREAM));
  int client = connected_socket(program.port);
  std::string open = "OPEN 1 2 c=telemetry,d=2000\r\n";
  ::send(client, open.data(), open.size(), 0);
  int call = ::accept(worker, nullptr, nullptr);
  char buffer[65536];
  REQUIRE(::recv(call, buffer, sizeof buffer, 0) > 0);
  ::send(call, "UP r\r\n", 6, 0);
  const std::string line = std::string(1022, 'x') + "\r\n";
  std::string unsent;  // of the line begun
  std::size_t sent = 0, got = 0;
  auto send_some = [&] {
    ssize_t n = ::send(call, unsent.data(), unsent.size(), MSG_DONTWAIT);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
    unsent.erase(0, static_cast<std::size_t>(n));
    return true;
  };
  for (std::int64_t quiet_since = now_ms();
       now_ms() - quiet_since < 500;) {  // until the program stops reading
    if (unsent.empty()) unsent = line;
    if (!send_some()) continue;
    quiet_since = now_ms();
    REQUIRE(sent < 64u << 20);
  }
  CHECK(program.resident_kb() < 192 * 1024);
  for (pollfd p{client, POLLIN, 0}; ::poll(&p, 1, 1000) > 0;) {
    ssize_t n = ::recv(client, buffer, sizeof buffer, 0);
    if (n <= 0) break;
    got += static_cast<std::size_t>(n);
    if (!unsent.empty()) send_some();  // the end of the last line, without which it is held back
  }
  CHECK(unsent.empty());
  CHECK(got == sent + 6);
  ::close(client);
  ::close(call);
  ::close(worker);
}

// A lingering close must not read the rest of such input, as it holds a descriptor until its end.
TEST_CASE("60 MB without a line end are rejected at once and not read to the end") {
  json own = settings();
  own["limits"]["probes"] = false;
  Program program(json::array(), own, free_port(SOCK_STREAM));
  int client = connected_socket(program.port);
  std::string block(1 << 20, 'k'), got;
  std::int64_t began = now_ms();
  std::size_t sent = 0;
  while (sent < 60u << 20) {
    ssize_t n = ::send(client, block.data(), block.size(), MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  char buffer[64];
  for (ssize_t n; (n = ::recv(client, buffer, sizeof buffer, 0)) > 0;)
    got.append(buffer, static_cast<std::size_t>(n));
  CHECK(got == "ERR\r\n");
  CHECK(now_ms() - began < 1000);
  CHECK(sent < 60u << 20);
  CHECK(program.resident_kb() < 192 * 1024);
  program.signal(SIGUSR1);
  usleep(100000);
  CHECK(program.counter("marblehub_client_bytes_received_total") <= 32 * 1024);
  ::close(client);
}

}  // namespace marblehub::test
