/// The implementation of Record, in election.cpp, replication.cpp, learning.cpp, commands.cpp and record.cpp.
#pragma once

#include <random>
#include <tuple>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/record/log.h"
#include "record_generated.h"

namespace marblehub::fleet {

/// The type of a message between members and the fields that it uses. The numbers are part of the wire
/// format.
enum RecordMessageType : std::uint8_t {
  kVoteRequest = 1,  ///< flag: pre-vote; index and index_term of the candidate's last entry
  kVoteReply,        ///< flag: granted; offset 1: to a pre-vote
  kAppendRequest,    ///< leader to voter: entries after index/index_term, commit, lease; no entries: a
                     ///< heartbeat
  kAppendReply,      ///< flag: the log matches up to index; else the leader retries from index.
                     ///< heartbeat: that of the request
  kSnapshotChunk,    ///< to voters and learners: bytes at offset of a snapshot of total bytes
  kSnapshotReply,    ///< the next offset expected of the snapshot at index; flag: complete
  kForward,          ///< commands on their way to the leader, over at most 8 hops
  /// Asks for entries after index, or heartbeats newer than term and heartbeat: at first, where something is
  /// missing, and every 40 heartbeat intervals. A learner that sends none for 50 intervals is removed.
  kLearnRequest,
  /// Committed entries, commit, lease; sent when there are new entries or another activation, and a grant at
  /// every fifth heartbeat.
  kLearnUpdate,
  kLearnRedirect,  ///< the member serves no more learners or is out of date; names: members to try instead
  kRejoinRequest,  ///< a voter after its start, or an excluded one: its index and index_term; flag: excluded
  /// What the requester is known to have had: term, index, index_term; flag: only the leader knows, wait for
  /// its reply; total: the applied index, if the sender leads.
  kRejoinReply,
};

using Message = fb::MessageT;

/// A position in the log. The last position of a voter never goes back.
struct LogPosition {
  std::uint64_t term = 0, index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

/// All state of a member.
struct Record::State {
  State(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet, std::uint64_t seed,
        Time now);

