// Processes that start with an old list of workers, among stand-ins of workers, clients and service
// discovery.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <memory>
#include <vector>

#include "soak/stand_ins.h"

namespace marblehub::test {
namespace {

using peers::RegistryFault;

constexpr int kDeadlineMs = 2000, kAnswerSlackMs = 550;  // half a second, and 50 ms on sockets
constexpr std::int64_t kGraceMs = 300;                   // of the settings, and 50 ms on sockets
constexpr std::int64_t kReadyMs = 10'000;

std::int64_t unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

json settings_of_a_fleet(int balancers, int index) {
  json document = settings();
  document["balancers"] = balancers;
  document["me"] = index;
  document["invariants"]["stop_sending_within_us"] = 250'000;
  return document;
}

// What has become of a worker since the list of before.
enum class Change { none, removed, restarted };

// Balancers that are started together with a list in which two workers have long been ready. Discovery knows
// what has become of the first since.
class ColdStart {
 public:
  explicit ColdStart(Change change) {
    registry_.set("changed", changed_.address(), "ready");
    registry_.set("current", current_.address(), "ready");
    known_ = registry_.list();
    version_ = registry_.index();
    if (change == Change::removed) registry_.set("changed", changed_.address(), "gone");
    if (change == Change::restarted) registry_.set("changed", changed_.address(), "ready", unix_ms() - 1000);
  }

  peers::StubRegistry& registry() { return registry_; }

  void start(int processes, int balancers) {
    started_at_ms_ = now_ms();
    for (int i = 0; i < processes; ++i) {
      std::string address = process_address(i, 1);
      programs_.push_back(std::make_unique<Program>(
          known_, settings_of_a_fleet(balancers, i), registry_.port(), "/nonexistent", "/nonexistent", 1024,
          "/nonexistent", version_, "/nonexistent", Launch::held, address.substr(0, address.find(':'))));
      programs_.back()->config()["seed"] = fmt::format("{:016x}", 1 + i);
      programs_.back()->release_config();
      hosts_.push_back(address_of(address, programs_.back()->port));
    }
    first_up_ms_.assign(programs_.size(), -1);
  }
  // Sends a request to each process every 100 ms.
  void run(
      std::int64_t ms, const std::function<void()>& each_step = [] {}) {
    for (const std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) {
      if (now_ms() >= next_round_at_ms_) ask_all();
      each_step();
      step();
    }
  }

  std::int64_t since_start_ms() const { return now_ms() - started_at_ms_; }
  // Requests at the changed worker between two times after the start.
  int requests_at_changed_worker(std::int64_t from_ms, std::int64_t to_ms) const {
    return static_cast<int>(std::count_if(
        changed_.requests().begin(), changed_.requests().end(), [&](const ArrivedRequest& request) {
          return request.at_ms > started_at_ms_ + from_ms && request.at_ms <= started_at_ms_ + to_ms;
        }));
  }
  // The largest number of calls that discovery got within a second.
  std::size_t most_calls_in_a_second() const {
    const std::vector<std::int64_t>& calls = registry_.call_times();
    std::size_t most = 0;
    for (std::size_t first = 0, end = 0; first < calls.size(); ++first) {
      while (end < calls.size() && calls[end] < calls[first] + 1'000'000) ++end;
      most = std::max(most, end - first);
    }
    return most;
  }
  // Processes that have served a request within `ms` of the start.
  int ready_within(std::int64_t ms) const {
    return static_cast<int>(std::count_if(first_up_ms_.begin(), first_up_ms_.end(),
                                          [&](std::int64_t at) { return at >= 0 && at <= ms; }));
  }
  int late_answers() const { return late_answers_; }
  int served() const { return served_; }

 private:
  struct Asked {
    std::size_t program;
    std::unique_ptr<StandInClient> client;
  };

