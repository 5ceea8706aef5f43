// Rules of the record that its fleet keeps twice over, so that random load alone shows nothing when one goes:
// each is put to one member by messages that a real network may bring it late.
#include <catch2/catch.hpp>

#include "../../../fuzz/fleet_readers.h"

namespace marblehub::fleet {
namespace {

using fuzzing::kStart;
constexpr Time kElectionTimeout =
    300 * kMillisecond;  // half a lease, which is more than three bounds of the clock

struct Voter {
  Voter() {
    settings.name = "alva";
    settings.voters = {"alva", "boris", "celia"};
    start(true);
  }
  void start(bool first) { record = std::make_unique<Record>(settings, ++incarnation, &disk, first, 1, now); }
  // What it says to boris on hearing this from him.
  std::vector<Message> hear(Message& message) {
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
  std::vector<Message> ask(std::uint64_t term) {  // a real vote, not the question before it
    Message m;
    m.kind = kVoteRequest;
    m.term = term;
    m.index = m.index_term = 9;
    return hear(m);
  }
  Message answer(std::uint8_t kind, bool flag = true) {
    Message m;
    m.kind = kind;
    m.term = record->term();
    m.flag = flag;
    return m;
  }
  // Boris gives it both his words; it leads and has said so.
  std::vector<Message> lead() {
    now = record->next_due();
    tick();
    Message pre = answer(kVoteReply);
    pre.term += 1;
    pre.offset = 1;
    hear(pre);
    Message vote = answer(kVoteReply);
    auto said = hear(vote);
    REQUIRE(record->role() == Role::leader);
    return said;
  }

  Settings settings;
  MemoryDisk disk;
  std::unique_ptr<Record> record;
  std::uint64_t incarnation = 0;
  Time now = kStart;
};

// From now on, in term 1.
void votes_only_after_election_timeout(Voter& voter) {
  voter.now += kElectionTimeout - 1;
  CHECK(voter.ask(2).empty());
  CHECK(voter.record->term() == 1);
  voter.now += 1;
  const auto said = voter.ask(2);
  REQUIRE(said.size() == 1);
  CHECK(said[0].flag);
}

}  // namespace

TEST_CASE("who hears a leader gives no vote, though no question came before it") {
  Voter voter;
  Message append = voter.answer(kAppendRequest);
  append.term = 1;
  voter.hear(append);
  votes_only_after_election_timeout(voter);
}

TEST_CASE("a voter that starts gives no vote before it would have missed a leader") {
  Voter voter;
  Message append = voter.answer(kAppendRequest);
  append.term = 1;
  voter.hear(append);
  voter.start(false);                                 // at the moment at which it had heard one
  Message known = voter.answer(kRejoinReply, false);  // boris follows nobody
  voter.hear(known);
  REQUIRE(voter.record->may_vote());
  votes_only_after_election_timeout(voter);
}

TEST_CASE("an answer that comes late says nothing of the time since what it answers was sent") {
  Voter leader;
  const auto said = leader.lead();
  REQUIRE_FALSE(said.empty());
  Message taken = leader.answer(kAppendReply);
  taken.index = 1;
  taken.heartbeat = said.back().heartbeat;
  leader.hear(taken);
  leader.tick();
  REQUIRE(leader.record->grant());
  const Time until = leader.record->grant()->until;
  leader.now = taken.heartbeat + kElectionTimeout;  // boris may have voted for another by now
  leader.hear(taken);                               // again: the network had kept a copy
  leader.tick();
  CHECK(leader.record->grant()->until == until);
  taken.heartbeat = leader.now;
  leader.hear(taken);
  leader.now += kElectionTimeout / 4;
  leader.tick();
  CHECK(leader.record->grant()->until > until);
}

TEST_CASE("a new leader grants nothing before an entry of its own is agreed") {
  Voter leader;
  Message taken = leader.answer(kAppendReply);
  taken.heartbeat = leader.lead().back().heartbeat;
  taken.term = leader.record->term();
  leader.hear(taken);  // a majority speaks to it, and what was activated before it may stand in its log
  leader.now += kElectionTimeout / 4;
  leader.tick();
  CHECK_FALSE(leader.record->grant());
  taken.index = 1;
  leader.hear(taken);
  leader.tick();
  CHECK(leader.record->grant());
}

TEST_CASE("an entry of an older term is agreed only with one of the leader's own") {
  Voter leader;
  Message append = leader.answer(kAppendRequest);
  append.term = 1;
  auto& entry = *append.entries.emplace_back(std::make_unique<fb::EntryT>());
  entry.index = entry.term = 1;
  leader.hear(append);
  leader.lead();
  REQUIRE(leader.record->term() == 2);
  Message taken = leader.answer(kAppendReply);
  taken.index = taken.index_term = 1;  // two of three have it, and yet another may replace it
  leader.hear(taken);
  CHECK(leader.record->ledger().applied == 0);
  taken.index = 2, taken.index_term = 2;
  leader.hear(taken);
  CHECK(leader.record->ledger().applied == 2);
}

}  // namespace marblehub::fleet
