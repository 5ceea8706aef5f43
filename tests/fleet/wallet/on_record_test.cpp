// Nine wallets on the record itself: three voters and six followers, with its messages and elections.
#include <catch2/catch.hpp>

#include "../record/cluster.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

struct Nine {
  Nine(std::uint64_t seed, WalletSettings wallet) : cluster(seed, 3, 6) {
    for (const std::string& name : cluster.names) {
      Settings fleet = cluster.members[name].settings;
      wallets[name] = std::make_unique<Wallets>(fleet, wallet, nullptr, 1, ++seed, cluster.now);
    }
  }
  // Each is asked for a call `share` of the milliseconds; what is served at once is debited.
  void run(Time span, double share) {
    for (Time end = cluster.now + span; cluster.now < end;) {
      cluster.run(kMillisecond);
      for (auto& [name, own] : wallets) {
        Cluster::Member& member = cluster.members[name];
        if (!member.record) continue;
        Outbox out;
        own->step(cluster.now, *member.record, cluster.names, out);
        cluster.post(name, out);
        if (cluster.chance() >= share) continue;
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
  std::map<std::string, Time> first;  // call served since this was cleared
};

}  // namespace

TEST_CASE("On the record itself: spent, paused and resumed, through the leader's death", "[wallet][record]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    WalletSettings settings;
    settings.deposits["partner"]["first"] = 3000;
    Nine nine(seed, settings);
    nine.run(6 * kSecond, 0.1);
    INFO("seed " << seed << " served " << nine.served);
    CHECK(nine.served >= 2970);
    CHECK(nine.served <= 3000);
    for (auto& [name, own] : nine.wallets) CHECK(own->paused("partner"));

    nine.cluster.crash(nine.cluster.leader());
    nine.run(3 * kSecond, 0.1);
    settings.deposits["partner"]["second"] = 2000;
    nine.wallets["o2"]->update_settings(settings);
    nine.first.clear();
    Time from = nine.cluster.now;
    nine.run(kSecond, 0.1);
    CHECK(nine.first.size() == 8);
    Time slowest = 0;
    for (const auto& [name, at] : nine.first) slowest = std::max(slowest, at - from);
    INFO("all resumed after " << slowest << " us");
    CHECK(slowest < kSecond);
    nine.run(20 * kSecond, 0.1);
    CHECK(nine.served <= 5000);
    // What stood at the one that died with the leader counts as spent.
    CHECK(nine.served >= 4950 - settings.max_held_back);
    for (auto& [name, own] : nine.wallets)
      if (nine.cluster.members[name].record) CHECK(own->paused("partner"));
  }
}

}  // namespace marblehub::fleet
