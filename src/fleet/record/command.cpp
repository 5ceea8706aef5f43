#include "fleet/record/command.h"

#include <algorithm>

#include "check/check.h"
#include "fleet/record/checked_flatbuffer.h"

namespace marblehub::fleet {
namespace {

std::string numbered(std::uint64_t version) { return "version " + std::to_string(version); }

void unstage(RouteState& routes, const std::string& reason) {
  routes.last_refusal = numbered(routes.staged) + " aborted: " + reason;
  routes.staged = 0;
  routes.staged_text.clear();
  routes.waited_for.clear();
}

void settle(RouteState& routes) {
  routes.in_force = routes.next;
  routes.text = std::move(routes.next_text);
  routes.next = 0;
  routes.next_text.clear();
}

std::string change(Ledger& ledger, const CommandId&, const ProposeRoutes& body) {
  RouteState& routes = ledger.routes;
  if (routes.next != 0 && body.proposed_at >= routes.activation_time) settle(routes);
  if (body.version == 0) return "version 0 is no version";
  if (body.text.size() > kMaxRouteTableBytes) return numbered(body.version) + " is over 262144 octets";
  if (body.members.empty()) return numbered(body.version) + " names no member";
  for (std::uint64_t standing : {routes.in_force, routes.next, routes.staged})
    if (body.version <= standing) return numbered(body.version) + " is not above " + std::to_string(standing);
  const std::uint64_t text = fnv1a_hash(body.text);
  // A yes to the same number but to another text may still be on its way.
  if (body.version < routes.max_proposed)
    return numbered(body.version) + " is not above " + std::to_string(routes.max_proposed) +
           ", proposed before";
  if (body.version == routes.max_proposed && text != routes.max_proposed_hash)
    return numbered(body.version) + " was proposed with another table: take a higher number";
  if (routes.staged != 0) unstage(routes, "replaced by " + numbered(body.version));
  routes.max_proposed = routes.staged = body.version;
  routes.max_proposed_hash = text;
  routes.staged_text = body.text;
  routes.waited_for = {body.members.begin(), body.members.end()};
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const AnswerRoutes& body) {
  RouteState& routes = ledger.routes;
  if (body.version == 0 || body.version != routes.staged) return numbered(body.version) + " is not staged";
  if (!body.refusal.empty()) {
    unstage(routes, body.member + ": " + body.refusal);
    return {};
  }
  if (routes.waited_for.erase(body.member) == 0) return body.member + " is not waited for";
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const ActivateRoutes& body) {
  RouteState& routes = ledger.routes;
  if (body.version == 0 || body.version != routes.staged) return numbered(body.version) + " is not staged";
  if (!routes.waited_for.empty())
    return numbered(body.version) + " waits for " + *routes.waited_for.begin() + " and " +
           std::to_string(routes.waited_for.size() - 1) + " more";
  if (routes.next != 0) return "the moment of " + numbered(routes.next) + " is not over";
  if (body.activation_time <= routes.activation_time) return "its moment is not after the last one";
  routes.next = routes.staged;
  routes.next_text = std::move(routes.staged_text);
  routes.activation_time = body.activation_time;
  routes.staged = 0;
  routes.staged_text.clear();
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const AbortRoutes& body) {
  if (body.version == 0 || body.version != ledger.routes.staged)
    return numbered(body.version) + " is not staged; what is activated is not aborted";
  unstage(ledger.routes, body.reason);
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const CompleteRoutes& body) {
  if (body.version == 0 || body.version != ledger.routes.next) return numbered(body.version) + " is not next";
  settle(ledger.routes);
  return {};
}

bool bad(std::int64_t amount) { return amount < 0 || amount > kMaxUnits; }

std::string change(Ledger& ledger, const CommandId&, const Deposit& body) {
  if (bad(body.amount)) return "amount is negative or over 2^53";
  const auto found = ledger.wallets.find(body.wallet);
  if (found != ledger.wallets.end()) {
    if (found->second.deposits.contains(body.deposit)) return "deposit " + body.deposit + " was made before";
    if (bad(found->second.paid + body.amount)) return "wallet would be over 2^53";
  }
  Wallet& wallet = ledger.wallets[body.wallet];
  wallet.deposits.insert(body.deposit);
  wallet.paid += body.amount;
  wallet.balance += body.amount;
  return {};
}

std::int64_t slice_share(const Wallet& wallet, const std::string& holder, std::int64_t least) {
  std::set<std::string_view> holders{holder};
  for (const auto& [name, slice] : wallet.out) holders.insert(slice.holder);
  const auto parts = std::max<std::int64_t>(8, 2 * static_cast<std::int64_t>(holders.size()));
  return std::min(wallet.balance, std::max(least, wallet.balance / parts));
}

std::string change(Ledger& ledger, const CommandId&, const TakeSlice& body) {
  if (bad(body.requested) || body.requested == 0) return "wanted is under 1 or over 2^53";
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  Wallet& wallet = found->second;
  if (wallet.out.contains(body.slice) || wallet.held_back.contains(body.slice))
    return "slice " + body.slice + " was taken before";
  if (body.min_amount < 0 || body.min_amount > body.requested)
    return "least is negative or over what is wanted";
  const std::int64_t least = std::max<std::int64_t>(1, body.min_amount);
  if (wallet.balance < least) return "wallet " + body.wallet + " has less than a call's price";
  std::int64_t amount = std::min(body.requested, slice_share(wallet, body.holder, least));
  amount -= amount % least;  // whole calls: a part of one would be missed elsewhere
  wallet.balance -= amount;
  wallet.out[body.slice] = {body.holder, body.incarnation, amount, body.until};
  return {};
}

void give_back(Wallet& wallet, const std::string& slice, std::int64_t spent) {
  wallet.balance += wallet.out[slice].amount - spent;
  wallet.spent += spent;
  wallet.out.erase(slice);
}

std::string change(Ledger& ledger, const CommandId&, const ReturnSlice& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  const auto slice = found->second.out.find(body.slice);
  if (slice == found->second.out.end()) return "slice " + body.slice + " is not out";
  if (body.spent < 0 || body.spent > slice->second.amount) return "spent is not within the slice";
  give_back(found->second, body.slice, body.spent);
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const LapseSlice& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  const auto slice = found->second.out.find(body.slice);
  if (slice == found->second.out.end()) return "slice " + body.slice + " is not out";
  const std::int64_t amount = slice->second.amount;
  give_back(found->second, body.slice, amount);
  found->second.held_back[body.slice] = amount;
  return {};
}

std::string change(Ledger& ledger, const CommandId& id, const ReportSpent& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  Wallet& wallet = found->second;
  const auto held = wallet.held_back.find(body.slice);
  if (held != wallet.held_back.end()) {
    if (body.spent < 0 || body.spent > held->second) return "spent is not within the slice";
    wallet.spent -= held->second - body.spent;
    wallet.balance += held->second - body.spent;
    wallet.held_back.erase(held);
    return {};
  }
  // Its holder's next process found the journal before the slice lapsed: nobody can spend it any more.
  const auto slice = wallet.out.find(body.slice);
  if (slice == wallet.out.end()) return "slice " + body.slice + " is neither held back nor out";
  if (slice->second.holder != id.sender || slice->second.incarnation >= id.incarnation)
    return "slice " + body.slice + " is still out to a living holder";
  if (body.spent < 0 || body.spent > slice->second.amount) return "spent is not within the slice";
  give_back(wallet, body.slice, body.spent);
  return {};
}

std::string change(Ledger& ledger, const CommandId&, const ChangeVoters& body) {
  const std::set<std::string> wanted(body.voters.begin(), body.voters.end());
  const std::set<std::string> standing(ledger.voters.begin(), ledger.voters.end());
  if (wanted.empty() || wanted.contains("") || wanted.size() != body.voters.size())
    return "voters: none, or a name empty or twice";
  std::vector<std::string> changed;
  std::set_symmetric_difference(wanted.begin(), wanted.end(), standing.begin(), standing.end(),
                                std::back_inserter(changed));
  if (!standing.empty() && changed.size() != 1) return "voters change by one name at a time";
  ledger.voters.assign(wanted.begin(), wanted.end());
  return {};
}

[[maybe_unused]] bool balanced(const Ledger& ledger) {
  return std::ranges::all_of(ledger.wallets, [](const auto& named) {
    const Wallet& wallet = named.second;
    std::int64_t out = 0, held = 0;
    for (const auto& [name, slice] : wallet.out) out += slice.amount;
    for (const auto& [name, amount] : wallet.held_back) held += amount;
    return wallet.paid == wallet.balance + out + wallet.spent && wallet.balance >= 0 && held <= wallet.spent;
  });
}

[[maybe_unused]] bool ordered(const RouteState& routes) {
  return (routes.next == 0 || routes.next > routes.in_force) &&
         (routes.staged == 0 || routes.staged > std::max(routes.in_force, routes.next)) &&
         (routes.staged != 0 || routes.waited_for.empty()) && routes.max_proposed >= routes.staged;
}

}  // namespace

std::string apply(Ledger& ledger, std::uint64_t index, const Command& command) {
  if (index <= ledger.applied) return "index " + std::to_string(index) + " was applied before";
  ledger.applied = index;
  const CommandId& id = command.id;
  CommandId& last = ledger.last_commands[id.sender];
  if (id.incarnation < last.incarnation) return "of an earlier process";
  const std::uint64_t turn = id.incarnation == last.incarnation ? last.number + 1 : 1;
  if (id.number < turn) return "applied before";
  if (id.number > turn) return "before its turn";
  last = id;
  std::string why = std::visit([&](const auto& body) { return change(ledger, id, body); }, command.body);
  MARBLEHUB_DEBUG_INVARIANT("record", balanced(ledger),
                            "a wallet's sums are off at " + std::to_string(index));
  MARBLEHUB_DEBUG_INVARIANT("record", ordered(ledger.routes), "route versions out of order");
  return why;
}

}  // namespace marblehub::fleet
