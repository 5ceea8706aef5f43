#include "fleet/routes/lease.h"

#include <catch2/catch.hpp>

namespace marblehub::fleet::test {
namespace {
constexpr Time kStart = 1'800'000'000 * kSecond, kLease = 600 * kMillisecond, kBound = 50 * kMillisecond;

// A lease with the default settings on a simulated clock.
struct Fixture {
  Lease lease{Settings{}};
  Time now = kStart;
  void grant(std::uint64_t version, std::uint64_t next = 0, Time activation_time = 0) {
    lease.update_grant(now, {version, next, now + kLease, activation_time});
  }
};
}  // namespace

TEST_CASE("a lease ends early by the clock error bound, and is evaluated at each call") {
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

TEST_CASE("the activation time decides the version, by the holder's clock") {
  Fixture f;
  const Time activation_time = f.now + 100 * kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK(f.lease.evaluate(activation_time - 1).version == 1);
  CHECK(f.lease.evaluate(activation_time).version == 2);
  CHECK(f.lease.evaluate(activation_time - 1).version == 2);  // a step back within the bound
  CHECK(f.lease.evaluate(activation_time).held);
}

TEST_CASE("a delayed grant of an older version is ignored") {
  Fixture f;
  f.grant(1, 2, f.now);
  const Grant old{1, 0, f.now + kLease + 1, 0};
  f.lease.update_grant(f.now, old);
  CHECK(f.lease.evaluate(f.now).version == 2);
}

TEST_CASE("a step back of the clock fences until a new grant, not a repeated one") {
  Fixture f;
  f.grant(1);
  const Grant held{1, 0, f.now + kLease, 0};
  CHECK(f.lease.evaluate(f.now).held);
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond).held);
  f.lease.update_grant(f.now - kSecond, held);
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond).held);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  // The leader's next grant shows that this clock is a second behind.
  f.lease.update_grant(f.now - kSecond + 100, {1, 0, f.now + kLease + 100, 0});
  CHECK(f.lease.clock_off());
  CHECK_FALSE(f.lease.evaluate(f.now - kSecond + 100).held);
  f.now += kSecond;
  f.grant(1);  // the clock is corrected
  CHECK(f.lease.evaluate(f.now).held);
}

TEST_CASE("a clock that was ahead and is set back fences rather than place by the previous version") {
  Fixture f;
  const Time activation_time = f.now + 200 * kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK(f.lease.evaluate(f.now + 300 * kMillisecond).version == 2);  // ahead, not detected yet
  CHECK_FALSE(f.lease.evaluate(f.now).held);                         // set back
  f.now += kMillisecond;
  f.grant(1, 2, activation_time);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  CHECK(f.lease.evaluate(f.now).version == 2);  // the newest version is not forgotten
  CHECK(f.lease.evaluate(activation_time).held);
  CHECK(f.lease.evaluate(activation_time).version == 2);
}

TEST_CASE("after a step back a grant alone, such as a leader's own, is not enough if peers were known") {
  Fixture f;
  f.grant(1);
  f.lease.observe_clock(f.now, "a", f.now - kMillisecond);
  CHECK(f.lease.evaluate(f.now).held);
  f.now -= 300 * kMillisecond;
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.now += kMillisecond;
  f.grant(1);
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  f.lease.observe_clock(f.now, "a", f.now + 300 * kMillisecond);  // the peers' clocks have not stepped back
  CHECK_FALSE(f.lease.evaluate(f.now).held);
  CHECK(f.lease.clock_off());
  f.now += 3 * kSecond;
  f.grant(1);
  f.lease.observe_clock(f.now, "a", f.now - kMillisecond);  // corrected, and a peer's message received
  CHECK(f.lease.evaluate(f.now).held);
}

TEST_CASE("a clock that differs from most peers fences, one peer that differs does not") {
  Fixture f;
  f.grant(1);
  for (Time sign : {1, -1}) {
    for (const char* peer : {"a", "b", "c"}) f.lease.observe_clock(f.now, peer, f.now - kMillisecond);
    f.lease.observe_clock(f.now, "d", f.now - sign * kSecond);
    CHECK_FALSE(f.lease.clock_off());
    f.now += 3 * kSecond;  // the windows have passed
    f.lease.observe_clock(f.now, "a", f.now - kMillisecond);
    for (const char* peer : {"b", "c"}) f.lease.observe_clock(f.now, peer, f.now - sign * kSecond);
    CHECK(f.lease.clock_off());
    f.grant(1);
    CHECK_FALSE(f.lease.evaluate(f.now).held);
    for (const char* peer : {"b", "c"}) f.lease.observe_clock(f.now, peer, f.now - kMillisecond);
    if (sign > 0) CHECK_FALSE(f.lease.clock_off());  // those messages were delayed
    f.now += 3 * kSecond;
  }
}

}  // namespace marblehub::fleet::test
