// What can be agreed on. A command is applied exactly once, in the record's order, by pure functions: every
// member that has applied the same prefix holds the same Ledger.
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

// One sender's commands are applied in order and once each, however often they are sent: of one incarnation
// number 1 is first and each next one higher by 1 (one that comes before its turn is refused and not counted,
// so that its sender repeats it); an older incarnation's are refused.
struct CommandId {
  std::string sender;
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const CommandId&) const = default;
};

// ---- Routes, in two phases. `members` must all say yes or be given up; one version has one text for ever,
// so a version that was aborted may be proposed again, but not with another text.
struct ProposeRoutes {
  std::uint64_t version = 0;
  std::string text;
  std::vector<std::string> members;
  Time proposed_at = 0;
};
struct AnswerRoutes {
  std::uint64_t version = 0;
  std::string member, refusal;
  bool given_up = false;  // said in `member`'s place: it is gone from the view, its lease runs out by itself
};                        // refusal empty: taken
// The leader moves `moment` up to lease + 2 x clock_bound after it appends this, if it is earlier. Refused
// while an earlier activation's moment is not over (RouteState::next is set): wait, then send another.
struct ActivateRoutes {
  std::uint64_t version = 0;
  Time activation_time = 0;
};
struct AbortRoutes {
  std::uint64_t version = 0;
  std::string reason;
};

// ---- Wallets. Amounts are whole units; what is negative or over 2^53 is refused.
struct Deposit {
  std::string wallet, deposit;
  std::int64_t amount = 0;
};  // the same deposit id counts once
// Gets an eighth of the balance at most, less where more than four balancers hold slices, but `least` at
// least: it shrinks with the balance, so the last units are spread over who asks, down to one call each. In
// whole `least`s.
struct TakeSlice {
  std::string wallet, slice, holder;
  std::uint64_t incarnation = 0;
  std::int64_t requested = 0;
  Time until = 0;
  std::int64_t min_amount = 0;  // what one call costs: so much at once or nothing; 0: whatever there is
};
struct ReturnSlice {
  std::string wallet, slice;
  std::int64_t spent = 0;
};  // what is unspent is balance again
struct LapseSlice {
  std::string wallet, slice;
};  // its holder is gone and its term over: all of it counts as spent
struct ReportSpent {
  std::string wallet, slice;
  std::int64_t spent = 0;
};  // a journal says what a lapsed one spent

// ---- The record itself: who votes. One name more or less at a time (section 4.1 of Ongaro's dissertation).
struct ChangeVoters {
  std::vector<std::string> voters;
};

// The leader's word that `next` is in force: appended by the leader itself, once its clock is past the moment
// by clock_bound. A ProposeRoutes whose `at` is not before the moment says the same.
struct CompleteRoutes {
  std::uint64_t version = 0;
};

using Body =
    std::variant<ProposeRoutes, AnswerRoutes, ActivateRoutes, AbortRoutes, Deposit, TakeSlice, ReturnSlice,
                 LapseSlice, ReportSpent, ChangeVoters, CompleteRoutes>;  // add at the end

struct Command {
  CommandId id;
  Body body;
};

// What all have agreed on.
struct RouteState {
  std::uint64_t in_force = 0, staged = 0;  // 0: none
  std::string text, staged_text;           // the whole tables
  Time activation_time = 0;                // of in_force, or of `next` while that is ahead
  std::uint64_t next = 0;                  // activated, its moment recorded
  std::string next_text;
  std::set<std::string> waited_for;  // members that have not said yes to `staged`
  std::string last_refusal;          // why the last activation was aborted, with its version
  std::uint64_t max_proposed = 0,
                max_proposed_hash = 0;  // highest version ever proposed, and its text's hash
};

struct Slice {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::int64_t amount = 0;
  Time until = 0;
};
struct Wallet {
  std::int64_t paid = 0, balance = 0, spent = 0;  // always: paid = balance + out + spent
  std::map<std::string, Slice> out;
  std::map<std::string, std::int64_t>
      held_back;  // lapsed slices, counted as spent until a journal says otherwise
  std::set<std::string> deposits;
};

struct Ledger {
  std::uint64_t applied = 0;  // the record's index
  RouteState routes;
  std::map<std::string, Wallet> wallets;
  std::vector<std::string> voters;                 // sorted
  std::map<std::string, CommandId> last_commands;  // of each sender
};

constexpr std::int64_t kMaxUnits = std::int64_t{1} << 53;
constexpr std::size_t kMaxRouteTableBytes = 256 * 1024;

// Applies one command, or says why it changes nothing. Never throws; the ledger is whole afterwards. What is
// refused counts as applied (its sender does not repeat it), unless it came before its turn or again.
std::string apply(Ledger& ledger, std::uint64_t index, const Command& command);

std::uint64_t digest(const Ledger& ledger);
// Flatbuffers (record.fbs) with a 64-bit FNV-1a of all of it behind: what is cut or flipped is not decoded.
std::string encode(const Command& command);
std::string encode(const Ledger& ledger);             // for snapshots
bool decode(std::string_view octets, Command& into);  // false: cut, or not of this schema
bool decode(std::string_view octets, Ledger& into);

}  // namespace marblehub::fleet
