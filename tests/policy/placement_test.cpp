// The blend, counts and samples of a big fleet.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Blend, EqualBackendsDrawEqually) {
  Relay relay(plain_settings(), 11);
  relay.list_of(4);
  relay.run_for(20 * kSec);
  std::map<std::string, int> sent;
  for (int i = 0; i < 2000; ++i) {
    std::uint64_t id = relay.request();
    ++sent[relay.submits.back().backend];
    relay.result(id, Outcome::served, true);
  }
  for (const auto& [b, n] : sent) EXPECT_NEAR(n, 500, 75) << b;
}

TEST(Blend, LowerProbeLatencyDrawsMore) {
  Relay relay(plain_settings(), 11);
  relay.rtt = {{"b0", kMs}, {"b1", 20 * kMs}};
  relay.list_of(2);
  relay.run_for(20 * kSec);
  int near = 0;
  for (int i = 0; i < 500; ++i) {
    std::uint64_t id = relay.request();
    near += relay.submits.back().backend == "b0";
    relay.result(id, Outcome::served, true);
    relay.run_for(500 * kMs);
  }
  EXPECT_GT(near, 300);
  EXPECT_LT(near, 490) << "drawn by weight, not always the quickest";
}

TEST(Blend, FewerActiveConnectionsDrawMore) {
  Relay relay(plain_settings(), 11);
  relay.list_of(2);
  for (int i = 0; i < 20; ++i)
    relay.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = kSec}, "b0"});
  EXPECT_EQ(relay.balancer.active_connections("b0"), 20);
  int empty = 0;
  for (int i = 0; i < 200; ++i) {
    std::uint64_t id = relay.request();
    empty += relay.submits.back().backend == "b1";
    relay.result(id, Outcome::served, true);
    relay.run_for(5 * kSec);
  }
  EXPECT_GT(empty, 115);
}

TEST(Blend, FewerNewConnectionsLatelyDrawMore) {
  Relay relay(plain_settings(), 21);
  relay.list_of(2);
  int same = 0;
  for (int i = 0; i < 600; ++i) {
    std::string last;
    for (int k = 0; k < 2; ++k) {
      std::uint64_t id = relay.request();  // ends at once: nothing is ever active
      relay.result(id, Outcome::served, true);
      same += relay.submits.back().backend == last;
      last = relay.submits.back().backend;
    }
    relay.run_for(60 * kSec);
  }
  EXPECT_LT(same, 270);
  EXPECT_GT(same, 150) << "a lean, not a rule";
}

TEST(Blend, LargerScaleDrawsMore) {
  Relay relay(plain_settings(), 11);
  BackendEntry big = backend(0), small = backend(2);
  big.scale = 3;
  relay.list({big, small});
  int at_big = 0;
  for (int i = 0; i < 400; ++i) relay.place_and_open(), at_big += relay.submits.back().backend == "b0";
  EXPECT_NEAR(at_big, 300, 40);
}

TEST(Blend, CrossingZonesCountsByItsPrice) {
  auto at_home = [](double price) {
    Settings s = plain_settings();
    s.price_cross_zone = price;
    Relay relay(s, 31);
    relay.list_of(2);  // b0 in our zone, b1 across; probes tell no difference
    relay.run_for(20 * kSec);
    int home = 0;
    for (int i = 0; i < 300; ++i) {
      std::uint64_t id = relay.request();
      home += relay.submits.back().backend == "b0";
      relay.result(id, Outcome::served, true);
    }
    return home;
  };
  EXPECT_NEAR(at_home(0), 150, 35);
  EXPECT_GT(at_home(0.05), 220);
}

TEST(Blend, AReportedLoadDrawsLess) {
  Relay relay(plain_settings(), 31);
  relay.list_of(2);
  relay.run_for(20 * kSec);
  relay.send(ProbeResultEvent{"b0", kMs, Outcome::served, {0.95}});
  relay.send(ProbeResultEvent{"b1", kMs, Outcome::served, {0.2}});
  int busy = 0;
  for (int i = 0; i < 300; ++i) {
    std::uint64_t id = relay.request();
    busy += relay.submits.back().backend == "b0";
    relay.result(id, Outcome::served, true);
  }
  EXPECT_LT(busy, 110) << "a lean well past an even split of 150";
}

