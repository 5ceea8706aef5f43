// Service discovery, odd input, determinism, settings.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Discovery, AskedOnceThenAgainAfterARefusalEachTimeLater) {
  Settings s = plain_settings();
  s.pull_endpoints = true;
  Relay relay(s);
  relay.list({backend(0)}, EndpointListKind::cached);
  relay.run_for(5 * kSec);
  EXPECT_EQ(relay.tracks, 1);
  relay.send(EndpointListEvent{EndpointListKind::failed, nullptr});
  relay.run_for(3 * kSec);
  EXPECT_EQ(relay.tracks, 2);
  relay.request();
  EXPECT_EQ(relay.submits.size(), 1u) << "the list held stays in force";
  relay.list({backend(1)}, EndpointListKind::changes);
  relay.run_for(60 * kSec);
  EXPECT_EQ(relay.tracks, 2) << "subscribed: no further call";
}

TEST(Discovery, RefusedAgainAndAgainTheCallsGrowRareButNeverTooRare) {
  Settings s = plain_settings();
  s.pull_endpoints = true;
  Relay relay(s);
  relay.list({backend(0)}, EndpointListKind::cached);
  Time last = 0, longest = 0;
  for (int i = 0; i < 400; ++i) {
    int before = relay.tracks;
    relay.run_for(100 * kMs);
    if (relay.tracks == before) continue;
    relay.send(EndpointListEvent{EndpointListKind::failed, nullptr});
    if (last > 0) longest = std::max(longest, relay.now - last);
    last = relay.now;
  }
  EXPECT_GE(relay.tracks, 10);
  EXPECT_LE(relay.tracks, 14) << "1, 2 and then every 3.5 s or so in 40 s";
  EXPECT_GE(longest, 2500 * kMs) << "they grow rare";
  EXPECT_LE(longest, 4500 * kMs) << "news counts as told 6 s after discovery is back";
}

TEST(Discovery, APushedListIsNeverAskedFor) {
  Relay relay(plain_settings());
  relay.list({backend(0)}, EndpointListKind::cached);
  relay.run_for(20 * kSec);
  EXPECT_EQ(relay.tracks, 0);
}

TEST(OddInput, UnknownIdsChangeNothing) {
  Relay relay(plain_settings());
  relay.list_of(2);
  relay.send(ResultEvent{.id = 5, .backend = {}, .outcome = Outcome::timeout, .report = {}});
  relay.send(EstablishedEvent{6, 0, 0});
  relay.send(ConnectionUpdateEvent{7, 0, ConnectionUpdateKind::messages_slow, 1});
  relay.send(ClientGoneEvent{8});
  std::size_t timers = relay.timers.size();
  relay.send(TimerEvent{123});
  EXPECT_EQ(relay.timers.size(), timers) << "a timer that is not ours starts nothing";
  relay.send(ProbeResultEvent{"nobody", kMs, Outcome::timeout, {}});
  relay.send(HandoverEvent{{.id = 9}, "nobody"});
  relay.send(RequestEvent{.id = 10, .request_class = 4, .expires_in = kSec});
  EXPECT_EQ(relay.submits.size() + relay.answers() + relay.redirects.size(), 0u);
  EXPECT_EQ(relay.balancer.counts().open + relay.balancer.counts().unanswered, 0u);
}

TEST(OddInput, AGoneClientIsOwedNothing) {
  Relay relay(plain_settings());
  relay.list_of(2);
  std::uint64_t id = relay.request();
  relay.send(ClientGoneEvent{id});
  relay.result(id, Outcome::timeout);
  relay.run_for(5 * kSec);
  EXPECT_EQ(relay.answers(), 0u);
  EXPECT_EQ(relay.submits.size(), 1u);
}

TEST(Determinism, SameSeedSameActions) {
  auto trace = [](std::uint64_t seed) {
    Relay relay(plain_settings(), seed);
    relay.list_of(20);
    for (int i = 0; i < 50; ++i) relay.place_and_open(), relay.run_for(100 * kMs);
    std::string text;
    for (const Submit& s : relay.submits) text += s.backend + " ";
    for (const std::string& p : relay.probes) text += p + " ";
    return text;
  };
  EXPECT_EQ(trace(1), trace(1));
  EXPECT_NE(trace(1), trace(2));
}

TEST(Settings, AnImpossibleFigureIsNamed) {
  Settings s = plain_settings();
  EXPECT_FALSE(validate(s).has_value());
  s.cold_share = std::nan("");
  ASSERT_TRUE(validate(s).has_value());
  EXPECT_EQ(validate(s)->key, "invariants.cold_share");
  s = plain_settings();
  s.balancers = 0;
  ASSERT_TRUE(validate(s).has_value());
  EXPECT_EQ(validate(s)->key, "balancers");
}

}  // namespace
}  // namespace marblehub::policy
