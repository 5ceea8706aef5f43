#include "fleet/routes/lease.h"

#include <catch2/catch.hpp>

namespace marblehub::fleet::test {
namespace {
constexpr Time kStart = 1'800'000'000 * kSecond, kLease = 600 * kMillisecond, kBound = 50 * kMillisecond;

struct Fixture {
  Lease lease{Settings{}};
  Time now = kStart;
  void grant(std::uint64_t version, std::uint64_t next = 0, Time activation_time = 0) {
    lease.update_grant(now, {version, next, now + kLease, activation_time});
  }
};
}  // namespace

TEST_CASE("a lease is over its holder's bound early, and judged at the call") {
  Fixture f;
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.grant(1);
  CHECK(f.lease.evaluate(f.now + kLease - kBound - 1).held);
  CHECK_FALSE(f.lease.evaluate(f.now + kLease - kBound).held);
  f.now += kSecond;
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.grant(1);
  CHECK(f.lease.evaluate(f.now).held);
}

TEST_CASE("the moment decides the version, by the holder's clock") {
  Fixture f;
  const Time activation_time = f.now + 100 * kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK(f.lease.evaluate(activation_time - 1).version == 1);
  CHECK(f.lease.evaluate(activation_time).version == 2);
  CHECK(f.lease.evaluate(activation_time - 1).version == 2);  // within the bound: it does not go back
  CHECK(f.lease.evaluate(activation_time).held);
}

TEST_CASE("a grant of an older version that comes late is not taken") {
  Fixture f;
  f.grant(1, 2, f.now);
  const Grant old{1, 0, f.now + kLease + 1, 0};
  f.lease.update_grant(f.now, old);
  CHECK(f.lease.evaluate(f.now).version == 2);
}

TEST_CASE("a step back of the clock fences until a new grant, the same again is none") {
  Fixture f;
  f.grant(1);
  const Grant held{1, 0, f.now + kLease, 0};
  CHECK(f.lease.evaluate(f.now).held);
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond).held);
  f.lease.update_grant(f.now - kSecond, held);
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond).held);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  // A leader's next grant is a second ahead of what this clock now shows: it is behind, and says so.
  f.lease.update_grant(f.now - kSecond + 100, {1, 0, f.now + kLease + 100, 0});
  CHECK(f.lease.clock_off());
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond + 100).held);
  f.now += kSecond;
  f.grant(1);  // set right again
  CHECK(f.lease.evaluate(f.now).held);
}

TEST_CASE("a clock that was ahead and is put back fences rather than place by the version before") {
  Fixture f;
  const Time activation_time = f.now + 200 * kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK(f.lease.evaluate(f.now + 300 * kMillisecond).version == 2);  // ahead, and not found yet
  CHECK_FALSE(f.lease.evaluate(f.now).held);                         // put back
  f.now += kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  CHECK(f.lease.evaluate(f.now).version == 2);  // what it knows of is not forgotten
  CHECK(f.lease.evaluate(activation_time).held);
  CHECK(f.lease.evaluate(activation_time).version == 2);
}

TEST_CASE(
    "after a step back a grant alone, as a leader has of itself, is not enough where others are heard") {
  Fixture f;
  f.grant(1);
  f.lease.observe_clock(f.now, "a", f.now - kMillisecond);
  CHECK(f.lease.evaluate(f.now).held);
  f.now -= 300 * kMillisecond;
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.now += kMillisecond;
  f.grant(1);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.lease.observe_clock(f.now, "a", f.now + 300 * kMillisecond);  // the others' time went on
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  CHECK(f.lease.clock_off());
  f.now += 3 * kSecond;
  f.grant(1);
  f.lease.observe_clock(f.now, "a", f.now - kMillisecond);  // set right, and heard
  CHECK(f.lease.evaluate(f.now).held);
}

TEST_CASE("a clock off against most of those heard fences; one off by itself does not") {
  Fixture f;
  f.grant(1);
  for (Time sign : {1, -1}) {
    for (const char* peer : {"a", "b", "c"}) f.lease.observe_clock(f.now, peer, f.now - kMillisecond);
    f.lease.observe_clock(f.now, "d", f.now - sign * kSecond);
    CHECK_FALSE(f.lease.clock_off());
    f.now += 3 * kSecond;  // all heard before is forgotten
    f.lease.observe_clock(f.now, "a", f.now - kMillisecond);
    for (const char* peer : {"b", "c"}) f.lease.observe_clock(f.now, peer, f.now - sign * kSecond);
    CHECK(f.lease.clock_off());
    f.grant(1);
    CHECK_FALSE(f.lease.evaluate(f.now).held);
    for (const char* peer : {"b", "c"}) f.lease.observe_clock(f.now, peer, f.now - kMillisecond);
    if (sign > 0) CHECK_FALSE(f.lease.clock_off());  // those were late, as after a sleep
    f.now += 3 * kSecond;
  }
}

}  // namespace marblehub::fleet::test
