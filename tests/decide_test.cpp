#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "marblehub/policy.h"

namespace marblehub::policy {
namespace {

constexpr Time kMs = 1000, kSec = 1'000'000;

RequestClass stream_class(Repeat repeat = Repeat::safe, DedupScope scope = DedupScope::all) {
  RequestClass c;
  c.name = "c";
  c.slo_us = 300 * kMs;
  c.message_aim_us = 100 * kMs;
  c.repeat = repeat;
  c.dedup_scope = scope;
  c.window_us = 1 * kSec;
  c.stream = true;
  return c;
}

Settings plain_settings() {
  Settings s;
  s.zone = "a";
  s.max_attempts = 3;
  s.classes.push_back(stream_class());
  s.cold_share = 0.2;
  s.warm_within_us = 10 * kSec;
  s.max_retry_after_us = kSec;
  return s;
}

std::string name_of(int i) {
  std::string name("b");
  return name += std::to_string(i);
}

BackendEntry backend(int i, Health health = Health::serving, Time start = 0) {
  return {.health = health,
          .address = name_of(i),
          .zone = i % 2 ? "b" : "a",
          .start_time = start,
          .scale = 1,
          .cell = i / 2};
}

// Drives one Balancer by hand: probes are answered as told, timers fire when due, submits are kept.
struct Relay {
  Balancer balancer;
  Time now = 1'000'000;
  std::vector<Action> actions;
  std::multimap<Time, std::uint64_t> timers;
  std::vector<Submit> submits;
  std::vector<Reject> rejections;
  std::vector<Fail> failures;
  std::vector<Redirect> redirects;
  std::vector<std::string> probes;
  int tracks = 0;
  std::map<std::string, Time> rtt;  // of a probe; default 1 ms
  std::set<std::string> silent;     // probes there time out
  std::uint64_t next_id = 1;

  explicit Relay(Settings s, std::uint64_t seed = 7) : balancer(std::move(s), seed, 1'000'000) {}

