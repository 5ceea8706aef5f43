#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet/wallet/slices.h"
#include "fleet/wallet/tenant_budgets.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {
namespace {

constexpr Time kTurn = 50 * kMillisecond;        // between steps while calls come; idle: four times as much
constexpr Time kLeast = 10 * kMillisecond;       // so many changes of the record are taken in one step
constexpr std::size_t kFloats = 500;             // wallets x balancers up to which each holds a little ready
constexpr Time kOfferSpread = 5 * kMillisecond;  // times the balancers, over which they offer a deposit

}  // namespace

// A wallet's till and slices; what is asked of all wallets at once is here.
struct Wallets::State {
  State(const Settings& fleet, WalletSettings from, Journal* journal, std::uint64_t own, std::uint64_t seed)
      : settings(std::move(from)),
        name(fleet.name),
        incarnation(own),
        clock_bound(fleet.clock_bound),
        slices({fleet.name, own, fleet.clock_bound}, journal, seed),
        chance(seed ^ 0x9e3779b97f4a7c15) {
    if (journal)
      for (Journal::Line& line : journal->load()) found[{line.wallet, line.slice}] = line.spent;
    apply_settings();
  }

  void apply_settings() {
    tills.prices(settings);
    for (const auto& [tenant, deposits] : settings.deposits) tills.open(tenant);
    offers_at.reset();
    due = 0;
  }

  Time spread(Time from, Time to) {
    return from + static_cast<Time>(chance() % static_cast<std::uint64_t>(to - from + 1));
  }

  void step(Time now, RecordInterface& book, const std::vector<std::string>& alive, Outbox& out);
  void offer(Time now, RecordInterface& book, std::size_t members, Outbox& out);
  void lapse(Time now, RecordInterface& book, const std::vector<std::string>& alive, Outbox& out);
  void tell_found(Time now, RecordInterface& book, Outbox& out);

  WalletSettings settings;
  std::string name;
  std::uint64_t incarnation;
  Time clock_bound;
  Tills tills;
  Slices slices;
  std::mt19937_64 chance;
  std::map<std::pair<std::string, std::string>, std::int64_t> found;  // the journal's lines, not yet told
  std::set<std::pair<std::string, std::string>> offered, lapsing;
  std::optional<Time> offers_at;
  std::string deposit_error;
  std::uint64_t applied = 0;
  Time due = 0, stepped = -kSecond;
  bool settling = false;
};

void Wallets::State::step(Time now, RecordInterface& book, const std::vector<std::string>& alive,
                          Outbox& out) {
  const Ledger& ledger = book.ledger();
  if (now < due && now >= stepped) {
    if (ledger.applied == applied) return;
    if (now - stepped < kLeast) {
      due = std::min(due, stepped + kLeast);
      return;
    }
  }
  applied = ledger.applied;
  stepped = now;
  for (const auto& [tenant, wallet] : ledger.wallets) tills.open(tenant);
  std::size_t members = std::max<std::size_t>(1, alive.size());
  bool floats = members * ledger.wallets.size() <= kFloats;
  bool busy = false;
  for (Till& till : tills.all()) {
    slices.step(now, till, settings, book, members, floats, tills.dearest(), out);
    busy |= slices.busy(till, now);
  }
  if (!settling) offer(now, book, members, out);
  // At SIGTERM no view is handed in; who is gone is the next leader's to say.
  if (book.is_leader() && !alive.empty())
    lapse(now, book, alive, out);
  else
    lapsing.clear();
  tell_found(now, book, out);
  due = now + (busy ? kTurn : 4 * kTurn);
  if (offers_at && *offers_at > now) due = std::min(due, *offers_at);
}

// Every balancer has the file, so chance decides who is first; the others see it applied before their turn.
void Wallets::State::offer(Time now, RecordInterface& book, std::size_t members, Outbox& out) {
  const Ledger& ledger = book.ledger();
  if (!offers_at) {
    Time most = std::min<Time>(300 * kMillisecond, static_cast<Time>(members) * kOfferSpread);
    offers_at = now + (members > 1 ? spread(0, most) : 0);
  }
  if (now < *offers_at) return;
  bool all = true;
  for (const auto& [tenant, deposits] : settings.deposits) {
    auto wallet = ledger.wallets.find(tenant);
    for (const auto& [id, amount] : deposits)
      all = all && ((wallet != ledger.wallets.end() && wallet->second.deposits.count(id)) ||
                    offered.count({tenant, id}));
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
      if (offered.emplace(tenant, id).second) book.propose(now, Deposit{tenant, id, amount}, out);
    }
  }
}

