// Commands and ledgers as octets, and back.
#include "fleet/record/checked_flatbuffer.h"
#include "fleet/record/command.h"
#include "record_generated.h"

namespace marblehub::fleet {
namespace {

// One function names each body's places in the table, for both directions.
template <class Body, class Table, class Move>
void places(Body& body, Table& table, Move&& move) {
  using Kind = std::remove_const_t<Body>;
  if constexpr (std::is_same_v<Kind, ProposeRoutes>) {
    move(body.version, table.version), move(body.text, table.text), move(body.members, table.names);
    move(body.proposed_at, table.at);
  } else if constexpr (std::is_same_v<Kind, AnswerRoutes>) {
    move(body.version, table.version), move(body.member, table.member), move(body.refusal, table.text);
    move(body.given_up, table.flag);
  } else if constexpr (std::is_same_v<Kind, ActivateRoutes>) {
    move(body.version, table.version), move(body.activation_time, table.at);
  } else if constexpr (std::is_same_v<Kind, AbortRoutes>) {
    move(body.version, table.version), move(body.reason, table.text);
  } else if constexpr (std::is_same_v<Kind, Deposit>) {
    move(body.wallet, table.wallet), move(body.deposit, table.slice), move(body.amount, table.amount);
  } else if constexpr (std::is_same_v<Kind, TakeSlice>) {
    move(body.wallet, table.wallet), move(body.slice, table.slice), move(body.holder, table.member);
    move(body.incarnation, table.holder_incarnation), move(body.requested, table.amount);
    move(body.until, table.at), move(body.min_amount, table.min_amount);
  } else if constexpr (std::is_same_v<Kind, LapseSlice>) {
    move(body.wallet, table.wallet), move(body.slice, table.slice);
  } else if constexpr (std::is_same_v<Kind, ReturnSlice> || std::is_same_v<Kind, ReportSpent>) {
    move(body.wallet, table.wallet), move(body.slice, table.slice), move(body.spent, table.amount);
  } else if constexpr (std::is_same_v<Kind, ChangeVoters>) {
    move(body.voters, table.names);
  } else {
    static_assert(std::is_same_v<Kind, CompleteRoutes>);
    move(body.version, table.version);
  }
}

template <std::size_t Index = 0>
bool of_kind(std::size_t kind, Body& into) {
  if constexpr (Index == std::variant_size_v<Body>) {
    return false;
  } else {
    if (kind != Index) return of_kind<Index + 1>(kind, into);
    into.emplace<Index>();
    return true;
  }
}

template <class Named, class Fill>
auto listed(const Named& named, Fill&& fill) {
  using Entry = std::remove_pointer_t<decltype(fill(*named.begin()))>;
  std::vector<std::unique_ptr<Entry>> out;
  out.reserve(named.size());
  for (const auto& each : named) out.emplace_back(fill(each));
  return out;
}

}  // namespace

std::string encode(const Command& command) {
  fb::CommandT table;
  table.sender = command.id.sender;
  table.incarnation = command.id.incarnation;
  table.number = command.id.number;
  table.kind = static_cast<std::uint8_t>(command.body.index());
  std::visit([&](const auto& body) { places(body, table, [](const auto& from, auto& to) { to = from; }); },
             command.body);
  return encode_with_checksum(table);
}

bool decode(std::string_view octets, Command& into) {
  fb::CommandT table;
  if (!decode_with_checksum(octets, table) || !of_kind(table.kind, into.body)) return false;
  into.id = {table.sender, table.incarnation, table.number};
  std::visit([&](auto& body) { places(body, table, [](auto& to, auto& from) { to = std::move(from); }); },
             into.body);
  return true;
}

std::string encode(const Ledger& ledger) {
  fb::LedgerT table;
  const RouteState& routes = ledger.routes;
  table.applied = ledger.applied;
  table.in_force = routes.in_force, table.staged = routes.staged, table.next = routes.next;
  table.text = routes.text, table.staged_text = routes.staged_text, table.next_text = routes.next_text;
  table.activation_time = routes.activation_time, table.last_refusal = routes.last_refusal;
  table.waited_for = {routes.waited_for.begin(), routes.waited_for.end()};
  table.max_proposed = routes.max_proposed, table.max_proposed_hash = routes.max_proposed_hash;
  table.voters = ledger.voters;
  for (const auto& [name, wallet] : ledger.wallets) {
    auto& row = *table.wallets.emplace_back(std::make_unique<fb::WalletT>());
    row.name = name, row.paid = wallet.paid, row.balance = wallet.balance, row.spent = wallet.spent;
    row.deposits = {wallet.deposits.begin(), wallet.deposits.end()};
    row.out = listed(wallet.out, [](const auto& named) {
      auto* slice = new fb::SliceT;
      slice->name = named.first, slice->holder = named.second.holder;
      slice->incarnation = named.second.incarnation;
      slice->amount = named.second.amount, slice->until = named.second.until;
      return slice;
    });
    row.held_back = listed(wallet.held_back, [](const auto& named) {
      auto* slice = new fb::SliceT;
      slice->name = named.first, slice->amount = named.second;
      return slice;
    });
  }
  table.last = listed(ledger.last_commands, [](const auto& named) {
    auto* sender = new fb::SenderT;
    sender->name = named.first, sender->incarnation = named.second.incarnation;
    sender->number = named.second.number;
    return sender;
  });
  return encode_with_checksum(table);
}

bool decode(std::string_view octets, Ledger& into) {
  fb::LedgerT table;
  if (!decode_with_checksum(octets, table)) return false;
  into = {};
  RouteState& routes = into.routes;
  into.applied = table.applied;
  routes.in_force = table.in_force, routes.staged = table.staged, routes.next = table.next;
  routes.text = table.text, routes.staged_text = table.staged_text, routes.next_text = table.next_text;
  routes.activation_time = table.activation_time, routes.last_refusal = table.last_refusal;
  routes.waited_for = {table.waited_for.begin(), table.waited_for.end()};
  routes.max_proposed = table.max_proposed, routes.max_proposed_hash = table.max_proposed_hash;
  into.voters = table.voters;
  for (const auto& row : table.wallets) {
    Wallet& wallet = into.wallets[row->name];
    wallet.paid = row->paid, wallet.balance = row->balance, wallet.spent = row->spent;
    wallet.deposits = {row->deposits.begin(), row->deposits.end()};
    for (const auto& slice : row->out)
      wallet.out[slice->name] = {slice->holder, slice->incarnation, slice->amount, slice->until};
    for (const auto& slice : row->held_back) wallet.held_back[slice->name] = slice->amount;
  }
  for (const auto& sender : table.last)
    into.last_commands[sender->name] = {sender->name, sender->incarnation, sender->number};
  return true;
}

std::uint64_t digest(const Ledger& ledger) { return fnv1a_hash(encode(ledger)); }

}  // namespace marblehub::fleet
