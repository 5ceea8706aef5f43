// Rules for final answers, retries and draining backends.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Rules, ARequestWithoutBackendsIsRejectedOnceBeforeItsDeadline) {
  BalancerHarness harness(default_settings());
  harness.send_list({});
  harness.request();
  harness.advance(1800 * kMs);
  EXPECT_EQ(harness.rejections.size(), 1u);
  harness.advance(5 * kSec);
  EXPECT_EQ(harness.final_answers(), 1u);
  EXPECT_EQ(harness.balancer.counts().unanswered, 0u);
}

TEST(Rules, AWaitingRequestIsPlacedWhenABackendAppears) {
  BalancerHarness harness(default_settings());
  harness.send_list({});
  harness.request();
  harness.advance(200 * kMs);
  harness.send_full_list(1);
  harness.advance(200 * kMs);
  EXPECT_EQ(harness.submits.size(), 1u);
}

TEST(Rules, ARequestWithoutResultIsAnsweredAtItsDeadlineAndNotRetried) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(3);
  std::uint64_t id = harness.request();
  harness.advance(1850 * kMs);
  EXPECT_EQ(harness.final_answers(), 1u);
  std::size_t sent = harness.submits.size();
  harness.result(id, Outcome::timeout);
  harness.advance(2 * kSec);
  EXPECT_EQ(harness.submits.size(), sent);
  EXPECT_EQ(harness.final_answers(), 1u);
}

TEST(Rules, RetriesStayWithinTheLimitAndEndInOneAnswer) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(5);
  std::uint64_t id = harness.request();
  for (int attempt = 0; attempt < 3; ++attempt) harness.result(id, Outcome::connect_failed, false, attempt);
  EXPECT_EQ(harness.submits.size(), 3u);
  EXPECT_EQ(harness.rejections.size(), 1u);
  std::set<std::string> used;
  for (const Submit& s : harness.submits) used.insert(s.backend);
  EXPECT_EQ(used.size(), 3u) << "each retry uses another backend";
}

TEST(Rules, AnAttemptLeavesTimeForARetry) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(5);
  harness.request();
  EXPECT_LE(harness.submits[0].deadline, harness.now + 900 * kMs);
  EXPECT_GE(harness.submits[0].deadline, harness.now + 300 * kMs);
}

TEST(Rules, AnUnsafeRequestThatMayHaveRunFailsWithoutRetry) {
  Settings s = default_settings();
  s.classes[0] = stream_class(Repeat::unsafe);
  BalancerHarness harness(s);
  harness.send_full_list(5);
  std::uint64_t id = harness.request();
  harness.result(id, Outcome::timeout);
  EXPECT_EQ(harness.submits.size(), 1u);
  EXPECT_EQ(harness.failures.size(), 1u);
  EXPECT_TRUE(harness.rejections.empty());
}

TEST(Rules, AnUnsafeRequestThatDidNotRunIsRetried) {
  Settings s = default_settings();
  s.classes[0] = stream_class(Repeat::unsafe);
  BalancerHarness harness(s);
  harness.send_full_list(5);
  std::uint64_t id = harness.request();
  harness.result(id, Outcome::full);
  EXPECT_EQ(harness.submits.size(), 2u);
  harness.result(id, Outcome::connect_failed, false, 1);
  harness.result(id, Outcome::not_sent, false, 2);
  EXPECT_EQ(harness.rejections.size(), 1u);
}

TEST(Rules, AKeyedRequestThatMayHaveRunIsRetriedInItsDedupScope) {
  for (DedupScope scope : {DedupScope::zone, DedupScope::cell}) {
    Settings s = default_settings();
    s.classes[0] = stream_class(Repeat::keyed, scope);
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      BalancerHarness harness(s, seed);
      harness.send_full_list(8);
      std::uint64_t id = harness.request();
      harness.result(id, Outcome::reset);
      ASSERT_EQ(harness.submits.size(), 2u);
      int first = std::stoi(harness.submits[0].backend.substr(1)),
          next = std::stoi(harness.submits[1].backend.substr(1));

      auto scope_of = [&](int i) { return scope == DedupScope::zone ? i % 2 : i / 2; };
      EXPECT_EQ(scope_of(first), scope_of(next));
      harness.result(id, Outcome::reset, false, 1);
      harness.result(id, Outcome::reset, false, 2);
      EXPECT_EQ(harness.failures.size(), 1u) << "a rejected client could retry outside the scope";
    }
  }
}