  static sockaddr_in address_of(const std::string& text, int port) {
    sockaddr_in address = loopback(port);
    inet_pton(AF_INET, text.substr(0, text.find(':')).c_str(), &address.sin_addr);
    return address;
  }
  void ask_all() {
    next_round_at_ms_ = now_ms() + 100;
    for (std::size_t i = 0; i < programs_.size(); ++i)
      asked_.push_back(
          {i, std::make_unique<StandInClient>(hosts_[i], fmt::format("{}", ++ids_), kDeadlineMs)});
  }
  void step() {
    registry_.step();
    changed_.step();
    current_.step();
    std::erase_if(asked_, [&](Asked& asked) { return is_over(asked); });
  }
  bool is_over(Asked& asked) {
    StandInClient& client = *asked.client;
    client.step();
    if (client.was_refused()) return true;
    if (client.is_up()) {
      served_ += 1;
      if (first_up_ms_[asked.program] < 0) first_up_ms_[asked.program] = since_start_ms();
      return true;
    }
    if (!client.answer().empty()) return true;
    const bool waits = client.asked_at_ms() > 0;
    const bool late =
        waits && (client.closed() || now_ms() > client.asked_at_ms() + kDeadlineMs + kAnswerSlackMs);
    late_answers_ += late;
    return late;
  }

  peers::StubRegistry registry_;
  StandInWorker changed_{"changed"}, current_{"current"};
  json known_;
  std::int64_t version_ = 0;  // of `known_`
  std::vector<std::unique_ptr<Program>> programs_;
  std::vector<sockaddr_in> hosts_;
  std::vector<std::int64_t> first_up_ms_;  // of each program, after the start; -1: none yet
  std::vector<Asked> asked_;
  std::int64_t started_at_ms_ = 0, next_round_at_ms_ = 0;
  int ids_ = 0, late_answers_ = 0, served_ = 0;
};

constexpr int kProcesses = 10, kFleet = 300;
constexpr std::int64_t kPlayMs = 8000;

}  // namespace

// Guards against requests to removed workers until discovery's first answer.
TEST_CASE("a process that starts sends nothing to a worker that its old list alone names") {
  const auto [fault, delay_ms] = GENERATE(table<RegistryFault, int>({{RegistryFault::none, 0},
                                                                     {RegistryFault::none, 700},
                                                                     {RegistryFault::refuses, 0},
                                                                     {RegistryFault::half_answers, 0}}));
  ColdStart fleet(Change::removed);
  fleet.registry().set_fault(fault);
  fleet.registry().set_answer_delay(delay_ms * 1000);
  fleet.start(kProcesses, kFleet);
  fleet.run(kPlayMs, [&] {
    if (fleet.since_start_ms() > 2000) fleet.registry().set_fault(RegistryFault::none);
  });
  CHECK(fleet.requests_at_changed_worker(kGraceMs, kPlayMs) == 0);
  CHECK(fleet.late_answers() == 0);
  CHECK(fleet.ready_within(kReadyMs) >= kProcesses * 9 / 10);
}

// Guards against cold workers that processes take for warm ones until discovery's first answer.
TEST_CASE("processes that start send nothing to a restarted worker before they know of its start") {
  constexpr std::int64_t kDelayMs = 1500;
  ColdStart fleet(Change::restarted);
  fleet.registry().set_answer_delay(kDelayMs * 1000);
  fleet.start(kProcesses, kFleet);
  fleet.run(kPlayMs);
  CHECK(fleet.requests_at_changed_worker(0, kDelayMs) == 0);
  CHECK(fleet.late_answers() == 0);
  CHECK(fleet.ready_within(kReadyMs) >= kProcesses * 9 / 10);
}

TEST_CASE("processes that start while discovery is down or silent serve by their old list") {
  const bool down = GENERATE(true, false);
  ColdStart fleet(Change::none);
  if (down) fleet.registry().down();
  fleet.registry().set_fault(RegistryFault::silent);
  fleet.start(kProcesses, kFleet);
  fleet.run(kReadyMs);
  CHECK(fleet.late_answers() == 0);
  CHECK(fleet.ready_within(kReadyMs) == kProcesses);
}

// Guards against a burst of calls that a shared discovery cannot bear. The bound is that of two calls for
// each process, with an old list, spread evenly over 4 s, and of one with the current list; plus four
// standard deviations.
TEST_CASE("processes of a large fleet that start at once spread their calls to discovery") {
  const Change change = GENERATE(Change::none, Change::removed);
  constexpr int kStarted = 60;
  ColdStart fleet(change);
  fleet.start(kStarted, kFleet);
  fleet.run(kReadyMs);
  const double in_a_second = kStarted / 4.0 * (change == Change::none ? 1 : 2);
  CHECK(static_cast<double>(fleet.most_calls_in_a_second()) <= in_a_second + 4 * std::sqrt(in_a_second));
  CHECK(fleet.ready_within(kReadyMs) >= kStarted * 9 / 10);
}

}  // namespace marblehub::test
