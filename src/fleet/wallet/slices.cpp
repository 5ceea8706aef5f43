#include "fleet/wallet/slices.h"

#include <algorithm>
#include <utility>

#include "check/check.h"

namespace marblehub::fleet {
namespace {

constexpr Time kUnhurried = 200 * kMillisecond;  // a slice is kept so long before it is given back unneeded
constexpr Time kSlowDisk = 200 * kMillisecond;   // beyond it new slices go without lines: held back in full
constexpr std::int64_t kWorthALine = 16;         // units; what is less is spent before a line lasts
constexpr Time kDear = 5 * kSecond;              // a class not asked for in it is not reckoned with
constexpr Time kRecent = 30 * kSecond;           // a wallet asked for within it is held ready

// A line lasts after a turn and a disk's sync: so much is spent meanwhile, and twice that is claimed ahead.
// At least one call: what is allowed is worth nothing to it in parts.
std::int64_t line_step(std::int64_t amount, double rate, std::int64_t usual) {
  return std::max({usual, amount / 8, static_cast<std::int64_t>(rate * 0.1)});
}

// The amounts of all that is out to this process.
std::int64_t held_by(const Till& till) {
  std::int64_t sum = 0;
  for (const Held& held : till.held)
    if (held.stage != Stage::empty) sum += held.amount;
  return sum;
}

}  // namespace

Slices::Slices(Terms terms, Journal* journal, std::uint64_t seed)
    : terms_(std::move(terms)), journal_(journal), chance_(seed) {}

void Slices::step(Time now, Till& till, const WalletSettings& settings, RecordInterface& book,
                  std::size_t members, bool floats, std::int64_t dearest, Outbox& out) {
  Plan& plan = plans_[till.tenant];
  const Ledger& ledger = book.ledger();
  auto it = ledger.wallets.find(till.tenant);
  const Wallet* wallet = it == ledger.wallets.end() ? nullptr : &it->second;
  measure(now, till, plan, dearest);
  hear(now, till, plan, ledger, wallet);
  close_what_ended(now, till, settings.max_held_back);
  give_back(now, till, plan, members, dearest);
  list_open(till);
  write_ahead(now, till, plan);
  send_back(now, till, book, out);
  if (!closed_) take(now, till, plan, settings, book, members, floats, dearest, out);
  for (const Held& held : till.held) {
    (void)held;
    MARBLEHUB_DEBUG_INVARIANT(
        "wallet",
        held.stage == Stage::empty || (held.reserved >= 0 && held.spent + held.reserved <= held.amount),
        "a slice's reservations and debits come to more than its amount");
  }
}

bool Slices::busy(const Till& till, Time now) const {
  if (now - till.last_asked < 2 * kSecond) return true;
  return std::any_of(till.held.begin(), till.held.end(), [](const Held& held) {
    return held.stage == Stage::closing || held.stage == Stage::returning || held.stage == Stage::lapsed;
  });
}

// The rate follows growth within a fifth of a second and forgets it within one.
void Slices::measure(Time now, Till& till, Plan& plan, std::int64_t dearest) {
  if (!plan.measured) plan.measured = now - 50 * kMillisecond;
  Time passed = now - plan.measured;
  if (passed < 20 * kMillisecond) return;
  double seen = static_cast<double>(till.asked) * 1e6 / static_cast<double>(passed);
  double within = seen > plan.rate ? 0.2e6 : 1e6;
  plan.rate += (seen - plan.rate) * std::min(1.0, static_cast<double>(passed) / within);
  double spent = static_cast<double>(till.taken) * 1e6 / static_cast<double>(passed);
  plan.spending += (spent - plan.spending) * std::min(1.0, static_cast<double>(passed) / 0.2e6);
  if (now - till.last_asked > kSecond) till.hungry = till.least = 0;
  till.asked = till.taken = 0;
  if (now - plan.dear_since > kDear) {
    plan.dear = std::exchange(till.dear, 0);
    plan.dear_since = now;
  }
  plan.usual = std::max(plan.dear, till.dear);
  if (plan.usual == 0) plan.usual = dearest;
  plan.measured = now;
}

void Slices::hear(Time now, Till& till, Plan& plan, const Ledger& ledger, const Wallet* wallet) {
  till.totals.spent_here = till.spent_here;
  if (!wallet) return;
  std::int64_t held_back = 0, out = 0;
  for (const auto& [id, amount] : wallet->held_back) held_back += amount;
  for (const auto& [id, slice] : wallet->out) out += slice.amount;
  till.totals = {wallet->paid, wallet->balance, out, wallet->spent, held_back, till.spent_here};
  MARBLEHUB_INVARIANT("wallet", wallet->paid == wallet->balance + out + wallet->spent,
                      "a wallet's deposits are not its balance, slices and spending");
  for (Held& held : till.held) {
    if (held.stage == Stage::empty || wallet->out.count(held.id)) continue;
    if (wallet->held_back.count(held.id)) {
      // The leader took this process for gone. Nothing is spent of it any more; what was is told once exact.
      if (!held.was_lapsed) held.stage = Stage::lapsed;
      held.was_lapsed = true;
    } else if (held.stage == Stage::returning) {
      held = Held{};  // the record has it as it was sent back
    }
  }
  if (plan.asked_for.empty()) return;
  auto slice = wallet->out.find(plan.asked_for);
  if (slice != wallet->out.end()) adopt(now, till, slice->first, slice->second, plan);
  auto last = ledger.last.find(terms_.name);
  bool applied = last != ledger.last.end() && last->second.incarnation == terms_.incarnation &&
                 last->second.number >= plan.command;
  if (slice != wallet->out.end() || applied) plan.asked_for.clear();
}

void Slices::adopt(Time now, Till& till, const std::string& id, const Slice& slice, const Plan& plan) {
  auto free = std::find_if(till.held.begin(), till.held.end(),
                           [](const Held& held) { return held.stage == Stage::empty; });
  Held& held = free == till.held.end() ? till.held.emplace_back() : *free;
  MARBLEHUB_INVARIANT("wallet", slice.amount <= plan.wanted, "a slice holds more than was asked for");
  held = Held{};
  held.id = id;
  held.stage = closed_ ? Stage::closing : Stage::open;
  held.amount = slice.amount;
  held.allowed = slice.amount;
  held.ends = slice.until - terms_.clock_bound;
  held.since = now;
  // Spent within the first line from the beginning: whether or not that line lasts, what it says is enough.
  // Where older ones are ready it may wait with all but one unit.
  if (journal_ && !closed_ && !disk_lags(now) && slice.amount >= kWorthALine) {
    std::int64_t step = line_step(slice.amount, plan.rate, plan.usual);
    held.allowed = till.left(now) > step ? 1 : std::min(slice.amount, 2 * step);
    append(till, held, held.allowed);
  }
  till.hungry = till.least = 0;
}

bool Slices::disk_lags(Time now) const { return waiting_since_ && now - *waiting_since_ > kSlowDisk; }

void Slices::append(const Till& till, Held& held, std::int64_t spent) {
  journal_->append({till.tenant, held.id, spent});
  held.claimed = spent;
  held.line = ++lines_;
}

// A line lasts before what it allows is spent, so the next is written while a step of the last is unspent.
void Slices::write_ahead(Time now, Till& till, const Plan& plan) {
  if (!journal_) return;
  if (journal_->durable_lines() >= lines_)
    waiting_since_.reset();
  else if (!waiting_since_)
    waiting_since_ = now;
  std::int64_t ready = 0;  // what may be spent at once, this slice and those before it
  for (std::uint32_t at : till.open) {
    Held& held = till.held[at];
    bool lasts = held.claimed && journal_->durable_lines() >= held.line;
    if (lasts) held.allowed = held.claimed;
    ready += held.left(now);
    if (!lasts) continue;
    std::int64_t used = held.spent + held.reserved;
    std::int64_t step = line_step(held.amount, plan.rate, plan.usual);
    if (held.allowed < held.amount && ready <= step)
      append(till, held, std::min(held.amount, used + 2 * step));
  }
}

void Slices::close_what_ended(Time now, Till& till, std::int64_t max_held_back) {
  std::size_t open = 0;
  for (const Held& held : till.held) open += held.unspent(now) > 0;
  // No further slice may be had that holds the call: what is too small for it is returned.
  bool crowded = till.hungry > max_held_back - held_by(till);
  for (Held& held : till.held) {
    if (held.stage != Stage::open) continue;
    Time near = std::min((held.ends - held.since) / 4, kSecond);
    bool over = now >= held.ends || held.spent + held.reserved >= held.amount;
    // Others are here to spend: what is near its end, or too small for the call that was refused, goes back.
    if (!over && open > 1 && (now >= held.ends - near || (till.hungry && held.unspent(now) < till.hungry)))
      over = true, --open;
    over = over || (crowded && held.unspent(now) < till.hungry);
    if (over) held.stage = Stage::closing;
  }
}

// The balance is out while slices stand here: others may need what this balancer will not spend soon.
void Slices::give_back(Time now, Till& till, const Plan& plan, std::size_t members, std::int64_t dearest) {
  if ((members < 2 && !till.least) || till.totals.balance >= dearest) return;
  std::int64_t unspent = 0;
  for (const Held& held : till.held) unspent += held.unspent(now);
  for (Held& held : till.held) {
    std::int64_t here = held.unspent(now);
    if (here <= 0 || now - held.since < kUnhurried) continue;
    if (static_cast<double>(unspent) <= plan.spending * 0.5) return;
    held.stage = Stage::closing;
    unspent -= here;
  }
}

void Slices::list_open(Till& till) {
  till.open.clear();
  for (std::uint32_t at = 0; at < till.held.size(); ++at)
    if (till.held[at].stage == Stage::open) till.open.push_back(at);
  std::sort(till.open.begin(), till.open.end(), [&](std::uint32_t one, std::uint32_t other) {
    return till.held[one].ends < till.held[other].ends;
  });
}

void Slices::send_back(Time now, Till& till, RecordInterface& book, Outbox& out) {
  for (Held& held : till.held) {
    if ((held.stage != Stage::closing && held.stage != Stage::lapsed) || held.reserved) continue;
    if (journal_ && held.spent < held.amount) append(till, held, held.spent);
    if (held.stage == Stage::lapsed)
      book.propose(now, FoundSpent{till.tenant, held.id, held.spent}, out);
    else
      book.propose(now, ReturnSlice{till.tenant, held.id, held.spent}, out);
    held.was_lapsed = held.stage == Stage::lapsed;
    held.stage = Stage::returning;
  }
}

void Slices::take(Time now, Till& till, Plan& plan, const WalletSettings& settings, RecordInterface& book,
                  std::size_t members, bool floats, std::int64_t dearest, Outbox& out) {
  std::int64_t balance = till.totals.balance;
  till.out = balance < std::max<std::int64_t>(1, till.least);
  till.most = balance;
  for (const Held& slice : till.held) till.most = std::max(till.most, slice.unspent(now));
  if (balance == 0 || !plan.asked_for.empty()) {
    plan.ask_at.reset();
    return;
  }
  auto others = static_cast<std::int64_t>(members);
  std::int64_t capacity = settings.max_held_back - held_by(till);
  // Low: so little that what each would hold in store is missed elsewhere. It is drawn call by call.
  bool low = balance < 4 * others * plan.usual;
  std::int64_t least = plan.usual;
  if (till.hungry) least = till.hungry <= std::min(balance, capacity) ? till.hungry : till.least;
  Time ahead = low ? std::min(settings.ahead, 250 * kMillisecond) : settings.ahead;
  auto target = static_cast<std::int64_t>(plan.rate * static_cast<double>(ahead) / 1e6);
  bool recent = now - till.last_asked < kRecent;
  if (!low && (recent || (floats && balance >= 20 * others * dearest))) target = std::max(target, plan.usual);
  std::int64_t unspent = 0;
  for (const Held& slice : till.held) {
    Time near = std::min((slice.ends - slice.since) / 4, kSecond);
    if (now < slice.ends - near) unspent += disk_lags(now) ? slice.left(now) : slice.unspent(now);
  }
  bool needed = till.hungry > 0 || (target >= least && unspent * 2 < target);
  std::int64_t fair = std::max(least, balance / std::max<std::int64_t>(8, 2 * others));
  std::int64_t wanted = std::min({std::max(target - unspent, low ? least : 4 * least), fair, capacity});
  if (!needed || wanted < least || balance < least) {
    plan.ask_at.reset();
    return;
  }
  // Where many ask for little, chance spreads them: the first have it all before the others have asked.
  if (!plan.ask_at) {
    Time spread = low ? std::min(500 * kMillisecond, others * least * 10 * kMillisecond / balance) : 0;
    plan.ask_at = now + static_cast<Time>(chance_() % static_cast<std::uint64_t>(spread + 1));
  }
  if (now < *plan.ask_at) return;
  plan.ask_at.reset();
  plan.asked_for = terms_.name + "/" + std::to_string(terms_.incarnation) + "/" + std::to_string(++taken_);
  plan.wanted = wanted;
  MARBLEHUB_INVARIANT("wallet", held_by(till) + wanted <= settings.max_held_back,
                      "more is asked for than may be held back");
  plan.command = book.propose(now,
                              TakeSlice{till.tenant, plan.asked_for, terms_.name, terms_.incarnation, wanted,
                                        now + settings.term, least},
                              out);
}

void Slices::close_all(Till& till) {
  closed_ = true;
  for (Held& held : till.held)
    if (held.stage == Stage::open) held.stage = Stage::closing;
  list_open(till);
}

}  // namespace marblehub::fleet
