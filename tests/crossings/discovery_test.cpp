// Calls to discovery as the module paces them, over many seeds.
#include <catch2/catch.hpp>

#include "support/policy_fixture.h"

using namespace marblehub::test;

namespace {

constexpr Time kSecond = 1'000'000, kSweep = 50'000;
constexpr Time kCallGivenUp = 3'000'000;  // src/net/registry_watch.cpp: a plain call
constexpr Time kConnectGivenUp = 1'200'000;
constexpr Time kCounts = 6 * kSecond;      // news counts as told so long after discovery could be reached
constexpr Time kLongestAnswer = kSecond;   // left for the answer
constexpr Time kWatchGivenUp = 8'600'000;  // and a watch, whose news counts 10 s after it was called
constexpr Time kWatchCounts = 10 * kSecond;
constexpr int kSeeds = 300;

Settings asked() {
  Settings s = PolicyFixture::settings();
  s.pull_endpoints = true;
  return s;
}

// Each call fails `out` after it was made, `span` long; the times of the calls.
std::vector<Time> calls_while_down(std::uint64_t seed, Time out, Time span) {
  PolicyFixture bench(asked(), seed);
  bench.list(EndpointListKind::cached, workers(2));
  std::size_t failed = 0;
  while (bench.now < span) {
    bench.run(kSweep);
    if (bench.watch_times.size() > failed && bench.now >= bench.watch_times.back() + out) {
      bench.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
      ++failed;
    }
  }
  return bench.watch_times;
}

}  // namespace

TEST_CASE("After an outage of discovery each balancer asks within 6 s, an answer included") {
  for (Time out : {Time{0}, kConnectGivenUp, kCallGivenUp}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      std::vector<Time> calls = calls_while_down(seed, out, 40 * kSecond);
      REQUIRE(calls.size() > 4);
      // Discovery may be back right after a call was made that is never answered.
      for (std::size_t i = 1; i < calls.size(); ++i) {
        INFO("seed " << seed << ", given up after " << out << ", call " << i);
        CHECK(calls[i] - calls[i - 1] <= kCounts - kLongestAnswer);
      }
    }
  }
}

TEST_CASE("A watch that fell silent is asked again before what it misses counts, whatever failed before") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PolicyFixture bench(asked(), seed);
    bench.list(EndpointListKind::cached, workers(2));
    for (int failed = 0; failed < 5; ++failed) {
      while (bench.watch_times.size() <= static_cast<std::size_t>(failed)) bench.run(kSweep);
      bench.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
    }
    while (bench.watch_times.size() < 6) bench.run(kSweep);
    bench.run(kWatchGivenUp);
    bench.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
    while (bench.watch_times.size() < 7) bench.run(kSweep);
    INFO("seed " << seed);
    CHECK(bench.watch_times[6] - bench.watch_times[5] <= kWatchCounts - 2 * kSweep);
  }
}

TEST_CASE("Three hundred balancers whose calls fail do not ask discovery in step or all the time") {
  std::vector<int> in_tenth(401);  // a call may fall on the last moment
  std::size_t all = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (Time at : calls_while_down(seed, 0, 40 * kSecond)) {
      in_tenth[static_cast<std::size_t>(at / 100'000)] += 1;
      ++all;
    }
  }
  // 1 s, 2 s and then 3.5 s apart in the mean: under 14 calls each in 40 s.
  CHECK(all < kSeeds * 14);
  // Spread evenly, 300 balancers make 10 calls in a tenth of a second; the first pause brings all back
  // sooner.
  for (std::size_t i = 150; i < in_tenth.size(); ++i) {
    INFO("tenth of a second " << i);
    CHECK(in_tenth[i] <= 30);
  }
}
