// Moves of connections away from draining and deleted workers, and probes that follow a high load.
#include <catch2/catch.hpp>

#include "support/policy_fixture.h"

namespace marblehub::test {

TEST_CASE("all connections leave a draining worker at an even rate and in time") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 60);
  b.hold("w2", 20);
  b.run(1'000'000);
  REQUIRE(b.moved.empty());
  Time listed_at = b.now;
  b.list(EndpointListKind::changes, {b.entry("w1", Health::draining)});
  b.run(5'000'000);
  REQUIRE(b.moved.size() == 60);
  for (auto [id, at] : b.moved) {
    CHECK(id <= 60);  // connections of the other worker stay
    CHECK(at - listed_at <= 4'100'000);
  }
  for (auto [second, count] : b.moves_this_second) CHECK(count <= 35);
}

TEST_CASE("connections leave a deleted worker, and stay if draining is revoked") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 10);
  b.list(EndpointListKind::changes, {b.entry("w1", Health::deleted)});
  b.run(4'000'000);
  REQUIRE(b.moved.size() == 10);
  b.hold("w2", 10);
  b.list(EndpointListKind::changes, {b.entry("w1", Health::serving), b.entry("w2", Health::draining)});
  b.list(EndpointListKind::changes, {b.entry("w2", Health::serving)});
  b.run(4'000'000);
  CHECK(b.moved.size() == 10);
}

TEST_CASE("no connection is moved if no worker is usable") {
  PolicyFixture b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 10);
  b.list(EndpointListKind::changes, {b.entry("w1", Health::draining), b.entry("w2", Health::draining)});
  b.run(4'000'000);
  CHECK(b.moved.empty());
}

// Slow messages may not be observable on a connection, so a report that implies them is checked again soon.
TEST_CASE("a report of a high load triggers a probe within about a second, a low load does not") {
  for (double load : {0.95, 0.2}) {
    PolicyFixture b(expensive_probes());
    b.list(EndpointListKind::full, twelve_workers());
    b.hold("1", 10);
    b.run(20'000'000);
    b.handle(ProbeResultEvent{"1", 1000, Outcome::served, {0.2}});
    b.run(200'000);  // sends the probe that is due
    Time at = b.now;
    b.probes.clear();
    b.handle(ProbeResultEvent{"1", 1000, Outcome::served, {load}});
    b.run(1'400'000);
    INFO("load " << load << " at " << at);
    CHECK(b.probed("1") == (load > 0.9 ? 1 : 0));
  }
}

TEST_CASE("a worker that holds connections at the start is probed within the first second") {
  PolicyFixture b(expensive_probes());
  b.list(EndpointListKind::full, twelve_workers());
  b.hold("1", 10);
  b.run(1'050'000);
  CHECK(b.probed("1") == 1);
}

}  // namespace marblehub::test