  // election.cpp
  void reset_election_timer(Time now);
  bool can_vote() const;
  bool store_term(std::uint64_t term, const std::string& voted_for);  // false: the disk failed
  void campaign(Time now, bool pre, Outbox& out);
  void on_vote_request(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_vote_reply(Time now, const std::string& from, const Message& message, Outbox& out);
  void become_leader(Time now, Outbox& out);
  void become_follower(Time now);  // or observer, without a vote
  void send_rejoin_request(Time now, Outbox& out);
  void on_rejoin_request(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_rejoin_reply(const std::string& from, const Message& message);
  void set_excluded(bool excluded, std::uint64_t readmit_after);

  // replication.cpp
  /// What the leader knows of a voter.
  struct Peer {
    // As in Raft: the next index to send, and the highest index known to be replicated.
    std::uint64_t next = 1, match = 0;
    Time contact = 0;  // when the last request that it answered was sent
    std::uint64_t snapshot_offset = 0;
  };
  void broadcast_heartbeat(Time now, Outbox& out);
  void send_append(Time now, const std::string& to, Outbox& out);
  void on_append_request(Time now, const std::string& from, Message& message, Outbox& out);
  void on_append_reply(Time now, const std::string& from, const Message& message, Outbox& out);
  void advance_commit_index(Time now, Outbox& out);
  void apply_up_to(Time now, std::uint64_t index, Outbox& out);
  Time majority_contact_time(Time now) const;
  void renew_grant(Time now);
  void send_chunk(const std::string& to, std::uint64_t offset, Outbox& out);
  void on_snapshot_chunk(Time now, const std::string& from, Message& message, Outbox& out);
  void on_snapshot_reply(Time now, const std::string& from, const Message& message, Outbox& out);
  std::vector<std::unique_ptr<fb::EntryT>> entries_from(std::uint64_t from, std::uint64_t to) const;

  // learning.cpp
  /// A member that receives committed entries and grants from this one.
  struct Learner {
    std::uint64_t sent_index = 0, sent_term = 0;
    Time last_request = 0, last_push = 0;
  };
  void request_updates(Time now, Outbox& out);
  void send_learn_request(Time now, Outbox& out);
  void switch_upstream(Time now, const std::string& name, Outbox& out);
  void push_update(Time now, const std::string& to, Learner& learner, bool reply, Outbox& out);
  void push_to_learners(Time now, bool heartbeat_only, Outbox& out);
  void on_learn_request(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_learn_update(Time now, const std::string& from, Message& message, Outbox& out);
  void on_learn_redirect(Time now, const std::string& from, const Message& message, Outbox& out);
  bool process_heartbeat(Time now, const Message& message);  // takes lease and leader; true if it is new
  void attach_lease(Message& message) const;

  // commands.cpp
  std::uint64_t propose(Time now, Body body, Outbox& out);
  void forward(Time now, Outbox& out);
  void on_forward(Time now, Message& message, Outbox& out);
  void append_commands(Time now, std::vector<std::string>& commands, Outbox& out);
  bool append_entry(std::optional<Command> command);
  void drop_applied();  // removes own commands that have been applied from pending_commands
  void after_applying(const Command& command, bool was_voter);
  void complete_activation(Time now, Outbox& out);  // by the leader, once the activation time has passed

  std::vector<std::string> voters() const;  // by the newest entry in the log, committed or not
  bool has_vote(const std::string& name) const;
  void send(const std::string& to, Message& message, Outbox& out, Transport by = Transport::stream) const;

  const Settings settings;
  const std::uint64_t incarnation;
  Disk* const disk;
  const Time election_timeout, heartbeat_interval;  // the minimum election timeout
  std::mt19937_64 random;
  Log log;
  Ledger ledger;
  Disk::VotingState voting;
  bool disk_failed = false;

  Role role = Role::follower;
  std::string leader;
  Time last_leader_contact = 0, due_election = 0, due_heartbeat = 0, due_learn = 0, due_rejoin = 0,
       due_forward = 0;
  std::set<std::string> granted_by;  // votes or pre-votes of the running election
  bool pre_vote = false;
  std::map<std::string, Peer> peers;
  std::uint64_t term_start = 0;                  // leader: the index of its first entry, a no-op
  std::map<std::string, CommandId> last_logged;  // leader: the last command of each sender in the log
  std::set<std::string> removed_voters;  // excluded voters that this leader removed, to be added again

  // Whether this voter's disk is known to be current: a majority knows of no newer state under its name, or
  // it has everything that a leader had.
  bool state_confirmed = false;
  std::set<std::string> confirmed_by;
  std::optional<std::uint64_t> catch_up_index;         // the leader's applied index at its first reply
  std::map<std::string, LogPosition> known_positions;  // the highest position that each voter reported
  std::map<std::string, std::uint64_t> known_terms;

  std::optional<Grant> grant;
  std::uint64_t grant_term = 0, heartbeat_term = 0;
  Time grant_heartbeat = 0, heartbeat_sent_at = 0, heartbeat_received_at = 0;

  std::string upstream;  // the member that this one learns from
  // Of a request to upstream; of an update from it, or set back when upstream was selected.
  Time last_request = 0, last_update = 0;
  // Version, next and activation time that were last sent to the learners.
  std::tuple<std::uint64_t, std::uint64_t, Time> pushed_activation;
  std::map<std::string, Learner> learners;
  std::vector<std::string> alive_members;

  /// The received part of a snapshot.
  struct PartialSnapshot {
    std::uint64_t index = 0, term = 0;
    std::string bytes;
  } partial_snapshot;

  std::deque<Command> pending_commands;  // own commands that are not known to be applied
  std::uint64_t number = 0;              // of the last own command
};

}  // namespace marblehub::fleet
