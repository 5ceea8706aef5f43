#include "fleet/wallet/slices.h"

#include <algorithm>
#include <utility>

#include "check/check.h"

namespace marblehub::fleet {
namespace {

constexpr Time kMinHoldTime = 200 * kMillisecond;  // before an unneeded slice is returned
constexpr Time kSlowSync = 200 * kMillisecond;     // a line pending for longer: new slices are not journaled
constexpr std::int64_t kMinJournaledUnits = 16;    // a smaller slice is spent before a line is durable
constexpr Time kPriceWindow = 5 * kSecond;         // for the highest price requested
constexpr Time kActiveWindow = 30 * kSecond;       // a wallet with a call in it holds a slice ready

// The units spent while a journal line becomes durable; a line claims twice as much ahead. It covers at least
// one call, since a call cannot use a part of its price.
std::int64_t journal_step(std::int64_t amount, double rate, std::int64_t recent_max_price) {
  return std::max({recent_max_price, amount / 8, static_cast<std::int64_t>(rate * 0.1)});
}

// The sum of the amounts of all slices granted to this process.
std::int64_t total_held(const TenantBudget& budget) {
  std::int64_t sum = 0;
  for (const HeldSlice& slice : budget.slices)
    if (slice.state != SliceState::empty) sum += slice.amount;
  return sum;
}

}  // namespace

SliceManager::SliceManager(Identity identity, Journal* journal, std::uint64_t seed)
    : identity_(std::move(identity)), journal_(journal), rng_(seed) {}

void SliceManager::step(Time now, TenantBudget& budget, const WalletSettings& settings,
                        RecordInterface& record, std::size_t members, bool prefetch, std::int64_t max_price,
                        Outbox& out) {
  Refill& refill = refills_[budget.tenant];
  const Ledger& ledger = record.ledger();
  auto it = ledger.wallets.find(budget.tenant);
  const Wallet* wallet = it == ledger.wallets.end() ? nullptr : &it->second;
  update_rates(now, budget, refill, max_price);
  sync_with_ledger(now, budget, refill, ledger, wallet);
  close_finished(now, budget, settings.max_held_back);
  close_unneeded(now, budget, refill, members, max_price);
  rebuild_open(budget);
  write_ahead(now, budget, refill);
  propose_returns(now, budget, record, out);
  if (!closed_) request_slice(now, budget, refill, settings, record, members, prefetch, max_price, out);
  for (const HeldSlice& slice : budget.slices) {
    (void)slice;
    MARBLEHUB_DEBUG_INVARIANT("wallet",
                              slice.state == SliceState::empty ||
                                  (slice.reserved >= 0 && slice.spent + slice.reserved <= slice.amount),
                              "spent and reserved units exceed the slice's amount");
  }
}

bool SliceManager::busy(const TenantBudget& budget, Time now) const {
  if (now - budget.last_request < 2 * kSecond) return true;
  return std::any_of(budget.slices.begin(), budget.slices.end(), [](const HeldSlice& slice) {
    return slice.state == SliceState::closing || slice.state == SliceState::returning ||
           slice.state == SliceState::expired;
  });
}

// Smooths the demand over 0.2 s where it grows and over 1 s where it falls, the spending over 0.2 s.
void SliceManager::update_rates(Time now, TenantBudget& budget, Refill& refill, std::int64_t max_price) {
  if (!refill.measured_at) refill.measured_at = now - 50 * kMillisecond;
  Time elapsed = now - refill.measured_at;
  if (elapsed < 20 * kMillisecond) return;
  double demand = static_cast<double>(budget.requested_units) * 1e6 / static_cast<double>(elapsed);
  double window = demand > refill.demand_rate ? 0.2e6 : 1e6;
  refill.demand_rate += (demand - refill.demand_rate) * std::min(1.0, static_cast<double>(elapsed) / window);
  double spend = static_cast<double>(budget.reserved_units) * 1e6 / static_cast<double>(elapsed);
  refill.spend_rate += (spend - refill.spend_rate) * std::min(1.0, static_cast<double>(elapsed) / 0.2e6);
  if (now - budget.last_request > kSecond) budget.max_refused_price = budget.min_refused_price = 0;
  budget.requested_units = budget.reserved_units = 0;
  if (now - refill.window_start > kPriceWindow) {
    refill.previous_max_price = std::exchange(budget.window_max_price, 0);
    refill.window_start = now;
  }
  refill.recent_max_price = std::max(refill.previous_max_price, budget.window_max_price);
  if (refill.recent_max_price == 0) refill.recent_max_price = max_price;
  refill.measured_at = now;
}

void SliceManager::sync_with_ledger(Time now, TenantBudget& budget, Refill& refill, const Ledger& ledger,
                                    const Wallet* wallet) {
  budget.totals.spent_here = budget.spent_here;
  if (!wallet) return;
  std::int64_t held_back = 0, out = 0;
  for (const auto& [id, amount] : wallet->held_back) held_back += amount;
  for (const auto& [id, slice] : wallet->out) out += slice.amount;
  budget.totals = {wallet->paid, wallet->balance, out, wallet->spent, held_back, budget.spent_here};
  MARBLEHUB_INVARIANT("wallet", wallet->paid == wallet->balance + out + wallet->spent,
                      "a wallet's deposits differ from the sum of its balance, slices and spending");
  for (HeldSlice& slice : budget.slices) {
    if (slice.state == SliceState::empty || wallet->out.count(slice.id)) continue;
    if (wallet->held_back.count(slice.id)) {
      // The leader expired the slice. Nothing more is spent from it; its spending is reported once it is
      // final.
      if (!slice.was_expired) slice.state = SliceState::expired;
      slice.was_expired = true;
    } else if (slice.state == SliceState::returning) {
      slice = HeldSlice{};  // the record has applied the return
    }
  }
  if (refill.pending_slice.empty()) return;
  auto granted = wallet->out.find(refill.pending_slice);
  if (granted != wallet->out.end()) add_slice(now, budget, granted->first, granted->second, refill);
  auto last = ledger.last_commands.find(identity_.name);
  bool applied = last != ledger.last_commands.end() && last->second.incarnation == identity_.incarnation &&
                 last->second.number >= refill.pending_command;
  if (granted != wallet->out.end() || applied) refill.pending_slice.clear();
}

void SliceManager::add_slice(Time now, TenantBudget& budget, const std::string& id, const Slice& granted,
                             const Refill& refill) {
  auto free_slot = std::find_if(budget.slices.begin(), budget.slices.end(),
                                [](const HeldSlice& slice) { return slice.state == SliceState::empty; });
  HeldSlice& slice = free_slot == budget.slices.end() ? budget.slices.emplace_back() : *free_slot;
  MARBLEHUB_INVARIANT("wallet", granted.amount <= refill.pending_amount,
                      "a slice holds more units than were requested");
  slice = HeldSlice{};
  slice.id = id;
  slice.state = closed_ ? SliceState::closing : SliceState::open;
  slice.amount = granted.amount;
  slice.spend_limit = granted.amount;
  slice.expires = granted.until - identity_.clock_bound;
  slice.acquired = now;
  // Spending starts before the first line is durable: without a line, the slice counts as spent in full.
  // Where other slices have enough, all but one unit wait until the line is durable.
  if (journal_ && !closed_ && !journal_is_slow(now) && granted.amount >= kMinJournaledUnits) {
    std::int64_t step = journal_step(granted.amount, refill.demand_rate, refill.recent_max_price);
    slice.spend_limit = budget.available(now) > step ? 1 : std::min(granted.amount, 2 * step);
    append_line(budget, slice, slice.spend_limit);
  }
  budget.max_refused_price = budget.min_refused_price = 0;
}

bool SliceManager::journal_is_slow(Time now) const {
  return unsynced_since_ && now - *unsynced_since_ > kSlowSync;
}

void SliceManager::append_line(const TenantBudget& budget, HeldSlice& slice, std::int64_t spent) {
  journal_->append({budget.tenant, slice.id, spent});
  slice.journaled = spent;
  slice.line_number = ++lines_appended_;
}

// Appends a line while a step of the last one is unspent, so that it is durable before its units are needed.
void SliceManager::write_ahead(Time now, TenantBudget& budget, const Refill& refill) {
  if (!journal_) return;
  if (journal_->durable_lines() >= lines_appended_)
    unsynced_since_.reset();
  else if (!unsynced_since_)
    unsynced_since_ = now;
  std::int64_t available = 0;  // in this slice and those that expire before it
  for (std::uint32_t at : budget.open) {
    HeldSlice& slice = budget.slices[at];
    bool durable = slice.journaled && journal_->durable_lines() >= slice.line_number;
    if (durable) slice.spend_limit = slice.journaled;
    available += slice.available(now);
    if (!durable) continue;
    std::int64_t used = slice.spent + slice.reserved;
    std::int64_t step = journal_step(slice.amount, refill.demand_rate, refill.recent_max_price);
    if (slice.spend_limit < slice.amount && available <= step)
      append_line(budget, slice, std::min(slice.amount, used + 2 * step));
  }
}

void SliceManager::close_finished(Time now, TenantBudget& budget, std::int64_t max_held_back) {
  std::size_t open_count = 0;
  for (const HeldSlice& slice : budget.slices) open_count += slice.unspent(now) > 0;
  // The bound leaves no room for a slice that covers the refused call: slices too small for it are returned.
  bool no_capacity = budget.max_refused_price > max_held_back - total_held(budget);
  for (HeldSlice& slice : budget.slices) {
    if (slice.state != SliceState::open) continue;
    Time near_expiry = std::min((slice.expires - slice.acquired) / 4, kSecond);
    bool finished = now >= slice.expires || slice.spent + slice.reserved >= slice.amount;
    // Other slices are left to spend: one near its end, or too small for the refused call, is returned.
    if (!finished && open_count > 1 &&
        (now >= slice.expires - near_expiry ||
         (budget.max_refused_price && slice.unspent(now) < budget.max_refused_price)))
      finished = true, --open_count;
    finished = finished || (no_capacity && slice.unspent(now) < budget.max_refused_price);
    if (finished) slice.state = SliceState::closing;
  }
}

// Closes slices that will not be spent soon while the balance is too low for other balancers to get one.
void SliceManager::close_unneeded(Time now, TenantBudget& budget, const Refill& refill, std::size_t members,
                                  std::int64_t max_price) {
  if ((members < 2 && !budget.min_refused_price) || budget.totals.balance >= max_price) return;
  std::int64_t unspent = 0;
  for (const HeldSlice& slice : budget.slices) unspent += slice.unspent(now);
  for (HeldSlice& slice : budget.slices) {
    std::int64_t slice_unspent = slice.unspent(now);
    if (slice_unspent <= 0 || now - slice.acquired < kMinHoldTime) continue;
    if (static_cast<double>(unspent) <= refill.spend_rate * 0.5) return;
    slice.state = SliceState::closing;
    unspent -= slice_unspent;
  }
}

void SliceManager::rebuild_open(TenantBudget& budget) {
  budget.open.clear();
  for (std::uint32_t at = 0; at < budget.slices.size(); ++at)
    if (budget.slices[at].state == SliceState::open) budget.open.push_back(at);
  std::sort(budget.open.begin(), budget.open.end(), [&](std::uint32_t one, std::uint32_t other) {
    return budget.slices[one].expires < budget.slices[other].expires;
  });
}

void SliceManager::propose_returns(Time now, TenantBudget& budget, RecordInterface& record, Outbox& out) {
  for (HeldSlice& slice : budget.slices) {
    if ((slice.state != SliceState::closing && slice.state != SliceState::expired) || slice.reserved)
      continue;
    if (journal_ && slice.spent < slice.amount) append_line(budget, slice, slice.spent);
    if (slice.state == SliceState::expired)
      record.propose(now, ReportSpent{budget.tenant, slice.id, slice.spent}, out);
    else
      record.propose(now, ReturnSlice{budget.tenant, slice.id, slice.spent}, out);
    slice.was_expired = slice.state == SliceState::expired;
    slice.state = SliceState::returning;
  }
}

void SliceManager::request_slice(Time now, TenantBudget& budget, Refill& refill,
                                 const WalletSettings& settings, RecordInterface& record, std::size_t members,
                                 bool prefetch, std::int64_t max_price, Outbox& out) {
  std::int64_t balance = budget.totals.balance;
  budget.exhausted = balance < std::max<std::int64_t>(1, budget.min_refused_price);
  budget.max_affordable = balance;
  for (const HeldSlice& slice : budget.slices)
    budget.max_affordable = std::max(budget.max_affordable, slice.unspent(now));
  if (balance == 0 || !refill.pending_slice.empty()) {
    refill.request_at.reset();
    return;
  }
  auto member_count = static_cast<std::int64_t>(members);
  std::int64_t capacity = settings.max_held_back - total_held(budget);
  // A low balance is requested call by call, since units held in reserve here would be missing elsewhere.
  bool low = balance < 4 * member_count * refill.recent_max_price;
  std::int64_t min_amount = refill.recent_max_price;
  if (budget.max_refused_price)
    min_amount = budget.max_refused_price <= std::min(balance, capacity) ? budget.max_refused_price
                                                                         : budget.min_refused_price;
  Time ahead = low ? std::min(settings.ahead, 250 * kMillisecond) : settings.ahead;
  auto target = static_cast<std::int64_t>(refill.demand_rate * static_cast<double>(ahead) / 1e6);
  bool active = now - budget.last_request < kActiveWindow;
  if (!low && (active || (prefetch && balance >= 20 * member_count * max_price)))
    target = std::max(target, refill.recent_max_price);
  std::int64_t unspent = 0;
  for (const HeldSlice& slice : budget.slices) {
    Time near_expiry = std::min((slice.expires - slice.acquired) / 4, kSecond);
    if (now < slice.expires - near_expiry)
      unspent += journal_is_slow(now) ? slice.available(now) : slice.unspent(now);
  }
  bool needed = budget.max_refused_price > 0 || (target >= min_amount && unspent * 2 < target);
  std::int64_t fair_share = std::max(min_amount, balance / std::max<std::int64_t>(8, 2 * member_count));
  std::int64_t wanted =
      std::min({std::max(target - unspent, low ? min_amount : 4 * min_amount), fair_share, capacity});
  if (!needed || wanted < min_amount || balance < min_amount) {
    refill.request_at.reset();
    return;
  }
  // Requests for a low balance are delayed at random, so that not all balancers request at once.
  if (!refill.request_at) {
    Time spread =
        low ? std::min(500 * kMillisecond, member_count * min_amount * 10 * kMillisecond / balance) : 0;
    refill.request_at = now + static_cast<Time>(rng_() % static_cast<std::uint64_t>(spread + 1));
  }
  if (now < *refill.request_at) return;
  refill.request_at.reset();
  refill.pending_slice = identity_.name + "/" + std::to_string(identity_.incarnation) + "/" +
                         std::to_string(++slices_requested_);
  refill.pending_amount = wanted;
  MARBLEHUB_INVARIANT("wallet", total_held(budget) + wanted <= settings.max_held_back,
                      "a slice request exceeds the bound on held back units");
  refill.pending_command =
      record.propose(now,
                     TakeSlice{budget.tenant, refill.pending_slice, identity_.name, identity_.incarnation,
                               wanted, now + settings.term, min_amount},
                     out);
}

void SliceManager::close_all(TenantBudget& budget) {
  closed_ = true;
  for (HeldSlice& slice : budget.slices)
    if (slice.state == SliceState::open) slice.state = SliceState::closing;
  rebuild_open(budget);
}

}  // namespace marblehub::fleet
