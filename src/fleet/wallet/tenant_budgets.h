// What this balancer may spend without asking the record: one budget for each wallet, with the slices it
// holds. This is the only part of the wallet on the path of a call: it never blocks, allocates or throws
// there.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

/// open: calls reserve units from it. closing: no new reservations, those made may still commit. returning:
/// its spending is final and proposed to the record. expired: the record counts it as spent in full, until
/// its spending is final and it is `returning` again.
enum class SliceState : std::uint8_t { empty, open, closing, returning, expired };

/// A slice granted to this process. Amounts are in units.
struct HeldSlice {
  std::string id;
  SliceState state = SliceState::empty;
  bool was_expired = false;
  std::int64_t amount = 0, spent = 0, reserved = 0;
  std::int64_t spend_limit = 0;   // of spent + reserved: what the durable journal lines cover
  std::int64_t journaled = 0;     // `spent` in the last line; 0: no line, a crash loses all of it
  std::uint64_t line_number = 0;  // of the last line
  Time expires = 0;               // end of the term minus the clock error bound, by this balancer's clock
  Time acquired = 0;

  /// Units that may be reserved now.
  std::int64_t available(Time now) const {
    return state == SliceState::open && now < expires ? spend_limit - spent - reserved : 0;
  }
  /// Units that are neither spent nor reserved, covered by the journal or not.
  std::int64_t unspent(Time now) const {
    return state == SliceState::open && now < expires ? amount - spent - reserved : 0;
  }
};

/// One wallet's budget at this balancer: its slices, and the demand of calls since SliceManager last read it.
struct TenantBudget {
  std::string tenant;
  std::vector<HeldSlice> slices;    // grows in steps only; an index is valid while units are reserved from it
  std::vector<std::uint32_t> open;  // indices of open slices, first to expire first
  std::int64_t spent_here = 0;      // units, since this process started
  // Demand, read and cleared by SliceManager. Calls that cost more than `max_affordable` are left out, except
  // in `min_refused_price`: no slice could serve them.
  std::int64_t requested_units = 0, reserved_units = 0;  // since the rates were last updated
  std::int64_t window_max_price = 0;   // highest price requested in the current price window
  std::int64_t max_refused_price = 0;  // highest price refused since the last slice was granted
  std::int64_t min_refused_price = 0;  // lowest price refused since then
  Time last_request = -3600 * kSecond;
  std::int64_t max_affordable = 0;  // highest price that one slice could cover, granted already or not
  bool exhausted = true;            // the balance is below the lowest price refused
  Wallets::Totals totals;           // from the record, as last applied here

  /// Units that may be reserved now from all open slices.
  std::int64_t available(Time now) const;
};

/// Hash for look-ups by string_view without a temporary string.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

/// The budgets of all wallets, and the prices of service classes.
class TenantBudgets {
 public:
  /// Takes the prices and the treatment of unknown tenants from the settings.
  void configure(const WalletSettings& settings);
  /// Returns the tenant's budget and creates it if there is none. Allocates: not for the path of a call.
  TenantBudget& get_or_create(const std::string& tenant);
  const TenantBudget* find(std::string_view tenant) const;  // null: no wallet

  /// As in Wallets.
  ReserveResult reserve(Time now, std::string_view tenant, std::string_view service_class, Reservation& into);
  void commit(const Reservation& reservation) { finish(reservation, true); }
  void release(const Reservation& reservation) { finish(reservation, false); }

  std::vector<TenantBudget>& all() { return budgets_; }
  /// Whether a new slice could cover the call that was refused last.
  bool refill_possible() const {
    return last_refused_ < budgets_.size() && last_refused_price_ <= budgets_[last_refused_].max_affordable;
  }
  std::int64_t max_price() const { return max_price_; }  // of all classes, at least 1
  void close() { closed_ = true; }                       // from here on nothing is reserved

 private:
  void finish(const Reservation& reservation, bool served);

  std::vector<TenantBudget> budgets_;
  std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>> by_tenant_;
  std::unordered_map<std::string, std::int64_t, StringHash, std::equal_to<>> prices_;
  std::int64_t max_price_ = 1;
  std::size_t last_refused_ = ~std::size_t{0};
  std::int64_t last_refused_price_ = 0;
  Time latest_time_ = 0;  // keeps a clock that steps back from extending a slice's term
  bool unknown_served_ = true, closed_ = false;
};

}  // namespace marblehub::fleet
