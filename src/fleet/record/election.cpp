// Elections: pre-vote, votes that are stored before they are sent, and voters that may not vote
// (sections 3.4, 4.2.3 and 9.6 of Ongaro's dissertation).
#include <algorithm>

#include "check/check.h"
#include "fleet/record/state.h"

namespace marblehub::fleet {

void Record::State::reset_election_timer(Time now) {
  due_election =
      now + election_timeout + static_cast<Time>(random() % static_cast<std::uint64_t>(election_timeout));
}

bool Record::State::can_vote() const {
  return disk != nullptr && !disk_failed && !voting.excluded && state_confirmed && has_vote(settings.name);
}

bool Record::State::store_term(std::uint64_t term, const std::string& voted_for) {
  if (term == voting.term && voted_for == voting.voted_for) return true;
  MARBLEHUB_INVARIANT("record", term > voting.term || (term == voting.term && voting.voted_for.empty()),
                      "a second vote in term " + std::to_string(term));
  Disk::VotingState updated = voting;
  updated.term = term;
  updated.voted_for = voted_for;
  if (disk != nullptr && !disk->store_voting_state(updated)) {
    disk_failed = true;
    return false;
  }
  disk_failed = false;
  voting = updated;
  return true;
}

void Record::State::set_excluded(bool excluded, std::uint64_t readmit_after) {
  Disk::VotingState updated = voting;
  updated.excluded = excluded;
  updated.readmit_after = readmit_after;
  if (disk != nullptr && !disk->store_voting_state(updated)) {
    disk_failed = true;
    if (!excluded) return;  // it remains excluded
  }
  voting = updated;
}

void Record::State::become_follower(Time now) {
  role = has_vote(settings.name) && disk != nullptr ? Role::follower : Role::observer;
  peers.clear();
  granted_by.clear();
  reset_election_timer(now);
}

void Record::State::campaign(Time now, bool pre, Outbox& out) {
  if (!pre && !store_term(voting.term + 1, settings.name)) return become_follower(now);
  role = Role::candidate;
  pre_vote = pre;
  leader.clear();
  granted_by = {settings.name};
  reset_election_timer(now);
  Message request;
  request.kind = kVoteRequest;
  request.flag = pre;
  request.term = voting.term + (pre ? 1 : 0);
  request.index = log.last();
  request.index_term = log.last_term();
  for (const std::string& voter : voters())
    if (voter != settings.name) send(voter, request, out);
  if (voters().size() == 1) {
    if (pre) return campaign(now, false, out);
    become_leader(now, out);
  }
}

void Record::State::on_vote_request(Time now, const std::string& from, const Message& message, Outbox& out) {
  LogPosition& position = known_positions[from];
  position = std::max(position, LogPosition{message.index_term, message.index});
  if (!message.flag) known_terms[from] = std::max(known_terms[from], message.term);
  if (!can_vote()) return;
  // A voter that is in contact with a leader, or may have been before its restart, takes part in no election:
  // leases depend on that.
  const bool leader_alive = role == Role::leader ? now - majority_contact_time(now) < election_timeout
                                                 : now - last_leader_contact < election_timeout;
  if (leader_alive) return;
  Message reply;
  reply.kind = kVoteReply;
  reply.offset = message.flag ? 1 : 0;
  const bool up_to_date =
      LogPosition{message.index_term, message.index} >= LogPosition{log.last_term(), log.last()};
  if (message.flag) {
    reply.flag = up_to_date && message.term > voting.term;
  } else {
    if (message.term > voting.term) {
      if (!store_term(message.term, up_to_date ? from : "")) return;
      become_follower(now);
    } else if (message.term == voting.term && voting.voted_for.empty() && up_to_date) {
      if (!store_term(message.term, from)) return;
    }
    reply.flag = message.term == voting.term && voting.voted_for == from;
  }
  reply.term = message.flag && reply.flag ? message.term : voting.term;
  reply.index = log.last();
  reply.index_term = log.last_term();
  send(from, reply, out);
}

void Record::State::on_vote_reply(Time now, const std::string& from, const Message& message, Outbox& out) {
  const bool pre = message.offset == 1;
  known_positions[from] = std::max(known_positions[from], LogPosition{message.index_term, message.index});
  if (!pre) known_terms[from] = std::max(known_terms[from], message.term);
  if (!message.flag && message.term > voting.term) {
    if (store_term(message.term, "")) become_follower(now);
    return;
  }
  // A pre-vote is for the next term, which the candidate adopts after it; late replies to a pre-vote are
  // ignored then.
  const bool matches = pre == pre_vote && message.term == voting.term + (pre ? 1 : 0);
  if (role != Role::candidate || !message.flag || !matches || !has_vote(from) || !can_vote()) return;
  granted_by.insert(from);
  if (granted_by.size() * 2 <= voters().size()) return;
  if (pre) return campaign(now, false, out);
  become_leader(now, out);
}

void Record::State::become_leader(Time now, Outbox& out) {
  role = Role::leader;
  leader = settings.name;
  upstream.clear();
  peers.clear();
  for (const std::string& voter : voters()) {
    peers[voter].next = log.last() + 1;
    peers[voter].contact = now - election_timeout;  // no lease before a majority has replied
  }
  last_logged = ledger.last_commands;
  for (std::uint64_t index = ledger.applied + 1; index <= log.last(); ++index)
    if (const auto& command = log.at(index).command) last_logged[command->id.sender] = command->id;
  if (!append_entry(std::nullopt)) return become_follower(now);
  term_start = log.last();
  broadcast_heartbeat(now, out);
  advance_commit_index(now, out);
}

void Record::State::send_rejoin_request(Time now, Outbox& out) {
  due_rejoin = now + heartbeat_interval * 2;
  Message request;
  request.kind = kRejoinRequest;
  request.flag = voting.excluded;
  request.index = voting.excluded ? ledger.applied : log.last();
  request.index_term = log.last_term();
  std::set<std::string> recipients(settings.voters.begin(), settings.voters.end());
  for (const std::string& voter : voters()) recipients.insert(voter);
  recipients.erase(settings.name);
  for (const std::string& voter : recipients) send(voter, request, out);
  if (voters() == std::vector{settings.name}) state_confirmed = true;
}

void Record::State::on_rejoin_request(Time now, const std::string& from, const Message& message,
                                      Outbox& out) {
  if (disk == nullptr) return;
  Message reply;
  reply.kind = kRejoinReply;
  reply.term = known_terms[from];
  reply.index = known_positions[from].index;
  reply.index_term = known_positions[from].term;
  // Only a leader knows of all entries that were committed with acknowledgements of that voter.
  const bool current = ledger.applied >= term_start && now - majority_contact_time(now) < election_timeout;
  reply.flag =
      role == Role::leader ? !current : !leader.empty() && now - last_leader_contact < 2 * election_timeout;
  if (role == Role::leader) reply.total = ledger.applied;
  send(from, reply, out);
  if (!message.flag || role != Role::leader || ledger.applied < term_start) return;
  // An excluded member is removed from the voters and added again after it has caught up. A request that it
  // sent before it had applied the last change of the voters may be outdated.
  const auto latest_change = log.voters();
  if (latest_change && (latest_change->first > ledger.applied || message.index < latest_change->first))
    return;
  for (const Command& command : pending_commands)
    if (std::holds_alternative<ChangeVoters>(command.body)) return;
  std::vector<std::string> updated = voters();
  if (std::erase(updated, from) != 0) {
    if (updated.empty()) return;
    removed_voters.insert(from);
  } else {
    const bool may_return = removed_voters.contains(from) || std::ranges::count(settings.voters, from) != 0;
    if (!may_return || message.index + 64 < ledger.applied) return;
    updated.push_back(from);
  }
  std::ranges::sort(updated);
  propose(now, ChangeVoters{updated}, out);
}

void Record::State::on_rejoin_reply(const std::string& from, const Message& message) {
  if (state_confirmed || voting.excluded) return;
  const LogPosition reported{message.index_term, message.index}, local{log.last_term(), log.last()};
  if (reported > local || message.term > voting.term)
    return set_excluded(true, 0);  // this disk is an outdated copy
  if (message.flag) return;        // wait for the reply of the leader
  // The leader has all committed entries. Once this voter has applied them too, nothing that its disk may
  // have lost matters.
  if (message.total != 0) {
    if (!catch_up_index) catch_up_index = message.total;
    state_confirmed = ledger.applied >= *catch_up_index;
    return;
  }
  confirmed_by.insert(from);
  if ((confirmed_by.size() + 1) * 2 > voters().size()) state_confirmed = true;
}

}  // namespace marblehub::fleet
