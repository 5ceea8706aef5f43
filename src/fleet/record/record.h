/// A replicated log with snapshots among three or five voters; all other members follow it without voting.
/// Raft (Ongaro and Ousterhout 2014) with pre-vote, and leader leases based on heartbeats.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/record/command.h"
#include "fleet/settings/settings.h"

namespace marblehub::fleet {

/// The persistent state of a voter. The store functions return after everything is durable; they return false
/// if the disk is full or fails, and the voter then stops voting until it can write again.
class Disk {
 public:
  /// The term and the vote of Raft, and whether this voter may vote.
  struct VotingState {
    std::uint64_t term = 0;
    std::string voted_for;
    /// Earlier votes and acknowledgements under this name are not on this disk: the member does not vote
    /// until it has applied a ChangeVoters with an index above `readmit_after` that adds it to the voters.
    bool excluded = false;
    std::uint64_t readmit_after = 0;
  };
  /// A log entry. `command` is an encoded Command, or empty for a no-op.
  struct Entry {
    std::uint64_t index = 0, term = 0;
    std::string command;
  };
  virtual ~Disk() = default;
  virtual bool store_voting_state(const VotingState& state) = 0;
  /// Replaces all stored entries from the first given index on.
  virtual bool append(const std::vector<Entry>& entries) = 0;
  /// Stores a snapshot and deletes the log up to its index, or all of the log if it conflicts with the
  /// snapshot.
  virtual bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) = 0;
  /// Everything that is stored.
  struct Contents {
    /// Nothing was ever stored: a voter has to be added to the voters again before it votes.
    bool empty = true;
    VotingState voting;
    std::uint64_t snapshot_index = 0, snapshot_term = 0;
    std::string snapshot;
    std::vector<Entry> entries;
  };
  /// Throws StorageError with file and offset if a stored record is corrupted.
  virtual Contents load() = 0;
};

/// A lease that the leader grants: `version` is in force until `until`, and `next`, if set, from
/// `activation_time` on. Times are of the leader's clock; a holder keeps a margin of clock_bound at both
/// ends.
struct Grant {
  std::uint64_t version = 0, next = 0;
  Time until = 0, activation_time = 0;
};

/// The role of a member. An observer does not vote (a learner in Raft's terms).
enum class Role { follower, candidate, leader, observer };

/// One member's part in the replicated log.
class Record {
 public:
  /// `disk` must outlive the record and may be null for an observer. `first_fleet`: this voter is one of the
  /// first voters of the fleet, so an empty disk has lost nothing. Throws StorageError if the disk is
  /// corrupted.
  Record(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet,
         std::uint64_t seed, Time now);

  /// Sets the live members; to be called whenever the view changes.
  void update_members(Time now, const std::vector<std::string>& alive, Outbox& out);
  /// Handles an authenticated message of the member `from`. A body that cannot be decoded changes nothing.
  void received(Time now, const std::string& from, std::string_view body, Outbox& out);
  /// Runs the timers; to be called at next_due.
  void tick(Time now, Outbox& out);
  /// When to call tick next.
  Time next_due() const;

  /// Submits a command of this balancer. It is sent to the leader until it is applied; its effect is seen in
  /// the ledger. Returns the number of its CommandId.
  std::uint64_t propose(Time now, Body body, Outbox& out);

  const Ledger& ledger() const;        ///< up to the last entry that this member knows to be committed
  std::optional<Grant> grant() const;  ///< the newest received; the holder checks whether it is still valid
  Role role() const;
  std::uint64_t term() const;
  std::string leader() const;         ///< empty if unknown
  bool has_majority(Time now) const;  ///< whether a leader was active within the last two election timeouts
  bool may_vote() const;  ///< false while the disk fails, and after a lost or outdated disk until readmission

 private:
  struct State;
  /// Deletes the state, whose type is incomplete here.
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
