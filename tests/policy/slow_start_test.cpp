// Slow start of backends that warm up.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

// Returns how many requests 100 balancers together send to a cold backend within two seconds. Each balancer
// gets one request per second beforehand, and `burst` requests per 100 ms during the two seconds.
int sent_to_a_cold_backend(int burst, bool others_down) {
  Settings s = default_settings();
  s.balancers = 100;
  int cold = 0;
  for (int r = 0; r < 100; ++r) {
    BalancerHarness harness(s, 1000 + r);
    harness.send_full_list(10);
    for (int i = 0; i < 30; ++i) {
      std::uint64_t id = 0;
      harness.open_connection(&id);
      harness.result(id, Outcome::served, true);
      harness.advance(kSec);
    }
    if (others_down) {
      for (int i = 1; i < 10; ++i) {
        harness.unresponsive.insert(address_of(i));
        for (int k = 0; k < 3; ++k) harness.send(ProbeResultEvent{address_of(i), kMs, Outcome::timeout, {}});
      }
    }
    harness.send_list({backend_entry(0, Health::serving, harness.now)}, EndpointListKind::changes);
    harness.submits.clear();
    for (int i = 0; i < 20; ++i) {  // two seconds
      for (int k = 0; k < burst; ++k) harness.request();
      harness.advance(100 * kMs);
    }
    for (const Submit& submit : harness.submits) cold += submit.backend == "b0";
  }
  return cold;
}

TEST(SlowStart, ManyBalancersTogetherStayWithinTheCapacityOfAColdBackend) {
  // Its capacity is 10 requests/s when warm, a fifth of that at the start and less than half after two
  // seconds.
  for (int burst : {1, 10}) {
    EXPECT_LT(sent_to_a_cold_backend(burst, false), 10 * 2 * 0.25 * 3) << burst;
  }
}

TEST(SlowStart, AColdBackendStaysWithinItsCapacityIfAllOthersAreDown) {
  EXPECT_GT(sent_to_a_cold_backend(10, true), 0);
  EXPECT_LT(sent_to_a_cold_backend(10, true), 10 * 2 * 0.25 * 3);
}

TEST(SlowStart, ABackendGetsItsFullShareAfterTheWarmUp) {
  BalancerHarness harness(default_settings(), 3);
  std::vector<BackendEntry> entries;
  for (int i = 0; i < 4; ++i) entries.push_back(backend_entry(i, Health::serving, i == 0 ? harness.now : 0));
  harness.send_list(entries);
  harness.advance(11 * kSec);
  int on_b0 = 0;
  for (int i = 0; i < 400; ++i) harness.request(), on_b0 += harness.submits.back().backend == "b0";
  EXPECT_GT(on_b0, 60);
  EXPECT_LT(on_b0, 140);
}

// A backend that was unreachable but did not restart must not be limited for the whole warm-up time.
TEST(SlowStart, ARecoveredBackendIsWarmOnceTheListShowsNoRestart) {
  Settings s = default_settings();
  s.warm_within_us = 60 * kSec;
  BalancerHarness harness(s, 3);
  harness.send_full_list(4);
  harness.unresponsive.insert("b0");
  for (int k = 0; k < 3; ++k) harness.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  harness.unresponsive.clear();
  harness.send(ProbeResultEvent{"b0", kMs, Outcome::served, {}});
  auto requests_on_b0 = [&] {
    int on_b0 = 0;
    for (int i = 0; i < 400; ++i) harness.request(), on_b0 += harness.submits.back().backend == "b0";
    return on_b0;
  };
  EXPECT_LT(requests_on_b0(), 20);
  harness.advance(6 * kSec);
  EXPECT_GT(requests_on_b0(), 60);
}

}  // namespace
}  // namespace marblehub::policy
