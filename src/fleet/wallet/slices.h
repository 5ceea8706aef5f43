// Requests slices from the record, keeps their journal lines ahead of spending, and returns what is unspent.
// Runs in the wallet's periodic step, never on the path of a call.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/wallet/tenant_budgets.h"

namespace marblehub::fleet {

/// Manages this balancer's slices of all wallets; the slices themselves are stored in each TenantBudget.
class SliceManager {
 public:
  /// The process that slices are granted to, and the fleet's clock error bound in microseconds.
  struct Identity {
    std::string name;  // of this balancer
    std::uint64_t incarnation = 0;
    Time clock_bound = 0;
  };
  /// `journal` is not owned and may be null; it has to outlive this object. `seed`: of the random generator.
  SliceManager(Identity identity, Journal* journal, std::uint64_t seed);

  /// Runs one step for one wallet. `members`: number of balancers in the view. `prefetch`: a small slice is
  /// held even while no calls arrive, so that the first call finds one. `max_price`: of all classes.
  void step(Time now, TenantBudget& budget, const WalletSettings& settings, RecordInterface& record,
            std::size_t members, bool prefetch, std::int64_t max_price, Outbox& out);
  /// Closes every slice of the wallet; from here on no slice is requested for any wallet.
  void close_all(TenantBudget& budget);
  /// Whether the wallet had calls in the last 2 s or has slices to return, and so needs the short interval.
  bool busy(const TenantBudget& budget, Time now) const;

 private:
  /// Demand for one wallet at this balancer, and its slice request that the record has not applied yet.
  struct Refill {
    double demand_rate = 0, spend_rate = 0;  // units a second: requested by calls, reserved
    // Highest price requested: in the last full price window; in the last 5 to 10 s, or of all classes where
    // no call came.
    std::int64_t previous_max_price = 0, recent_max_price = 0;
    Time measured_at = 0, window_start = 0;
    std::string pending_slice;  // id of the requested slice; empty: no request
    std::uint64_t pending_command = 0;
    std::int64_t pending_amount = 0;
    std::optional<Time> request_at;  // random delay before the next request
  };
  void update_rates(Time now, TenantBudget& budget, Refill& refill, std::int64_t max_price);
  void sync_with_ledger(Time now, TenantBudget& budget, Refill& refill, const Ledger& ledger,
                        const Wallet* wallet);
  void add_slice(Time now, TenantBudget& budget, const std::string& id, const Slice& granted,
                 const Refill& refill);
  void write_ahead(Time now, TenantBudget& budget, const Refill& refill);
  void close_finished(Time now, TenantBudget& budget, std::int64_t max_held_back);
  void close_unneeded(Time now, TenantBudget& budget, const Refill& refill, std::size_t members,
                      std::int64_t max_price);
  void propose_returns(Time now, TenantBudget& budget, RecordInterface& record, Outbox& out);
  void request_slice(Time now, TenantBudget& budget, Refill& refill, const WalletSettings& settings,
                     RecordInterface& record, std::size_t members, bool prefetch, std::int64_t max_price,
                     Outbox& out);
  void append_line(const TenantBudget& budget, HeldSlice& slice, std::int64_t spent);
  bool journal_is_slow(Time now) const;
  static void rebuild_open(TenantBudget& budget);

  Identity identity_;
  Journal* journal_;
  std::mt19937_64 rng_;
  std::map<std::string, Refill> refills_;
  std::uint64_t slices_requested_ = 0, lines_appended_ = 0;
  std::optional<Time> unsynced_since_;  // since when an appended line is not yet durable
  bool closed_ = false;
};

}  // namespace marblehub::fleet
