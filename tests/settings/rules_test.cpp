// Rules of placement and health checks for a single balancer under any settings.
#include <catch2/catch.hpp>

#include "random_deployment.h"
#include "support/policy_fixture.h"

using namespace marblehub::random_settings;
using marblehub::test::PolicyFixture;

namespace {

constexpr Time kS = 1'000'000;

// Places a call that is served and ends at once, so that it adds no lasting load. Returns its worker, or an
// empty string if it is not placed.
std::string place(PolicyFixture& b) {
  std::uint64_t id = b.next_id++;
  b.handle(RequestEvent{id, 0, 2 * kS, 0, false, id});
  for (int i = 0; i < 20 && !b.placed.count(id); ++i) b.run(50'000);  // it may wait for a load report
  if (!b.placed.count(id)) return "";
  b.handle(EstablishedEvent{id, 0, 1000});
  b.handle(ResultEvent{id, 0, true, b.placed[id], 1000, Outcome::served, {}});
  return b.placed[id];
}

}  // namespace

TEST_CASE(
    "under any settings three misses in a row mark a worker down, and a probe that succeeds marks it up") {
  bool passed = check_random_settings(
      "misses", 40, [](const Deployment& d, const std::vector<std::pair<bool, bool>>& probe_results) {
        PolicyFixture b(d.settings(0), d.seed);
        b.list(EndpointListKind::full, marblehub::test::workers(3));
        int misses = 0;
        for (auto [missed, late] : probe_results) {
          Outcome outcome = !missed ? Outcome::served : late ? Outcome::timeout : Outcome::connect_failed;
          b.handle(ProbeResultEvent{"2", 3000, outcome, {}});
          misses = missed ? misses + 1 : 0;
          RC_ASSERT(b.balancer.down_backends().size() == (misses >= 3 ? 1u : 0u));
        }
      });
  REQUIRE(passed);
}

TEST_CASE("under any settings placement is round robin while all workers are down") {
  bool passed = check_random_settings("all down", 40, [](const Deployment& d) {
    PolicyFixture b(d.settings(0), d.seed);
    b.list(EndpointListKind::full, marblehub::test::workers(d.workers));
    for (int w = 1; w <= d.workers; ++w)
      for (int i = 0; i < 3; ++i)
        b.handle(ProbeResultEvent{std::to_string(w), 500'000, Outcome::timeout, {}});
    RC_ASSERT(b.balancer.down_backends().size() == static_cast<std::size_t>(d.workers));
    for (int round = 0; round < 3; ++round) {
      std::set<std::string> used;
      for (int i = 0; i < d.workers; ++i) used.insert(place(b));
      RC_ASSERT(used.size() == static_cast<std::size_t>(d.workers));
    }
  });
  REQUIRE(passed);
}

// Free probes have a maximum interval: 5 s plus a quarter, or longer with so many balancers that a worker
// would get more than 20 probes per second. The cost of priced probes is bounded in the test of a calm fleet.
TEST_CASE("under any settings workers are probed periodically, where they may be") {
  bool passed = check_random_settings("probes", 40, [](const Deployment& d) {
    PolicyFixture b(d.settings(0), d.seed);
    b.list(EndpointListKind::full, marblehub::test::workers(12));
    Time interval = std::max<Time>(5 * kS, d.balancers * kS / 20);
    std::map<std::string, Time> last;
    std::size_t answered = 0;
    while (b.now < 4 * interval) {
      b.run(kS);
      for (; answered < b.probes.size(); ++answered) {
        auto [at, worker] = b.probes[answered];
        last[worker] = at;
        b.handle(ProbeResultEvent{worker, 3000, Outcome::served, {}});
      }
      for (int w = 1; w <= 12 && d.may_probe && d.price_probe == 0; ++w)
        RC_ASSERT(b.now - last[std::to_string(w)] <= interval * 5 / 4 + 2 * kS);
    }
    RC_ASSERT(d.may_probe || b.probes.empty());
  });
  REQUIRE(passed);
}

// The mean covers the last 20 timings: a slow one is still in it after 19 fast ones, but not after 20.
TEST_CASE("under any settings a timing counts for as long as it is one of the last twenty") {
  bool passed = check_random_settings("window", 6, [](const Deployment& d) {
    auto second_share = [&](int fast_timings) {
      int chosen_second = 0;
      for (std::uint64_t draw = 0; draw < 300; ++draw) {
        Settings s = d.settings(0);
        s.may_probe = s.groups = false;  // calls wait for no report and ignore groups
        PolicyFixture b(s, d.seed + draw);
        b.list(EndpointListKind::full, marblehub::test::workers(2));
        b.handle(ProbeResultEvent{"2", 400'000, Outcome::served, {}});
        for (int i = 0; i < fast_timings; ++i) b.handle(ProbeResultEvent{"2", 3000, Outcome::served, {}});
        b.handle(ProbeResultEvent{"1", 3000, Outcome::served, {}});
        chosen_second += place(b) == "2";
      }
      return chosen_second / 300.0;
    };
    RC_ASSERT(second_share(19) < 0.3);
    RC_ASSERT(std::abs(second_share(20) - 0.5) < 0.12);
  });
  REQUIRE(passed);
}