  void send(const Event& event) {
    actions.clear();
    balancer.handle(now, event, actions);
    std::vector<Action> todo = actions;
    std::vector<std::string> probed;
    for (const Action& a : todo) {
      if (auto* x = std::get_if<Submit>(&a)) submits.push_back(*x);
      if (auto* x = std::get_if<Reject>(&a)) rejections.push_back(*x);
      if (auto* x = std::get_if<Fail>(&a)) failures.push_back(*x);
      if (auto* x = std::get_if<Redirect>(&a)) redirects.push_back(*x);
      if (auto* x = std::get_if<Probe>(&a)) probes.push_back(x->backend), probed.push_back(x->backend);
      if (auto* x = std::get_if<SetTimer>(&a)) timers.emplace(now + x->after, x->cookie);
      if (std::holds_alternative<Track>(a)) ++tracks;
    }
    for (const std::string& b : probed) {
      Time t = rtt.count(b) ? rtt[b] : kMs;
      send(ProbeResultEvent{b, t, silent.count(b) ? Outcome::timeout : Outcome::served, {}});
    }
  }
  void run_for(Time span) {
    Time end = now + span;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      std::uint64_t cookie = timers.begin()->second;
      timers.erase(timers.begin());
      send(TimerEvent{cookie});
    }
    now = end;
  }
  void list(std::vector<BackendEntry> entries, ListForm form = ListForm::all) {
    send(MembersEvent{form, std::make_shared<const std::vector<BackendEntry>>(std::move(entries))});
  }
  void list_of(int n) {
    std::vector<BackendEntry> entries;
    for (int i = 0; i < n; ++i) entries.push_back(backend(i));
    list(entries);
  }
  std::uint64_t request(Time left = 1800 * kMs, double hint = 0, int request_class = 0) {
    std::uint64_t id = next_id++;
    send(RequestEvent{.id = id, .request_class = request_class, .expires_in = left, .load_hint = hint});
    return id;
  }
  void result(std::uint64_t id, Outcome outcome, bool terminal = false, int attempt = 0) {
    send(ResultEvent{.id = id,
                     .attempt = attempt,
                     .terminal = terminal,
                     .backend = {},
                     .rtt = 10 * kMs,
                     .outcome = outcome,
                     .report = {}});
  }
  std::string place_and_open(std::uint64_t* id_out = nullptr) {
    std::uint64_t id = request();
    send(EstablishedEvent{id, 0, 5 * kMs});
    if (id_out) *id_out = id;
    return submits.back().backend;
  }
  std::size_t answers() const { return rejections.size() + failures.size(); }
};

// ---- The four rules
// ----------------------------------------------------------------------------------------

TEST(Rules, AnEmptyListDeclinesInTimeAndOnlyOnce) {
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
  EXPECT_LE(relay.submits[0].not_past, relay.now + 900 * kMs);
  EXPECT_GE(relay.submits[0].not_past, relay.now + 300 * kMs);
}

TEST(Rules, AnUnsafeRequestThatMayHaveRunIsSurrenderedNotRepeated) {
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
  s.classes[0].window_us = 100 * kMs;
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
  relay.list({backend(0, Health::draining), backend(1, Health::deleted)}, ListForm::changes);
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

// Many relays, one cold backend: together they must stay inside its budget, also when a crowd that came back
// after a break brings many times the ordinary flow. The ordinary flow is 100 x 1 a second over ten backends.
int sent_to_a_cold_backend(int crowd, bool others_down) {
  Settings s = plain_settings();
  s.balancers = 100;
  int cold = 0;
  for (int r = 0; r < 100; ++r) {
    Relay relay(s, 1000 + r);
    relay.list_of(10);
    for (int i = 0; i < 30; ++i) {
      std::uint64_t id = 0;
      relay.place_and_open(&id);
      relay.result(id, Outcome::served, true);
      relay.run_for(kSec);
    }
    if (others_down) {
      for (int i = 1; i < 10; ++i) {
        relay.silent.insert(name_of(i));
        for (int k = 0; k < 3; ++k) relay.send(ProbeResultEvent{name_of(i), kMs, Outcome::timeout, {}});
      }
    }
    relay.list({backend(0, Health::serving, relay.now)}, ListForm::changes);
    relay.submits.clear();
    for (int i = 0; i < 20; ++i) {  // the two seconds of the window that counts
      for (int k = 0; k < crowd; ++k) relay.request();
      relay.run_for(100 * kMs);
    }
    for (const Submit& submit : relay.submits) cold += submit.backend == "b0";
  }
  return cold;
}

TEST(Rules, ManyRelaysTogetherSpareAColdBackend) {
  // It can do 10 a second when warm, a fifth of that now and less than half at the window's end.
  for (int crowd : {1, 10}) {
    EXPECT_LT(sent_to_a_cold_backend(crowd, false), 10 * 2 * 0.25 * 3) << crowd;
  }
}

TEST(Rules, AColdBackendAmongDownOnesStaysWithinItsPart) {
  EXPECT_GT(sent_to_a_cold_backend(10, true), 0);
  EXPECT_LT(sent_to_a_cold_backend(10, true), 10 * 2 * 0.25 * 3);
}

TEST(SlowStart, AWarmBackendTakesItsFullPartAgain) {
  Relay relay(plain_settings(), 3);
  std::vector<BackendEntry> entries;
  for (int i = 0; i < 4; ++i) entries.push_back(backend(i, Health::serving, i == 0 ? relay.now : 0));
  relay.list(entries);
  relay.run_for(11 * kSec);
  int there = 0;
  for (int i = 0; i < 400; ++i) relay.request(), there += relay.submits.back().backend == "b0";
  EXPECT_GT(there, 60);
  EXPECT_LT(there, 140);
}

// ---- Health
// ------------------------------------------------------------------------------------------------

// A backend that was only cut off must not be held cold for its whole warm-up.
TEST(SlowStart, ABackendBackFromDownIsWarmOnceTheListTellsOfNoRestart) {
  Settings s = plain_settings();
  s.warm_within_us = 60 * kSec;
  Relay relay(s, 3);
  relay.list_of(4);
  relay.silent.insert("b0");
  for (int k = 0; k < 3; ++k) relay.send(ProbeResultEvent{"b0", kMs, Outcome::timeout, {}});
  relay.silent.clear();
  relay.send(ProbeResultEvent{"b0", kMs, Outcome::served, {}});
  auto part = [&] {
    int there = 0;
    for (int i = 0; i < 400; ++i) relay.request(), there += relay.submits.back().backend == "b0";
    return there;
  };
  EXPECT_LT(part(), 20);
  relay.run_for(6 * kSec);
  EXPECT_GT(part(), 60);
}

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
  relay.list({backend(0, Health::serving, relay.now)}, ListForm::changes);
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

// ---- Blend and counts
// --------------------------------------------------------------------------------------

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
  EXPECT_EQ(relay.balancer.active("b0"), 20);
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
    relay.send(NoteEvent{id, 0, NoteKind::messages_slow, 90});
    relay.request();
    there += relay.submits.back().backend == slow;
  }
  EXPECT_LT(there, 12);
}

