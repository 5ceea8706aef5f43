// What the gate lets in, by examples.
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

TEST_CASE("the gate holds off what is old and lets a twin be heard") {
  SenderFilter gate(settings());
  auto in = [&](const Envelope& e, Time at) { return !gate.check(at, e); };
  CHECK_FALSE(in(from("b", kStart - kMaxFirstContactOffset - 1), kStart));
  CHECK_FALSE(in(from("b", kStart + kMaxFirstContactOffset + 1), kStart));
  CHECK(in(from("b", kStart), kStart));
  CHECK(in(from("b", kStart - kReplayWindow), kStart));  // reordered, no further than the bound
  CHECK_FALSE(in(from("b", kStart - kReplayWindow - 1), kStart));
  CHECK(in(from("b", kStart + kSecond, 2), kStart + kSecond));
  CHECK_FALSE(in(from("b", kStart + kSecond, 1), kStart + 2 * kSecond));  // of the process before
  CHECK(in(from("b", kStart + 2 * kSecond, 1), kStart + 2 * kSecond));    // it still lives
}

TEST_CASE("members that are not named are strangers where members are") {
  Settings s = settings();
  s.members = {"a", "b"};
  SenderFilter gate(s);
  CHECK(gate.check(kStart, from("c", kStart)) == SenderFilter::Rejection::unknown_sender);
  CHECK_FALSE(gate.check(kStart, from("b", kStart)));
}

TEST_CASE("a clock is off when most members' clocks say so, however late one message is") {
  SenderFilter gate(settings());
  const std::vector<std::string> alive = {"a", "b", "c", "d"};
  auto hear = [&](const char* who, Time off, Time delay, Time at) {
    (void)gate.check(at, from(who, at - delay + off));
  };
  Time now = kStart;
  for (int i = 0; i < 5; ++i, now += kSecond) {
    hear("b", 0, i == 3 ? kMillisecond : 200 * kMillisecond, now);
    hear("c", 0, i == 1 ? kMillisecond : 200 * kMillisecond, now);
    hear("d", 300 * kMillisecond, kMillisecond, now);
  }
  CHECK(gate.clock_offset(now, "d") == 299 * kMillisecond);
  CHECK(gate.clock_offset(now, "b") == -kMillisecond);
  CHECK_FALSE(gate.clock_offset(now, "x"));
  CHECK_FALSE(gate.clock_off(now, alive));
  for (int i = 0; i < 5; ++i, now += kSecond) hear("c", 300 * kMillisecond, kMillisecond, now);
  CHECK(gate.clock_off(now, alive));
  CHECK_FALSE(gate.clock_off(now + 60 * kSecond, alive));  // what was heard long ago tells nothing
}

TEST_CASE("an incarnation is above all earlier ones, though the clock is put back") {
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
