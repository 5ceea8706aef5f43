// Backend selection, connection counts and sampling of a large fleet.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Selection, EqualBackendsAreChosenEqually) {
  BalancerHarness harness(default_settings(), 11);
  harness.send_full_list(4);
  harness.advance(20 * kSec);
  std::map<std::string, int> sent;
  for (int i = 0; i < 2000; ++i) {
    std::uint64_t id = harness.request();
    ++sent[harness.submits.back().backend];
    harness.result(id, Outcome::served, true);
  }
  for (const auto& [b, n] : sent) EXPECT_NEAR(n, 500, 75) << b;
}

TEST(Selection, LowerProbeLatencyIsPreferred) {
  BalancerHarness harness(default_settings(), 11);
  harness.rtt = {{"b0", kMs}, {"b1", 20 * kMs}};
  harness.send_full_list(2);
  harness.advance(20 * kSec);
  int on_fast = 0;
  for (int i = 0; i < 500; ++i) {
    std::uint64_t id = harness.request();
    on_fast += harness.submits.back().backend == "b0";
    harness.result(id, Outcome::served, true);
    harness.advance(500 * kMs);
  }
  EXPECT_GT(on_fast, 300);
  EXPECT_LT(on_fast, 490) << "the choice is weighted, not always the fastest";
}

TEST(Selection, FewerActiveConnectionsArePreferred) {
  BalancerHarness harness(default_settings(), 11);
  harness.send_full_list(2);
  for (int i = 0; i < 20; ++i)
    harness.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = kSec}, "b0"});
  EXPECT_EQ(harness.balancer.active_connections("b0"), 20);
  int on_idle = 0;
  for (int i = 0; i < 200; ++i) {
    std::uint64_t id = harness.request();
    on_idle += harness.submits.back().backend == "b1";
    harness.result(id, Outcome::served, true);
    harness.advance(5 * kSec);
  }
  EXPECT_GT(on_idle, 115);
}

TEST(Selection, FewerRecentConnectionsArePreferred) {
  BalancerHarness harness(default_settings(), 21);
  harness.send_full_list(2);
  int repeated = 0;
  for (int i = 0; i < 600; ++i) {
    std::string last;
    for (int k = 0; k < 2; ++k) {
      std::uint64_t id = harness.request();  // ends immediately, so no connection is active
      harness.result(id, Outcome::served, true);
      repeated += harness.submits.back().backend == last;
      last = harness.submits.back().backend;
    }
    harness.advance(60 * kSec);
  }
  EXPECT_LT(repeated, 270);
  EXPECT_GT(repeated, 150) << "a preference, not strict alternation";
}

TEST(Selection, LargerScaleIsPreferred) {
  BalancerHarness harness(default_settings(), 11);
  BackendEntry large = backend_entry(0), small = backend_entry(2);
  large.scale = 3;
  harness.send_list({large, small});
  int on_large = 0;
  for (int i = 0; i < 400; ++i) harness.open_connection(), on_large += harness.submits.back().backend == "b0";
  EXPECT_NEAR(on_large, 300, 40);
}

TEST(Selection, TheOwnZoneIsPreferredByItsPrice) {
  auto count_own_zone = [](double price) {
    Settings s = default_settings();
    s.price_cross_zone = price;
    BalancerHarness harness(s, 31);
    harness.send_full_list(2);  // b0 is in the own zone, b1 in the other; probe latencies are equal
    harness.advance(20 * kSec);
    int own_zone = 0;
    for (int i = 0; i < 300; ++i) {
      std::uint64_t id = harness.request();
      own_zone += harness.submits.back().backend == "b0";
      harness.result(id, Outcome::served, true);
    }
    return own_zone;
  };
  EXPECT_NEAR(count_own_zone(0), 150, 35);
  EXPECT_GT(count_own_zone(0.05), 220);
}

TEST(Selection, HigherReportedLoadIsAvoided) {
  BalancerHarness harness(default_settings(), 31);
  harness.send_full_list(2);
  harness.advance(20 * kSec);
  harness.send(ProbeResultEvent{"b0", kMs, Outcome::served, {0.95}});
  harness.send(ProbeResultEvent{"b1", kMs, Outcome::served, {0.2}});
  int on_loaded = 0;
  for (int i = 0; i < 300; ++i) {
    std::uint64_t id = harness.request();
    on_loaded += harness.submits.back().backend == "b0";
    harness.result(id, Outcome::served, true);
  }
  EXPECT_LT(on_loaded, 110) << "an even split would be 150";
}

