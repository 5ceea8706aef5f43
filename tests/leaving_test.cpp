// What the module does about a worker that is about to go.
#include <catch2/catch.hpp>

#include "support/module_bench.h"

namespace marblehub::test {

TEST_CASE("all clients are told to move off a draining worker, evenly and in time") {
  Bench b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 60);
  b.hold("w2", 20);
  b.run(1'000'000);
  REQUIRE(b.moved.empty());
  Time told = b.now;
  b.list(EndpointListKind::changes, {b.entry("w1", Health::draining)});
  b.run(5'000'000);
  REQUIRE(b.moved.size() == 60);
  for (auto [id, at] : b.moved) {
    CHECK(id <= 60);  // those of the other worker stay
    CHECK(at - told <= 4'100'000);
  }
  for (auto [second, count] : b.moves_this_second) CHECK(count <= 35);
}

TEST_CASE("a worker that is gone is left as well, and one that comes back is kept") {
  Bench b;
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

TEST_CASE("nobody is moved while there is nowhere to go") {
  Bench b;
  b.list(EndpointListKind::full, {b.entry("w1", Health::serving), b.entry("w2", Health::serving)});
  b.hold("w1", 10);
  b.list(EndpointListKind::changes, {b.entry("w1", Health::draining), b.entry("w2", Health::draining)});
  b.run(4'000'000);
  CHECK(b.moved.empty());
}

// Sockets tell nothing of slow messages: a worker that reports them late is looked at again soon.
TEST_CASE("a late report brings the next probe within about a second, a good one does not") {
  for (double load : {0.95, 0.2}) {
    Bench b(dear_probes());
    b.list(EndpointListKind::full, twelve());
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
  b.list(EndpointListKind::full, twelve());
  b.hold("1", 10);
  b.run(1'050'000);
  CHECK(b.probed("1") == 1);
}

}  // namespace marblehub::test
