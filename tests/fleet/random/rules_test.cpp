// Rules of the record's consensus that overlap with others, so that random load does not show when one is
// broken. Each is tested on a single member with messages that a network may delay or repeat.
#include <catch2/catch.hpp>

#include "../../../fuzz/fleet_readers.h"

namespace marblehub::fleet {
namespace {

using fuzzing::kStart;
constexpr Time kElectionTimeout = 300 * kMillisecond;  // half a lease, and more than three clock error bounds

// The record of the voter alva, which exchanges messages with boris.
struct Voter {
  Voter() {
    settings.name = "alva";
    settings.voters = {"alva", "boris", "celia"};
    start(true);
  }
  void start(bool first) { record = std::make_unique<Record>(settings, ++incarnation, &disk, first, 1, now); }
  // Delivers a message from boris; returns the replies to boris.
  std::vector<Message> receive(Message& message) {
    Outbox out;
    record->received(now, "boris", encode_with_checksum(message), out);
    return to_boris(out);
  }
  std::vector<Message> tick() {
    Outbox out;
    record->tick(now, out);
    return to_boris(out);
  }
  static std::vector<Message> to_boris(const Outbox& out) {
    std::vector<Message> all;
    for (const Outgoing& each : out) {
      Message message;
      REQUIRE(decode_with_checksum(each.body, message));
      if (each.to == "boris") all.push_back(message);
    }
    return all;
  }
  // Requests a vote for boris in `term` (not a pre-vote).
  std::vector<Message> request_vote(std::uint64_t term) {
    Message m;
    m.kind = kVoteRequest;
    m.term = term;
    m.index = m.index_term = 9;
    return receive(m);
  }
  // A message of boris in the current term.
  Message message_of(std::uint8_t kind, bool flag = true) {
    Message m;
    m.kind = kind;
    m.term = record->term();
    m.flag = flag;
    return m;
  }
  // Boris grants its pre-vote and its vote; returns its first messages as the leader.
  std::vector<Message> become_leader() {
    now = record->next_due();
    tick();
    Message pre = message_of(kVoteReply);
    pre.term += 1;
    pre.offset = 1;
    receive(pre);
    Message vote = message_of(kVoteReply);
    auto sent = receive(vote);
    REQUIRE(record->role() == Role::leader);
    return sent;
  }

  Settings settings;
  MemoryDisk disk;
  std::unique_ptr<Record> record;
  std::uint64_t incarnation = 0;
  Time now = kStart;
};

// Checks that the voter, in term 1, grants no vote until an election timeout from now has passed.
void votes_only_after_election_timeout(Voter& voter) {
  voter.now += kElectionTimeout - 1;
  CHECK(voter.request_vote(2).empty());
  CHECK(voter.record->term() == 1);
  voter.now += 1;
  const auto sent = voter.request_vote(2);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].flag);
}

}  // namespace

TEST_CASE("a voter that hears a leader grants no vote, even without a preceding pre-vote") {
  Voter voter;
  Message append = voter.message_of(kAppendRequest);
  append.term = 1;
  voter.receive(append);
  votes_only_after_election_timeout(voter);
}

TEST_CASE("a restarted voter grants no vote before an election timeout has passed") {
  Voter voter;
  Message append = voter.message_of(kAppendRequest);
  append.term = 1;
  voter.receive(append);
  voter.start(false);                                     // at the time at which it received the append
  Message known = voter.message_of(kRejoinReply, false);  // boris follows no leader
  voter.receive(known);
  REQUIRE(voter.record->may_vote());
  votes_only_after_election_timeout(voter);
}

TEST_CASE("a late append reply extends the lease only from the time of its request") {
  Voter leader;
  const auto sent = leader.become_leader();
  REQUIRE_FALSE(sent.empty());
  Message reply = leader.message_of(kAppendReply);
  reply.index = 1;
  reply.heartbeat = sent.back().heartbeat;
  leader.receive(reply);
  leader.tick();
  REQUIRE(leader.record->grant());
  const Time until = leader.record->grant()->until;
  leader.now = reply.heartbeat + kElectionTimeout;  // boris may have voted for another candidate
  leader.receive(reply);                            // duplicated by the network
  leader.tick();
  CHECK(leader.record->grant()->until == until);
  reply.heartbeat = leader.now;
  leader.receive(reply);
  leader.now += kElectionTimeout / 4;
  leader.tick();
  CHECK(leader.record->grant()->until > until);
}

TEST_CASE("a new leader grants no lease before an entry of its own term is committed") {
  Voter leader;
  Message reply = leader.message_of(kAppendReply);
  reply.heartbeat = leader.become_leader().back().heartbeat;
  reply.term = leader.record->term();
  leader.receive(reply);  // a majority replies, but its log may hold uncommitted activations
  leader.now += kElectionTimeout / 4;
  leader.tick();
  CHECK_FALSE(leader.record->grant());
  reply.index = 1;
  leader.receive(reply);
  leader.tick();
  CHECK(leader.record->grant());
}

TEST_CASE("an entry of an older term is committed only with one of the leader's own term") {
  Voter leader;
  Message append = leader.message_of(kAppendRequest);
  append.term = 1;
  auto& entry = *append.entries.emplace_back(std::make_unique<fb::EntryT>());
  entry.index = entry.term = 1;
  leader.receive(append);
  leader.become_leader();
  REQUIRE(leader.record->term() == 2);
  Message reply = leader.message_of(kAppendReply);
  reply.index = reply.index_term = 1;  // two of three hold it, but another leader may still replace it
  leader.receive(reply);
  CHECK(leader.record->ledger().applied == 0);
  reply.index = 2, reply.index_term = 2;
  leader.receive(reply);
  CHECK(leader.record->ledger().applied == 2);
}

}  // namespace marblehub::fleet
