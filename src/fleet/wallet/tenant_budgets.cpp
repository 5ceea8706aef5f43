#include "fleet/wallet/tenant_budgets.h"

#include <algorithm>

#include "check/check.h"

namespace marblehub::fleet {

std::int64_t Till::left(Time now) const {
  std::int64_t sum = 0;
  for (std::uint32_t at : open) sum += held[at].left(now);
  return sum;
}

void Tills::prices(const WalletSettings& settings) {
  unknown_served_ = settings.unknown_served;
  prices_ = {settings.prices.begin(), settings.prices.end()};
  dearest_ = 1;
  for (const auto& [name, price] : prices_) dearest_ = std::max(dearest_, price);
}

Till& Tills::open(const std::string& tenant) {
  auto it = by_tenant_.find(tenant);
  if (it != by_tenant_.end()) return tills_[it->second];
  by_tenant_.emplace(tenant, static_cast<std::uint32_t>(tills_.size()));
  tills_.emplace_back().tenant = tenant;
  return tills_.back();
}

const Till* Tills::find(std::string_view tenant) const {
  auto it = by_tenant_.find(tenant);
  return it == by_tenant_.end() ? nullptr : &tills_[it->second];
}

ReserveResult Tills::reserve(Time now, std::string_view tenant, std::string_view service_class,
                             Reservation& into) {
  newest_ = now = std::max(now, newest_);
  auto it = by_tenant_.find(tenant);
  if (it == by_tenant_.end()) {
    refused_ = ~std::size_t{0};
    return unknown_served_ ? ReserveResult::unmetered : ReserveResult::paused;
  }
  auto priced = prices_.find(service_class);
  std::int64_t price = priced == prices_.end() ? 1 : priced->second;
  if (price == 0) return ReserveResult::unmetered;
  Till& till = tills_[it->second];
  till.last_asked = now;
  if (!closed_)
    for (std::uint32_t at : till.open) {
      Held& held = till.held[at];
      if (held.left(now) < price) continue;
      held.reserved += price;
      till.asked += price;
      till.taken += price;
      till.dear = std::max(till.dear, price);
      into = {it->second, at, price};
      return ReserveResult::reserved;
    }
  // Retries of a paused tenant say nothing of the rate at which it will spend.
  if (price <= till.most) {
    till.asked += price;
    till.dear = std::max(till.dear, price);
    till.hungry = std::max(till.hungry, price);
  }
  till.least = till.least ? std::min(till.least, price) : price;
  refused_ = it->second;
  refused_price_ = price;
  return ReserveResult::paused;
}

void Tills::take_back(const Reservation& reservation, bool served) {
  if (reservation.price == 0) return;  // of a call that was no wallet's affair
  bool known =
      reservation.wallet < tills_.size() && reservation.slice < tills_[reservation.wallet].held.size();
  MARBLEHUB_INVARIANT("wallet", known, "a debit names a slice that was never held");
  if (!known) return;
  Till& till = tills_[reservation.wallet];
  Held& held = till.held[reservation.slice];
  bool reserved = held.reserved >= reservation.price;
  MARBLEHUB_INVARIANT("wallet", reserved, "a debit has no reservation");
  if (!reserved) return;
  held.reserved -= reservation.price;
  if (!served) return;
  held.spent += reservation.price;
  till.spent_here += reservation.price;
  MARBLEHUB_INVARIANT("wallet", held.spent + held.reserved <= held.amount,
                      "a slice is spent beyond its amount");
}

}  // namespace marblehub::fleet
