/// The commands of the replicated log and the ledger, the state machine that they are applied to. Every
/// member applies each command exactly once, in log order, by deterministic functions: members that have
/// applied the same prefix of the log hold the same ledger.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/time.h"

namespace marblehub::fleet {

/// Identifies a command. The commands of one incarnation of a sender are numbered from 1 and applied in that
/// order, each once, however often they are sent. A command that arrives ahead of its predecessor is rejected
/// without being counted, so its sender sends it again; commands of an older incarnation are rejected.
struct CommandId {
  std::string sender;
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const CommandId&) const = default;
};

// Routes are activated in two phases.

/// First phase: proposes a routes table, which each of `members` has to accept or have answered for it. A
/// version keeps its text for ever: an aborted version may be proposed again, but only with the same text.
struct ProposeRoutes {
  std::uint64_t version = 0;
  std::string text;
  std::vector<std::string> members;
  Time proposed_at = 0;
};
/// The answer of `member` to the staged version: accepted if `refusal` is empty, else the reason for
/// refusing.
struct AnswerRoutes {
  std::uint64_t version = 0;
  std::string member, refusal;
  bool given_up = false;  ///< sent on behalf of `member`, which left the view; its lease runs out by itself
};
/// Second phase: activates the staged version. When the leader appends it, it raises `activation_time` to at
/// least lease + 2 x clock_bound from then. Rejected until the previous activation is complete
/// (RouteState::next is set until then); the proposer waits and sends another.
struct ActivateRoutes {
  std::uint64_t version = 0;
  Time activation_time = 0;
};
/// Ends the activation of the staged version.
struct AbortRoutes {
  std::uint64_t version = 0;
  std::string reason;
};

// Amounts of wallets are whole units; negative ones and those above 2^53 are rejected.

/// Adds a prepaid amount to a wallet. A deposit with the same id counts once.
struct Deposit {
  std::string wallet, deposit;
  std::int64_t amount = 0;
};
/// Reserves a part of a wallet's balance, a slice, for `holder` until `until`. The slice is a multiple of
/// `min_amount` and at least that; otherwise at most an eighth of the balance, or less if more than four
/// balancers hold slices. Slices shrink with the balance, so that the last units are spread over all
/// requesters.
struct TakeSlice {
  std::string wallet, slice, holder;
  std::uint64_t incarnation = 0;
  std::int64_t requested = 0;
  Time until = 0;
  std::int64_t min_amount = 0;  ///< the price of one call; the command is rejected if the balance is lower
};
/// Closes a slice; what it did not spend goes back to the balance.
struct ReturnSlice {
  std::string wallet, slice;
  std::int64_t spent = 0;
};
/// Closes a slice whose term is over and whose holder is gone. All of it counts as spent and is held back
/// until a ReportSpent arrives.
struct LapseSlice {
  std::string wallet, slice;
};
/// Reports from a journal how much was spent of a slice that lapsed, or that an earlier incarnation of the
/// sender holds.
struct ReportSpent {
  std::string wallet, slice;
  std::int64_t spent = 0;
};

/// Replaces the set of voters. One name is added or removed at a time (section 4.1 of Ongaro's dissertation).
struct ChangeVoters {
  std::vector<std::string> voters;
};

/// Completes an activation: `next` is in force. The leader appends it once its clock has passed the
/// activation time by clock_bound. A ProposeRoutes whose `proposed_at` is not before the activation time has
/// the same effect.
struct CompleteRoutes {
  std::uint64_t version = 0;
};

/// The index of an alternative is stored: new ones are added at the end.
using Body = std::variant<ProposeRoutes, AnswerRoutes, ActivateRoutes, AbortRoutes, Deposit, TakeSlice,
                          ReturnSlice, LapseSlice, ReportSpent, ChangeVoters, CompleteRoutes>;

/// A command with its id, as a log entry holds it.
struct Command {
  CommandId id;
  Body body;
};

/// The versions of the routes table. A version is 0 if there is none.
struct RouteState {
  std::uint64_t in_force = 0, staged = 0;
  std::string text, staged_text;  ///< the complete tables
  Time activation_time = 0;       ///< of `in_force`, or of `next` if there is one
  std::uint64_t next = 0;         ///< activated, but not yet complete
  std::string next_text;
  std::set<std::string> waited_for;  ///< members that have not accepted `staged` yet
  std::string last_refusal;          ///< version and reason of the last aborted activation
  /// The highest version ever proposed, and the hash of its text.
  std::uint64_t max_proposed = 0, max_proposed_hash = 0;
};

/// A part of a wallet's balance that a balancer may spend until `until`.
struct Slice {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::int64_t amount = 0;
  Time until = 0;
};
/// A prepaid wallet. Always: paid = balance + sum of `out` + spent.
struct Wallet {
  std::int64_t paid = 0, balance = 0, spent = 0;
  std::map<std::string, Slice> out;  ///< open slices, by id
  /// Lapsed slices, counted as spent until a journal reports the amount spent.
  std::map<std::string, std::int64_t> held_back;
  std::set<std::string> deposits;
};

/// The replicated state.
struct Ledger {
  std::uint64_t applied = 0;  ///< index of the last applied log entry
  RouteState routes;
  std::map<std::string, Wallet> wallets;
  std::vector<std::string> voters;                 ///< sorted
  std::map<std::string, CommandId> last_commands;  ///< the last counted command of each sender
};

constexpr std::int64_t kMaxUnits = std::int64_t{1} << 53;
constexpr std::size_t kMaxRouteTableBytes = 256 * 1024;

/// Applies a command. Returns an empty string, or the reason why the command was rejected and changed
/// nothing. Never throws; the ledger stays consistent. A rejected command counts as applied, so its sender
/// does not repeat it, unless it is out of order or a duplicate.
std::string apply(Ledger& ledger, std::uint64_t index, const Command& command);

/// A hash of the complete ledger, to compare members.
std::uint64_t digest(const Ledger& ledger);
/// Encodes as a flatbuffer (record.fbs) followed by its 64-bit FNV-1a hash.
std::string encode(const Command& command);
std::string encode(const Ledger& ledger);
/// Returns false if the input is truncated, corrupted or does not match the schema.
bool decode(std::string_view bytes, Command& into);
bool decode(std::string_view bytes, Ledger& into);

}  // namespace marblehub::fleet
