// Prepaid budgets of tenants ("wallets"). The agreed record holds the balances; each balancer leases slices
// of them and spends these locally, so that no call waits for the record.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/record/record.h"

namespace marblehub::fleet {

/// The settings of deploy/wallet.json; docs/fleet-wallet.md describes the file and its bounds. Amounts and
/// prices are in units, times in microseconds.
struct WalletSettings {
  std::map<std::string, std::int64_t> prices;  // of one call, by class; a class not listed costs 1
  std::map<std::string, std::map<std::string, std::int64_t>> deposits;  // by tenant and deposit id
  bool unknown_served = true;         // serve calls without a tenant or whose tenant has no wallet
  Time term = 10 * kSecond;           // of a slice; what is unspent is returned by its end
  Time ahead = kSecond;               // a slice covers the balancer's own demand for about this long
  std::int64_t max_held_back = 1000;  // units of one wallet in slices of one balancer
  Time pause = kSecond;               // longest retry delay of refused calls; see Wallets::retry_after
};
/// Throws config::DecodeError with the key. `classes`: of the start file; a price for another class is
/// refused. Empty: the classes are not checked.
WalletSettings wallet_settings_from(const config::Options& options,
                                    const std::vector<std::string>& classes = {});
/// Throws config::DecodeError where a wallet's deposits in the file are less than what is spent, held back or
/// in slices. Called before update_settings; `place` is the file's name and ": ".
void check_deposits(const WalletSettings& settings, const Ledger& ledger, const std::string& place);

/// Write-ahead journal of the spending of slices on a balancer's own disk, so that little is held back after
/// a crash. A line is an upper bound of a slice's spending until the slice's next line is durable. A slice
/// without a line counts as spent in full.
class Journal {
 public:
  virtual ~Journal() = default;
  /// Spending of one slice, in units.
  struct Line {
    std::string wallet, slice;
    std::int64_t spent = 0;
  };
  virtual void append(const Line& line) = 0;  // never waits for the disk
  /// How many of the lines that this process appended are durable, oldest first. The default: all of them.
  virtual std::uint64_t durable_lines() const { return ~std::uint64_t{0}; }
  /// The last line of each slice from earlier processes. A torn last line is dropped; throws with file and
  /// offset where another line is damaged.
  virtual std::vector<Line> load() = 0;
};

/// unmetered: no wallet pays for the call, serve it. paused: nothing to spend, refuse the call.
enum class ReserveResult { unmetered, reserved, paused };
/// Units reserved for one call; price 0: none. The indices are those of the Wallets that made it.
struct Reservation {
  std::uint32_t wallet = 0;
  std::uint32_t slice = 0;
  std::int64_t price = 0;
};

/// What Wallets needs from the record. Tests implement it without consensus.
class RecordInterface {
 public:
  virtual ~RecordInterface() = default;
  virtual const Ledger& ledger() const = 0;
  virtual bool is_leader() const = 0;
  virtual std::uint64_t propose(Time now, Body body, Outbox& out) = 0;  // returns the command's number
};

/// All wallets at one balancer. The settings and prices apply to all of them; `journal` is not owned and may
/// be null. Not thread-safe.
class Wallets {
 public:
  /// Throws what Journal::load throws.
  Wallets(const Settings& fleet, WalletSettings settings, Journal* journal, std::uint64_t incarnation,
          std::uint64_t seed, Time now);

  // On the path of a call: these never block or allocate. A call reserves its price before the attempt; then
  // exactly one of commit and release follows.
  ReserveResult reserve(Time now, std::string_view tenant, std::string_view service_class, Reservation& into);
  void commit(const Reservation& reservation);   // the worker answered UP
  void release(const Reservation& reservation);  // the attempt ended without UP

  /// Requests and returns slices, proposes deposits and, on the leader, expires slices of members that are
  /// gone. Called after any change of the record and at next_due. `alive`: the members in the view.
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void step(Time now, RecordInterface& record, const std::vector<std::string>& alive, Outbox& out);
  /// At SIGTERM: returns all unspent units, at once or, where a call is in progress, in the steps after it
  /// ends.
  void return_all(Time now, Record& record, Outbox& out);
  void return_all(Time now, RecordInterface& record, Outbox& out);
  bool all_returned() const;                      // no slice is left here
  void update_settings(WalletSettings settings);  // at SIGHUP, after check_deposits
  /// When to call step next.
  Time next_due() const;

  bool paused(std::string_view tenant) const;  // nothing to spend here, and no slice to be granted
  /// The retry delay for the call that reserve refused last, at random: half to all of `pause` where the
  /// balance is exhausted, an eighth to a quarter of it where a new slice could cover the call.
  Time retry_after(Time now);
  /// Why the file's deposits are not proposed to the record (see check_deposits); empty: they are.
  const std::string& deposit_error() const;
  /// Units of one wallet in the whole fleet, and `spent_here` by this process.
  struct Totals {
    std::int64_t paid = 0, balance = 0, in_slices = 0, spent = 0, held_back = 0, spent_here = 0;
  };
  /// As last read from the record; all 0 for a tenant without a wallet.
  Totals totals(std::string_view tenant) const;

 private:
  struct State;
  /// Deletes the state where its type is complete.
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