// The leader's: what is over by everybody's clock and whose holder is gone, began anew, or is long silent.
void Wallets::State::lapse(Time now, RecordInterface& book, const std::vector<std::string>& alive,
                           Outbox& out) {
  const Ledger& ledger = book.ledger();
  std::set<std::string> there(alive.begin(), alive.end());
  std::set<std::pair<std::string, std::string>> still;
  for (const auto& [tenant, wallet] : ledger.wallets)
    for (const auto& [id, slice] : wallet.out) {
      if (now <= slice.until + clock_bound) continue;
      auto last = ledger.last.find(slice.holder);
      bool anew = last != ledger.last.end() && last->second.incarnation > slice.incarnation;
      bool silent = now > slice.until + clock_bound + settings.term;
      if (there.count(slice.holder) && !anew && !silent) continue;
      if (!lapsing.count({tenant, id})) book.propose(now, LapseSlice{tenant, id}, out);
      still.emplace(tenant, id);
    }
  lapsing = std::move(still);
}

// What the process before this one wrote of its slices, once the record counts them as lapsed.
void Wallets::State::tell_found(Time now, RecordInterface& book, Outbox& out) {
  const Ledger& ledger = book.ledger();
  // Once one of this process's commands is applied, no slice of the one before can still come to light.
  auto last = ledger.last.find(name);
  bool whole = last != ledger.last.end() && last->second.incarnation == incarnation;
  for (auto it = found.begin(); it != found.end();) {
    const auto& [tenant, id] = it->first;
    auto wallet = ledger.wallets.find(tenant);
    bool sure = false, gone = whole;
    if (wallet != ledger.wallets.end()) {
      auto slice = wallet->second.out.find(id);
      gone = whole && slice == wallet->second.out.end() && !wallet->second.held_back.count(id);
      // The process before may only sleep: its slice's term is awaited, as everybody does.
      sure = slice == wallet->second.out.end() ? wallet->second.held_back.count(id) > 0
                                               : now > slice->second.until + clock_bound;
    }
    if (sure) {
      book.propose(now, FoundSpent{tenant, id, it->second}, out);
      it = found.erase(it);
    } else if (gone) {
      it = found.erase(it);
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
  return state_->tills.reserve(now, tenant, service_class, into);
}
void Wallets::commit(const Reservation& reservation) { state_->tills.commit(reservation); }
void Wallets::release(const Reservation& reservation) { state_->tills.release(reservation); }

void Wallets::step(Time now, RecordInterface& book, const std::vector<std::string>& alive, Outbox& out) {
  state_->step(now, book, alive, out);
}

void Wallets::return_all(Time now, RecordInterface& book, Outbox& out) {
  state_->settling = true;
  state_->tills.close();
  for (Till& till : state_->tills.all()) state_->slices.close_all(till);
  state_->due = now;
  state_->step(now, book, {}, out);
}

bool Wallets::all_returned() const {
  auto empty = [](const Held& held) { return held.stage == Stage::empty; };
  return std::all_of(state_->tills.all().begin(), state_->tills.all().end(), [&](const Till& till) {
    return std::all_of(till.held.begin(), till.held.end(), empty);
  });
}

void Wallets::update_settings(WalletSettings settings) {
  state_->settings = std::move(settings);
  state_->apply_settings();
}

Time Wallets::next_due() const { return state_->due; }

bool Wallets::paused(std::string_view tenant) const {
  const Till* till = state_->tills.find(tenant);
  return till && till->out && till->left(state_->stepped) == 0;
}

Time Wallets::retry_after(Time) {
  Time pause = state_->settings.pause;
  return state_->tills.hope() ? state_->spread(pause / 8, pause / 4) : state_->spread(pause / 2, pause);
}

const std::string& Wallets::deposit_error() const { return state_->deposit_error; }

Wallets::Totals Wallets::totals(std::string_view tenant) const {
  const Till* till = state_->tills.find(tenant);
  if (!till) return {};
  Totals totals = till->totals;
  totals.spent_here = till->spent_here;
  return totals;
}

}  // namespace marblehub::fleet
