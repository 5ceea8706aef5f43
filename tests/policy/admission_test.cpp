// Migration of established connections, admission control and the setup limit.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Migration, ConnectionsLeaveADownBackendOverTime) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(4);
  for (int i = 0; i < 20; ++i)
    harness.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = 0}, "b0"});
  harness.unresponsive.insert("b0");
  for (int i = 0; i < 3; ++i) harness.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  harness.advance(100 * kMs);
  EXPECT_LT(harness.redirects.size(), 12u);
  harness.advance(15 * kSec);
  EXPECT_EQ(harness.redirects.size(), 20u);
}

TEST(Migration, NoConnectionIsMovedIfMostBackendsAreDown) {
  BalancerHarness harness(default_settings());
  harness.send_full_list(4);
  for (int i = 0; i < 20; ++i)
    harness.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = 0}, "b0"});
  for (const char* b : {"b0", "b1", "b2"}) {
    harness.unresponsive.insert(b);
    for (int k = 0; k < 3; ++k) harness.send(ProbeResultEvent{b, kMs, Outcome::timeout, {}});
  }
  harness.advance(30 * kSec);
  EXPECT_EQ(harness.balancer.counts().down, 3u);
  EXPECT_TRUE(harness.redirects.empty());
}

TEST(Admission, RejectsPartOfTheRequestsWhileMostBackendsAreLate) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(4);
  std::vector<std::uint64_t> ids;
  for (int i = 0; i < 8; ++i) {
    ids.push_back(1000 + i);
    harness.send(HandoverEvent{{.id = ids.back(), .request_class = 0, .expires_in = 0}, address_of(i % 4)});
  }
  for (int i = 0; i < 50; ++i) {
    for (std::uint64_t id : ids)
      harness.send(ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 500});
    harness.advance(100 * kMs);
  }
  harness.rejections.clear();
  for (int i = 0; i < 100; ++i) harness.request();
  EXPECT_GT(harness.rejections.size(), 20u);
  for (const Reject& d : harness.rejections) EXPECT_GT(d.retry_after, 0);
  harness.advance(60 * kSec);
  harness.rejections.clear();
  for (int i = 0; i < 100; ++i) harness.request();
  EXPECT_TRUE(harness.rejections.empty());
}

TEST(Admission, DownBackendsDoNotCountAsOverload) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(4);
  for (const char* b : {"b0", "b1", "b2"}) harness.unresponsive.insert(b);
  harness.advance(30 * kSec);
  ASSERT_EQ(harness.balancer.counts().down, 3u);
  for (int i = 0; i < 50; ++i) harness.request();
  EXPECT_EQ(harness.submits.size(), 50u);
}

TEST(Admission, RejectsNothingIfNoLoadIsReported) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(8);
  std::uint64_t on_b0 = 0;
  for (int i = 0; i < 400; ++i) {
    std::uint64_t id = harness.next_id;
    if (harness.open_connection() == address_of(0)) on_b0 = id;
    if (on_b0 > 0) harness.send(ConnectionUpdateEvent{on_b0, 0, ConnectionUpdateKind::messages_slow, 500});
    harness.advance(50 * kMs);
  }
  EXPECT_TRUE(harness.rejections.empty());
}

// A dependency of connection setup, shared by all backends, fails for six seconds, and rejected clients retry
// immediately. Guards against a retry storm.
TEST(RetryStorm, AttemptsAreLimitedDuringAnOutageAndAllConnectAfterIt) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(8);
  for (int i = 0; i < 200; ++i) harness.open_connection();
  harness.submits.clear();
  std::size_t seen = 0, answered = 0, submits_in_outage = 0;
  std::map<std::uint64_t, int> attempts;
  std::multimap<Time, std::uint64_t> ends;
  Time start = harness.now, recovery = start + 6 * kSec;
  for (int step = 0; step < 1000; ++step) {
    harness.advance(10 * kMs);
    if (step % 5 == 0) harness.request();
    for (; answered < harness.rejections.size(); ++answered) harness.request();
    for (; seen < harness.submits.size(); ++seen) {
      const Submit& s = harness.submits[seen];
      ends.emplace(harness.now < recovery ? s.deadline : harness.now + 30 * kMs, s.id);
    }
    while (!ends.empty() && ends.begin()->first <= harness.now) {
      std::uint64_t id = ends.begin()->second;
      ends.erase(ends.begin());
      if (harness.now < recovery)
        harness.result(id, Outcome::timeout, false, attempts[id]++);
      else
        harness.send(EstablishedEvent{id, attempts[id], 30 * kMs});
    }
    if (harness.now < recovery) submits_in_outage = harness.submits.size();
  }
  EXPECT_LT(submits_in_outage, 60u);  // 120 clients, each of which could have three attempts per 1.8 s
  EXPECT_TRUE(harness.redirects.empty());
  EXPECT_EQ(harness.balancer.counts().open, 400u);
  EXPECT_LE(harness.balancer.counts().unanswered, 1u);
}

// Aborted attempts load a shared dependency as much as successful ones and delay the next ones. After a
// failure, attempts get all of the remaining time until one succeeds.
TEST(RetryStorm, AttemptsAreNotAbortedEarlyAfterAFailureUntilOneSucceeds) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(8);
  auto attempt_time = [&] { return harness.submits.back().deadline - harness.now; };
  std::uint64_t first = harness.request();
  EXPECT_LT(attempt_time(), 700 * kMs);  // a third of 1.8 s, as two more attempts may follow
  harness.advance(600 * kMs);
  harness.result(first, Outcome::timeout);
  ASSERT_EQ(harness.submits.size(), 2u);
  EXPECT_GT(attempt_time(), 1100 * kMs);  // the rest of the 1.8 s, less one sweep
  harness.send(EstablishedEvent{first, 1, 30 * kMs});
  harness.request();
  ASSERT_EQ(harness.submits.size(), 3u);
  EXPECT_LT(attempt_time(), 700 * kMs);
}

// Concurrent attempts that fail together indicate a single outage, so the limit is reduced only once.
TEST(RetryStorm, ConnectionsAreEstablishedSoonAfterManyConcurrentFailures) {
  BalancerHarness harness(default_settings(), 4);
  harness.send_full_list(8);
  for (int i = 0; i < 100; ++i) harness.request();
  ASSERT_EQ(harness.submits.size(), 100u);
  harness.advance(600 * kMs);
  for (std::uint64_t id = 1; id <= 100; ++id) harness.result(id, Outcome::timeout);
  std::size_t seen = 100;
  for (Time recovery = harness.now; harness.now < recovery + 1200 * kMs; harness.advance(10 * kMs)) {
    std::vector<Submit> sent(harness.submits.begin() + static_cast<std::ptrdiff_t>(seen),
                             harness.submits.end());
    seen = harness.submits.size();
    for (const Submit& s : sent) harness.send(EstablishedEvent{s.id, s.id <= 100, 30 * kMs});
  }
  EXPECT_GT(harness.balancer.counts().open, 20u);
}

}  // namespace
}  // namespace marblehub::policy
