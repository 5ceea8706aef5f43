// Under random load and failures, no more is served than was paid.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "wallet_fleet.h"

namespace marblehub::fleet {
namespace {

// Injects one random failure, or ends one: crash, restart, partition, suspension, loss, delay, new deposits.
void inject_failure(WalletFleet& fleet) {
  auto at = static_cast<std::size_t>(fleet.rng.below(static_cast<std::int64_t>(fleet.holders.size())));
  WalletFleet::Holder& h = fleet.holders[at];
  switch (fleet.rng.below(10)) {
    case 0:
      if (h.wallets) fleet.kill(at);
      break;
    case 1:
      if (h.wallets) break;
      if (fleet.rng.with_probability(0.3)) h.journal = {};  // its disk was lost
      fleet.start(at);
      break;
    case 2:
      h.partitioned = !h.partitioned;
      break;
    case 3:
      h.suspended_until = fleet.now + fleet.rng.below(5 * kSecond);
      break;
    case 4:
      fleet.majority = !fleet.majority;
      break;
    case 5:
      h.leading = !h.leading;
      break;  // two members may believe that they lead
    case 6: {
      WalletSettings more = fleet.settings;
      more.deposits["partner"][fmt::format("d{}", fleet.rng.below(4))] = 100;
      if (h.wallets) h.wallets->update_settings(more);
      break;
    }
    case 7:
      fleet.loss_probability = fleet.rng.with_probability(0.5) ? 0 : 0.3;
      break;
    case 9:
      fleet.sync_probability = fleet.rng.with_probability(0.3) ? 0.3 : 0.02;
      break;
    case 8:
      fleet.max_lag = 1 + fleet.rng.below(60);
      break;
  }
}

// No process holds more units in slices than the settings allow, which bounds what its crash holds back.
void check_held_back(WalletFleet& fleet) {
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> held;
  for (const auto& [id, slice] : fleet.wallet().out) {
    std::int64_t& sum = held[{slice.holder, slice.incarnation}];
    REQUIRE((sum += slice.amount) <= fleet.settings.max_held_back);
  }
}

// Runs random calls and failures for 10 s, then ends all failures and compares what was served with the
// ledger.
void run_seed(std::uint64_t seed) {
  WalletSettings settings = partner_settings(100 + static_cast<std::int64_t>(seed % 7) * 300);
  std::int64_t expensive = seed % 2 ? 3 : 40;
  settings.prices = {{"expensive", expensive}, {"middle", 7}};
  if (seed % 8 == 0) settings.max_held_back = expensive;
  settings.term = seed % 3 ? 2 * kSecond : kSecond;
  WalletFleet fleet(3 + seed % 4, settings, seed, seed % 5 != 0);
  double rate = fleet.rng.with_probability(0.5) ? 0.2 : 1;
  for (int tick = 0; tick < 2000; ++tick) {
    if (fleet.rng.with_probability(0.02)) inject_failure(fleet);
    for (std::size_t at = 0; at < fleet.holders.size(); ++at)
      if (fleet.rng.with_probability(rate))
        fleet.call(at,
                   fleet.rng.with_probability(0.2)   ? "expensive"
                   : fleet.rng.with_probability(0.1) ? "middle"
                                                     : "",
                   kSecond);
    fleet.tick();
    check_held_back(fleet);
    if (fleet.served > fleet.paid()) {
      INFO("seed " << seed << " tick " << tick << ": served " << fleet.served << " of " << fleet.paid());
      FAIL();
    }
  }
  // After all failures end, unspent units are balance again, except those held by processes without a
  // journal.
  for (std::size_t at = 0; at < fleet.holders.size(); ++at) {
    WalletFleet::Holder& h = fleet.holders[at];
    h.partitioned = h.leading = false;
    h.suspended_until = 0;
    if (!h.wallets) fleet.start(at);
  }
  fleet.holders[0].leading = fleet.majority = true;
  fleet.loss_probability = 0;
  fleet.sync_probability = 0.3;
  fleet.max_lag = 4;
  fleet.run(8 * kSecond);
  INFO("seed " << seed);
  REQUIRE(fleet.served <= fleet.wallet().spent);
  REQUIRE(fleet.wallet().spent <= fleet.paid());
}

}  // namespace

TEST_CASE("No more is served than was paid under random failures", "[wallet][random]") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) run_seed(seed);
}

TEST_CASE("No more is served than was paid under random failures, many seeds", "[.][long]") {
  for (std::uint64_t seed = 1001; seed <= 11'000; ++seed) run_seed(seed);
}

}  // namespace marblehub::fleet
