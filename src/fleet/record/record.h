// One replicated log with snapshots among three or five voters, and everybody else as a follower of it.
// Raft (Ongaro and Ousterhout 2014) with pre-vote, and a leader's lease by its heartbeats.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/record/command.h"
#include "fleet/settings/settings.h"

namespace marblehub::fleet {

// What must last at a voter. Written in full before the call returns; false: the disk is full or gone, and
// the voter stops voting until it can write again. Implementations: LMDB in service, a map in tests.
class Disk {
 public:
  struct VotingState {
    std::uint64_t term = 0;
    std::string voted_for;
    // This name's earlier votes and acknowledgements are not on this disk: it does not vote until a
    // ChangeVoters beyond `floor`, applied, has taken it in where it was not one of the voters.
    bool excluded = false;
    std::uint64_t readmit_after = 0;
  };
  struct Entry {
    std::uint64_t index = 0, term = 0;
    std::string command;
  };  // encode(Command); empty: a no-op
  virtual ~Disk() = default;
  virtual bool store_voting_state(const VotingState& state) = 0;
  virtual bool append(
      const std::vector<Entry>& entries) = 0;  // what stands from the first index on is replaced
  virtual bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) = 0;
  struct Contents {
    bool empty =
        true;  // nothing was ever kept here: a voter of this name must be taken in anew before it votes
    VotingState voting;
    std::uint64_t snapshot_index = 0, snapshot_term = 0;
    std::string snapshot;
    std::vector<Entry> entries;
  };
  // Throws StorageError with file and offset where a record is torn or flipped: never guessed.
  virtual Contents load() = 0;
};

// A lease on the version in force, as the leader grants it: place by `version` until `until`, and by `next`
// from `moment` on where that is set. By the leader's clock; a holder keeps clock_bound away from both ends.
struct Grant {
  std::uint64_t version = 0, next = 0;
  Time until = 0, activation_time = 0;
};

enum class Role { follower, candidate, leader, observer };  // an observer does not vote

class Record {
 public:
  // `disk` may be null for an observer. `first_fleet`: this voter belongs to the fleet's first set of voters
  // and a fresh disk is no loss.
  Record(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet,
         std::uint64_t seed, Time now);

  // The view, whenever it changes: members that are there. Others' addresses are the owner's affair.
  void update_members(Time now, const std::vector<std::string>& alive, Outbox& out);
  void received(Time now, const std::string& from, std::string_view body, Outbox& out);
  void tick(Time now, Outbox& out);
  Time next_due() const;

  // Hands in a command of this balancer; it is sent to the leader until it is applied. Applied ones are seen
  // in the ledger. The number is that of its CommandId.
  std::uint64_t propose(Time now, Body body, Outbox& out);

  const Ledger& ledger() const;        // as far as this member has heard it is agreed
  std::optional<Grant> grant() const;  // the newest heard; its holder judges whether it still holds
  Role role() const;
  std::uint64_t term() const;
  std::string leader() const;         // empty: unknown
  bool has_majority(Time now) const;  // a leader was heard within two election time-outs
  bool may_vote() const;  // false after a lost disk or one found old, until taken in anew; while it is full

 private:
  struct State;
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
