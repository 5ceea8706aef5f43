// Backends that warm up.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "policy/balancer_harness.h"

namespace marblehub::policy {
namespace {

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
    relay.list({backend(0, Health::serving, relay.now)}, EndpointListKind::changes);
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

}  // namespace
}  // namespace marblehub::policy
