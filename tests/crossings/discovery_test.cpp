// The policy's timing of calls to service discovery, over many seeds.
#include <catch2/catch.hpp>

#include "support/policy_fixture.h"

using namespace marblehub::test;

namespace {

constexpr Time kSecond = 1'000'000, kSweep = 50'000;
constexpr Time kCallTimeout = 3'000'000;  // kCallTimeout in src/net/registry_watch.cpp
constexpr Time kConnectTimeout = 1'200'000;
constexpr Time kChangesDue = 6 * kSecond;        // for applying changes once discovery is reachable
constexpr Time kMaxAnswerTime = kSecond;         // time allowed for the answer
constexpr Time kWatchTimeout = 8'600'000;        // kWatchTimeout in src/net/registry_watch.cpp
constexpr Time kWatchChangesDue = 10 * kSecond;  // for applying changes that a watch misses
constexpr int kSeeds = 300;

Settings pull_settings() {
  Settings s = PolicyFixture::settings();
  s.pull_endpoints = true;
  return s;
}

// Fails each call `out` after it was made, during `span`; returns the times of the calls.
std::vector<Time> calls_while_down(std::uint64_t seed, Time call_duration, Time span) {
  PolicyFixture fixture(pull_settings(), seed);
  fixture.list(EndpointListKind::cached, workers(2));
  std::size_t failed = 0;
  while (fixture.now < span) {
    fixture.run(kSweep);
    if (fixture.watch_times.size() > failed && fixture.now >= fixture.watch_times.back() + call_duration) {
      fixture.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
      ++failed;
    }
  }
  return fixture.watch_times;
}

}  // namespace

TEST_CASE("After an outage of discovery each balancer has an answer within 6 s") {
  for (Time call_duration : {Time{0}, kConnectTimeout, kCallTimeout}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      std::vector<Time> calls = calls_while_down(seed, call_duration, 40 * kSecond);
      REQUIRE(calls.size() > 4);
      // Discovery may return right after a call was made that is never answered.
      for (std::size_t i = 1; i < calls.size(); ++i) {
        INFO("seed " << seed << ", given up after " << call_duration << ", call " << i);
        CHECK(calls[i] - calls[i - 1] <= kChangesDue - kMaxAnswerTime);
      }
    }
  }
}

TEST_CASE("A silent watch is repeated before missed changes are due, whatever failed before") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PolicyFixture fixture(pull_settings(), seed);
    fixture.list(EndpointListKind::cached, workers(2));
    for (int failed = 0; failed < 5; ++failed) {
      while (fixture.watch_times.size() <= static_cast<std::size_t>(failed)) fixture.run(kSweep);
      fixture.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
    }
    while (fixture.watch_times.size() < 6) fixture.run(kSweep);
    fixture.run(kWatchTimeout);
    fixture.handle(EndpointListEvent{EndpointListKind::failed, nullptr});
    while (fixture.watch_times.size() < 7) fixture.run(kSweep);
    INFO("seed " << seed);
    CHECK(fixture.watch_times[6] - fixture.watch_times[5] <= kWatchChangesDue - 2 * kSweep);
  }
}

TEST_CASE("Three hundred balancers whose calls fail do not call discovery in step or continuously") {
  std::vector<int> in_tenth(401);  // one more, for a call at exactly 40 s
  std::size_t total = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (Time at : calls_while_down(seed, 0, 40 * kSecond)) {
      in_tenth[static_cast<std::size_t>(at / 100'000)] += 1;
      ++total;
    }
  }
  // Calls are 1 s, 2 s and then 3.5 s apart on average: under 14 each in 40 s.
  CHECK(total < kSeeds * 14);
  // Spread evenly, 300 balancers make 10 calls in a tenth of a second. The first 15 s, when pauses are still
  // short, are not checked.
  for (std::size_t i = 150; i < in_tenth.size(); ++i) {
    INFO("tenth of a second " << i);
    CHECK(in_tenth[i] <= 30);
  }
}
