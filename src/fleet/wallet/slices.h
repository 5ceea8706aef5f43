// Which slices this balancer takes, keeps and gives back, and what it hears of them from the record. Stepped
// off the call's way.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/wallet/tenant_budgets.h"

namespace marblehub::fleet {

class Slices {
 public:
  struct Terms {
    std::string name;  // of this balancer
    std::uint64_t incarnation = 0;
    Time clock_bound = 0;
  };
  Slices(Terms terms, Journal* journal, std::uint64_t seed);

  // One wallet's turn. `members`: balancers that are there; `floats`: a small slice is held even where no
  // call came lately, so that the first one finds it.
  void step(Time now, Till& till, const WalletSettings& settings, RecordInterface& book, std::size_t members,
            bool floats, std::int64_t dearest, Outbox& out);
  void close_all(Till& till);  // nothing is taken any more, all unspent goes back
  bool busy(const Till& till, Time now) const;

 private:
  struct Plan {                        // of one wallet
    double rate = 0, spending = 0;     // units a second: asked for, reserved
    std::int64_t dear = 0, usual = 0;  // the dearest call of the last 5 to 10 s, or of all where none came
    Time measured = 0, dear_since = 0;
    std::string asked_for;  // the slice that was asked for; empty: none
    std::uint64_t command = 0;
    std::int64_t wanted = 0;
    std::optional<Time> ask_at;
  };
  void measure(Time now, Till& till, Plan& plan, std::int64_t dearest);
  void hear(Time now, Till& till, Plan& plan, const Ledger& ledger, const Wallet* wallet);
  void adopt(Time now, Till& till, const std::string& id, const Slice& slice, const Plan& plan);
  void write_ahead(Time now, Till& till, const Plan& plan);
  void close_what_ended(Time now, Till& till, std::int64_t max_held_back);
  void give_back(Time now, Till& till, const Plan& plan, std::size_t members, std::int64_t dearest);
  void send_back(Time now, Till& till, RecordInterface& book, Outbox& out);
  void take(Time now, Till& till, Plan& plan, const WalletSettings& settings, RecordInterface& book,
            std::size_t members, bool floats, std::int64_t dearest, Outbox& out);
  void append(const Till& till, Held& held, std::int64_t spent);
  bool disk_lags(Time now) const;
  static void list_open(Till& till);

  Terms terms_;
  Journal* journal_;
  std::mt19937_64 chance_;
  std::map<std::string, Plan> plans_;
  std::uint64_t taken_ = 0, lines_ = 0;
  std::optional<Time> waiting_since_;  // for a line to last
  bool closed_ = false;
};

}  // namespace marblehub::fleet
