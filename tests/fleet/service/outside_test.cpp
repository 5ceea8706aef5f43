// Established connections outside their new pool are moved within the limits of the rebalancing planner.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"
#include "rebalance/driver.h"

namespace marblehub::test {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;

rebalance::Settings enabled_settings() {
  rebalance::Settings s;
  s.enabled = true;
  s.dry_run = false;
  return s;
}

// 400 connections on four workers, of which a new table names two.
struct PoolChange {
  explicit PoolChange(const rebalance::Settings& settings)
      : d(PolicyFixture::settings(), 4),
        counters(d.metrics),
        driver(settings, *d.dispatcher, d.startup, counters) {
    d.dispatcher->set_gate(gate);
    for (int i = 0; i < 400; ++i)
      d.dispatcher->adopt({}, d, d, std::to_string(1 + i % 4),
                          std::make_unique<DispatcherFixture::FakeAttempt>(), true);
    report();
    run_seconds(62);  // past the first minute, in which nothing is moved
    REQUIRE(d.moved == 0);
  }
  void report() {
    for (int i = 1; i <= 4; ++i) d.dispatcher->probe_result(std::to_string(i), 5000, Outcome::served, {0.4});
  }
  void change_pool() { gate.pool = {"3", "4"}, gate.changed += 1; }
  // Runs for so many seconds and returns the moves in each.
  std::vector<int> run_seconds(int count) {
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
  int max_moves_per_minute(const std::vector<int>& moves) {
    int max_sum = 0;
    for (std::size_t i = 0; i < moves.size(); ++i) {
      int sum = 0;
      for (std::size_t j = i; j < std::min(moves.size(), i + 60); ++j) sum += moves[j];
      max_sum = std::max(max_sum, sum);
    }
    return max_sum;
  }
  std::size_t outside() { return d.dispatcher->out_of_pool().size(); }

  DispatcherFixture d;
  DispatcherFixture::FakeGate gate;
  rebalance::Counters counters;
  rebalance::Driver driver;
};

}  // namespace

TEST_CASE("all connections outside their new pool, and no others, move at the planner's rate") {
  PoolChange s(enabled_settings());
  s.change_pool();
  REQUIRE(s.outside() == 200);
  std::vector<int> moves = s.run_seconds(10 * 60);
  CHECK(*std::max_element(moves.begin(), moves.end()) <= 5);  // a twelfth of the limit per minute
  CHECK(s.max_moves_per_minute(moves) <= 60);
  CHECK(s.outside() <= 3);
  s.run_seconds(5 * 60);
  CHECK(s.outside() == 0);
  CHECK(s.d.moved == 200);
  CHECK(s.d.dispatcher->established_count() == 200);
}

TEST_CASE("a pause and a high mean load stop these moves, an even load does not") {
  PoolChange s(enabled_settings());
  s.driver.set_paused(true);
  s.change_pool();
  s.run_seconds(60);
  CHECK(s.d.moved == 0);
  s.driver.set_paused(false);
  s.run_seconds(60);
  CHECK(s.d.moved > 20);
  CHECK(s.driver.planner().gap() < 0.01);
  rebalance::Settings quiet = enabled_settings();
  quiet.max_mean_load = 0.2;
  PoolChange full(quiet);
  full.change_pool();
  full.run_seconds(60);
  CHECK(full.d.moved == 0);
}

TEST_CASE("no connection is moved in a dry run or within the settle time") {
  rebalance::Settings dry = enabled_settings();
  dry.dry_run = true;
  PoolChange s(dry);
  s.change_pool();
  s.run_seconds(120);
  CHECK(s.d.moved == 0);
  CHECK(s.counters.planned.value > 20);
  CHECK(s.counters.planned.value <= 121);
  rebalance::Settings settled = enabled_settings();
  settled.settle_time = 10 * kMinute;
  PoolChange recent(settled);
  recent.change_pool();
  recent.run_seconds(120);
  CHECK(recent.d.moved == 0);
}

TEST_CASE("the limit on store calls bounds these moves") {
  rebalance::Settings few = enabled_settings();
  few.store_calls_per_minute = 24;
  PoolChange s(few);
  s.change_pool();
  std::vector<int> moves = s.run_seconds(180);
  CHECK(s.max_moves_per_minute(moves) <= 24);
  CHECK(*std::max_element(moves.begin(), moves.end()) <= 2);
  CHECK(s.d.moved > 24);
}

TEST_CASE("without a change of the table no connection is moved") {
  PoolChange s(enabled_settings());
  s.run_seconds(300);
  CHECK(s.d.moved == 0);
}

}  // namespace marblehub::test
