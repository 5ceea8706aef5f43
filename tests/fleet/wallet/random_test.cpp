// Whatever happens to balancers, no more is served than was paid: random load and failures, by seeds.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "wallet_fleet.h"

namespace marblehub::fleet {
namespace {

void misfortune(WalletFleet& fleet) {
  auto at = static_cast<std::size_t>(fleet.chance.below(static_cast<std::int64_t>(fleet.holders.size())));
  WalletFleet::Holder& h = fleet.holders[at];
  switch (fleet.chance.below(10)) {
    case 0:
      if (h.wallets) fleet.kill(at);
      break;
    case 1:
      if (h.wallets) break;
      if (fleet.chance.in(0.3)) h.journal = {};  // its disk was lost
      fleet.start(at);
      break;
    case 2:
      h.cut = !h.cut;
      break;
    case 3:
      h.asleep_until = fleet.now + fleet.chance.below(5 * kSecond);
      break;
    case 4:
      fleet.majority = !fleet.majority;
      break;
    case 5:
      h.leading = !h.leading;
      break;  // two may think so
    case 6: {
      WalletSettings more = fleet.settings;
      more.deposits["partner"][fmt::format("d{}", fleet.chance.below(4))] = 100;
      if (h.wallets) h.wallets->update_settings(more);
      break;
    }
    case 7:
      fleet.loss = fleet.chance.in(0.5) ? 0 : 0.3;
      break;
    case 9:
      fleet.disk = fleet.chance.in(0.3) ? 0.3 : 0.02;
      break;
    case 8:
      fleet.lag_turns = 1 + fleet.chance.below(60);
      break;
  }
}

// The operator's bound on what one process holds, and so on what its death holds back.
void bounded(WalletFleet& fleet) {
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> held;
  for (const auto& [id, slice] : fleet.wallet().out) {
    std::int64_t& sum = held[{slice.holder, slice.incarnation}];
    REQUIRE((sum += slice.amount) <= fleet.settings.max_held_back);
  }
}

void live(std::uint64_t seed) {
  WalletSettings settings = partner(100 + static_cast<std::int64_t>(seed % 7) * 300);
  std::int64_t dear = seed % 2 ? 3 : 40;
  settings.prices = {{"dear", dear}, {"middle", 7}};
  if (seed % 8 == 0) settings.max_held_back = dear;
  settings.term = seed % 3 ? 2 * kSecond : kSecond;
  WalletFleet fleet(3 + seed % 4, settings, seed, seed % 5 != 0);
  double rate = fleet.chance.in(0.5) ? 0.2 : 1;
  for (int turn = 0; turn < 2000; ++turn) {
    if (fleet.chance.in(0.02)) misfortune(fleet);
    for (std::size_t at = 0; at < fleet.holders.size(); ++at)
      if (fleet.chance.in(rate))
        fleet.call(at, fleet.chance.in(0.2) ? "dear" : fleet.chance.in(0.1) ? "middle" : "", kSecond);
    fleet.turn();
    bounded(fleet);
    if (fleet.served > fleet.paid()) {
      INFO("seed " << seed << " turn " << turn << ": served " << fleet.served << " of " << fleet.paid());
      FAIL();
    }
  }
  // All mended: what is not spent becomes balance again, but for what the killed held without a journal.
  for (std::size_t at = 0; at < fleet.holders.size(); ++at) {
    WalletFleet::Holder& h = fleet.holders[at];
    h.cut = h.leading = false;
    h.asleep_until = 0;
    if (!h.wallets) fleet.start(at);
  }
  fleet.holders[0].leading = fleet.majority = true;
  fleet.loss = 0;
  fleet.disk = 0.3;
  fleet.lag_turns = 4;
  fleet.run(8 * kSecond);
  INFO("seed " << seed);
  REQUIRE(fleet.served <= fleet.wallet().spent);
  REQUIRE(fleet.wallet().spent <= fleet.paid());
}

}  // namespace

TEST_CASE("Never is more served than was paid, over seeds of failures", "[wallet][random]") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) live(seed);
}

TEST_CASE("The same over many more seeds", "[.][long]") {
  for (std::uint64_t seed = 1001; seed <= 11'000; ++seed) live(seed);
}

}  // namespace marblehub::fleet
