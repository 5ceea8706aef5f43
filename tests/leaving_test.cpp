// What the module does about a worker that is about to go.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "lemonspread/lemonspread.h"

using namespace lemonspread;

namespace {

struct Bench {
  explicit Bench(const Settings& s = settings()) : balancer(s, 7, 0) {}

  static Settings settings() {
    Settings s;
    s.zone = "a";
    s.max_attempts = 4;
    s.max_pause_us = 1'000'000;
    s.warm_within_us = 24'000'000;
    s.cold_share = 0.13;
    RequestClass c;
    c.name = "telemetry", c.slo_us = 500'000, c.message_aim_us = 150'000, c.stream = true;
    s.classes = {c};
    return s;
  }
  static BackendEntry entry(const std::string& name, Health health) { return {health, name, "a", 0, 1, 0}; }
  void list(ListForm form, std::vector<BackendEntry> entries) {
    handle(MembersEvent{form, std::make_shared<std::vector<BackendEntry>>(std::move(entries))});
  }
  void handle(const Event& event) {
    std::vector<Action> actions;
    balancer.handle(now, event, actions);
    for (const Action& action : actions) {
      if (auto* timer = std::get_if<SetTimer>(&action)) timer_at = now + timer->after;
      if (auto* move = std::get_if<Redirect>(&action)) {
        moved[move->id] = now;
        moves_this_second[now / 1'000'000] += 1;
      }
      if (auto* probe = std::get_if<Probe>(&action)) probes.emplace_back(now, probe->backend);
    }
  }
  void run(Time span) {
    for (Time end = now + span; timer_at <= end;) {
      now = timer_at;
      handle(TimerEvent{0});
    }
  }
  void hold(const std::string& worker, int count) {
    for (int i = 0; i < count; ++i) handle(HandoverEvent{{next_id++, 0, 2'000'000, 0, false}, worker});
  }

  auto probed(const std::string& name) const {
    return std::count_if(probes.begin(), probes.end(), [&](const auto& p) { return p.second == name; });
  }

  Balancer balancer;
  Time now = 0, timer_at = 0;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, Time> moved;
  std::map<Time, int> moves_this_second;
  std::vector<std::pair<Time, std::string>> probes;
};

std::vector<BackendEntry> twelve() {
  std::vector<BackendEntry> entries;
  for (int i = 1; i <= 12; ++i) entries.push_back(Bench::entry(std::to_string(i), Health::serving));
  return entries;
}

Settings dear_probes() {
  Settings s = Bench::settings();
  s.price_probe = 0.0018;  // stretches the interval as on the platform
  return s;
}

}  // namespace

TEST_CASE("all clients are told to move off a draining worker, evenly and in time") {
  Bench b;
  b.list(ListForm::all, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 60);
  b.hold("w2", 20);
  b.run(1'000'000);
  REQUIRE(b.moved.empty());
  Time told = b.now;
  b.list(ListForm::changes, {b.entry("w1", Health::draining)});
  b.run(4'000'000);
  REQUIRE(b.moved.size() == 60);
  for (auto [id, at] : b.moved) {
    CHECK(id <= 60);  // those of the other worker stay
    CHECK(at - told <= 3'100'000);
  }
  for (auto [second, count] : b.moves_this_second) CHECK(count <= 35);
}

TEST_CASE("a worker that is gone is left as well, and one that comes back is kept") {
  Bench b;
  b.list(ListForm::all, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 10);
  b.list(ListForm::changes, {b.entry("w1", Health::deleted)});
  b.run(4'000'000);
  REQUIRE(b.moved.size() == 10);
  b.hold("w2", 10);
  b.list(ListForm::changes, {b.entry("w1", Health::serving), b.entry("w2", Health::draining)});
  b.list(ListForm::changes, {b.entry("w2", Health::serving)});
  b.run(4'000'000);
  CHECK(b.moved.size() == 10);
}

TEST_CASE("nobody is moved while there is nowhere to go") {
  Bench b;
  b.list(ListForm::all, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 10);
  b.list(ListForm::changes, {b.entry("w1", Health::draining), b.entry("w2", Health::draining)});
  b.run(4'000'000);
  CHECK(b.moved.empty());
}

// Sockets tell nothing of slow messages: a worker that reports them late is looked at again soon.
TEST_CASE("a late report brings the next probe within about a second, a good one does not") {
  for (double load : {0.95, 0.2}) {
    Bench b(dear_probes());
    b.list(ListForm::all, twelve());
    b.hold("1", 10);
    b.run(20'000'000);
    b.handle(ProbeResultEvent{"1", 1000, Outcome::served, {0.2}});
    b.run(200'000);  // the one that was due meanwhile goes out
    Time at = b.now;
    b.probes.clear();
    b.handle(ProbeResultEvent{"1", 1000, Outcome::served, {load}});
    b.run(1'400'000);
    INFO("load " << load << " at " << at);
    CHECK(b.probed("1") == (load > 0.9 ? 1 : 0));
  }
}

TEST_CASE("a worker that holds connections at the start is probed within the first second") {
  Bench b(dear_probes());
  b.list(ListForm::all, twelve());
  b.hold("1", 10);
  b.run(1'050'000);
  CHECK(b.probed("1") == 1);
}
