// Clients that leave and come again, write slowly, or send without end, on both fronts.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "quic/testbed.h"
#include "soak/stand_ins.h"

namespace marblehub::test {
namespace {

constexpr int kDeadlineMs = 2000, kAnswerSlackMs = 550;  // half a second, and 50 ms on sockets
constexpr long kMemoryLimitKb = 192 * 1024;              // of a balancer on the platform
constexpr int kPlayMs = 3000;

// The program with two workers, whose requests have the effect `repeat`.
struct OneBalancer {
  explicit OneBalancer(const std::string& repeat) {
    for (auto& worker : workers) registry.set(worker->name(), worker->address(), "ready");
    json document = settings();
    document["request_classes"][0]["repeat"] = repeat;
    program = std::make_unique<Program>(registry.list(), document, registry.port(), "/nonexistent",
                                        "/nonexistent", 1024, "/nonexistent", registry.index());
    step_for(200);
  }
  std::unique_ptr<StandInClient> client(const std::string& id) {
    return std::make_unique<StandInClient>(loopback(program->port), id, kDeadlineMs);
  }
  void step() {
    registry.step();
    for (auto& worker : workers) worker->step();
  }
  template <class Condition>
  void step_until(int ms, Condition condition) {
    for (const std::int64_t end = now_ms() + ms; now_ms() < end && !condition(); usleep(500)) step();
  }
  template <class EachStep>
  void step_for(int ms, EachStep each_step) {
    step_until(ms, [&] {
      each_step();
      return false;
    });
  }
  void step_for(int ms) {
    step_for(ms, [] {});
  }
  int runs_of(const std::string& id) const {
    std::ptrdiff_t runs = 0;
    for (auto& worker : workers)
      runs += std::count_if(worker->requests().begin(), worker->requests().end(),
                            [&](const ArrivedRequest& request) { return request.id == id; });
    return static_cast<int>(runs);
  }

  peers::StubRegistry registry;
  std::vector<std::unique_ptr<StandInWorker>> workers = two_workers();
  std::unique_ptr<Program> program;

 private:
  static std::vector<std::unique_ptr<StandInWorker>> two_workers() {
    std::vector<std::unique_ptr<StandInWorker>> workers;
    for (const char* name : {"w1", "w2"}) workers.push_back(std::make_unique<StandInWorker>(name));
    return workers;
  }
};

// Clients that ask every 50 ms; counts those that are answered late or not at all.
class OtherClients {
 public:
  explicit OtherClients(OneBalancer& balancer) : balancer_(balancer) {}
  void step() {
    if (now_ms() >= next_at_ms_) {
      next_at_ms_ = now_ms() + 50;
      clients_.push_back(balancer_.client(fmt::format("other-{}", ++asked_)));
    }
    std::erase_if(clients_, [this](auto& client) { return is_over(*client); });
  }
  int asked() const { return asked_; }
  int served() const { return served_; }
  int late() const { return late_; }

