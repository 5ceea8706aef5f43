// Wallets of nine balancers on a real record: three voters and six observers, with its messages and
// elections.
#include <catch2/catch.hpp>

#include "../record/cluster.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

/// A cluster of nine members with a Wallets each.
struct RecordFixture {
  RecordFixture(std::uint64_t seed, WalletSettings wallet) : cluster(seed, 3, 6) {
    for (const std::string& name : cluster.names) {
      Settings fleet = cluster.members[name].settings;
      wallets[name] = std::make_unique<Wallets>(fleet, wallet, nullptr, 1, ++seed, cluster.now);
    }
  }
  // Each balancer gets a call with probability `share` each millisecond; a reserved call commits at once.
  void run(Time span, double share) {
    for (Time end = cluster.now + span; cluster.now < end;) {
      cluster.run(kMillisecond);
      for (auto& [name, own] : wallets) {
        Cluster::Member& member = cluster.members[name];
        if (!member.record) continue;
        Outbox out;
        own->step(cluster.now, *member.record, cluster.names, out);
        cluster.post(name, out);
        if (cluster.uniform() >= share) continue;
        Reservation call;
        if (own->reserve(cluster.now, "partner", "", call) != ReserveResult::reserved) continue;
        own->commit(call);
        ++served;
        last = cluster.now;
        first.try_emplace(name, cluster.now);
      }
    }
  }
  Cluster cluster;
  std::map<std::string, std::unique_ptr<Wallets>> wallets;
  std::int64_t served = 0;
  Time last = 0;
  std::map<std::string, Time> first;  // first call served since this was cleared
};

}  // namespace

TEST_CASE("On a real record a wallet is spent, paused and resumed across the leader's crash",
          "[wallet][record]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    WalletSettings settings;
    settings.deposits["partner"]["first"] = 3000;
    RecordFixture fixture(seed, settings);
    fixture.run(6 * kSecond, 0.1);
    INFO("seed " << seed << " served " << fixture.served);
    CHECK(fixture.served >= 2970);
    CHECK(fixture.served <= 3000);
    for (auto& [name, own] : fixture.wallets) CHECK(own->paused("partner"));

    fixture.cluster.crash(fixture.cluster.leader());
    fixture.run(3 * kSecond, 0.1);
    settings.deposits["partner"]["second"] = 2000;
    fixture.wallets["o2"]->update_settings(settings);
    fixture.first.clear();
    Time from = fixture.cluster.now;
    fixture.run(kSecond, 0.1);
    CHECK(fixture.first.size() == 8);
    Time slowest = 0;
    for (const auto& [name, at] : fixture.first) slowest = std::max(slowest, at - from);
    INFO("all resumed after " << slowest << " us");
    CHECK(slowest < kSecond);
    fixture.run(20 * kSecond, 0.1);
    CHECK(fixture.served <= 5000);
    // The slices of the crashed leader count as spent.
    CHECK(fixture.served >= 4950 - settings.max_held_back);
    for (auto& [name, own] : fixture.wallets)
      if (fixture.cluster.members[name].record) CHECK(own->paused("partner"));
  }
}

}  // namespace marblehub::fleet
