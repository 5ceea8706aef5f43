// The leader's log to the voters, what is agreed, and the leases that rest on it (Raft, sections 3.5, 3.6, 5
// and 6.4 of Ongaro's dissertation).
#include <algorithm>

#include "check/check.h"
#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMostOctets = 384 * 1024;  // in one message, well under a stream's 1 MiB
constexpr std::size_t kMostEntries = 512;
constexpr std::size_t kChunkOctets = 256 * 1024;
constexpr std::size_t kLongestSnapshot = 64 * 1024 * 1024;
constexpr std::uint64_t kCompactEvery = 512;

}  // namespace

std::vector<std::unique_ptr<fb::EntryT>> Record::State::entries_from(std::uint64_t from,
                                                                     std::uint64_t to) const {
  std::vector<std::unique_ptr<fb::EntryT>> entries;
  std::size_t octets = 0;
  for (std::uint64_t index = from; index <= to && octets < kMostOctets && entries.size() < kMostEntries;
       ++index) {
    if (!entries.empty() && octets + log.at(index).octets.size() > kMostOctets) break;
    auto& entry = *entries.emplace_back(std::make_unique<fb::EntryT>());
    entry.index = index;
    entry.term = log.at(index).term;
    entry.command = log.at(index).octets;
    octets += entry.command.size() + 32;
  }
  return entries;
}

void Record::State::broadcast_heartbeat(Time now, Outbox& out) {
  due_beat = now + pulse;
  if (voters().size() > 1 && now - contact_of_majority(now) > 2 * election_timeout) {
    leader.clear();  // others may have chosen already
    return follow(now);
  }
  renew_grant(now);
  for (const std::string& voter : voters()) {
    if (voter == settings.name) continue;
    send_append(now, voter, out);
  }
  keep_house(now, out);
  push_all(now, true, out);
}

void Record::State::send_append(Time now, const std::string& to, Outbox& out) {
  const auto [found, added] = peers.try_emplace(to);
  Peer& peer = found->second;
  if (added) {
    peer.next = log.last() + 1;
    peer.contact = now - election_timeout;
  }
  Message append;
  append.kind = kAppendRequest;
  append.term = voting.term;
  append.heartbeat = now;
  append.commit = ledger.applied;
  append.total = log.last();
  put_lease(append);
  if (peer.next <= log.base()) {  // what follows is no longer here: the snapshot, and a heartbeat with it
    send_chunk(to, peer.chunk, out);
    append.index = 0;
  } else {
    append.index = peer.next - 1;
    append.index_term = *log.term_at(append.index);
    append.entries = entries_from(peer.next, log.last());
    peer.next += append.entries.size();  // as if it arrived; an answer from further back corrects it
  }
  send(to, append, out);
}

void Record::State::on_append(Time now, const std::string& from, Message& message, Outbox& out) {
  Message answer;
  answer.kind = kAppendReply;
  answer.heartbeat = message.heartbeat;
  answer.term = voting.term;
  if (message.term < voting.term) return send(from, answer, out);
  if (message.term > voting.term) {
    if (!adopt(message.term, "")) return;
    follow(now);
  }
  MARBLEHUB_INVARIANT("record", role != Role::leader, "two leaders in term " + std::to_string(message.term));
  if (role != Role::follower) follow(now);
  leader = from;
  heard = now;
  wait_anew(now);
  if (voting.excluded && voting.readmit_after == 0)
    set_outside(true, std::max<std::uint64_t>(1, message.total));
  answer.term = voting.term;
  answer.flag = true;
  const std::uint64_t before = message.index;
  if (before > log.base() && log.term_at(before) != std::optional(message.index_term)) {
    answer.flag = false;
    answer.index = ledger.applied;  // so far they surely agree
    hear(now, message);
    return send(from, answer, out);
  }
  std::vector<Disk::Entry> entries;
  for (auto& entry : message.entries)
    entries.push_back({entry->index, entry->term, std::move(entry->command)});
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].index != before + 1 + i) return;
    MARBLEHUB_INVARIANT("record",
                        entries[i].index > ledger.applied || entries[i].index <= log.base() ||
                            log.term_at(entries[i].index) == std::optional(entries[i].term),
                        "an applied entry would change");
  }
  if (!entries.empty() && !log.append(entries)) {
    disk_failed = disk != nullptr;
    return;
  }
  answer.index = std::max(before + entries.size(), before < log.base() ? log.base() : 0);
  answer.index_term = log.term_at(answer.index).value_or(0);
  answer.offset = voting.excluded ? 1 : 0;
  const bool news = hear(now, message);
  commit_to(now, std::min(message.commit, answer.index), out);
  send(from, answer, out);
  if (news) push_all(now, true, out);
}

void Record::State::on_appended(Time now, const std::string& from, const Message& message, Outbox& out) {
  if (message.term > voting.term) {
    leader.clear();
    if (adopt(message.term, "")) follow(now);
    return;
  }
  if (role != Role::leader || message.term != voting.term || !peers.contains(from)) return;
  Peer& peer = peers[from];
  if (message.offset == 0) peer.contact = std::max(peer.contact, static_cast<Time>(message.heartbeat));
  if (!message.flag) {
    peer.next = std::min(message.index, log.last()) + 1;
    if (peer.next > log.base()) send_append(now, from, out);
    return;  // else the next beat sends the snapshot
  }
  known[from] = std::max(known[from], LogPosition{message.index_term, message.index});
  known_term[from] = std::max(known_term[from], message.term);
  if (message.index > log.last()) return;
  // An outsider's word is not counted: what it said before it lost its disk no longer holds.
  if (message.offset == 0) peer.match = std::max(peer.match, message.index);
  peer.next = std::max(peer.next, message.index + 1);
  advance(now, out);
  if (role != Role::leader || !votes(from)) return;
  const std::uint64_t next = peers[from].next;
  if (next > log.base() && next <= log.last()) send_append(now, from, out);
}