TEST(Blend, AFurtherAttemptGoesElsewhereHoweverNearTheFirst) {
  Relay relay(plain_settings(), 31);
  relay.rtt = {{"b0", kMs}, {"b1", 200 * kMs}};
  relay.list_of(2);
  relay.run_for(20 * kSec);
  for (int i = 0; i < 50; ++i) {
    std::uint64_t id = relay.request();
    std::string first = relay.submits.back().backend;
    relay.result(id, Outcome::error);
    EXPECT_NE(relay.submits.back().backend, first);
    relay.result(id, Outcome::served, true, 1);
    relay.run_for(10 * kSec);  // a failure just before would hold the next attempt
  }
}

TEST(Blend, NotedSlownessDrawsLess) {
  Relay relay(plain_settings(), 11);
  relay.list_of(4);
  relay.run_for(20 * kSec);
  std::uint64_t id = 0;
  std::string slow = relay.place_and_open(&id);
  int there = 0;
  for (int i = 0; i < 100; ++i) {
    relay.send(ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 90});
    relay.request();
    there += relay.submits.back().backend == slow;
  }
  EXPECT_LT(there, 12);
}

TEST(Counts, FollowAcceptedHandedOverAndEndedConnections) {
  Relay relay(plain_settings());
  relay.list_of(1);
  std::uint64_t a = relay.request(), b = relay.request(), c = relay.request();
  EXPECT_EQ(relay.balancer.active_connections("b0"), 0) << "not accepted yet";
  relay.send(EstablishedEvent{a, 0, kMs});
  relay.send(EstablishedEvent{a, 0, kMs});
  EXPECT_EQ(relay.balancer.active_connections("b0"), 1);
  relay.result(b, Outcome::full);
  relay.result(b, Outcome::full);  // a repeated result
  relay.result(c, Outcome::connect_failed);
  EXPECT_EQ(relay.balancer.active_connections("b0"), 1) << "refused and failed connects add nothing";
  relay.send(HandoverEvent{{.id = 99, .request_class = 0, .expires_in = 0}, "b0"});
  EXPECT_EQ(relay.balancer.active_connections("b0"), 2);
  relay.result(99, Outcome::cancelled, true);
  relay.result(a, Outcome::reset, true);
  relay.result(a, Outcome::reset, true);
  EXPECT_EQ(relay.balancer.active_connections("b0"), 0);
  EXPECT_EQ(relay.balancer.counts().open, 0u);
}

TEST(Counts, AnAnswerlessClassCountsFromItsSending) {
  Settings s = plain_settings();
  s.classes[0].stream = false;
  Relay relay(s);
  relay.list_of(1);
  std::uint64_t id = relay.request();
  EXPECT_EQ(relay.balancer.active_connections("b0"), 1);
  relay.result(id, Outcome::served, true);
  EXPECT_EQ(relay.balancer.active_connections("b0"), 0);
}

// A relay uses few backends of a big fleet, yet all relays together use every backend equally.
TEST(Sampling, EveryBackendIsInTheSamplesOfEquallyManyRelays) {
  Settings s = plain_settings();
  s.balancers = 100;
  std::map<std::string, int> relays_at;
  for (int me = 0; me < 100; ++me) {
    s.balancer_index = me;
    Relay relay(s, 50 + me);
    relay.list_of(80);
    std::set<std::string> used;
    for (int i = 0; i < 60; ++i) used.insert(relay.place_and_open());
    EXPECT_LE(used.size(), 20u);
    EXPECT_GE(used.size(), 12u);
    for (const std::string& b : used) ++relays_at[b];
  }
  EXPECT_EQ(relays_at.size(), 80u);
  for (const auto& [b, n] : relays_at) EXPECT_NEAR(n, 20, 7) << b;
}

TEST(Sampling, FewRelaysUseTheWholeFleet) {
  Settings s = plain_settings();
  s.balancers = 3;
  Relay relay(s);
  relay.list_of(40);
  std::set<std::string> used;
  for (int i = 0; i < 600; ++i) used.insert(relay.place_and_open());
  EXPECT_EQ(used.size(), 40u);
}

TEST(Sampling, WhenTheWholeSampleIsDownOthersServe) {
  Settings s = plain_settings();
  s.balancers = 100;
  Relay relay(s);
  relay.list_of(80);
  std::set<std::string> used;
  for (int i = 0; i < 300; ++i) used.insert(relay.place_and_open());
  for (const std::string& b : used)
    for (int k = 0; k < 3; ++k) relay.send(ProbeResultEvent{b, kMs, Outcome::timeout, {}});
  std::size_t before = relay.submits.size();
  for (int i = 0; i < 20; ++i) relay.request();
  ASSERT_EQ(relay.submits.size(), before + 20);
  for (std::size_t i = before; i < relay.submits.size(); ++i)
    EXPECT_FALSE(used.count(relay.submits[i].backend));
}

}  // namespace
}  // namespace marblehub::policy
