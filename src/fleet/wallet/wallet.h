// A prepaid wallet of calls: slices of it are taken from the record and spent here without asking anybody.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/record/record.h"

namespace marblehub::fleet {

// deploy/wallet.json: prices by class, deposits with ids, what holds for tenants without a wallet. The file's
// form, its bounds and the ways weighed: docs/fleet-wallet.md.
struct WalletSettings {
  std::map<std::string, std::int64_t> prices;                           // by class; one not named costs 1
  std::map<std::string, std::map<std::string, std::int64_t>> deposits;  // tenant: id: amount
  bool unknown_served = true;         // calls of a tenant without a wallet, or of none
  Time term = 10 * kSecond;           // of a slice
  Time ahead = kSecond;               // a slice is to last about so long at the balancer's own rate
  std::int64_t max_held_back = 1000;  // of each wallet: units in slices of one balancer at most
  Time pause = kSecond;               // told to clients that are refused, spread over half to all of it
};
// Throws config::DecodeError with key. `classes`: those of the start file, where it is known; a price for any
// other would never be asked.
WalletSettings wallet_settings_from(const config::Options& options,
                                    const std::vector<std::string>& classes = {});
// Throws config::DecodeError where a wallet's deposits in the file come to less than is spent, held back or
// in slices: what was served cannot be taken back. Before `follow`; `place` is the file and ": ".
void check_deposits(const WalletSettings& settings, const Ledger& ledger, const std::string& place);

// What a balancer may have spent of its slices, on its own disk if it has one, so that little is held back
// after a crash. A line is written ahead: it says what is spent at most until the next line of that slice
// lasts. append never waits for the disk; a slice without a line counts as spent in full.
class Journal {
 public:
  virtual ~Journal() = default;
  struct Line {
    std::string wallet, slice;
    std::int64_t spent = 0;
  };
  virtual void append(const Line& line) = 0;
  // How many of the lines appended by this process last on the disk, oldest first; all of them where nothing
  // else is known.
  virtual std::uint64_t durable_lines() const { return ~std::uint64_t{0}; }
  virtual std::vector<Line>
  load() = 0;  // throws with file and offset where a line is flipped; a torn last one ends it
};

enum class ReserveResult { unmetered, reserved, paused };  // unmetered: no wallet's affair, serve it
struct Reservation {
  std::uint32_t wallet = 0;
  std::uint32_t slice = 0;
  std::int64_t price = 0;
};

// The seam to the record: what Wallets needs of it, so that tests can agree on commands in their own way.
class RecordInterface {
 public:
  virtual ~RecordInterface() = default;
  virtual const Ledger& ledger() const = 0;
  virtual bool is_leader() const = 0;
  virtual std::uint64_t propose(Time now, Body body, Outbox& out) = 0;
};

class Wallets {
 public:
  Wallets(const Settings& fleet, WalletSettings settings, Journal* journal, std::uint64_t incarnation,
          std::uint64_t seed, Time now);

  // On a call's way: never waits, never allocates. Reserved before the attempt, then exactly one of the two.
  ReserveResult reserve(Time now, std::string_view tenant, std::string_view service_class, Reservation& into);
  void commit(const Reservation& reservation);   // at UP
  void release(const Reservation& reservation);  // no UP came

  // After anything that may have changed the record, and at next_due: takes slices, gives back, offers
  // deposits, lapses slices of the gone (leader only). `alive`: the view.
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void step(Time now, RecordInterface& book, const std::vector<std::string>& alive, Outbox& out);
  // At SIGTERM: all unspent goes back, at once or, where a call is under way, at the steps that follow it.
  void return_all(Time now, Record& record, Outbox& out);
  void return_all(Time now, RecordInterface& book, Outbox& out);
  bool all_returned() const;                      // nothing is out here any more
  void update_settings(WalletSettings settings);  // SIGHUP; a balance below what is spent is refused before
  Time next_due() const;

  bool paused(std::string_view tenant) const;  // nothing to spend here and none to be had
  // When the call that reserve refused last may come again, as a duration: spread over half to all of `pause`
  // where the balance is out, over an eighth to a quarter of it where a slice is on its way.
  Time retry_after(Time now);
  // Why deposits of the file are not offered to the record (check_against, at start); empty: all are.
  const std::string& deposit_error() const;
  struct Totals {
    std::int64_t paid = 0, balance = 0, out = 0, spent = 0, held_back = 0, spent_here = 0;
  };
  Totals totals(std::string_view tenant) const;

 private:
  struct State;
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
