// Tests which envelopes the sender filter accepts, its estimate of clock offsets, and new incarnations.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "fleet/net/clock.h"
#include "fleet/net/sender_filter.h"

namespace marblehub::test {
namespace {

using namespace fleet;

constexpr Time kStart = 1'800'000'000 * kSecond;

Envelope from(const std::string& sender, Time sent_at, std::uint64_t incarnation = 1) {
  Envelope e;
  e.sender = sender;
  e.sent_at = sent_at;
  e.incarnation = incarnation;
  return e;
}

Settings settings() {
  Settings s;
  s.name = std::string("a");
  return s;
}

}  // namespace

TEST_CASE("the sender filter rejects replayed envelopes and accepts a live namesake's") {
  SenderFilter filter(settings());
  auto accepts = [&](const Envelope& e, Time at) { return !filter.check(at, e); };
  CHECK_FALSE(accepts(from("b", kStart - kMaxFirstContactOffset - 1), kStart));
  CHECK_FALSE(accepts(from("b", kStart + kMaxFirstContactOffset + 1), kStart));
  CHECK(accepts(from("b", kStart), kStart));
  CHECK(accepts(from("b", kStart - kReplayWindow), kStart));  // reordered within the replay window
  CHECK_FALSE(accepts(from("b", kStart - kReplayWindow - 1), kStart));
  CHECK(accepts(from("b", kStart + kSecond, 2), kStart + kSecond));
  CHECK_FALSE(accepts(from("b", kStart + kSecond, 1), kStart + 2 * kSecond));  // from the previous process
  CHECK(accepts(from("b", kStart + 2 * kSecond, 1), kStart + 2 * kSecond));    // that process still runs
}

TEST_CASE("senders outside a configured list of members are unknown") {
  Settings s = settings();
  s.members = {"a", "b"};
  SenderFilter filter(s);
  CHECK(filter.check(kStart, from("c", kStart)) == SenderFilter::Rejection::unknown_sender);
  CHECK_FALSE(filter.check(kStart, from("b", kStart)));
}

TEST_CASE("a clock is off when most members' clocks differ, even if single messages are late") {
  SenderFilter filter(settings());
  const std::vector<std::string> alive = {"a", "b", "c", "d"};
  auto receive = [&](const char* who, Time off, Time delay, Time at) {
    (void)filter.check(at, from(who, at - delay + off));
  };
  Time now = kStart;
  for (int i = 0; i < 5; ++i, now += kSecond) {
    receive("b", 0, i == 3 ? kMillisecond : 200 * kMillisecond, now);
    receive("c", 0, i == 1 ? kMillisecond : 200 * kMillisecond, now);
    receive("d", 300 * kMillisecond, kMillisecond, now);
  }
  CHECK(filter.clock_offset(now, "d") == 299 * kMillisecond);
  CHECK(filter.clock_offset(now, "b") == -kMillisecond);
  CHECK_FALSE(filter.clock_offset(now, "x"));
  CHECK_FALSE(filter.clock_off(now, alive));
  for (int i = 0; i < 5; ++i, now += kSecond) receive("c", 300 * kMillisecond, kMillisecond, now);
  CHECK(filter.clock_off(now, alive));
  CHECK_FALSE(filter.clock_off(now + 60 * kSecond, alive));  // old samples are not used
}

TEST_CASE("an incarnation is above all earlier ones, even after the clock is set back") {
  char name[] = "/tmp/marblehub-incarnation-XXXXXX";
  REQUIRE(mkdtemp(name));
  std::string folder = name;
  CHECK(new_incarnation(folder, 1000) == 1000);
  CHECK(new_incarnation(folder, 10) == 1001);
  CHECK(new_incarnation(folder, 2000) == 2000);
  CHECK(new_incarnation("", 7) == 7);
  std::ofstream(folder + "/incarnation") << "torn";
  CHECK_THROWS_AS(new_incarnation(folder, 3000), std::runtime_error);
  std::filesystem::remove_all(folder);
}

}  // namespace marblehub::test