// Guards against a retry in the group that the backend of the first attempt has moved to since.
TEST(Rules, AKeyedRequestIsRetriedInTheGroupThatItWasSentTo) {
  for (DedupScope scope : {DedupScope::zone, DedupScope::cell}) {
    Settings s = default_settings();
    s.classes[0] = stream_class(Repeat::keyed, scope);
    BalancerHarness harness(s);
    harness.send_full_list(8);
    std::uint64_t id = harness.request();
    const int first = std::stoi(harness.submits[0].backend.substr(1));
    BackendEntry moved = backend_entry(first);
    moved.zone = first % 2 ? "a" : "b";
    moved.cell = (first / 2 + 1) % 4;
    harness.send_list({moved}, EndpointListKind::changes);
    harness.result(id, Outcome::reset);
    ASSERT_EQ(harness.submits.size(), 2u);
    const int second = std::stoi(harness.submits[1].backend.substr(1));
    EXPECT_NE(second, first);
    auto group_of = [&](int i) { return scope == DedupScope::zone ? i % 2 : i / 2; };
    EXPECT_EQ(group_of(second), group_of(first));
  }
}

TEST(Rules, AKeyedRequestIsNotRetriedAfterItsDedupWindow) {
  Settings s = default_settings();
  s.classes[0] = stream_class(Repeat::keyed);
  s.classes[0].dedup_window_us = 100 * kMs;
  BalancerHarness harness(s);
  harness.send_full_list(4);
  std::uint64_t id = harness.request();
  harness.now += 101 * kMs;
  harness.result(id, Outcome::timeout);
  harness.advance(2 * kSec);
  EXPECT_EQ(harness.submits.size(), 1u);
  EXPECT_EQ(harness.rejections.size(), 1u) << "all backends deduplicate it, so the client may retry";
}

// Guards against a repeat that is decided on in time and sent too late: the attempt says when that is.
TEST(Rules, ARepeatOfAKeyedRequestTellsTheEndOfItsDedupWindow) {
  for (Repeat repeat : {Repeat::safe, Repeat::keyed}) {
    Settings s = default_settings();
    s.classes[0] = stream_class(repeat);
    BalancerHarness harness(s);
    harness.send_full_list(4);
    const Time first_sent_at = harness.now;
    std::uint64_t id = harness.request();
    harness.now += 50 * kMs;
    harness.result(id, Outcome::reset);
    ASSERT_EQ(harness.submits.size(), 2u);
    EXPECT_FALSE(harness.submits[0].send_by.has_value());
    std::optional<Time> window_end;
    if (repeat == Repeat::keyed) window_end = first_sent_at + 1 * kSec;
    EXPECT_EQ(harness.submits[1].send_by, window_end);
  }
}

TEST(Rules, ADrainingOrDeletedBackendGetsNoNewRequests) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(3);
  harness.send_list({backend_entry(0, Health::draining), backend_entry(1, Health::deleted)},
                    EndpointListKind::changes);
  for (int i = 0; i < 50; ++i) harness.request();
  ASSERT_EQ(harness.submits.size(), 50u);
  for (const Submit& s : harness.submits) EXPECT_EQ(s.backend, "b2");
}

TEST(Rules, AFullListRemovesBackendsThatItDoesNotContain) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(3);
  harness.send_list({backend_entry(1)});
  for (int i = 0; i < 20; ++i) harness.request();
  for (const Submit& s : harness.submits) EXPECT_EQ(s.backend, "b1");
  EXPECT_EQ(harness.submits.size(), 20u);
}

}  // namespace
}  // namespace marblehub::policy