void Record::State::advance(Time now, Outbox& out) {
  std::vector<std::uint64_t> matches;
  for (const std::string& voter : voters())
    matches.push_back(voter == settings.name ? log.last() : peers[voter].match);
  std::ranges::sort(matches, std::greater<>());
  const std::uint64_t agreed = matches[matches.size() / 2];
  // Only entries of this term are counted; those before go with them (section 3.6.2).
  if (agreed <= ledger.applied || log.term_at(agreed) != std::optional(voting.term)) return;
  commit_to(now, agreed, out);
  if (!votes(settings.name)) return follow(now);  // it has led the change that takes itself out
  broadcast_heartbeat(now, out);
}

void Record::State::commit_to(Time, std::uint64_t index, Outbox&) {
  while (ledger.applied < std::min(index, log.last())) {
    const std::uint64_t next = ledger.applied + 1;
    const auto& command = log.at(next).command;
    if (!command) {
      ledger.applied = next;
      continue;
    }
    const bool was_voter = std::ranges::count(ledger.voters, settings.name) != 0;
    apply(ledger, next, *command);
    after_applying(*command, was_voter);
  }
  if (!voting.excluded && catch_up && ledger.applied >= *catch_up) vouched = true;
  if (ledger.applied >= log.snapshot_index() + kCompactEvery) {
    if (!log.compact(ledger.applied, encode(ledger))) disk_failed = true;
  }
}

Time Record::State::contact_of_majority(Time now) const {
  std::vector<Time> contacts;
  for (const std::string& voter : voters()) {
    const auto peer = peers.find(voter);
    if (voter == settings.name)
      contacts.push_back(now);
    else
      contacts.push_back(peer == peers.end() ? Time{0} : peer->second.contact);
  }
  std::ranges::sort(contacts, std::greater<>());
  return contacts[contacts.size() / 2];
}

// A lease on the version in force may be given while no other can have been chosen: a majority answered what
// was sent within the election time-out, during which it votes for nobody else. What is in the log and not
// yet agreed binds already: no lease on the version before reaches past its moment.
void Record::State::renew_grant(Time now) {
  if (ledger.applied < term_start ||
      now - contact_of_majority(now) >= election_timeout - settings.clock_bound)
    return;
  const RouteState& routes = ledger.routes;
  if (routes.next == 0 && now < routes.activation_time + settings.clock_bound) return;
  Grant fresh{routes.in_force, routes.next, now + settings.lease,
              routes.next != 0 ? routes.activation_time : Time{0}};
  for (std::uint64_t index = ledger.applied + 1; index <= log.last(); ++index) {
    const auto& command = log.at(index).command;
    const auto* activate = command ? std::get_if<ActivateRoutes>(&command->body) : nullptr;
    if (activate != nullptr) fresh.until = std::min(fresh.until, activate->activation_time);
  }
  if (fresh.until <= now) return;
  grant = fresh;
  grant_term = voting.term;
  grant_beat = now;
}

void Record::State::send_chunk(const std::string& to, std::uint64_t offset, Outbox& out) {
  if (offset >= log.snapshot().size()) offset = 0;
  Message chunk;
  chunk.kind = kSnapshotChunk;
  chunk.term = voting.term;
  chunk.index = log.snapshot_index();
  chunk.index_term = log.snapshot_term();
  chunk.offset = offset;
  chunk.total = log.snapshot().size();
  chunk.bytes = log.snapshot().substr(offset, kChunkOctets);
  send(to, chunk, out);
}

void Record::State::on_chunk(Time now, const std::string& from, Message& message, Outbox& out) {
  if (message.term < voting.term && votes(settings.name)) return;
  if (message.total > kLongestSnapshot || role == Role::leader) return;
  Message answer;
  answer.kind = kSnapshotReply;
  answer.term = message.term;
  answer.index = message.index;
  const LogPosition place{message.index_term, message.index};
  if (message.index > ledger.applied) {
    if (LogPosition{assembly.term, assembly.index} != place)
      assembly = {message.index, message.index_term, {}};
    if (message.offset == assembly.octets.size()) assembly.octets += message.bytes;
    answer.offset = assembly.octets.size();
    if (assembly.octets.size() == message.total) {
      Ledger whole;
      std::string octets = std::move(assembly.octets);
      assembly = {};
      answer.offset = 0;
      if (!decode(octets, whole) || whole.applied != message.index) return;
      if (!log.install(message.index, message.index_term, std::move(octets))) {
        disk_failed = true;
        return;
      }
      ledger = std::move(whole);
      drop_applied();
      if (role != Role::candidate) follow(now);
    }
  }
  answer.flag = message.index <= ledger.applied;  // all of it
  send(from, answer, out);
}

void Record::State::on_chunked(Time now, const std::string& from, const Message& message, Outbox& out) {
  if (const auto learner = learners.find(from); learner != learners.end()) {
    if (message.flag) {
      learner->second.have = std::max(learner->second.have, message.index);
      push(now, from, learner->second, true, out);
    } else if (message.index == log.snapshot_index()) {
      send_chunk(from, message.offset, out);
    }
    return;
  }
  if (role != Role::leader || message.term != voting.term || !peers.contains(from)) return;
  Peer& peer = peers[from];
  if (message.flag) {
    peer.chunk = 0;
    peer.next = std::max(peer.next, message.index + 1);
    return send_append(now, from, out);
  }
  if (message.index != log.snapshot_index()) return;
  peer.chunk = message.offset;
  send_chunk(from, peer.chunk, out);
}

}  // namespace marblehub::fleet
