// The inside of a Record: one struct, its rules in election.cpp, replication.cpp, learning.cpp, commands.cpp.
#pragma once

#include <random>
#include <tuple>

#include "fleet/record/checked_flatbuffer.h"
#include "fleet/record/log.h"
#include "record_generated.h"

namespace marblehub::fleet {

enum RecordMessageType : std::uint8_t {
  kVoteRequest = 1,  // for a vote, flag: pre-vote; index and index_term of the last entry
  kVoteReply,        // flag: yes, offset 1: to a pre-vote
  kAppendRequest,    // leader to voter: entries behind index/index_term, commit, lease; empty: a heartbeat
  kAppendReply,      // flag: taken up to index; else the leader goes back to index. beat: of what it answers
  kSnapshotChunk,    // of a snapshot, to voters and learners: bytes at offset of total
  kSnapshotReply,    // the next offset wanted of the snapshot at index
  kForward,          // commands on their way to the leader, at most 8 hops
  kLearnRequest,  // "give me what follows index, or is newer than term and beat": at first, where something
                  // is missing, and each 2 s of 50 ms beats; a learner not heard for 2.5 s is forgotten
  kLearnUpdate,   // committed entries, commit, lease; pushed whenever there is news, and a grant each 5 beats
  kLearnRedirect,  // full, or nothing new here: names of those to try
  kRejoinRequest,  // a voter after its start, or outside: index and index_term it has, flag: outside
  kRejoinReply,    // what its asker is known to have had: term, index, index_term; flag: ask the leader, not
                   // me; total: from the leader, what it has applied
};

using Message = fb::MessageT;

struct LogPosition {  // a point of the log; a voter's last one never goes back
  std::uint64_t term = 0, index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

struct Record::State {
  State(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet, std::uint64_t seed,
        Time now);

  // ---- election.cpp
  void wait_anew(Time now);
  bool can_vote() const;
  bool adopt(std::uint64_t term, const std::string& voted_for);  // false: the disk takes nothing
  void campaign(Time now, bool pre, Outbox& out);
  void on_ask(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_answer(Time now, const std::string& from, const Message& message, Outbox& out);
  void lead(Time now, Outbox& out);
  void follow(Time now);
  void say_hello(Time now, Outbox& out);
  void on_hello(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_hello_back(const std::string& from, const Message& message);
  void set_outside(bool excluded, std::uint64_t readmit_after);

  // ---- replication.cpp
  struct Peer {
    std::uint64_t next = 1, match = 0;
    Time contact = 0;  // when that was sent which it answered last
    std::uint64_t chunk = 0;
  };
  void broadcast_heartbeat(Time now, Outbox& out);
  void send_append(Time now, const std::string& to, Outbox& out);
  void on_append(Time now, const std::string& from, Message& message, Outbox& out);
  void on_appended(Time now, const std::string& from, const Message& message, Outbox& out);
  void advance(Time now, Outbox& out);
  void commit_to(Time now, std::uint64_t index, Outbox& out);
  Time contact_of_majority(Time now) const;
  void renew_grant(Time now);
  void send_chunk(const std::string& to, std::uint64_t offset, Outbox& out);
  void on_chunk(Time now, const std::string& from, Message& message, Outbox& out);
  void on_chunked(Time now, const std::string& from, const Message& message, Outbox& out);
  std::vector<std::unique_ptr<fb::EntryT>> entries_from(std::uint64_t from, std::uint64_t to) const;

  // ---- learning.cpp
  struct Learner {
    std::uint64_t have = 0, told_term = 0;
    Time heard = 0, told = 0;
  };
  void learn(Time now, Outbox& out);
  void ask_upstream(Time now, Outbox& out);
  void ask_first(Time now, const std::string& whom, Outbox& out);
  void push(Time now, const std::string& to, Learner& learner, bool answer, Outbox& out);
  void push_all(Time now, bool paced, Outbox& out);
  void on_learn(Time now, const std::string& from, const Message& message, Outbox& out);
  void on_learnt(Time now, const std::string& from, Message& message, Outbox& out);
  void on_elsewhere(Time now, const std::string& from, const Message& message, Outbox& out);
  bool hear(Time now, const Message& message);  // lease and leader; true: a newer beat than before
  void put_lease(Message& message) const;

  // ---- commands.cpp
  std::uint64_t propose(Time now, Body body, Outbox& out);
  void forward(Time now, Outbox& out);
  void on_forward(Time now, Message& message, Outbox& out);
  void take(Time now, std::vector<std::string>& commands, Outbox& out);
  bool append_own(std::optional<Command> command);
  void drop_applied();  // own commands that need not be sent again
  void after_applying(const Command& command, bool was_voter);
  void keep_house(Time now, Outbox& out);  // the leader: ends switches, takes outsiders in anew

  std::vector<std::string> voters() const;
  bool votes(const std::string& name) const;
  void send(const std::string& to, Message& message, Outbox& out, Transport by = Transport::stream) const;

  const Settings settings;
  const std::uint64_t incarnation;
  Disk* const disk;
  const Time election_timeout, pulse;  // election time-out at least; between heartbeats
  std::mt19937_64 random;
  Log log;
  Ledger ledger;
  Disk::VotingState voting;
  bool disk_failed = false;

  Role role = Role::follower;
  std::string leader;
  Time heard = 0, due_campaign = 0, due_beat = 0, due_learn = 0, due_hello = 0, due_forward = 0;
  std::set<std::string> yes;
  bool asking_pre = false;
  std::map<std::string, Peer> peers;
  std::uint64_t term_start = 0;             // the leader's no-op
  std::map<std::string, CommandId> logged;  // leader: the last of each sender in the log
  std::set<std::string> removed_here;

  bool vouched =
      false;  // nothing newer under this name is known to a majority, or all is here that a leader had
  std::set<std::string> vouchers;
  std::optional<std::uint64_t> catch_up;     // what the leader had applied when it first answered
  std::map<std::string, LogPosition> known;  // what each voter said it had
  std::map<std::string, std::uint64_t> known_term;

  std::optional<Grant> grant;
  std::uint64_t grant_term = 0, beat_term = 0;
  Time grant_beat = 0, beat_sent = 0, beat_heard = 0;

  std::string upstream;
  Time asked = 0, answered = 0;  // upstream; it brought something newer, or was chosen not long before
  std::tuple<std::uint64_t, std::uint64_t, Time>
      turn_told;  // version, next and moment that all learners know
  std::map<std::string, Learner> learners;
  std::vector<std::string> alive;

  struct Assembly {
    std::uint64_t index = 0, term = 0;
    std::string octets;
  } assembly;

  std::deque<Command> pending;
  std::uint64_t number = 0;
};

}  // namespace marblehub::fleet
