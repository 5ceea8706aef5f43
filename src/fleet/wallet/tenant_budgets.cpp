#include "fleet/wallet/tenant_budgets.h"

#include <algorithm>

#include "check/check.h"

namespace marblehub::fleet {

std::int64_t TenantBudget::available(Time now) const {
  std::int64_t sum = 0;
  for (std::uint32_t at : open) sum += slices[at].available(now);
  return sum;
}

void TenantBudgets::configure(const WalletSettings& settings) {
  unknown_served_ = settings.unknown_served;
  prices_ = {settings.prices.begin(), settings.prices.end()};
  max_price_ = 1;
  for (const auto& [name, price] : prices_) max_price_ = std::max(max_price_, price);
}

TenantBudget& TenantBudgets::get_or_create(const std::string& tenant) {
  auto it = by_tenant_.find(tenant);
  if (it != by_tenant_.end()) return budgets_[it->second];
  by_tenant_.emplace(tenant, static_cast<std::uint32_t>(budgets_.size()));
  budgets_.emplace_back().tenant = tenant;
  return budgets_.back();
}

const TenantBudget* TenantBudgets::find(std::string_view tenant) const {
  auto it = by_tenant_.find(tenant);
  return it == by_tenant_.end() ? nullptr : &budgets_[it->second];
}

ReserveResult TenantBudgets::reserve(Time now, std::string_view tenant, std::string_view service_class,
                                     Reservation& into) {
  latest_time_ = now = std::max(now, latest_time_);
  auto it = by_tenant_.find(tenant);
  if (it == by_tenant_.end()) {
    last_refused_ = ~std::size_t{0};
    return unknown_served_ ? ReserveResult::unmetered : ReserveResult::paused;
  }
  auto priced = prices_.find(service_class);
  std::int64_t price = priced == prices_.end() ? 1 : priced->second;
  if (price == 0) return ReserveResult::unmetered;
  TenantBudget& budget = budgets_[it->second];
  budget.last_request = now;
  if (!closed_)
    for (std::uint32_t at : budget.open) {
      HeldSlice& slice = budget.slices[at];
      if (slice.available(now) < price) continue;
      slice.reserved += price;
      budget.requested_units += price;
      budget.reserved_units += price;
      budget.window_max_price = std::max(budget.window_max_price, price);
      into = {it->second, at, price};
      return ReserveResult::reserved;
    }
  // Retries of calls that the wallet cannot pay for do not count as demand.
  if (price <= budget.max_affordable) {
    budget.requested_units += price;
    budget.window_max_price = std::max(budget.window_max_price, price);
    budget.max_refused_price = std::max(budget.max_refused_price, price);
  }
  budget.min_refused_price = budget.min_refused_price ? std::min(budget.min_refused_price, price) : price;
  last_refused_ = it->second;
  last_refused_price_ = price;
  return ReserveResult::paused;
}

void TenantBudgets::finish(const Reservation& reservation, bool served) {
  if (reservation.price == 0) return;  // the call was not metered
  bool known =
      reservation.wallet < budgets_.size() && reservation.slice < budgets_[reservation.wallet].slices.size();
  MARBLEHUB_INVARIANT("wallet", known, "a reservation names a slice that this process never held");
  if (!known) return;
  TenantBudget& budget = budgets_[reservation.wallet];
  HeldSlice& slice = budget.slices[reservation.slice];
  bool reserved = slice.reserved >= reservation.price;
  MARBLEHUB_INVARIANT("wallet", reserved, "a commit or release exceeds the units reserved");
  if (!reserved) return;
  slice.reserved -= reservation.price;
  if (!served) return;
  slice.spent += reservation.price;
  budget.spent_here += reservation.price;
  MARBLEHUB_INVARIANT("wallet", slice.spent + slice.reserved <= slice.amount,
                      "spent and reserved units exceed the slice's amount");
}

}  // namespace marblehub::fleet
