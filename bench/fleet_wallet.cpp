// Measures the cost of the wallet per call: reserve and commit at one balancer that holds slices of 200
// wallets.
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "fleet/wallet/wallet.h"

namespace {

using namespace marblehub::fleet;

/// A record of one member, which applies each command at once.
struct LocalRecord : RecordInterface {
  const Ledger& ledger() const override { return contents; }
  bool is_leader() const override { return true; }
  std::uint64_t propose(Time, Body body, Outbox&) override {
    apply(contents, contents.applied + 1, {{"b1", 1, ++number}, std::move(body)});
    return number;
  }
  Ledger contents;
  std::uint64_t number = 0;
};

}  // namespace

int main() {
  Settings fleet;
  fleet.name = "b1";
  WalletSettings settings;
  settings.prices = {{"telemetry", 2}, {"unlock", 5}};
  settings.max_held_back = kMaxUnits;
  std::vector<std::string> tenants;
  for (int i = 0; i < 200; ++i) {
    tenants.push_back(fmt::format("partner-{}", i));
    settings.deposits[tenants.back()]["first"] = std::int64_t{1} << 45;
  }
  Time now = 1'000'000 * kSecond;
  Wallets wallets(fleet, settings, nullptr, 1, 1, now);
  LocalRecord record;
  Outbox out;
  const char* classes[] = {"telemetry", "unlock", "plain"};
  auto calls = [&](int n, bool timed) {
    std::int64_t reserved = 0;
    auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < n; ++i) {
      Reservation reservation;
      if (wallets.reserve(now, tenants[static_cast<std::size_t>(i) % 200], classes[i % 3], reservation) ==
          ReserveResult::reserved) {
        ++reserved;
        wallets.commit(reservation);
      }
    }
    double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
    if (timed)
      std::printf("reserve and commit: %.1f ns a call, %.2f%% of %d reserved\n", ns / n,
                  100.0 * static_cast<double>(reserved) / n, n);
  };
  for (int i = 0; i < 200; ++i) {  // slices grow to the demand
    now += 50 * kMillisecond;
    calls(200'000, false);
    wallets.step(now, record, {"b1"}, out);
  }
  for (int i = 0; i < 5; ++i) {
    calls(200'000, true);
    now += 50 * kMillisecond;
    wallets.step(now, record, {"b1"}, out);
  }
  auto stepped = std::chrono::steady_clock::now();
  for (int i = 0; i < 100; ++i) wallets.step(now += 250 * kMillisecond, record, {"b1"}, out);
  double us =
      std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - stepped).count() / 100;
  std::printf("a step over 200 wallets: %.1f us, off the path of a call\n", us);
  Reservation none;
  auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < 5'000'000; ++i) wallets.reserve(now, "stranger", "plain", none);
  double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
  std::printf("a tenant without a wallet: %.1f ns a call\n", ns / 5e6);
}
