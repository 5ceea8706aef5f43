// A process that ends itself, since another one of its fleet has its name, answers its clients first.
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <string>

#include "support/program.h"

namespace marblehub::test {
namespace {

constexpr int kConflictTime = 15'000;  // milliseconds until the later process must have ended
constexpr int kReplyTime = 1000;       // milliseconds

// The folder with the fleet's key, and fleet files of processes that all have the same name.
struct NamesakeFiles {
  NamesakeFiles() {
    char name[] = "/tmp/marblehub-namesakes-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("no temporary folder");
    folder = name;
    std::ofstream(folder + "/key") << std::string(64, 'a') << '\n';
    ::chmod((folder + "/key").c_str(), 0600);
  }
  ~NamesakeFiles() { std::filesystem::remove_all(folder); }
  std::string write(const std::string& file, int port, int seed_port) const {
    json fleet = {{"enabled", true},
                  {"fleet", "f"},
                  {"name", "b1"},
                  {"listen", loopback_address_text(port)},
                  {"seeds", json::array({loopback_address_text(seed_port)})},
                  {"key_file", folder + "/key"}};
    std::ofstream(folder + "/" + file) << fleet;
    return folder + "/" + file;
  }
  std::string folder;
};

// Reads until the line `expected` or the end, at most `wait_ms` for each part.
std::string read_reply(int socket, int wait_ms) {
  std::string reply;
  char buffer[256];
  for (pollfd p{socket, POLLIN, 0}; reply.find('\n') == std::string::npos && ::poll(&p, 1, wait_ms) > 0;) {
    ssize_t n = ::recv(socket, buffer, sizeof buffer, 0);
    if (n <= 0) break;
    reply.append(buffer, static_cast<std::size_t>(n));
  }
  return reply;
}

}  // namespace

// Guards against clients that are cut off without an answer when their balancer finds a namesake.
TEST_CASE("a process that stops for its namesake answers a waiting call and moves an open connection") {
  int worker = bound_socket(SOCK_STREAM);
  ::listen(worker, 2);
  json known = json::array({{{"name", "w1"},
                             {"address", loopback_address_text(port_of(worker))},
                             {"zone", "a"},
                             {"status", "ready"},
                             {"weight", 1.0}}});
  json own = settings();
  own["limits"]["probes"] = false;
  own["limits"]["max_attempts"] = 1;
  own["request_classes"][0]["repeat"] = "unsafe";
  NamesakeFiles files;
  const int first_port = free_port(SOCK_DGRAM), later_port = free_port(SOCK_DGRAM);
  auto start = [&](const std::string& fleet_file) {
    return std::make_unique<Program>(known, own, free_port(SOCK_STREAM), "/nonexistent", "/nonexistent", 1024,
                                     "/nonexistent", 1, fleet_file);
  };
  auto first = start(files.write("first.json", first_port, later_port));
  usleep(200'000);  // so that the other one is begun later
  first->freeze();  // not heard of until the later one has clients
  auto later = start(files.write("later.json", later_port, first_port));

  int open_client = connected_socket(later->port), waiting_client = connected_socket(later->port);
  const std::string open_line = "OPEN 1 2 c=telemetry,d=30000\r\n";
  const std::string waiting_line = "OPEN 3 4 c=telemetry,d=30000\r\n";
  ::send(open_client, open_line.data(), open_line.size(), 0);
  int open_call = ::accept(worker, nullptr, nullptr);
  REQUIRE(read_reply(open_call, kReplyTime).starts_with("OPEN 1 2"));
  ::send(open_call, "UP r\r\n", 6, 0);
  REQUIRE(read_reply(open_client, kReplyTime) == "UP r\r\n");
  ::send(waiting_client, waiting_line.data(), waiting_line.size(), 0);
  int waiting_call = ::accept(worker, nullptr, nullptr);
  REQUIRE(read_reply(waiting_call, kReplyTime).starts_with("OPEN 3 4"));

  first->signal(SIGCONT);
  CHECK(read_reply(waiting_client, kConflictTime) == "ERR\r\n");
  CHECK(read_reply(open_client, kReplyTime) == "MOVE\r\n");
  for (int i = 0; i < 100 && !later->has_ended(); ++i) usleep(20'000);
  CHECK(later->has_ended());
  CHECK_FALSE(first->has_ended());
  for (int socket : {worker, open_client, waiting_client, open_call, waiting_call}) ::close(socket);
}

}  // namespace marblehub::test
