// Health checks and their cost.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Health, ThreeConsecutiveMissesMarkDownAndOneSuccessMarksUp) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(4);
  harness.unresponsive.insert("b2");
  harness.advance(15 * kSec);
  EXPECT_EQ(harness.balancer.counts().down, 1u);
  for (int i = 0; i < 100; ++i) harness.request();
  for (const Submit& s : harness.submits) EXPECT_NE(s.backend, "b2");
  harness.unresponsive.clear();
  harness.advance(15 * kSec);
  EXPECT_EQ(harness.balancer.counts().down, 0u);
}

TEST(Health, ASuccessResetsTheCountOfMisses) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(2);
  for (Outcome o : {Outcome::timeout, Outcome::timeout, Outcome::served, Outcome::timeout, Outcome::timeout})
    harness.send(ProbeResultEvent{"b0", kMs, o, {}});
  EXPECT_EQ(harness.balancer.counts().down, 0u);
  harness.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  EXPECT_EQ(harness.balancer.counts().down, 1u);
}

TEST(Health, FailedConnectsCountAsMisses) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(1);
  std::uint64_t id = harness.request();
  for (int attempt = 0; attempt < 3; ++attempt) harness.result(id, Outcome::connect_failed, false, attempt);
  EXPECT_EQ(harness.balancer.counts().down, 1u);
}

TEST(Health, ABackendWithAMissIsRecheckedSoonDespiteALongInterval) {
  Settings s = default_settings();
  s.price_probe = 0.002;
  s.balancers = 200;
  BalancerHarness harness(s);
  harness.send_full_list(100);
  harness.advance(10 * kSec);
  harness.probes.clear();
  harness.unresponsive.insert("b7");
  harness.send(ProbeResultEvent{"b7", 400 * kMs, Outcome::timeout, {}});
  harness.advance(2 * kSec);
  EXPECT_EQ(harness.balancer.counts().down, 1u);
}

TEST(Health, AllDownFallsBackToRoundRobin) {
  BalancerHarness harness(default_settings());
  for (int i = 0; i < 4; ++i) harness.unresponsive.insert(address_of(i));
  harness.send_full_list(4);
  harness.advance(20 * kSec);
  ASSERT_EQ(harness.balancer.counts().down, 4u);
  std::map<std::string, int> sent;
  for (int i = 0; i < 40; ++i) harness.request();
  for (const Submit& s : harness.submits) ++sent[s.backend];
  ASSERT_EQ(sent.size(), 4u);
  for (const auto& [b, n] : sent) EXPECT_EQ(n, 10) << b;
}

TEST(Health, AListedRestartMarksUp) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(2);
  for (int i = 0; i < 3; ++i) harness.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  ASSERT_EQ(harness.balancer.counts().down, 1u);
  harness.send_list({backend_entry(0, Health::serving, harness.now)}, EndpointListKind::changes);
  EXPECT_EQ(harness.balancer.counts().down, 0u);
}

TEST(Probing, CostStaysWithinItsBudget) {
  Settings s = default_settings();
  s.price_probe = 0.002;
  s.balancers = 3;  // no sampling, so only the interval limits the cost
  BalancerHarness harness(s);
  harness.send_full_list(100);
  for (int i = 0; i < 50; ++i) harness.request(), harness.advance(kSec);
  EXPECT_GT(harness.probes.size(), 50u);
  EXPECT_LT(static_cast<double>(harness.probes.size()) / 50 * 0.002, 0.02);
}

TEST(Probing, EveryBackendIsProbedEveryFiveSecondsIfProbesAreFree) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(10);
  harness.advance(20 * kSec);
  std::map<std::string, int> probed_backends;
  for (const std::string& b : harness.probes) ++probed_backends[b];
  EXPECT_EQ(probed_backends.size(), 10u);
  for (const auto& [b, n] : probed_backends) EXPECT_GE(n, 2) << b;
}

TEST(Probing, BalancersThatStartTogetherProbeAtDifferentTimes) {
  std::set<Time> firsts;
  for (int seed = 0; seed < 20; ++seed) {
    BalancerHarness harness(default_settings(), seed);
    harness.send_full_list(10);
    while (harness.probes.empty()) harness.advance(kMs);
    firsts.insert(harness.now);
  }
  EXPECT_GT(firsts.size(), 10u);
}

}  // namespace
}  // namespace marblehub::policy
