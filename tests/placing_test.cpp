// Placement of connections by the policy.
#include <catch2/catch.hpp>
#include <set>

#include "net/lines.h"
#include "support/policy_fixture.h"

namespace marblehub::test {
namespace {

// Settings with groups.
Settings grouped() {
  Settings s = PolicyFixture::settings();
  s.groups = true;
  return s;
}

}  // namespace

// Each worker that holds a connection of a group pays the cost of the group, so a group must not spread over
// the fleet.
TEST_CASE("a group uses few workers, the same ones at all balancers") {
  std::map<std::uint64_t, std::set<std::string>> by_group;
  for (int me = 0; me < 3; ++me) {
    Settings s = grouped();
    s.balancers = 3, s.balancer_index = me;
    PolicyFixture b(s, 100 + static_cast<std::uint64_t>(me));
    b.list(EndpointListKind::full, twelve_workers());
    for (std::uint64_t group = 1; group <= 5; ++group)
      b.hold("1", 8, group);  // connections of all groups are open
    for (int i = 0; i < 100; ++i) {
      std::uint64_t group = 1 + static_cast<std::uint64_t>(i) % 5;
      by_group[group].insert(b.ask(group));
    }
  }
  for (auto& [group, workers] : by_group) {
    CHECK(workers.size() >= 2);
    CHECK(workers.size() <= 5);  // of 12, for 60 connections from three balancers
  }
}

// A route restricts the workers of a call. The restriction must hold for retries too.
TEST_CASE("a call restricted to some workers uses no other, and is rejected when they are gone") {
  PolicyFixture b;
  b.list(EndpointListKind::full, twelve_workers());
  auto allowed = std::make_shared<const std::set<std::string>>(std::set<std::string>{"3", "7"});
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    std::uint64_t id = b.next_id++;
    b.handle(RequestEvent{id, 0, 2'000'000, 0, false, 0, allowed});
    used.insert(b.placed[id]);
    b.handle(ResultEvent{id, 0, false, b.placed[id], 1000, Outcome::full, {}});  // triggers a retry
    used.insert(b.placed[id]);
    b.run(500'000);
  }
  CHECK(used == std::set<std::string>{"3", "7"});
  b.list(EndpointListKind::changes, {b.entry("3", Health::deleted), b.entry("7", Health::draining)});
  std::uint64_t id = b.next_id++;
  b.handle(RequestEvent{id, 0, 2'000'000, 0, false, 0, allowed});
  b.run(2'000'000);
  CHECK(!b.placed.count(id));
  CHECK(std::count(b.rejected.begin(), b.rejected.end(), id) == 1);
}

// An unresponsive pool exhausts only its own setup limit, so calls of other pools must not wait.
TEST_CASE("calls of an unresponsive pool do not delay calls of another pool") {
  PolicyFixture b;
  b.list(EndpointListKind::full, workers(4));
  auto set = [](const char* one, const char* other) {
    return std::make_shared<const std::set<std::string>>(std::set<std::string>{one, other});
  };
  auto ask = [&b](std::shared_ptr<const std::set<std::string>> only) {
    std::uint64_t id = b.next_id++;
    b.handle(RequestEvent{id, 0, 2'900'000, 0, false, 0, std::move(only)});
    return id;
  };
  const auto silent = set("1", "2"), lively = set("3", "4");
  b.run(1'000'000);
  for (int i = 0; i < 10; ++i) ask(silent);
  b.run(700'000);
  for (std::uint64_t id = 1; id <= 10; ++id)
    b.handle(ResultEvent{id, 0, false, b.placed[id], 700'000, Outcome::timeout, {}});
  CHECK(!b.placed.count(ask(silent)));
  CHECK(b.placed.count(ask(lively)));
  // A new endpoint list creates new sets with the same names. The failures and the limit, half of ten, must
  // apply to these too.
  const auto silent_anew = set("1", "2");
  b.placed.clear();
  for (int i = 0; i < 20; ++i) ask(silent_anew);
  CHECK(b.placed.empty());
  b.run(1'500'000);  // the failures decay, the limit remains
  CHECK(b.placed.size() == 5);
}

TEST_CASE("without groups in the settings, connections spread over all workers") {
  PolicyFixture b;
  b.list(EndpointListKind::full, twelve_workers());
  std::set<std::string> workers;
  for (int i = 0; i < 200; ++i) workers.insert(b.ask(7));
  CHECK(workers.size() == 12);
}

TEST_CASE("a group moves on to other workers if its own are overloaded") {
  PolicyFixture b(grouped());
  b.list(EndpointListKind::full, twelve_workers());
  for (std::uint64_t group = 1; group <= 5; ++group) b.hold("1", 8, group);
  std::set<std::string> home, next;
  for (int i = 0; i < 60; ++i) home.insert(b.ask(3));
  for (const std::string& worker : home) b.report(worker, 0.97);
  for (int i = 0; i < 10; ++i) next.insert(b.ask(3));  // few enough not to fill these workers too
  for (const std::string& worker : home) CHECK(next.count(worker) == 0);
  CHECK(next.count("") == 0);
}

TEST_CASE("a worker that reports little headroom gets few connections") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.report("w1", 0.75);
  b.report("w2", 0.25);
  int fuller = 0;
  for (int i = 0; i < 30; ++i) {
    fuller += b.ask() == "w1";
    b.report("w2", 0.25);
  }
  CHECK(fuller <= 3);
}

// A hung worker still answers probes, so it is not marked down. It must not count as an overloaded fleet.
TEST_CASE("connections leave a hung worker within seconds, and no call is rejected") {
  PolicyFixture b;
  b.list(EndpointListKind::full,
         {b.entry("w1", Health::serving), b.entry("w2", Health::serving), b.entry("w3", Health::serving)});
  b.hold("w1", 10);
  b.hold("w2", 10);
  b.hold("w3", 10);
  for (int i = 0; i < 50; ++i) {
    b.report("w1", 9);
    b.report("w2", 0.3);
    b.report("w3", 0.3);
    b.run(100'000);
    CHECK(b.ask() != "w1");
  }
  CHECK(b.rejected.empty());
  CHECK(b.moved.size() == 10);
}

// One very slow message must not exclude its worker for long.
TEST_CASE("the delay of a worker is bounded, and cleared when it recovers from being down") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.report("w1", 0.1);
  b.report("w2", 0.1);
  b.hold("w1", 1);
  b.handle(ConnectionUpdateEvent{1, 0, ConnectionUpdateKind::messages_slow, 30'000});
  b.run(40'000'000);
  int again = 0;
  for (int i = 0; i < 100; ++i) again += b.ask() == "w1";
  CHECK(again >= 20);

  PolicyFixture c;
  c.list(EndpointListKind::full, {c.entry("w1", Health::serving), c.entry("w2", Health::serving)});
  c.hold("w1", 1);
  c.handle(ConnectionUpdateEvent{1, 0, ConnectionUpdateKind::messages_slow, 30'000});
  for (int i = 0; i < 3; ++i) c.handle(ProbeResultEvent{"w1", 500'000, Outcome::timeout, {}});
  REQUIRE(c.balancer.counts().down == 1);
  c.report("w1", 0.1);
  c.run(6'000'000);
  again = 0;
  for (int i = 0; i < 100; ++i) again += c.ask() == "w1";
  CHECK(again >= 20);
}

// A balancer without a free descriptor must not mark workers down.
TEST_CASE("a probe that was not sent does not count as a miss") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving)});
  for (int i = 0; i < 5; ++i) b.handle(ProbeResultEvent{"w1", 0, Outcome::not_sent, {}});
  CHECK(b.balancer.counts().down == 0);
}

TEST_CASE("the group of an opening line maps to the same number at every balancer") {
  auto opening = net::parse_opening("OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f6e1a2b3d4c59");
  REQUIRE(opening);
  CHECK(opening->group == "5c0f6e1a2b3d4c59");
  CHECK(net::nonzero_name_hash(opening->group) == net::nonzero_name_hash("5c0f6e1a2b3d4c59"));
  CHECK(net::nonzero_name_hash("5c0f6e1a2b3d4c59") != net::nonzero_name_hash("5c0f6e1a2b3d4c58"));
}

}  // namespace marblehub::test
