// Validates the simulation against sockets: one small scenario, run by stubs against the real program and by
// the simulation, agrees within the bounds stated in docs/model.md.
#include <catch2/catch.hpp>
#include <fstream>
#include <list>

#include "log/log.h"
#include "model/study.h"
#include "support/program.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

constexpr double kLoad = 0.008;  // of a worker, per connection
constexpr int kClients = 90;

// A stub of a worker with one core: answers OPEN with UP and reports a load proportional to its connections.
struct Worker {
  std::string name;
  int fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  struct Conn {
    int fd;
    std::string in;
    bool call = false;
  };
  std::list<Conn> conns;
  int established = 0;

  explicit Worker(std::string n) : name(std::move(n)) { ::listen(fd, 128); }
  ~Worker() {
    for (Conn& c : conns) ::close(c.fd);
    ::close(fd);
  }
  void step() {
    for (int c; (c = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
      conns.push_back({c, "", false});
    for (auto it = conns.begin(); it != conns.end();) {
      char buffer[4096];
      ssize_t n = ::recv(it->fd, buffer, sizeof buffer, 0);
      if (n > 0) it->in.append(buffer, static_cast<std::size_t>(n));
      if (n == 0 || (n < 0 && errno != EAGAIN)) {
        established -= it->call;
        ::close(it->fd);
        it = conns.erase(it);
        continue;
      }
      for (std::size_t end; (end = it->in.find('\n')) != std::string::npos; it->in.erase(0, end + 1)) {
        std::string answer;
        if (it->in.starts_with("STATS"))
          answer = "PONG latency_ms=2,util=" + std::to_string(established * kLoad) + "\r\n";
        if (it->in.starts_with("OPEN") && !it->call) it->call = true, established += 1, answer = "UP r\r\n";
        if (!answer.empty()) ::send(it->fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      ++it;
    }
  }
};

// A stub of a client; it reconnects when it is moved or refused.
struct Client {
  int fd = -1;
  std::string in;
  bool up = false;
};

// The program, its registry, workers and clients, all stubs but the program.
struct SocketFixture {
  SocketFixture(const std::string& rebalance) {
    std::ofstream(file) << rebalance;
    for (const char* name : {"w1", "w2"}) join(name);
    json own = settings();
    own["balancers"] = 1;
    program = std::make_unique<Program>(registry.list(), own, registry.port(), "/nonexistent", "/nonexistent",
                                        1024, file);
    started_at = now_ms();
  }
  ~SocketFixture() { std::remove(file.c_str()); }
  void join(const std::string& name) {
    workers.push_back(std::make_unique<Worker>(name));
    registry.set(name, loopback_address_text(port_of(workers.back()->fd)), "ready");
  }
  void open(Client& c, bool returned) {
    c.fd = connected_socket(program->port);
    c.up = false;
    c.in.clear();
    std::string line =
        "OPEN " + std::to_string(++ids) + " 2 c=telemetry,d=2900" + (returned ? ",again=1" : "") + "\r\n";
    ::send(c.fd, line.data(), line.size(), MSG_NOSIGNAL);
  }
  void step() {
    registry.step();
    for (auto& w : workers) w->step();
    for (Client& c : clients) {
      char buffer[512];
      ssize_t n = ::recv(c.fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n > 0) c.in.append(buffer, static_cast<std::size_t>(n));
      bool moved = c.in.find("MOVE") != std::string::npos, refused = c.in.find("BUSY") != std::string::npos;
      if (c.in.find("UP") != std::string::npos) c.up = true;
      moves += moved, refusals += refused;
      if (moved || refused || n == 0) {
        ::close(c.fd);
        open(c, true);
      }
    }
    usleep(2000);
  }
  void run_until(double s) {
    while (static_cast<double>(now_ms() - started_at) < s * 1000) step();
  }
  double share(std::size_t i) const { return static_cast<double>(workers[i]->established) / kClients; }

  const std::string file = "/tmp/marblehub-rebalance-" + std::to_string(getpid()) + ".json";
  peers::StubRegistry registry;
  std::vector<std::unique_ptr<Worker>> workers;
  std::unique_ptr<Program> program;
  std::list<Client> clients;
  std::int64_t started_at = 0;
  int ids = 0, moves = 0, refusals = 0;
};

// The same scenario for the simulation.
const std::string kSimulated = R"(
name = sockets
seconds = 110
workers.old.count = 2
workers.old.cores = 1
workers.old.scale = 1
workers.new.count = 1
workers.new.cores = 1
workers.new.scale = 1
workers.new.from_s = 11
cold.warm_ms = 0
cold.share = 1
costs.setup_us = 0
costs.probe_us = 0
store.ms = 0
net.hop_ms = 0.2
net.jitter_ms = 0
reports.late_ms = 0
list.late_least_ms = 1
list.late_most_ms = 2
clients.stay_s = 100000
clients.load_us = 8000
clients.arrivals_a_second = 30
clients.arrivals_for_s = 3
clients.comes_back_ms = 5
rebalance.enabled = true
rebalance.dry_run = false
rebalance.gap = 0.1
rebalance.half_s = 10
rebalance.settle_s = 1
rebalance.moves_a_minute = 600
expect rules broken exactly 0
)";

}  // namespace

TEST_CASE("the simulation agrees with the sockets on spread, refusals and moves") {
  SocketFixture fixture(
      R"({"enabled": true, "dry_run": false, "gap": 0.1, "half_s": 10, "settle_s": 1, "moves_a_minute": 600})");
  for (int i = 0; i < kClients; ++i) {
    fixture.clients.emplace_back();
    fixture.open(fixture.clients.back(), false);
    fixture.run_until(0.2 + 3.0 * i / kClients);
  }
  fixture.run_until(9);
  double spread = std::abs(fixture.share(0) - fixture.share(1));
  fixture.run_until(11);
  fixture.join("w3");
  fixture.run_until(58);
  CHECK(fixture.moves == 0);  // the planner's move limit counts the first minute as used up
  fixture.run_until(100);
  int moves = fixture.moves;
  double joined_share = fixture.share(2);

  log::threshold = log::Level::error;
  std::vector<model::Job> jobs;
  for (std::uint64_t seed = 1; seed <= 10; ++seed)
    jobs.push_back({model::parse_scenario(kSimulated, "sockets"), seed});
  std::vector<double> spreads, simulated_moves, shares;
  for (const model::Result& r : model::run_all(jobs, 2)) {
    CHECK(r.passed());
    CHECK(r.statistics.at("refused") == 0);
    const auto& late = r.snapshots.back();
    double all = late.connections, load = late.kinds[1].second;
    shares.push_back(load / 0.008 / all);
    simulated_moves.push_back(r.statistics.at("moves") / all);
    const auto& early = r.snapshots[1];
    spreads.push_back(early.gap / 0.008 / early.connections);
  }
  log::threshold = log::Level::info;
  CAPTURE(spread, joined_share, moves);
  CAPTURE(model::estimate(spreads).mean, model::estimate(shares).mean, model::estimate(simulated_moves).mean);
  CHECK(fixture.refusals == 0);
  CHECK(std::abs(spread - model::estimate(spreads).mean) <= 0.15);
  CHECK(std::abs(joined_share - model::estimate(shares).mean) <= 0.10);
  CHECK(std::abs(static_cast<double>(moves) / kClients - model::estimate(simulated_moves).mean) <= 0.15);
  CHECK(moves > 5);

  // When a worker drains, each of its clients is moved once, on sockets as in the simulation.
  int there = fixture.workers[0]->established;
  fixture.registry.set("w1", loopback_address_text(port_of(fixture.workers[0]->fd)), "draining");
  fixture.run_until(105);
  CHECK(fixture.workers[0]->established == 0);
  CHECK(fixture.moves - moves >= there);
  CHECK(fixture.moves - moves <= there + 6);  // the planner may move some at the same time
  model::Result drained = model::run(
      model::parse_scenario(kSimulated + "at 100 drain old.1 for 8\nexpect cut exactly 0\n", "s"), {});
  CHECK(drained.passed());
  CHECK(drained.statistics["told to move"] > drained.statistics["moves"]);
}

}  // namespace marblehub::test
