#include "fleet/record/command.h"

#include <algorithm>

#include "check/check.h"
#include "fleet/record/checked_flatbuffer.h"

namespace marblehub::fleet {
namespace {

std::string version_name(std::uint64_t version) { return "version " + std::to_string(version); }

void abort_staged(RouteState& routes, const std::string& reason) {
  routes.last_refusal = version_name(routes.staged) + " aborted: " + reason;
  routes.staged = 0;
  routes.staged_text.clear();
  routes.waited_for.clear();
}

void complete_activation(RouteState& routes) {
  routes.in_force = routes.next;
  routes.text = std::move(routes.next_text);
  routes.next = 0;
  routes.next_text.clear();
}

std::string apply_body(Ledger& ledger, const CommandId&, const ProposeRoutes& body) {
  RouteState& routes = ledger.routes;
  if (routes.next != 0 && body.proposed_at >= routes.activation_time) complete_activation(routes);
  if (body.version == 0) return "version 0 is not valid";
  if (body.text.size() > kMaxRouteTableBytes) return version_name(body.version) + " is over 262144 bytes";
  if (body.members.empty()) return version_name(body.version) + " has no members";
  for (std::uint64_t existing : {routes.in_force, routes.next, routes.staged})
    if (body.version <= existing)
      return version_name(body.version) + " is not above " + std::to_string(existing);
  const std::uint64_t text_hash = fnv1a_hash(body.text);
  // An answer to the same version with a different text may still be in transit.
  if (body.version < routes.max_proposed)
    return version_name(body.version) + " is not above " + std::to_string(routes.max_proposed) +
           ", proposed before";
  if (body.version == routes.max_proposed && text_hash != routes.max_proposed_hash)
    return version_name(body.version) + " was proposed with a different table: use a higher version";
  if (routes.staged != 0) abort_staged(routes, "replaced by " + version_name(body.version));
  routes.max_proposed = routes.staged = body.version;
  routes.max_proposed_hash = text_hash;
  routes.staged_text = body.text;
  routes.waited_for = {body.members.begin(), body.members.end()};
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const AnswerRoutes& body) {
  RouteState& routes = ledger.routes;
  if (body.version == 0 || body.version != routes.staged)
    return version_name(body.version) + " is not staged";
  if (!body.refusal.empty()) {
    abort_staged(routes, body.member + ": " + body.refusal);
    return {};
  }
  if (routes.waited_for.erase(body.member) == 0) return body.member + " is not waited for";
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const ActivateRoutes& body) {
  RouteState& routes = ledger.routes;
  if (body.version == 0 || body.version != routes.staged)
    return version_name(body.version) + " is not staged";
  if (!routes.waited_for.empty())
    return version_name(body.version) + " is waiting for " + *routes.waited_for.begin() + " and " +
           std::to_string(routes.waited_for.size() - 1) + " more";
  if (routes.next != 0) return "the activation of " + version_name(routes.next) + " is not complete";
  if (body.activation_time <= routes.activation_time)
    return "the activation time is not after the previous one";
  routes.next = routes.staged;
  routes.next_text = std::move(routes.staged_text);
  routes.activation_time = body.activation_time;
  routes.staged = 0;
  routes.staged_text.clear();
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const AbortRoutes& body) {
  if (body.version == 0 || body.version != ledger.routes.staged)
    return version_name(body.version) + " is not staged; an activated version cannot be aborted";
  abort_staged(ledger.routes, body.reason);
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const CompleteRoutes& body) {
  if (body.version == 0 || body.version != ledger.routes.next)
    return version_name(body.version) + " is not being activated";
  complete_activation(ledger.routes);
  return {};
}

bool out_of_range(std::int64_t amount) { return amount < 0 || amount > kMaxUnits; }

std::string apply_body(Ledger& ledger, const CommandId&, const Deposit& body) {
  if (out_of_range(body.amount)) return "amount is negative or over 2^53";
  const auto found = ledger.wallets.find(body.wallet);
  if (found != ledger.wallets.end()) {
    if (found->second.deposits.contains(body.deposit)) return "deposit " + body.deposit + " is a duplicate";
    if (out_of_range(found->second.paid + body.amount)) return "wallet would be over 2^53";
  }
  Wallet& wallet = ledger.wallets[body.wallet];
  wallet.deposits.insert(body.deposit);
  wallet.paid += body.amount;
  wallet.balance += body.amount;
  return {};
}

std::int64_t slice_share(const Wallet& wallet, const std::string& holder, std::int64_t min_amount) {
  std::set<std::string_view> holders{holder};
  for (const auto& [name, slice] : wallet.out) holders.insert(slice.holder);
  const auto divisor = std::max<std::int64_t>(8, 2 * static_cast<std::int64_t>(holders.size()));
  return std::min(wallet.balance, std::max(min_amount, wallet.balance / divisor));
}

std::string apply_body(Ledger& ledger, const CommandId&, const TakeSlice& body) {
  if (out_of_range(body.requested) || body.requested == 0)
    return "the requested amount is under 1 or over 2^53";
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  Wallet& wallet = found->second;
  if (wallet.out.contains(body.slice) || wallet.held_back.contains(body.slice))
    return "slice " + body.slice + " already exists";
  if (body.min_amount < 0 || body.min_amount > body.requested)
    return "the minimum is negative or over the requested amount";
  const std::int64_t min_amount = std::max<std::int64_t>(1, body.min_amount);
  if (wallet.balance < min_amount) return "wallet " + body.wallet + " has less than the price of a call";
  std::int64_t amount = std::min(body.requested, slice_share(wallet, body.holder, min_amount));
  amount -= amount % min_amount;  // whole calls only: the rest is of use to other holders
  wallet.balance -= amount;
  wallet.out[body.slice] = {body.holder, body.incarnation, amount, body.until};
  return {};
}

void close_slice(Wallet& wallet, const std::string& slice, std::int64_t spent) {
  wallet.balance += wallet.out[slice].amount - spent;
  wallet.spent += spent;
  wallet.out.erase(slice);
}

std::string apply_body(Ledger& ledger, const CommandId&, const ReturnSlice& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  const auto slice = found->second.out.find(body.slice);
  if (slice == found->second.out.end()) return "slice " + body.slice + " is not open";
  if (body.spent < 0 || body.spent > slice->second.amount)
    return "spent is negative or over the amount of the slice";
  close_slice(found->second, body.slice, body.spent);
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const LapseSlice& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  const auto slice = found->second.out.find(body.slice);
  if (slice == found->second.out.end()) return "slice " + body.slice + " is not open";
  const std::int64_t amount = slice->second.amount;
  close_slice(found->second, body.slice, amount);
  found->second.held_back[body.slice] = amount;
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId& id, const ReportSpent& body) {
  const auto found = ledger.wallets.find(body.wallet);
  if (found == ledger.wallets.end()) return "no wallet " + body.wallet;
  Wallet& wallet = found->second;
  const auto held = wallet.held_back.find(body.slice);
  if (held != wallet.held_back.end()) {
    if (body.spent < 0 || body.spent > held->second)
      return "spent is negative or over the amount of the slice";
    wallet.spent -= held->second - body.spent;
    wallet.balance += held->second - body.spent;
    wallet.held_back.erase(held);
    return {};
  }
  // The holder restarted and read its journal before the slice lapsed; the earlier process can no longer
  // spend it.
  const auto slice = wallet.out.find(body.slice);
  if (slice == wallet.out.end()) return "slice " + body.slice + " is neither held back nor open";
  if (slice->second.holder != id.sender || slice->second.incarnation >= id.incarnation)
    return "slice " + body.slice + " is not of an earlier incarnation of the sender";
  if (body.spent < 0 || body.spent > slice->second.amount)
    return "spent is negative or over the amount of the slice";
  close_slice(wallet, body.slice, body.spent);
  return {};
}

std::string apply_body(Ledger& ledger, const CommandId&, const ChangeVoters& body) {
  const std::set<std::string> proposed(body.voters.begin(), body.voters.end());
  const std::set<std::string> current(ledger.voters.begin(), ledger.voters.end());
  if (proposed.empty() || proposed.contains("") || proposed.size() != body.voters.size())
    return "voters: no names, or an empty or duplicate name";
  std::vector<std::string> changed;
  std::set_symmetric_difference(proposed.begin(), proposed.end(), current.begin(), current.end(),
                                std::back_inserter(changed));
  if (!current.empty() && changed.size() != 1) return "voters change by one name at a time";
  ledger.voters.assign(proposed.begin(), proposed.end());
  return {};
}

[[maybe_unused]] bool sums_match(const Ledger& ledger) {
  return std::ranges::all_of(ledger.wallets, [](const auto& named) {
    const Wallet& wallet = named.second;
    std::int64_t out = 0, held = 0;
    for (const auto& [name, slice] : wallet.out) out += slice.amount;
    for (const auto& [name, amount] : wallet.held_back) held += amount;
    return wallet.paid == wallet.balance + out + wallet.spent && wallet.balance >= 0 && held <= wallet.spent;
  });
}

[[maybe_unused]] bool versions_ordered(const RouteState& routes) {
  return (routes.next == 0 || routes.next > routes.in_force) &&
         (routes.staged == 0 || routes.staged > std::max(routes.in_force, routes.next)) &&
         (routes.staged != 0 || routes.waited_for.empty()) && routes.max_proposed >= routes.staged;
}

}  // namespace

std::string apply(Ledger& ledger, std::uint64_t index, const Command& command) {
  if (index <= ledger.applied) return "index " + std::to_string(index) + " is already applied";
  ledger.applied = index;
  const CommandId& id = command.id;
  CommandId& last = ledger.last_commands[id.sender];
  if (id.incarnation < last.incarnation) return "from an earlier incarnation";
  const std::uint64_t expected = id.incarnation == last.incarnation ? last.number + 1 : 1;
  if (id.number < expected) return "already applied";
  if (id.number > expected) return "out of order";
  last = id;
  std::string error =
      std::visit([&](const auto& body) { return apply_body(ledger, id, body); }, command.body);
  MARBLEHUB_DEBUG_INVARIANT("record", sums_match(ledger),
                            "the sums of a wallet do not match at index " + std::to_string(index));
  MARBLEHUB_DEBUG_INVARIANT("record", versions_ordered(ledger.routes), "route versions out of order");
  return error;
}

}  // namespace marblehub::fleet
