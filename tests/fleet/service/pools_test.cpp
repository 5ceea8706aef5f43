// Failover of a pool to its fallback while all of its workers are down.
#include "fleet/service/pools.h"

#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"
#include "node_network.h"

namespace marblehub::test {
namespace {

using fleet::kRecoveryTime;
using fleet::PooledWorkers;
using Names = std::set<std::string>;

constexpr Time kUpdateInterval = 200'000;  // that of the dispatcher

// A table in force: the pool north has n-1 and n-2, its fallback south has s-1; both name an unlisted worker.
struct PoolFixture {
  PoolFixture() : nodes(3, 3) {
    nodes.run(5'000'000, 10'000);
    list({"n-1", "n-2", "s-1"});
    nodes.members.at("m0").node->routes()->update_workers(workers.listed());
    nodes.offer("m0", R"({"version": 1, "pools": [{"name": "north", "workers": ["n-1", "n-2", "w-1"]},
      {"name": "south", "workers": ["s-1", "w-2"]}], "rules": [
      {"class": "ride", "pool": "north", "fallback": "south"}], "otherwise": "north"})");
    nodes.run(3'000'000, 10'000);
    REQUIRE(nodes.placing_by(1) == 3);
  }
  void list(const Names& names) {
    config::WorkerList whole;
    whole.snapshot = true;
    for (const std::string& name : names)
      whole.workers.push_back({PolicyFixture::entry(name, Health::serving), ""});
    workers.update_list(whole);
  }
  fleet::Routes& routes() { return *nodes.members.at("m0").node->routes(); }
  Names usable(const std::string& service_class = "ride") {
    return *workers.usable(routes().route(nodes.clock(nodes.members.at("m0")), service_class, "", ""),
                           routes());
  }
  void down(const Names& names, Time span = kUpdateInterval) {
    for (const Time end = at + span; at < end; at += kUpdateInterval)
      workers.update_down(at, {names.begin(), names.end()});
  }

  fleet::test::NodeNetwork nodes;
  PooledWorkers workers;
  Time at = 0;
};

const Names kNorth = {"n-1", "n-2"}, kSouth = {"s-1"};

}  // namespace

TEST_CASE("a pool whose workers are all down fails over, and recovers once one has been up for a while") {
  PoolFixture p;
  CHECK(p.usable() == kNorth);
  p.down({"n-1"});
  CHECK(p.usable() == kNorth);
  const std::uint64_t before = p.workers.placement_version();
  p.down({"n-1", "n-2"});
  CHECK(p.usable() == kSouth);
  CHECK(p.usable("park") == kNorth);  // a rule without a fallback
  CHECK(p.workers.placement_version() == before + 1);
  p.down({"n-1", "n-2"}, 60'000'000);
  CHECK(p.usable() == kSouth);
  p.down({"n-1"}, kRecoveryTime);
  CHECK(p.usable() == kSouth);
  p.down({"n-1"});
  CHECK(p.usable() == kNorth);
  CHECK(p.workers.placement_version() == before + 2);
}

TEST_CASE("a flapping worker does not move its pool's calls back and forth") {
  PoolFixture p;
  CHECK(p.usable() == kNorth);
  p.down(kNorth);
  const std::uint64_t before = p.workers.placement_version();
  for (int i = 0; i < 100; ++i) {
    p.down({"n-2"}, kRecoveryTime - kUpdateInterval);  // up for slightly less than the recovery time
    REQUIRE(p.usable() == kSouth);
    p.down(kNorth);
  }
  CHECK(p.workers.placement_version() == before);
}

TEST_CASE("a pool does not fail over to a fallback whose workers are all down") {
  PoolFixture p;
  p.down({"n-1", "n-2", "s-1"});  // before the first call, as after a start
  CHECK(p.usable() == kNorth);
  p.down({"n-1", "n-2"});
  CHECK(p.usable() == kSouth);
  p.down({"n-1", "s-1"});
  CHECK(p.usable() == kNorth);
  p.list({"s-1"});
  CHECK(p.usable() == kSouth);  // no worker of the pool is listed
}

TEST_CASE("an update of the list does not end a failover") {
  PoolFixture p;
  CHECK(p.usable() == kNorth);
  p.down(kNorth);
  p.list({"n-1", "n-2", "s-1", "s-2"});
  CHECK(p.usable() == kSouth);
  p.down({"n-1"}, kRecoveryTime - kUpdateInterval);
  p.list({"n-1", "n-2", "s-1"});
  CHECK(p.usable() == kSouth);
  const std::uint64_t before = p.workers.placement_version();
  p.list({"n-1", "n-2", "s-1"});
  CHECK(p.workers.placement_version() == before);  // an unchanged list
  p.list({"n-1", "s-1"});
  CHECK(p.workers.placement_version() == before + 1);
}

TEST_CASE("the dispatcher reports to its gate which workers the policy has marked down") {
  DispatcherFixture d(PolicyFixture::settings(), 3);
  DispatcherFixture::FakeGate gate;
  d.dispatcher->set_gate(gate);
  d.silent = {"2"};
  d.run(10'000'000);
  CHECK(gate.all_down == std::vector<std::string>{"2"});
  d.silent.clear();
  d.run(10'000'000);
  CHECK(gate.all_down.empty());
}

}  // namespace marblehub::test
