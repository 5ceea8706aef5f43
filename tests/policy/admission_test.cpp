// Migration of standing connections, admission and bounded set-ups.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

TEST(Standing, ConnectionsLeaveADownBackendSpreadInTime) {
  Relay relay(plain_settings());
  relay.list_of(4);
  for (int i = 0; i < 20; ++i)
    relay.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = 0}, "b0"});
  relay.silent.insert("b0");
  for (int i = 0; i < 3; ++i) relay.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  relay.run_for(100 * kMs);
  EXPECT_LT(relay.redirects.size(), 12u);
  relay.run_for(15 * kSec);
  EXPECT_EQ(relay.redirects.size(), 20u);
}

TEST(Standing, NobodyMovesWhenMostOthersAreDownToo) {
  Relay relay(plain_settings());
  relay.list_of(4);
  for (int i = 0; i < 20; ++i)
    relay.send(HandoverEvent{{.id = 1000u + i, .request_class = 0, .expires_in = 0}, "b0"});
  for (const char* b : {"b0", "b1", "b2"}) {
    relay.silent.insert(b);
    for (int k = 0; k < 3; ++k) relay.send(ProbeResultEvent{b, kMs, Outcome::timeout, {}});
  }
  relay.run_for(30 * kSec);
  EXPECT_EQ(relay.balancer.counts().down, 3u);
  EXPECT_TRUE(relay.redirects.empty());
}

TEST(Admission, WhenMostOfTheFleetIsLateFewerAreLetInUntilItRecovers) {
  Relay relay(plain_settings(), 4);
  relay.list_of(4);
  std::vector<std::uint64_t> ids;
  for (int i = 0; i < 8; ++i) {
    ids.push_back(1000 + i);
    relay.send(HandoverEvent{{.id = ids.back(), .request_class = 0, .expires_in = 0}, name_of(i % 4)});
  }
  for (int i = 0; i < 50; ++i) {
    for (std::uint64_t id : ids)
      relay.send(ConnectionUpdateEvent{id, 0, ConnectionUpdateKind::messages_slow, 500});
    relay.run_for(100 * kMs);
  }
  relay.rejections.clear();
  for (int i = 0; i < 100; ++i) relay.request();
  EXPECT_GT(relay.rejections.size(), 20u);
  for (const Reject& d : relay.rejections) EXPECT_GT(d.retry_after, 0);
  relay.run_for(60 * kSec);
  relay.rejections.clear();
  for (int i = 0; i < 100; ++i) relay.request();
  EXPECT_TRUE(relay.rejections.empty());
}

TEST(Admission, ALostPartOfTheFleetIsNoOverload) {
  Relay relay(plain_settings(), 4);
  relay.list_of(4);
  for (const char* b : {"b0", "b1", "b2"}) relay.silent.insert(b);
  relay.run_for(30 * kSec);
  ASSERT_EQ(relay.balancer.counts().down, 3u);
  for (int i = 0; i < 50; ++i) relay.request();
  EXPECT_EQ(relay.submits.size(), 50u);
}

TEST(Admission, WhereLoadIsNeverReportedWhatIsSentShutsNobodyOut) {
  Relay relay(plain_settings(), 4);
  relay.list_of(8);
  std::uint64_t on_b0 = 0;
  for (int i = 0; i < 400; ++i) {
    std::uint64_t id = relay.next_id;
    if (relay.place_and_open() == name_of(0)) on_b0 = id;
    if (on_b0 > 0) relay.send(ConnectionUpdateEvent{on_b0, 0, ConnectionUpdateKind::messages_slow, 500});
    relay.run_for(50 * kMs);
  }
  EXPECT_TRUE(relay.rejections.empty());
}

// A service that all workers ask when a connection is set up fails for six seconds; clients come again at
// once.
TEST(Storms, AttemptsAreBoundedNobodyIsMovedAndItEndsWithTheTrouble) {
  Relay relay(plain_settings(), 4);
  relay.list_of(8);
  for (int i = 0; i < 200; ++i) relay.place_and_open();
  relay.submits.clear();
  std::size_t seen = 0, answered = 0, in_trouble = 0;
  std::map<std::uint64_t, int> attempts;
  std::multimap<Time, std::uint64_t> ends;
  Time began = relay.now, healed = began + 6 * kSec;
  for (int step = 0; step < 1000; ++step) {
    relay.run_for(10 * kMs);
    if (step % 5 == 0) relay.request();
    for (; answered < relay.rejections.size(); ++answered) relay.request();
    for (; seen < relay.submits.size(); ++seen) {
      const Submit& s = relay.submits[seen];
      ends.emplace(relay.now < healed ? s.deadline : relay.now + 30 * kMs, s.id);
    }
    while (!ends.empty() && ends.begin()->first <= relay.now) {
      std::uint64_t id = ends.begin()->second;
      ends.erase(ends.begin());
      if (relay.now < healed)
        relay.result(id, Outcome::timeout, false, attempts[id]++);
      else
        relay.send(EstablishedEvent{id, attempts[id], 30 * kMs});
    }
    if (relay.now < healed) in_trouble = relay.submits.size();
  }
  EXPECT_LT(in_trouble, 60u);  // 120 clients came; each would be tried three times in every 1.8 s
  EXPECT_TRUE(relay.redirects.empty());
  EXPECT_EQ(relay.balancer.counts().open, 400u);
  EXPECT_LE(relay.balancer.counts().unanswered, 1u);
}

// An attempt that is given up early costs what all backends share as much as one that succeeds, and the next
// one has to wait behind it: once one has failed, attempts get all the time that is left until one succeeds.
TEST(Storms, AfterAFailedSetupAttemptsAreNotCutShortUntilOneSucceeds) {
  Relay relay(plain_settings(), 4);
  relay.list_of(8);
  auto time_given = [&] { return relay.submits.back().deadline - relay.now; };
  std::uint64_t first = relay.request();
  EXPECT_LT(time_given(), 700 * kMs);  // a third of 1.8 s: two more attempts may follow
  relay.run_for(600 * kMs);
  relay.result(first, Outcome::timeout);
  ASSERT_EQ(relay.submits.size(), 2u);
  EXPECT_GT(time_given(), 1100 * kMs);  // all that is left of the 1.8 s, less a sweep
  relay.send(EstablishedEvent{first, 1, 30 * kMs});
  relay.request();
  ASSERT_EQ(relay.submits.size(), 3u);
  EXPECT_LT(time_given(), 700 * kMs);
}

// All that are out together meet the same jam: it is one sign, and no reason to stand still for long.
TEST(Storms, AfterManySetupsFailedTogetherOthersSoonStand) {
  Relay relay(plain_settings(), 4);
  relay.list_of(8);
  for (int i = 0; i < 100; ++i) relay.request();
  ASSERT_EQ(relay.submits.size(), 100u);
  relay.run_for(600 * kMs);
  for (std::uint64_t id = 1; id <= 100; ++id) relay.result(id, Outcome::timeout);
  std::size_t seen = 100;
  for (Time healed = relay.now; relay.now < healed + 1200 * kMs; relay.run_for(10 * kMs)) {
    std::vector<Submit> sent(relay.submits.begin() + static_cast<std::ptrdiff_t>(seen), relay.submits.end());
    seen = relay.submits.size();
    for (const Submit& s : sent) relay.send(EstablishedEvent{s.id, s.id <= 100, 30 * kMs});
  }
  EXPECT_GT(relay.balancer.counts().open, 20u);
}

}  // namespace
}  // namespace marblehub::policy