TEST(Selection, ARetryUsesAnotherBackendEvenIfItIsMuchSlower) {
  BalancerHarness harness(default_settings(), 31);
  harness.rtt = {{"b0", kMs}, {"b1", 200 * kMs}};
  harness.send_full_list(2);
  harness.advance(20 * kSec);
  for (int i = 0; i < 50; ++i) {
    std::uint64_t id = harness.request();
    std::string first = harness.submits.back().backend;
    harness.result(id, Outcome::error);
    EXPECT_NE(harness.submits.back().backend, first);
    harness.result(id, Outcome::served, true, 1);
    harness.advance(10 * kSec);  // a recent failure would delay the next attempt
  }
}

TEST(Selection, ABackendWithSlowMessagesIsAvoided) {
  BalancerHarness harness(default_settings(), 11);
  harness.send_full_list(4);
  harness.advance(20 * kSec);
  std::uint64_t id = 0;
  std::string slow = harness.open_connection(&id);
  int on_slow = 0;
  for (int i = 0; i < 100; ++i) {
    harness.send(ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 90});
    harness.request();
    on_slow += harness.submits.back().backend == slow;
  }
  EXPECT_LT(on_slow, 12);
}

TEST(Counts, IncludeAcceptedAndHandedOverConnectionsUntilTheyEnd) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(1);
  std::uint64_t a = harness.request(), b = harness.request(), c = harness.request();
  EXPECT_EQ(harness.balancer.active_connections("b0"), 0) << "not accepted yet";
  harness.send(EstablishedEvent{a, 0, kMs});
  harness.send(EstablishedEvent{a, 0, kMs});
  EXPECT_EQ(harness.balancer.active_connections("b0"), 1);
  harness.result(b, Outcome::full);
  harness.result(b, Outcome::full);  // a repeated result
  harness.result(c, Outcome::connect_failed);
  EXPECT_EQ(harness.balancer.active_connections("b0"), 1) << "refused and failed connects add nothing";
  harness.send(HandoverEvent{{.id = 99, .request_class = 0, .expires_in = 0}, "b0"});
  EXPECT_EQ(harness.balancer.active_connections("b0"), 2);
  harness.result(99, Outcome::cancelled, true);
  harness.result(a, Outcome::reset, true);
  harness.result(a, Outcome::reset, true);
  EXPECT_EQ(harness.balancer.active_connections("b0"), 0);
  EXPECT_EQ(harness.balancer.counts().open, 0u);
}

TEST(Counts, ARequestWithoutEstablishedEventCountsFromItsSubmit) {
  Settings s = default_settings();
  s.classes[0].stream = false;
  BalancerHarness harness(s);
  harness.send_full_list(1);
  std::uint64_t id = harness.request();
  EXPECT_EQ(harness.balancer.active_connections("b0"), 1);
  harness.result(id, Outcome::served, true);
  EXPECT_EQ(harness.balancer.active_connections("b0"), 0);
}

// Each balancer uses few backends of a large fleet, but together they must use all backends equally.
TEST(Sampling, EveryBackendIsInTheSameNumberOfSamples) {
  Settings s = default_settings();
  s.balancers = 100;
  std::map<std::string, int> balancers_per_backend;
  for (int index = 0; index < 100; ++index) {
    s.balancer_index = index;
    BalancerHarness harness(s, 50 + index);
    harness.send_full_list(80);
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i) used.insert(harness.open_connection());
    EXPECT_LE(used.size(), 20u);
    EXPECT_GE(used.size(), 12u);
    for (const std::string& b : used) ++balancers_per_backend[b];
  }
  EXPECT_EQ(balancers_per_backend.size(), 80u);
  for (const auto& [b, n] : balancers_per_backend) EXPECT_NEAR(n, 20, 7) << b;
}

TEST(Sampling, FewBalancersUseTheWholeFleet) {
  Settings s = default_settings();
  s.balancers = 3;
  BalancerHarness harness(s);
  harness.send_full_list(40);
  std::set<std::string> used;
  for (int i = 0; i < 600; ++i) used.insert(harness.open_connection());
  EXPECT_EQ(used.size(), 40u);
}

TEST(Sampling, OtherBackendsServeIfTheWholeSampleIsDown) {
  Settings s = default_settings();
  s.balancers = 100;
  BalancerHarness harness(s);
  harness.send_full_list(80);
  std::set<std::string> used;
  for (int i = 0; i < 300; ++i) used.insert(harness.open_connection());
  for (const std::string& b : used)
    for (int k = 0; k < 3; ++k) harness.send(ProbeResultEvent{b, kMs, Outcome::timeout, {}});
  std::size_t before = harness.submits.size();
  for (int i = 0; i < 20; ++i) harness.request();
  ASSERT_EQ(harness.submits.size(), before + 20);
  for (std::size_t i = before; i < harness.submits.size(); ++i)
    EXPECT_FALSE(used.count(harness.submits[i].backend));
}

}  // namespace
}  // namespace marblehub::policy
