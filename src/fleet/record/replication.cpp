// Log replication to the voters, commitment, snapshots, and the leases that depend on them (Raft,
// sections 3.5, 3.6, 5 and 6.4 of Ongaro's dissertation).
#include <algorithm>

#include "check/check.h"
#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMaxBytes = 384 * 1024;  // of entries in a message; a stream allows 1 MiB
constexpr std::size_t kMaxEntries = 512;
constexpr std::size_t kChunkBytes = 256 * 1024;
constexpr std::size_t kMaxSnapshotBytes = 64 * 1024 * 1024;
constexpr std::uint64_t kCompactionInterval = 512;

}  // namespace

std::vector<std::unique_ptr<fb::EntryT>> Record::State::entries_from(std::uint64_t from,
                                                                     std::uint64_t to) const {
  std::vector<std::unique_ptr<fb::EntryT>> entries;
  std::size_t bytes = 0;
  for (std::uint64_t index = from; index <= to && bytes < kMaxBytes && entries.size() < kMaxEntries;
       ++index) {
    if (!entries.empty() && bytes + log.at(index).encoded.size() > kMaxBytes) break;
    auto& entry = *entries.emplace_back(std::make_unique<fb::EntryT>());
    entry.index = index;
    entry.term = log.at(index).term;
    entry.command = log.at(index).encoded;
    bytes += entry.command.size() + 32;
  }
  return entries;
}

void Record::State::broadcast_heartbeat(Time now, Outbox& out) {
  due_heartbeat = now + heartbeat_interval;
  if (voters().size() > 1 && now - majority_contact_time(now) > 2 * election_timeout) {
    leader.clear();  // another leader may have been elected
    return become_follower(now);
  }
  renew_grant(now);
  for (const std::string& voter : voters()) {
    if (voter == settings.name) continue;
    send_append(now, voter, out);
  }
  complete_activation(now, out);
  push_to_learners(now, true, out);
}

void Record::State::send_append(Time now, const std::string& to, Outbox& out) {
  const auto [found, added] = peers.try_emplace(to);
  Peer& peer = found->second;
  if (added) {
    peer.next = log.last() + 1;
    peer.contact = now - election_timeout;
  }
  Message request;
  request.kind = kAppendRequest;
  request.term = voting.term;
  request.heartbeat = now;
  request.commit = ledger.applied;
  request.total = log.last();
  attach_lease(request);
  if (peer.next <= log.base()) {  // the entries are compacted: send the snapshot, and a heartbeat
    send_chunk(to, peer.snapshot_offset, out);
    request.index = 0;
  } else {
    request.index = peer.next - 1;
    request.index_term = *log.term_at(request.index);
    request.entries = entries_from(peer.next, log.last());
    peer.next += request.entries.size();  // optimistic; a reply with a lower index corrects it
  }
  send(to, request, out);
}

void Record::State::on_append_request(Time now, const std::string& from, Message& message, Outbox& out) {
  Message reply;
  reply.kind = kAppendReply;
  reply.heartbeat = message.heartbeat;
  reply.term = voting.term;
  if (message.term < voting.term) return send(from, reply, out);
  if (message.term > voting.term) {
    if (!store_term(message.term, "")) return;
    become_follower(now);
  }
  MARBLEHUB_INVARIANT("record", role != Role::leader, "two leaders in term " + std::to_string(message.term));
  if (role != Role::follower) become_follower(now);
  leader = from;
  last_leader_contact = now;
  reset_election_timer(now);
  if (voting.excluded && voting.readmit_after == 0)
    set_excluded(true, std::max<std::uint64_t>(1, message.total));
  reply.term = voting.term;
  reply.flag = true;
  const std::uint64_t previous = message.index;
  if (previous > log.base() && log.term_at(previous) != std::optional(message.index_term)) {
    reply.flag = false;
    reply.index = ledger.applied;  // all applied entries match
    process_heartbeat(now, message);
    return send(from, reply, out);
  }
  std::vector<Disk::Entry> entries;
  for (auto& entry : message.entries)
    entries.push_back({entry->index, entry->term, std::move(entry->command)});
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].index != previous + 1 + i) return;
    MARBLEHUB_INVARIANT("record",
                        entries[i].index > ledger.applied || entries[i].index <= log.base() ||
                            log.term_at(entries[i].index) == std::optional(entries[i].term),
                        "an applied entry would change");
  }
  if (!entries.empty() && !log.append(entries)) {
    disk_failed = disk != nullptr;
    return;
  }
  reply.index = std::max(previous + entries.size(), previous < log.base() ? log.base() : 0);
  reply.index_term = log.term_at(reply.index).value_or(0);
  reply.offset = voting.excluded ? 1 : 0;
  const bool is_new = process_heartbeat(now, message);
  apply_up_to(now, std::min(message.commit, reply.index), out);
  send(from, reply, out);
  if (is_new) push_to_learners(now, true, out);
}

