// Service discovery, invalid events, determinism and validation of settings.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Discovery, RequestsTheListOnceAndAgainAfterAFailure) {
  Settings s = default_settings();
  s.pull_endpoints = true;
  BalancerHarness harness(s);
  harness.send_list({backend_entry(0)}, EndpointListKind::cached);
  harness.advance(5 * kSec);
  EXPECT_EQ(harness.list_requests, 1);
  harness.send(EndpointListEvent{EndpointListKind::failed, nullptr});
  harness.advance(3 * kSec);
  EXPECT_EQ(harness.list_requests, 2);
  harness.request();
  EXPECT_EQ(harness.submits.size(), 1u) << "the current list stays in use";
  harness.send_list({backend_entry(1)}, EndpointListKind::changes);
  harness.advance(60 * kSec);
  EXPECT_EQ(harness.list_requests, 2) << "no further request while a watch is open";
}

TEST(Discovery, BacksOffAfterRepeatedFailuresUpToALimit) {
  Settings s = default_settings();
  s.pull_endpoints = true;
  BalancerHarness harness(s);
  harness.send_list({backend_entry(0)}, EndpointListKind::cached);
  Time last_request_at = 0, longest_interval = 0;
  for (int i = 0; i < 400; ++i) {
    int requests_before = harness.list_requests;
    harness.advance(100 * kMs);
    if (harness.list_requests == requests_before) continue;
    harness.send(EndpointListEvent{EndpointListKind::failed, nullptr});
    if (last_request_at > 0) longest_interval = std::max(longest_interval, harness.now - last_request_at);
    last_request_at = harness.now;
  }
  EXPECT_GE(harness.list_requests, 10);
  EXPECT_LE(harness.list_requests, 14) << "intervals of about 1, 2 and then 3.5 s within 40 s";
  EXPECT_GE(longest_interval, 2500 * kMs) << "the interval grows";
  EXPECT_LE(longest_interval, 4500 * kMs) << "the list must arrive within 6 s after discovery recovers";
}

TEST(Discovery, NeverRequestsAPushedList) {
  BalancerHarness harness(default_settings());
  harness.send_list({backend_entry(0)}, EndpointListKind::cached);
  harness.advance(20 * kSec);
  EXPECT_EQ(harness.list_requests, 0);
}

TEST(InvalidEvents, UnknownIdsAreIgnored) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(2);
  // No request has any of these ids, and no class has the index 4.
  harness.send(ResultEvent{.id = 5, .backend = {}, .outcome = Outcome::timeout, .report = {}});
  harness.send(EstablishedEvent{6, 0, 0});
  harness.send(ConnectionUpdateEvent{7, 0, ConnectionUpdateKind::messages_slow, 1});
  harness.send(ClientGoneEvent{8});
  std::size_t timers = harness.timers.size();
  harness.send(TimerEvent{123});
  EXPECT_EQ(harness.timers.size(), timers) << "a timer of another cookie schedules nothing";
  harness.send(ProbeResultEvent{"unknown", kMs, Outcome::timeout, {}});
  harness.send(HandoverEvent{{.id = 9}, "unknown"});
  harness.send(RequestEvent{.id = 10, .request_class = 4, .expires_in = kSec});
  EXPECT_EQ(harness.submits.size() + harness.final_answers() + harness.redirects.size(), 0u);
  EXPECT_EQ(harness.balancer.counts().open + harness.balancer.counts().unanswered, 0u);
}

TEST(InvalidEvents, ADisconnectedClientGetsNoAnswer) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(2);
  std::uint64_t id = harness.request();
  harness.send(ClientGoneEvent{id});
  harness.result(id, Outcome::timeout);
  harness.advance(5 * kSec);
  EXPECT_EQ(harness.final_answers(), 0u);
  EXPECT_EQ(harness.submits.size(), 1u);
}

TEST(Determinism, SameSeedSameActions) {
  // The backends of all attempts and probes, in order.
  auto trace = [](std::uint64_t seed) {
    BalancerHarness harness(default_settings(), seed);
    harness.send_full_list(20);
    for (int i = 0; i < 50; ++i) harness.open_connection(), harness.advance(100 * kMs);
    std::string text;
    for (const Submit& submit : harness.submits) text += submit.backend + " ";
    for (const std::string& backend : harness.probes) text += backend + " ";
    return text;
  };
  EXPECT_EQ(trace(1), trace(1));
  EXPECT_NE(trace(1), trace(2));
}

TEST(Settings, ValidationReportsTheInvalidKey) {
  Settings s = default_settings();
  EXPECT_FALSE(validate(s).has_value());
  s.cold_share = std::nan("");
  ASSERT_TRUE(validate(s).has_value());
  EXPECT_EQ(validate(s)->key, "invariants.cold_share");
  s = default_settings();
  s.balancers = 0;
  ASSERT_TRUE(validate(s).has_value());
  EXPECT_EQ(validate(s)->key, "balancers");
}

}  // namespace
}  // namespace marblehub::policy
