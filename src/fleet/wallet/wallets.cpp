#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet/wallet/slices.h"
#include "fleet/wallet/tenant_budgets.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

constexpr Time kStepInterval = 50 * kMillisecond;     // while calls arrive; four times as long when idle
constexpr Time kMinStepInterval = 10 * kMillisecond;  // changes of the record in it share one step
constexpr std::size_t kMaxPrefetched = 500;        // wallets x balancers: beyond it idle wallets hold nothing
constexpr Time kDepositSpread = 5 * kMillisecond;  // per balancer, of the delay before deposits are proposed

}  // namespace

// All wallets' budgets and slices, and what is proposed for the fleet: deposits, expiry, recovered spending.
struct Wallets::State {
  State(const Settings& fleet, WalletSettings initial, Journal* journal, std::uint64_t own_incarnation,
        std::uint64_t seed)
      : settings(std::move(initial)),
        name(fleet.name),
        incarnation(own_incarnation),
        clock_bound(fleet.clock_bound),
        slices({fleet.name, own_incarnation, fleet.clock_bound}, journal, seed),
        rng(seed ^ 0x9e3779b97f4a7c15) {
    if (journal)
      for (Journal::Line& line : journal->load()) recovered[{line.wallet, line.slice}] = line.spent;
    apply_settings();
  }

  void apply_settings() {
    budgets.configure(settings);
    for (const auto& [tenant, deposits] : settings.deposits) budgets.get_or_create(tenant);
    propose_at.reset();
    due = 0;
  }

  Time spread(Time from, Time to) {
    return from + static_cast<Time>(rng() % static_cast<std::uint64_t>(to - from + 1));
  }

  void step(Time now, RecordInterface& record, const std::vector<std::string>& alive, Outbox& out);
  void propose_deposits(Time now, RecordInterface& record, std::size_t members, Outbox& out);
  void expire_slices(Time now, RecordInterface& record, const std::vector<std::string>& alive, Outbox& out);
  void report_recovered(Time now, RecordInterface& record, Outbox& out);

  WalletSettings settings;
  std::string name;
  std::uint64_t incarnation;
  Time clock_bound;
  TenantBudgets budgets;
  SliceManager slices;
  std::mt19937_64 rng;
  std::map<std::pair<std::string, std::string>, std::int64_t> recovered;  // journal lines not yet reported
  std::set<std::pair<std::string, std::string>> proposed, expiring;
  std::optional<Time> propose_at;
  std::string deposit_error;
  std::uint64_t seen_applied = 0;
  Time due = 0, last_step = -kSecond;
  bool returning_all = false;
};

void Wallets::State::step(Time now, RecordInterface& record, const std::vector<std::string>& alive,
                          Outbox& out) {
  const Ledger& ledger = record.ledger();
  if (now < due && now >= last_step) {
    if (ledger.applied == seen_applied) return;
    if (now - last_step < kMinStepInterval) {
      due = std::min(due, last_step + kMinStepInterval);
      return;
    }
  }
  seen_applied = ledger.applied;
  last_step = now;
  for (const auto& [tenant, wallet] : ledger.wallets) budgets.get_or_create(tenant);
  std::size_t members = std::max<std::size_t>(1, alive.size());
  bool prefetch = members * ledger.wallets.size() <= kMaxPrefetched;
  bool busy = false;
  for (TenantBudget& budget : budgets.all()) {
    slices.step(now, budget, settings, record, members, prefetch, budgets.max_price(), out);
    busy |= slices.busy(budget, now);
  }
  if (!returning_all) propose_deposits(now, record, members, out);
  // During shutdown `alive` is empty: expiring slices is left to the next leader.
  if (record.is_leader() && !alive.empty())
    expire_slices(now, record, alive, out);
  else
    expiring.clear();
  report_recovered(now, record, out);
  due = now + (busy ? kStepInterval : 4 * kStepInterval);
  if (propose_at && *propose_at > now) due = std::min(due, *propose_at);
}

// Every balancer has the same file. A random delay lets one propose first; the others then see it applied.
void Wallets::State::propose_deposits(Time now, RecordInterface& record, std::size_t members, Outbox& out) {
  const Ledger& ledger = record.ledger();
  if (!propose_at) {
    Time max_delay = std::min<Time>(300 * kMillisecond, static_cast<Time>(members) * kDepositSpread);
    propose_at = now + (members > 1 ? spread(0, max_delay) : 0);
  }
  if (now < *propose_at) return;
  bool all = true;
  for (const auto& [tenant, deposits] : settings.deposits) {
    auto wallet = ledger.wallets.find(tenant);
    for (const auto& [id, amount] : deposits)
      all = all && ((wallet != ledger.wallets.end() && wallet->second.deposits.count(id)) ||
                    proposed.count({tenant, id}));
  }
  if (all) return;
  try {
    check_deposits(settings, ledger, "");
    deposit_error.clear();
  } catch (const config::DecodeError& error) {
    deposit_error = error.what();
    return;
  }
  for (const auto& [tenant, deposits] : settings.deposits) {
    auto wallet = ledger.wallets.find(tenant);
    for (const auto& [id, amount] : deposits) {
      if (wallet != ledger.wallets.end() && wallet->second.deposits.count(id)) continue;
      if (proposed.emplace(tenant, id).second) record.propose(now, Deposit{tenant, id, amount}, out);
    }
  }
}