void Record::State::on_append_reply(Time now, const std::string& from, const Message& message, Outbox& out) {
  if (message.term > voting.term) {
    leader.clear();
    if (store_term(message.term, "")) become_follower(now);
    return;
  }
  if (role != Role::leader || message.term != voting.term || !peers.contains(from)) return;
  Peer& peer = peers[from];
  if (message.offset == 0) peer.contact = std::max(peer.contact, static_cast<Time>(message.heartbeat));
  if (!message.flag) {
    peer.next = std::min(message.index, log.last()) + 1;
    if (peer.next > log.base()) send_append(now, from, out);
    return;  // else the next heartbeat sends the snapshot
  }
  known_positions[from] = std::max(known_positions[from], LogPosition{message.index_term, message.index});
  known_terms[from] = std::max(known_terms[from], message.term);
  if (message.index > log.last()) return;
  // Acknowledgements of an excluded voter are not counted: it may have lost entries that it acknowledged
  // before.
  if (message.offset == 0) peer.match = std::max(peer.match, message.index);
  peer.next = std::max(peer.next, message.index + 1);
  advance_commit_index(now, out);
  if (role != Role::leader || !has_vote(from)) return;
  const std::uint64_t next = peers[from].next;
  if (next > log.base() && next <= log.last()) send_append(now, from, out);
}

void Record::State::advance_commit_index(Time now, Outbox& out) {
  std::vector<std::uint64_t> matches;
  for (const std::string& voter : voters())
    matches.push_back(voter == settings.name ? log.last() : peers[voter].match);
  std::ranges::sort(matches, std::greater<>());
  const std::uint64_t majority_match = matches[matches.size() / 2];
  // Only entries of the current term are committed by counting; earlier ones are committed with them (section
  // 3.6.2).
  if (majority_match <= ledger.applied || log.term_at(majority_match) != std::optional(voting.term)) return;
  apply_up_to(now, majority_match, out);
  if (!has_vote(settings.name))
    return become_follower(now);  // the change that removes the leader is committed
  broadcast_heartbeat(now, out);
}

void Record::State::apply_up_to(Time, std::uint64_t index, Outbox&) {
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
  if (!voting.excluded && catch_up_index && ledger.applied >= *catch_up_index) state_confirmed = true;
  if (ledger.applied >= log.snapshot_index() + kCompactionInterval) {
    if (!log.compact(ledger.applied, encode(ledger))) disk_failed = true;
  }
}

Time Record::State::majority_contact_time(Time now) const {
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

// A lease may be granted while no other leader can have been elected: a majority replied to requests that
// were sent within the election timeout, during which it votes for no other candidate. Uncommitted entries
// count too: no lease on the current version extends beyond the activation time of an appended
// ActivateRoutes.
void Record::State::renew_grant(Time now) {
  if (ledger.applied < term_start ||
      now - majority_contact_time(now) >= election_timeout - settings.clock_bound)
    return;
  const RouteState& routes = ledger.routes;
  if (routes.next == 0 && now < routes.activation_time + settings.clock_bound) return;
  Grant renewed{routes.in_force, routes.next, now + settings.lease,
                routes.next != 0 ? routes.activation_time : Time{0}};
  for (std::uint64_t index = ledger.applied + 1; index <= log.last(); ++index) {
    const auto& command = log.at(index).command;
    const auto* activate = command ? std::get_if<ActivateRoutes>(&command->body) : nullptr;
    if (activate != nullptr) renewed.until = std::min(renewed.until, activate->activation_time);
  }
  if (renewed.until <= now) return;
  grant = renewed;
  grant_term = voting.term;
  grant_heartbeat = now;
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
  chunk.bytes = log.snapshot().substr(offset, kChunkBytes);
  send(to, chunk, out);
}

void Record::State::on_snapshot_chunk(Time now, const std::string& from, Message& message, Outbox& out) {
  if (message.term < voting.term && has_vote(settings.name)) return;
  if (message.total > kMaxSnapshotBytes || role == Role::leader) return;
  Message reply;
  reply.kind = kSnapshotReply;
  reply.term = message.term;
  reply.index = message.index;
  const LogPosition position{message.index_term, message.index};
  if (message.index > ledger.applied) {
    if (LogPosition{partial_snapshot.term, partial_snapshot.index} != position)
      partial_snapshot = {message.index, message.index_term, {}};
    if (message.offset == partial_snapshot.bytes.size()) partial_snapshot.bytes += message.bytes;
    reply.offset = partial_snapshot.bytes.size();
    if (partial_snapshot.bytes.size() == message.total) {
      Ledger restored;
      std::string bytes = std::move(partial_snapshot.bytes);
      partial_snapshot = {};
      reply.offset = 0;
      if (!decode(bytes, restored) || restored.applied != message.index) return;
      if (!log.install(message.index, message.index_term, std::move(bytes))) {
        disk_failed = true;
        return;
      }
      ledger = std::move(restored);
      drop_applied();
      if (role != Role::candidate) become_follower(now);
    }
  }
  reply.flag = message.index <= ledger.applied;  // complete
  send(from, reply, out);
}

void Record::State::on_snapshot_reply(Time now, const std::string& from, const Message& message,
                                      Outbox& out) {
  if (const auto learner = learners.find(from); learner != learners.end()) {
    if (message.flag) {
      learner->second.sent_index = std::max(learner->second.sent_index, message.index);
      push_update(now, from, learner->second, true, out);
    } else if (message.index == log.snapshot_index()) {
      send_chunk(from, message.offset, out);
    }
    return;
  }
  if (role != Role::leader || message.term != voting.term || !peers.contains(from)) return;
  Peer& peer = peers[from];
  if (message.flag) {
    peer.snapshot_offset = 0;
    peer.next = std::max(peer.next, message.index + 1);
    return send_append(now, from, out);
  }
  if (message.index != log.snapshot_index()) return;
  peer.snapshot_offset = message.offset;
  send_chunk(from, peer.snapshot_offset, out);
}

}  // namespace marblehub::fleet
