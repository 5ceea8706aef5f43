// Standing connections outside their new pool are moved by the planner's rules: planner, driver and
// dispatcher together on one clock.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"
#include "rebalance/driver.h"

namespace marblehub::test {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;

rebalance::Settings moving() {
  rebalance::Settings s;
  s.enabled = true;
  s.dry_run = false;
  return s;
}

// 400 standing on four workers, of which a table then names two.
struct Shifted {
  explicit Shifted(const rebalance::Settings& settings)
      : d(Bench::settings(), 4), counters(d.metrics), driver(settings, *d.dispatcher, d.startup, counters) {
    d.dispatcher->set_gate(gate);
    for (int i = 0; i < 400; ++i)
      d.dispatcher->adopt({}, d, d, std::to_string(1 + i % 4),
                          std::make_unique<DispatcherFixture::FakeAttempt>(), true);
    report();
    second(62);  // past its first minute
    REQUIRE(d.moved == 0);
  }
  void report() {
    for (int i = 1; i <= 4; ++i) d.dispatcher->probe_result(std::to_string(i), 5000, Outcome::served, {0.4});
  }
  void shift() { gate.pool = {"3", "4"}, gate.changed += 1; }
  // What was moved in each second.
  std::vector<int> second(int count) {
    std::vector<int> moves;
    for (int i = 0; i < count; ++i) {
      d.run(kSecond);
      report();
      int before = d.moved;
      driver.step();
      moves.push_back(d.moved - before);
    }
    return moves;
  }
  int most_in_a_minute(const std::vector<int>& moves) {
    int most = 0;
    for (std::size_t i = 0; i < moves.size(); ++i) {
      int sum = 0;
      for (std::size_t j = i; j < std::min(moves.size(), i + 60); ++j) sum += moves[j];
      most = std::max(most, sum);
    }
    return most;
  }
  std::size_t outside() { return d.dispatcher->out_of_pool().size(); }

  DispatcherFixture d;
  DispatcherFixture::FakeGate gate;
  rebalance::Counters counters;
  rebalance::Driver driver;
};

}  // namespace

TEST_CASE("connections outside their new pool go at the planner's pace, all of them and no others") {
  Shifted s(moving());
  s.shift();
  REQUIRE(s.outside() == 200);
  std::vector<int> moves = s.second(10 * 60);
  CHECK(*std::max_element(moves.begin(), moves.end()) <= 5);  // a twelfth of a minute's
  CHECK(s.most_in_a_minute(moves) <= 60);
  CHECK(s.outside() <= 3);
  s.second(5 * 60);
  CHECK(s.outside() == 0);
  CHECK(s.d.moved == 200);
  CHECK(s.d.dispatcher->established_count() == 200);
}

TEST_CASE("what stops moves for balance stops these, but not that there is no gap") {
  Shifted s(moving());
  s.driver.set_paused(true);
  s.shift();
  s.second(60);
  CHECK(s.d.moved == 0);
  s.driver.set_paused(false);
  s.second(60);
  CHECK(s.d.moved > 20);
  CHECK(s.driver.planner().gap() < 0.01);
  rebalance::Settings quiet = moving();
  quiet.max_mean_load = 0.2;
  Shifted full(quiet);
  full.shift();
  full.second(60);
  CHECK(full.d.moved == 0);
}

TEST_CASE("in a dry run, or where clients have just come back, nobody outside is moved") {
  rebalance::Settings dry = moving();
  dry.dry_run = true;
  Shifted s(dry);
  s.shift();
  s.second(120);
  CHECK(s.d.moved == 0);
  CHECK(s.counters.planned.value > 20);
  CHECK(s.counters.planned.value <= 121);
  rebalance::Settings settled = moving();
  settled.settle_time = 10 * kMinute;
  Shifted young(settled);
  young.shift();
  young.second(120);
  CHECK(young.d.moved == 0);
}

TEST_CASE("the store's budget bounds them too") {
  rebalance::Settings few = moving();
  few.store_calls_per_minute = 24;
  Shifted s(few);
  s.shift();
  std::vector<int> moves = s.second(180);
  CHECK(s.most_in_a_minute(moves) <= 24);
  CHECK(*std::max_element(moves.begin(), moves.end()) <= 2);
  CHECK(s.d.moved > 24);
}

TEST_CASE("where no table changes, the planner is as without routes") {
  Shifted s(moving());
  s.second(300);
  CHECK(s.d.moved == 0);
}

}  // namespace marblehub::test