TEST(Counts, FollowAcceptedHandedOverAndEndedConnections) {
  Relay relay(plain_settings());
  relay.list_of(1);
  std::uint64_t a = relay.request(), b = relay.request(), c = relay.request();
  EXPECT_EQ(relay.balancer.active("b0"), 0) << "not accepted yet";
  relay.send(EstablishedEvent{a, 0, kMs});
  relay.send(EstablishedEvent{a, 0, kMs});
  EXPECT_EQ(relay.balancer.active("b0"), 1);
  relay.result(b, Outcome::full);
  relay.result(b, Outcome::full);  // a repeated result
  relay.result(c, Outcome::connect_failed);
  EXPECT_EQ(relay.balancer.active("b0"), 1) << "refused and failed connects add nothing";
  relay.send(HandoverEvent{{.id = 99, .request_class = 0, .expires_in = 0}, "b0"});
  EXPECT_EQ(relay.balancer.active("b0"), 2);
  relay.result(99, Outcome::cancelled, true);
  relay.result(a, Outcome::reset, true);
  relay.result(a, Outcome::reset, true);
  EXPECT_EQ(relay.balancer.active("b0"), 0);
  EXPECT_EQ(relay.balancer.counts().open, 0u);
}

TEST(Counts, AnAnswerlessClassCountsFromItsSending) {
  Settings s = plain_settings();
  s.classes[0].stream = false;
  Relay relay(s);
  relay.list_of(1);
  std::uint64_t id = relay.request();
  EXPECT_EQ(relay.balancer.active("b0"), 1);
  relay.result(id, Outcome::served, true);
  EXPECT_EQ(relay.balancer.active("b0"), 0);
}

// ---- Sampling
// ----------------------------------------------------------------------------------------------

// A relay uses few backends of a big fleet, yet all relays together use every backend equally.
TEST(Sampling, EveryBackendIsInTheSamplesOfEquallyManyRelays) {
  Settings s = plain_settings();
  s.balancers = 100;
  std::map<std::string, int> relays_at;
  for (int me = 0; me < 100; ++me) {
    s.me = me;
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

// ---- Standing connections
// ----------------------------------------------------------------------------------

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
    for (std::uint64_t id : ids) relay.send(NoteEvent{id, 0, NoteKind::messages_slow, 500});
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
    if (on_b0 > 0) relay.send(NoteEvent{on_b0, 0, NoteKind::messages_slow, 500});
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
      ends.emplace(relay.now < healed ? s.not_past : relay.now + 30 * kMs, s.id);
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

// ---- Discovery, odd input, determinism
// ---------------------------------------------------------------------

TEST(Discovery, AskedOnceThenAgainAfterARefusalEachTimeLater) {
  Settings s = plain_settings();
  s.ask_registry = true;
  Relay relay(s);
  relay.list({backend(0)}, ListForm::remembered);
  relay.run_for(5 * kSec);
  EXPECT_EQ(relay.tracks, 1);
  relay.send(MembersEvent{ListForm::refused, nullptr});
  relay.run_for(3 * kSec);
  EXPECT_EQ(relay.tracks, 2);
  relay.request();
  EXPECT_EQ(relay.submits.size(), 1u) << "the list held stays in force";
  relay.list({backend(1)}, ListForm::changes);
  relay.run_for(60 * kSec);
  EXPECT_EQ(relay.tracks, 2) << "subscribed: no further call";
}

TEST(Discovery, RefusedAgainAndAgainTheCallsGrowRareButNeverTooRare) {
  Settings s = plain_settings();
  s.ask_registry = true;
  Relay relay(s);
  relay.list({backend(0)}, ListForm::remembered);
  Time last = 0, longest = 0;
  for (int i = 0; i < 400; ++i) {
    int before = relay.tracks;
    relay.run_for(100 * kMs);
    if (relay.tracks == before) continue;
    relay.send(MembersEvent{ListForm::refused, nullptr});
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
  relay.list({backend(0)}, ListForm::remembered);
  relay.run_for(20 * kSec);
  EXPECT_EQ(relay.tracks, 0);
}

TEST(OddInput, UnknownIdsChangeNothing) {
  Relay relay(plain_settings());
  relay.list_of(2);
  relay.send(ResultEvent{.id = 5, .backend = {}, .outcome = Outcome::timeout, .report = {}});
  relay.send(EstablishedEvent{6, 0, 0});
  relay.send(NoteEvent{7, 0, NoteKind::messages_slow, 1});
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
  EXPECT_EQ(settings_error(s), "");
  s.cold_share = std::nan("");
  EXPECT_EQ(settings_error(s), "invariants.cold_share");
  s = plain_settings();
  s.balancers = 0;
  EXPECT_EQ(settings_error(s), "balancers");
}

}  // namespace
}  // namespace marblehub::policy
