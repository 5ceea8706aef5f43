// What the rules of the wire ask of the policy: answers, retries, drains.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Rules, AnEmptyListRejectsInTimeAndOnlyOnce) {
  Relay relay(plain_settings());
  relay.list({});
  relay.request();
  relay.run_for(1800 * kMs);
  EXPECT_EQ(relay.rejections.size(), 1u);
  relay.run_for(5 * kSec);
  EXPECT_EQ(relay.answers(), 1u);
  EXPECT_EQ(relay.balancer.counts().unanswered, 0u);
}

TEST(Rules, AHeldRequestIsPlacedWhenABackendAppears) {
  Relay relay(plain_settings());
  relay.list({});
  relay.request();
  relay.run_for(200 * kMs);
  relay.list_of(1);
  relay.run_for(200 * kMs);
  EXPECT_EQ(relay.submits.size(), 1u);
}

TEST(Rules, AnAttemptThatNeverEndsIsAnsweredAtTheDeadlineAndSendsNothingAfter) {
  Relay relay(plain_settings());
  relay.list_of(3);
  std::uint64_t id = relay.request();
  relay.run_for(1850 * kMs);
  EXPECT_EQ(relay.answers(), 1u);
  std::size_t sent = relay.submits.size();
  relay.result(id, Outcome::timeout);
  relay.run_for(2 * kSec);
  EXPECT_EQ(relay.submits.size(), sent);
  EXPECT_EQ(relay.answers(), 1u);
}

TEST(Rules, FurtherAttemptsStayWithinTheLimitAndEndInOneAnswer) {
  Relay relay(plain_settings());
  relay.list_of(5);
  std::uint64_t id = relay.request();
  for (int attempt = 0; attempt < 3; ++attempt) relay.result(id, Outcome::connect_failed, false, attempt);
  EXPECT_EQ(relay.submits.size(), 3u);
  EXPECT_EQ(relay.rejections.size(), 1u);
  std::set<std::string> used;
  for (const Submit& s : relay.submits) used.insert(s.backend);
  EXPECT_EQ(used.size(), 3u) << "a further attempt goes elsewhere";
}

TEST(Rules, AnAttemptLeavesTimeForAnother) {
  Relay relay(plain_settings());
  relay.list_of(5);
  relay.request();
  EXPECT_LE(relay.submits[0].deadline, relay.now + 900 * kMs);
  EXPECT_GE(relay.submits[0].deadline, relay.now + 300 * kMs);
}

TEST(Rules, AnUnsafeRequestThatMayHaveRunIsFailedNotRepeated) {
  Settings s = plain_settings();
  s.classes[0] = stream_class(Repeat::unsafe);
  Relay relay(s);
  relay.list_of(5);
  std::uint64_t id = relay.request();
  relay.result(id, Outcome::timeout);
  EXPECT_EQ(relay.submits.size(), 1u);
  EXPECT_EQ(relay.failures.size(), 1u);
  EXPECT_TRUE(relay.rejections.empty());
}

TEST(Rules, AnUnsafeRequestThatNeverRanIsRepeated) {
  Settings s = plain_settings();
  s.classes[0] = stream_class(Repeat::unsafe);
  Relay relay(s);
  relay.list_of(5);
  std::uint64_t id = relay.request();
  relay.result(id, Outcome::full);
  EXPECT_EQ(relay.submits.size(), 2u);
  relay.result(id, Outcome::connect_failed, false, 1);
  relay.result(id, Outcome::not_sent, false, 2);
  EXPECT_EQ(relay.rejections.size(), 1u);
}

TEST(Rules, AKeyedRequestThatMayHaveRunStaysInItsGroup) {
  for (DedupScope scope : {DedupScope::zone, DedupScope::cell}) {
    Settings s = plain_settings();
    s.classes[0] = stream_class(Repeat::keyed, scope);
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      Relay relay(s, seed);
      relay.list_of(8);
      std::uint64_t id = relay.request();
      relay.result(id, Outcome::reset);
      ASSERT_EQ(relay.submits.size(), 2u);
      int first = std::stoi(relay.submits[0].backend.substr(1)),
          next = std::stoi(relay.submits[1].backend.substr(1));

      auto group = [&](int i) { return scope == DedupScope::zone ? i % 2 : i / 2; };
      EXPECT_EQ(group(first), group(next));
      relay.result(id, Outcome::reset, false, 1);
      relay.result(id, Outcome::reset, false, 2);
      EXPECT_EQ(relay.failures.size(), 1u) << "a refusal would let it run outside its group";
    }
  }
}

TEST(Rules, AKeyedRequestIsNotRepeatedPastItsWindow) {
  Settings s = plain_settings();
  s.classes[0] = stream_class(Repeat::keyed);
  s.classes[0].dedup_window_us = 100 * kMs;
  Relay relay(s);
  relay.list_of(4);
  std::uint64_t id = relay.request();
  relay.now += 101 * kMs;
  relay.result(id, Outcome::timeout);
  relay.run_for(2 * kSec);
  EXPECT_EQ(relay.submits.size(), 1u);
  EXPECT_EQ(relay.rejections.size(), 1u) << "all backends drop its repeats, so trying again is harmless";
}

TEST(Rules, NothingNewGoesToADrainingOrDeletedBackend) {
  Relay relay(plain_settings());
  relay.list_of(3);
  relay.list({backend(0, Health::draining), backend(1, Health::deleted)}, EndpointListKind::changes);
  for (int i = 0; i < 50; ++i) relay.request();
  ASSERT_EQ(relay.submits.size(), 50u);
  for (const Submit& s : relay.submits) EXPECT_EQ(s.backend, "b2");
}

TEST(Rules, AFullListRemovesWhatItDoesNotName) {
  Relay relay(plain_settings());
  relay.list_of(3);
  relay.list({backend(1)});
  for (int i = 0; i < 20; ++i) relay.request();
  for (const Submit& s : relay.submits) EXPECT_EQ(s.backend, "b1");
  EXPECT_EQ(relay.submits.size(), 20u);
}

}  // namespace
}  // namespace marblehub::policy
