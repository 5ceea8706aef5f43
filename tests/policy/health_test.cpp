// Health checks and what they cost.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Health, ThreeMissesInARowMarkDownAndOneSuccessMarksUp) {
  Relay relay(plain_settings());
  relay.list_of(4);
  relay.silent.insert("b2");
  relay.run_for(15 * kSec);
  EXPECT_EQ(relay.balancer.counts().down, 1u);
  for (int i = 0; i < 100; ++i) relay.request();
  for (const Submit& s : relay.submits) EXPECT_NE(s.backend, "b2");
  relay.silent.clear();
  relay.run_for(15 * kSec);
  EXPECT_EQ(relay.balancer.counts().down, 0u);
}

TEST(Health, TwoMissesAreNotEnoughAndASuccessBetweenStartsAgain) {
  Relay relay(plain_settings());
  relay.list_of(2);
  for (Outcome o : {Outcome::timeout, Outcome::timeout, Outcome::served, Outcome::timeout, Outcome::timeout})
    relay.send(ProbeResultEvent{"b0", kMs, o, {}});
  EXPECT_EQ(relay.balancer.counts().down, 0u);
  relay.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  EXPECT_EQ(relay.balancer.counts().down, 1u);
}

TEST(Health, FailedConnectsCountAsMisses) {
  Relay relay(plain_settings());
  relay.list_of(1);
  std::uint64_t id = relay.request();
  for (int attempt = 0; attempt < 3; ++attempt) relay.result(id, Outcome::connect_failed, false, attempt);
  EXPECT_EQ(relay.balancer.counts().down, 1u);
}

TEST(Health, ASuspectIsProbedAgainSoonAtAStretchedInterval) {
  Settings s = plain_settings();
  s.price_probe = 0.002;
  s.balancers = 200;
  Relay relay(s);
  relay.list_of(100);
  relay.run_for(10 * kSec);
  relay.probes.clear();
  relay.silent.insert("b7");
  relay.send(ProbeResultEvent{"b7", 400 * kMs, Outcome::timeout, {}});
  relay.run_for(2 * kSec);
  EXPECT_EQ(relay.balancer.counts().down, 1u);
}

TEST(Health, AllDownFallsBackToRoundRobin) {
  Relay relay(plain_settings());
  for (int i = 0; i < 4; ++i) relay.silent.insert(name_of(i));
  relay.list_of(4);
  relay.run_for(20 * kSec);
  ASSERT_EQ(relay.balancer.counts().down, 4u);
  std::map<std::string, int> sent;
  for (int i = 0; i < 40; ++i) relay.request();
  for (const Submit& s : relay.submits) ++sent[s.backend];
  ASSERT_EQ(sent.size(), 4u);
  for (const auto& [b, n] : sent) EXPECT_EQ(n, 10) << b;
}

TEST(Health, ARestartUnderTheSameIdIsUpAgain) {
  Relay relay(plain_settings());
  relay.list_of(2);
  for (int i = 0; i < 3; ++i) relay.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  ASSERT_EQ(relay.balancer.counts().down, 1u);
  relay.list({backend(0, Health::serving, relay.now)}, EndpointListKind::changes);
  EXPECT_EQ(relay.balancer.counts().down, 0u);
}

TEST(Probing, CostStaysWithinItsBudget) {
  Settings s = plain_settings();
  s.price_probe = 0.002;
  s.balancers = 3;  // the whole fleet is used: nothing but the interval keeps the cost down
  Relay relay(s);
  relay.list_of(100);
  for (int i = 0; i < 50; ++i) relay.request(), relay.run_for(kSec);
  EXPECT_GT(relay.probes.size(), 50u);
  EXPECT_LT(static_cast<double>(relay.probes.size()) / 50 * 0.002, 0.02);
}

TEST(Probing, EveryServerIsProbedAtTheSourcesIntervalWhereProbesAreFree) {
  Relay relay(plain_settings());
  relay.list_of(10);
  relay.run_for(20 * kSec);
  std::map<std::string, int> probed;
  for (const std::string& b : relay.probes) ++probed[b];
  EXPECT_EQ(probed.size(), 10u);
  for (const auto& [b, n] : probed) EXPECT_GE(n, 2) << b;
}

TEST(Probing, RelaysStartedTogetherAreOutOfStep) {
  std::set<Time> firsts;
  for (int seed = 0; seed < 20; ++seed) {
    Relay relay(plain_settings(), seed);
    relay.list_of(10);
    while (relay.probes.empty()) relay.run_for(kMs);
    firsts.insert(relay.now);
  }
  EXPECT_GT(firsts.size(), 10u);
}

}  // namespace
}  // namespace marblehub::policy
