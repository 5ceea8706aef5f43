// Who leads: pre-vote, votes kept before they are given, and who may not vote (sections 3.4, 4.2.3, 9.6 of
// Ongaro's dissertation).
#include <algorithm>

#include "check/check.h"
#include "fleet/record/state.h"

namespace marblehub::fleet {

void Record::State::wait_anew(Time now) {
  due_campaign =
      now + election_timeout + static_cast<Time>(random() % static_cast<std::uint64_t>(election_timeout));
}

bool Record::State::can_vote() const {
  return disk != nullptr && !disk_failed && !voting.excluded && vouched && votes(settings.name);
}

bool Record::State::adopt(std::uint64_t term, const std::string& voted_for) {
  if (term == voting.term && voted_for == voting.voted_for) return true;
  MARBLEHUB_INVARIANT("record", term > voting.term || (term == voting.term && voting.voted_for.empty()),
                      "a second vote in term " + std::to_string(term));
  Disk::VotingState wanted = voting;
  wanted.term = term;
  wanted.voted_for = voted_for;
  if (disk != nullptr && !disk->store_voting_state(wanted)) {
    disk_failed = true;
    return false;
  }
  disk_failed = false;
  voting = wanted;
  return true;
}

void Record::State::set_outside(bool excluded, std::uint64_t readmit_after) {
  Disk::VotingState wanted = voting;
  wanted.excluded = excluded;
  wanted.readmit_after = readmit_after;
  if (disk != nullptr && !disk->store_voting_state(wanted)) {
    disk_failed = true;
    if (!excluded) return;  // goes on not voting
  }
  voting = wanted;
}

void Record::State::follow(Time now) {
  role = votes(settings.name) && disk != nullptr ? Role::follower : Role::observer;
  peers.clear();
  yes.clear();
  wait_anew(now);
}

void Record::State::campaign(Time now, bool pre, Outbox& out) {
  if (!pre && !adopt(voting.term + 1, settings.name)) return follow(now);
  role = Role::candidate;
  asking_pre = pre;
  leader.clear();
  yes = {settings.name};
  wait_anew(now);
  Message ask;
  ask.kind = kVoteRequest;
  ask.flag = pre;
  ask.term = voting.term + (pre ? 1 : 0);
  ask.index = log.last();
  ask.index_term = log.last_term();
  for (const std::string& voter : voters())
    if (voter != settings.name) send(voter, ask, out);
  if (voters().size() == 1) {
    if (pre) return campaign(now, false, out);
    lead(now, out);
  }
}

void Record::State::on_ask(Time now, const std::string& from, const Message& message, Outbox& out) {
  LogPosition& place = known[from];
  place = std::max(place, LogPosition{message.index_term, message.index});
  if (!message.flag) known_term[from] = std::max(known_term[from], message.term);
  if (!can_vote()) return;
  // Who hears a leader, or may have before it restarted, takes part in no election: leases rest on it.
  const bool led = role == Role::leader ? now - contact_of_majority(now) < election_timeout
                                        : now - heard < election_timeout;
  if (led) return;
  Message answer;
  answer.kind = kVoteReply;
  answer.offset = message.flag ? 1 : 0;
  const bool newer =
      LogPosition{message.index_term, message.index} >= LogPosition{log.last_term(), log.last()};
  if (message.flag) {
    answer.flag = newer && message.term > voting.term;
  } else {
    if (message.term > voting.term) {
      if (!adopt(message.term, newer ? from : "")) return;
      follow(now);
    } else if (message.term == voting.term && voting.voted_for.empty() && newer) {
      if (!adopt(message.term, from)) return;
    }
    answer.flag = message.term == voting.term && voting.voted_for == from;
  }
  answer.term = message.flag && answer.flag ? message.term : voting.term;
  answer.index = log.last();
  answer.index_term = log.last_term();
  send(from, answer, out);
}

void Record::State::on_answer(Time now, const std::string& from, const Message& message, Outbox& out) {
  const bool pre = message.offset == 1;
  known[from] = std::max(known[from], LogPosition{message.index_term, message.index});
  if (!pre) known_term[from] = std::max(known_term[from], message.term);
  if (!message.flag && message.term > voting.term) {
    if (adopt(message.term, "")) follow(now);
    return;
  }
  // In the pre-vote the term is not yet this candidate's; once it is, late answers to it count for nothing.
  const bool mine = pre == asking_pre && message.term == voting.term + (pre ? 1 : 0);
  if (role != Role::candidate || !message.flag || !mine || !votes(from) || !can_vote()) return;
  yes.insert(from);
  if (yes.size() * 2 <= voters().size()) return;
  if (pre) return campaign(now, false, out);
  lead(now, out);
}

void Record::State::lead(Time now, Outbox& out) {
  role = Role::leader;
  leader = settings.name;
  upstream.clear();
  peers.clear();
  for (const std::string& voter : voters()) {
    peers[voter].next = log.last() + 1;
    peers[voter].contact = now - election_timeout;  // time to answer, and no lease before that
  }
  logged = ledger.last_commands;
  for (std::uint64_t index = ledger.applied + 1; index <= log.last(); ++index)
    if (const auto& command = log.at(index).command) logged[command->id.sender] = command->id;
  if (!append_own(std::nullopt)) return follow(now);
  term_start = log.last();
  broadcast_heartbeat(now, out);
  advance(now, out);
}

void Record::State::say_hello(Time now, Outbox& out) {
  due_hello = now + pulse * 2;
  Message hello;
  hello.kind = kRejoinRequest;
  hello.flag = voting.excluded;
  hello.index = voting.excluded ? ledger.applied : log.last();
  hello.index_term = log.last_term();
  std::set<std::string> asked(settings.voters.begin(), settings.voters.end());
  for (const std::string& voter : voters()) asked.insert(voter);
  asked.erase(settings.name);
  for (const std::string& voter : asked) send(voter, hello, out);
  if (voters() == std::vector{settings.name}) vouched = true;
}

void Record::State::on_hello(Time now, const std::string& from, const Message& message, Outbox& out) {
  if (disk == nullptr) return;
  Message back;
  back.kind = kRejoinReply;
  back.term = known_term[from];
  back.index = known[from].index;
  back.index_term = known[from].term;
  // What was agreed with that voter's word is known to the leader, not to those who follow it.
  const bool sure = ledger.applied >= term_start && now - contact_of_majority(now) < election_timeout;
  back.flag = role == Role::leader ? !sure : !leader.empty() && now - heard < 2 * election_timeout;
  if (role == Role::leader) back.total = ledger.applied;
  send(from, back, out);
  if (!message.flag || role != Role::leader || ledger.applied < term_start) return;
  // An outsider under a voter's name is taken out, and once it has caught up taken in anew. What it said
  // before it applied the last change may be over.
  const auto standing = log.voters();
  if (standing && (standing->first > ledger.applied || message.index < standing->first)) return;
  for (const Command& command : pending)
    if (std::holds_alternative<ChangeVoters>(command.body)) return;
  std::vector<std::string> wanted = voters();
  if (std::erase(wanted, from) != 0) {
    if (wanted.empty()) return;
    removed_here.insert(from);
  } else {
    const bool ours = removed_here.contains(from) || std::ranges::count(settings.voters, from) != 0;
    if (!ours || message.index + 64 < ledger.applied) return;
    wanted.push_back(from);
  }
  std::ranges::sort(wanted);
  propose(now, ChangeVoters{wanted}, out);
}

void Record::State::on_hello_back(const std::string& from, const Message& message) {
  if (vouched || voting.excluded) return;
  const LogPosition told{message.index_term, message.index}, here{log.last_term(), log.last()};
  if (told > here || message.term > voting.term) return set_outside(true, 0);  // this disk is an old copy
  if (message.flag) return;  // there is a leader: its word is waited for
  // The leader has all that was ever agreed; once this one has it too, nothing that it forgot matters.
  if (message.total != 0) {
    if (!catch_up) catch_up = message.total;
    vouched = ledger.applied >= *catch_up;
    return;
  }
  vouchers.insert(from);
  if ((vouchers.size() + 1) * 2 > voters().size()) vouched = true;
}

}  // namespace marblehub::fleet
