// Encoding and decoding of commands and ledgers.
#include "fleet/record/checked_flatbuffer.h"
#include "fleet/record/command.h"
#include "record_generated.h"

namespace marblehub::fleet {
namespace {

// Calls `assign` for each field of a body and the field of the table that holds it, in both directions.
template <class Body, class Table, class Assign>
void assign_fields(Body& body, Table& table, Assign&& assign) {
  using BodyType = std::remove_const_t<Body>;
  if constexpr (std::is_same_v<BodyType, ProposeRoutes>) {
    assign(body.version, table.version), assign(body.text, table.text), assign(body.members, table.names);
    assign(body.proposed_at, table.at);
  } else if constexpr (std::is_same_v<BodyType, AnswerRoutes>) {
    assign(body.version, table.version), assign(body.member, table.member), assign(body.refusal, table.text);
    assign(body.given_up, table.flag);
  } else if constexpr (std::is_same_v<BodyType, ActivateRoutes>) {
    assign(body.version, table.version), assign(body.activation_time, table.at);
  } else if constexpr (std::is_same_v<BodyType, AbortRoutes>) {
    assign(body.version, table.version), assign(body.reason, table.text);
  } else if constexpr (std::is_same_v<BodyType, Deposit>) {
    assign(body.wallet, table.wallet), assign(body.deposit, table.slice), assign(body.amount, table.amount);
  } else if constexpr (std::is_same_v<BodyType, TakeSlice>) {
    assign(body.wallet, table.wallet), assign(body.slice, table.slice), assign(body.holder, table.member);
    assign(body.incarnation, table.holder_incarnation), assign(body.requested, table.amount);
    assign(body.until, table.at), assign(body.min_amount, table.min_amount);
  } else if constexpr (std::is_same_v<BodyType, LapseSlice>) {
    assign(body.wallet, table.wallet), assign(body.slice, table.slice);
  } else if constexpr (std::is_same_v<BodyType, ReturnSlice> || std::is_same_v<BodyType, ReportSpent>) {
    assign(body.wallet, table.wallet), assign(body.slice, table.slice), assign(body.spent, table.amount);
  } else if constexpr (std::is_same_v<BodyType, ChangeVoters>) {
    assign(body.voters, table.names);
  } else {
    static_assert(std::is_same_v<BodyType, CompleteRoutes>);
    assign(body.version, table.version);
  }
}

// Sets `into` to the alternative with the index `kind`. Returns false if there is none.
template <std::size_t Index = 0>
bool emplace_alternative(std::size_t kind, Body& into) {
  if constexpr (Index == std::variant_size_v<Body>) {
    return false;
  } else {
    if (kind != Index) return emplace_alternative<Index + 1>(kind, into);
    into.emplace<Index>();
    return true;
  }
}

// The results of `fill`, which allocates them, for each element.
template <class Named, class Fill>
auto to_table_vector(const Named& named, Fill&& fill) {
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
  std::visit(
      [&](const auto& body) { assign_fields(body, table, [](const auto& from, auto& to) { to = from; }); },
      command.body);
  return encode_with_checksum(table);
}

bool decode(std::string_view bytes, Command& into) {
  fb::CommandT table;
  if (!decode_with_checksum(bytes, table) || !emplace_alternative(table.kind, into.body)) return false;
  into.id = {table.sender, table.incarnation, table.number};
  std::visit(
      [&](auto& body) { assign_fields(body, table, [](auto& to, auto& from) { to = std::move(from); }); },
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
    row.out = to_table_vector(wallet.out, [](const auto& named) {
      auto* slice = new fb::SliceT;
      slice->name = named.first, slice->holder = named.second.holder;
      slice->incarnation = named.second.incarnation;
      slice->amount = named.second.amount, slice->until = named.second.until;
      return slice;
    });
    row.held_back = to_table_vector(wallet.held_back, [](const auto& named) {
      auto* slice = new fb::SliceT;
      slice->name = named.first, slice->amount = named.second;
      return slice;
    });
  }
  table.last = to_table_vector(ledger.last_commands, [](const auto& named) {
    auto* sender = new fb::SenderT;
    sender->name = named.first, sender->incarnation = named.second.incarnation;
    sender->number = named.second.number;
    return sender;
  });
  return encode_with_checksum(table);
}

bool decode(std::string_view bytes, Ledger& into) {
  fb::LedgerT table;
  if (!decode_with_checksum(bytes, table)) return false;
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