// On the leader: expires slices whose term is over by every clock and whose holder is gone, has restarted, or
// has not returned them for another term.
void Wallets::State::expire_slices(Time now, RecordInterface& record, const std::vector<std::string>& alive,
                                   Outbox& out) {
  const Ledger& ledger = record.ledger();
  std::set<std::string> present(alive.begin(), alive.end());
  std::set<std::pair<std::string, std::string>> still_expiring;
  for (const auto& [tenant, wallet] : ledger.wallets)
    for (const auto& [id, slice] : wallet.out) {
      if (now <= slice.until + clock_bound) continue;
      auto last = ledger.last_commands.find(slice.holder);
      bool restarted = last != ledger.last_commands.end() && last->second.incarnation > slice.incarnation;
      bool silent = now > slice.until + clock_bound + settings.term;
      if (present.count(slice.holder) && !restarted && !silent) continue;
      if (!expiring.count({tenant, id})) record.propose(now, LapseSlice{tenant, id}, out);
      still_expiring.emplace(tenant, id);
    }
  expiring = std::move(still_expiring);
}

// Reports the spending that the previous process journaled, once the slices are expired or their term is
// over.
void Wallets::State::report_recovered(Time now, RecordInterface& record, Outbox& out) {
  const Ledger& ledger = record.ledger();
  // Once a command of this incarnation is applied, no slice can be granted to the previous process any more.
  auto last = ledger.last_commands.find(name);
  bool complete = last != ledger.last_commands.end() && last->second.incarnation == incarnation;
  for (auto it = recovered.begin(); it != recovered.end();) {
    const auto& [tenant, id] = it->first;
    auto wallet = ledger.wallets.find(tenant);
    bool confirmed = false, obsolete = complete;
    if (wallet != ledger.wallets.end()) {
      auto slice = wallet->second.out.find(id);
      obsolete = complete && slice == wallet->second.out.end() && !wallet->second.held_back.count(id);
      // The previous process may only be suspended, so its slice's term has to be over.
      confirmed = slice == wallet->second.out.end() ? wallet->second.held_back.count(id) > 0
                                                    : now > slice->second.until + clock_bound;
    }
    if (confirmed) {
      record.propose(now, ReportSpent{tenant, id, it->second}, out);
      it = recovered.erase(it);
    } else if (obsolete) {
      it = recovered.erase(it);
    } else {
      ++it;
    }
  }
}

Wallets::Wallets(const Settings& fleet, WalletSettings settings, Journal* journal, std::uint64_t incarnation,
                 std::uint64_t seed, Time now)
    : state_(new State(fleet, std::move(settings), journal, incarnation, seed)) {
  state_->due = now;
}

void Wallets::Release::operator()(State* state) const { delete state; }

ReserveResult Wallets::reserve(Time now, std::string_view tenant, std::string_view service_class,
                               Reservation& into) {
  return state_->budgets.reserve(now, tenant, service_class, into);
}
void Wallets::commit(const Reservation& reservation) { state_->budgets.commit(reservation); }
void Wallets::release(const Reservation& reservation) { state_->budgets.release(reservation); }

void Wallets::step(Time now, RecordInterface& record, const std::vector<std::string>& alive, Outbox& out) {
  state_->step(now, record, alive, out);
}

void Wallets::return_all(Time now, RecordInterface& record, Outbox& out) {
  state_->returning_all = true;
  state_->budgets.close();
  for (TenantBudget& budget : state_->budgets.all()) state_->slices.close_all(budget);
  state_->due = now;
  state_->step(now, record, {}, out);
}

bool Wallets::all_returned() const {
  auto empty = [](const HeldSlice& slice) { return slice.state == SliceState::empty; };
  return std::all_of(state_->budgets.all().begin(), state_->budgets.all().end(),
                     [&](const TenantBudget& budget) {
                       return std::all_of(budget.slices.begin(), budget.slices.end(), empty);
                     });
}

void Wallets::update_settings(WalletSettings settings) {
  state_->settings = std::move(settings);
  state_->apply_settings();
}

Time Wallets::next_due() const { return state_->due; }

bool Wallets::paused(std::string_view tenant) const {
  const TenantBudget* budget = state_->budgets.find(tenant);
  return budget && budget->exhausted && budget->available(state_->last_step) == 0;
}

Time Wallets::retry_after(Time) {
  Time pause = state_->settings.pause;
  return state_->budgets.refill_possible() ? state_->spread(pause / 8, pause / 4)
                                           : state_->spread(pause / 2, pause);
}

const std::string& Wallets::deposit_error() const { return state_->deposit_error; }

Wallets::Totals Wallets::totals(std::string_view tenant) const {
  const TenantBudget* budget = state_->budgets.find(tenant);
  if (!budget) return {};
  Totals totals = budget->totals;
  totals.spent_here = budget->spent_here;
  return totals;
}

}  // namespace marblehub::fleet
