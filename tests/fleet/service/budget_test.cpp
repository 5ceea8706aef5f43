// Budgets of the policy that the fleet shares are divided by the number of live balancers.
#include "fleet/service/budget.h"

#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"
#include "node_network.h"
#include "support/policy_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kDetectionTime = 20'000'000;  // by then the view has given up all lost members

using fleet::budget_balancers;
using fleet::kBudgetHold;
using fleet::kSecond;
using fleet::test::NodeNetwork;

// Nine nodes that share a budget. The fleet spends the sum of their shares.
struct Fleet : NodeNetwork {
  explicit Fleet(int configured) : NodeNetwork(9, 5), configured(configured), began(now) {}
  int shared_by(const Member& one) const {
    Time at = clock(one);
    return budget_balancers(one.node->view().budget_members(at), configured, at - began);
  }
  double spent() const {
    double all = 0;
    for (const auto& [name, one] : members)
      if (one.node) all += 1.0 / shared_by(one);
    return all;
  }
  double max_spent(Time span) {
    double highest = 0;
    for (const Time end = now + span; now < end; highest = std::max(highest, spent())) run(kSecond, 20'000);
    return highest;
  }
  void halve() {
    int i = 0;
    for (auto& [name, one] : members) one.side = i++ < 4;
  }
  void heal() {
    for (auto& [name, one] : members) one.side = 0;
  }
  const int configured;
  const Time began;
};

int probes_in(PolicyFixture& b, Time span) {
  std::size_t before = b.probes.size();
  for (const Time end = b.now + span; b.now < end;) {
    std::size_t answered = b.probes.size();
    if (b.now / 10'000'000 != (b.now + 100'000) / 10'000'000) b.ask();
    b.run(100'000);
    for (; answered < b.probes.size(); ++answered) b.report(b.probes[answered].second, 0.3);
  }
  return static_cast<int>(b.probes.size() - before);
}

}  // namespace

TEST_CASE("both halves of a partition together spend one budget during the hold time") {
  Fleet f(9);
  CHECK(f.max_spent(kBudgetHold * 2 + 10 * kSecond) <= 1 + 1e-9);
  f.halve();
  CHECK(f.max_spent(kBudgetHold) <= 1 + 1e-9);  // the documented time
  CHECK(f.max_spent(kBudgetHold + kDetectionTime) <= 2 + 1e-9);
  CHECK(f.shared_by(f.members.at("m0")) == 4);  // each half counts itself only
  CHECK(f.shared_by(f.members.at("m8")) == 5);
  f.heal();
  f.run(5 * kSecond, 20'000);
  for (const auto& [name, one] : f.members) CHECK(f.shared_by(one) == 9);
}

TEST_CASE("after the loss of half a fleet the others have its budget within four minutes") {
  Fleet f(9);
  f.run(kBudgetHold * 2, 20'000);
  for (const char* name : {"m4", "m5", "m6", "m7", "m8"}) f.kill(name);
  CHECK(f.max_spent(kBudgetHold) <= 4.0 / 9 + 1e-9);
  f.run(kBudgetHold + kDetectionTime, 20'000);
  CHECK(f.spent() == Approx(1));
}

TEST_CASE("a fleet that starts partitioned, or a balancer without members, uses the configured number") {
  Fleet f(9);
  f.halve();
  CHECK(f.max_spent(kBudgetHold - kSecond) <= 1 + 1e-9);
  f.run(kBudgetHold + kDetectionTime, 20'000);
  CHECK(f.shared_by(f.members.at("m0")) == 4);
  CHECK(budget_balancers(1, 9, -5 * kSecond) == 9);  // a clock that was set back
  CHECK(budget_balancers(1, 0, 0) == 1);
  CHECK(budget_balancers(9, 1, 0) == 9);  // growth counts at once
  CHECK(budget_balancers(4.2, 9, 2 * kBudgetHold) == 5);
}

TEST_CASE("a change of the balancer count causes neither a pause nor a burst of probes") {
  constexpr Time kMinute = 60'000'000;
  Settings s = expensive_probes();
  s.balancers = 10;
  std::map<int, int> probes;
  for (int balancers : {2, 10, 50}) {
    PolicyFixture b(s);
    b.list(EndpointListKind::full, twelve_workers());
    probes_in(b, 100 * kMinute);
    b.balancer.set_balancer_count(balancers);
    probes[balancers] = probes_in(b, 10 * kMinute);
  }
  CAPTURE(probes[2], probes[10], probes[50]);
  CHECK(probes[50] > probes[10] / 2);
  CHECK(probes[2] < probes[10] * 2);
}

TEST_CASE("the dispatcher passes the balancer count to the policy") {
  Settings s = PolicyFixture::settings();
  s.balancers = 10;
  std::map<int, int> probes;
  for (int balancers : {0, 10, 1000}) {
    DispatcherFixture d(s, 12);
    DispatcherFixture::FakeGate gate;
    gate.shared_by = balancers;
    d.dispatcher->set_gate(gate);
    d.run(600'000'000);
    for (const auto& [worker, count] : d.probes) probes[balancers] += count;
  }
  CHECK(probes[0] == probes[10]);
  CHECK(3 * probes[1000] < probes[10]);
}

}  // namespace marblehub::test