 private:
  bool is_over(StandInClient& client) {
    client.step();
    served_ += client.is_up();
    if (!client.answer().empty()) return true;
    const bool late = client.closed() || (client.asked_at_ms() > 0 &&
                                          now_ms() > client.asked_at_ms() + kDeadlineMs + kAnswerSlackMs);
    late_ += late;
    return late;
  }
  OneBalancer& balancer_;
  std::vector<std::unique_ptr<StandInClient>> clients_;
  std::int64_t next_at_ms_ = 0;
  int asked_ = 0, served_ = 0, late_ = 0;
};

int connect_to(const Program& program) {
  int fd = connected_socket(program.port);
  timeval no_wait{0, 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &no_wait, sizeof no_wait);
  return fd;
}

}  // namespace

// Guards against a second run of an unsafe request whose client left before its answer.
TEST_CASE("an unsafe request that comes again after its client has left is not sent a second time") {
  OneBalancer balancer("unsafe");
  for (auto& worker : balancer.workers) worker->set_silent(true);
  for (int i = 0; i < 60; ++i) {
    const std::string id = fmt::format("id-{}", i);
    auto first = balancer.client(id);
    balancer.step_until(1000, [&] {
      first->step();
      return balancer.runs_of(id) > 0;
    });
    REQUIRE(balancer.runs_of(id) == 1);
    first->leave(i % 2 == 0);
    balancer.step_for(20);
    auto again = balancer.client(id);
    balancer.step_for(100, [&] { again->step(); });
    CHECK(again->answer() == "ERR");
    CHECK(balancer.runs_of(id) == 1);
  }
}

TEST_CASE("a safe request that comes again after its client has left is served") {
  OneBalancer balancer("safe");
  auto first = balancer.client("id");
  balancer.step_for(200, [&] { first->step(); });
  first->leave();
  balancer.step_for(20);
  auto again = balancer.client("id");
  balancer.step_for(200, [&] { again->step(); });
  CHECK(again->is_up());
}

TEST_CASE("hundreds of slow clients, half requests and many short fields stay within the memory limit") {
  OneBalancer balancer("safe");
  std::vector<int> half, slow;
  const std::string fields = [] {
    std::string text = "OPEN f k c=telemetry,d=2000";
    for (int i = 0; text.size() < 4000; ++i) text += fmt::format(",x{}=1", i);
    return text;
  }();
  for (int i = 0; i < 200; ++i) half.push_back(connect_to(*balancer.program));
  for (int i = 0; i < 200; ++i) slow.push_back(connect_to(*balancer.program));
  for (int fd : half) ::send(fd, fields.data(), fields.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  OtherClients others(balancer);
  std::size_t written = 0;
  balancer.step_for(kPlayMs, [&] {
    others.step();
    for (int fd : slow) ::send(fd, fields.data() + written % fields.size(), 1, MSG_NOSIGNAL | MSG_DONTWAIT);
    written += 1;
  });
  CHECK(balancer.program->resident_kb() < kMemoryLimitKb);
  CHECK(others.late() == 0);
  CHECK(others.served() >= others.asked() * 9 / 10);
  for (int fd : half) ::close(fd);
  for (int fd : slow) ::close(fd);
}

TEST_CASE("unsound requests at full speed under new names delay no other client") {
  OneBalancer balancer("safe");
  OtherClients others(balancer);
  int names = 0, fd = -1;
  balancer.step_for(kPlayMs, [&] {
    others.step();
    for (int i = 0; i < 50; ++i) {
      if (fd < 0) fd = connect_to(*balancer.program);
      std::string text = fmt::format("OPEN n{} k c=class-{},t=tenant-{}\r\n", names, names, names);
      names += 1;
      if (::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
        ::close(std::exchange(fd, -1));
    }
  });
  CHECK(balancer.program->resident_kb() < kMemoryLimitKb);
  CHECK(others.late() == 0);
  CHECK(others.served() >= others.asked() * 9 / 10);
  if (fd >= 0) ::close(fd);
}

TEST_CASE("an unsafe QUIC call that comes again from another address is not sent to another worker") {
  QuicTestbed testbed({"g-1", "g-2", "g-3"}, 1500, 1024, json::object(), {{"repeat", "unsafe"}});
  for (auto& worker : testbed.workers) worker->silent = true;
  StubClient& client = testbed.client();
  client.open();
  auto reached = [&] {
    return std::count_if(testbed.workers.begin(), testbed.workers.end(),
                         [](auto& worker) { return worker->initial_count > 0; });
  };
  testbed.run(1000, [&] { return reached() > 0; });
  REQUIRE(reached() == 1);
  client.change_address();  // the client has left, and one with the same ids comes
  client.open();
  testbed.run(2500);  // over the deadline of the call
  auto initials = [&] {
    int sum = 0;
    for (auto& worker : testbed.workers) sum += worker->initial_count;
    return sum;
  };
  const int before = initials();
  for (auto& worker : testbed.workers) worker->silent = false;
  client.open();
  testbed.run(500);
  CHECK(reached() == 1);
  CHECK(initials() == before);
  CHECK(client.established_count == 0);
}

TEST_CASE("unsound datagrams and Initials under new ids at full speed stay within the memory limit") {
  QuicTestbed testbed({"g-1", "g-2"});
  UdpSocket flood;
  int number = 100'000;
  for (int client = 0; client < 20; ++client) {
    testbed.client().open();
    testbed.run(kPlayMs / 20, [&] {
      for (int i = 0; i < 20; ++i) {
        const std::string id = fmt::format("\xe0{:07}", ++number % 10'000'000);
        flood.send("\x40" + id + "garbage", loopback(testbed.port));
        flood.send(std::string("\xc3\0\0\0\1\x08", 6) + id + std::string(1180, 'x'), loopback(testbed.port));
      }
      return false;
    });
  }
  testbed.run(1500, [&] {
    return std::all_of(testbed.clients.begin(), testbed.clients.end(),
                       [](auto& client) { return client->established_count > 0; });
  });
  for (auto& client : testbed.clients) CHECK(client->established_count > 0);
  CHECK(testbed.program->resident_kb() < kMemoryLimitKb);
}

}  // namespace marblehub::test
