// Distribution of committed entries and grants to the members that do not vote. Each learns from one upstream
// member, which pushes updates to it. A member serves at most eight learners and redirects others to those.
#include <algorithm>

#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMaxLearners = 8;
// In heartbeat intervals. A learner that misses a grant requests it by stream after kGrantInterval + 1
// intervals. If that is lost too, TCP retransmits after 200 ms (RFC 6298, the minimum on Linux): with a lease
// of 600 ms after 500 ms in total, while a grant is used for 550 ms.
constexpr int kGrantInterval = 5;      // between grants to a learner if there is no other update
constexpr int kStaleAfter = 8;         // without an update, another upstream is selected
constexpr int kFirstReplyTimeout = 2;  // for the first reply of a new upstream
// Between requests if no update is lost, and until a silent learner is removed.
constexpr int kRenewalInterval = 40, kForgetAfter = 50;

}  // namespace

// Term and heartbeat of the grant are omitted if they equal those of the message, as they do while a majority
// replies.
void Record::State::attach_lease(Message& message) const {
  if (!grant) return;
  auto lease = std::make_unique<fb::LeaseT>();
  lease->version = grant->version, lease->next = grant->next;
  lease->until = grant->until, lease->activation_time = grant->activation_time;
  if (grant_term != message.term || grant_heartbeat != message.heartbeat)
    lease->term = grant_term, lease->heartbeat = grant_heartbeat;
  message.lease = std::move(lease);
}

bool Record::State::process_heartbeat(Time now, const Message& message) {
  if (message.lease != nullptr) {
    const fb::LeaseT& lease = *message.lease;
    const std::pair granted = lease.term != 0 ? std::pair(lease.term, lease.heartbeat)  //
                                              : std::pair(message.term, message.heartbeat);
    if (granted > std::pair(grant_term, static_cast<std::int64_t>(grant_heartbeat))) {
      grant = Grant{lease.version, lease.next, lease.until, lease.activation_time};
      grant_term = granted.first;
      grant_heartbeat = granted.second;
    }
  }
  if (std::pair(message.term, message.heartbeat) <=
      std::pair(heartbeat_term, static_cast<std::int64_t>(heartbeat_sent_at)))
    return false;
  heartbeat_term = message.term;
  heartbeat_sent_at = message.heartbeat;
  heartbeat_received_at = last_update = now;
  if (!message.leader.empty()) leader = message.leader;
  return true;
}

// Reports to upstream what this member has, so that it sends what is missing.
void Record::State::send_learn_request(Time now, Outbox& out) {
  last_request = now;
  due_learn = std::max(now + heartbeat_interval, last_update + (kGrantInterval + 1) * heartbeat_interval);
  Message request;
  request.kind = kLearnRequest;
  request.index = ledger.applied;
  request.term = heartbeat_term;
  request.heartbeat = heartbeat_sent_at;
  send(upstream, request, out);
}

void Record::State::switch_upstream(Time now, const std::string& name, Outbox& out) {
  upstream = name;
  last_update = now - (kStaleAfter - kFirstReplyTimeout) * heartbeat_interval;
  send_learn_request(now, out);
}

void Record::State::request_updates(Time now, Outbox& out) {
  if (now - last_update < kStaleAfter * heartbeat_interval && !upstream.empty())
    return send_learn_request(now, out);
  std::vector<std::string> candidates = voters();  // upstream is stale: try another member
  if (random() % 4 == 0)
    candidates = alive_members;  // if no voter is reachable, another member may be up to date
  std::erase(candidates, settings.name);
  if (candidates.empty()) candidates = voters();
  switch_upstream(now, candidates[random() % candidates.size()], out);
}

void Record::State::on_learn_request(Time now, const std::string& from, const Message& message, Outbox& out) {
  const auto found = learners.find(from);
  const bool stale =
      role != Role::leader &&
      (leader.empty() || now - heartbeat_received_at > kStaleAfter * heartbeat_interval || from == upstream);
  if (stale || (found == learners.end() && learners.size() >= kMaxLearners)) {
    Message redirect;
    redirect.kind = kLearnRedirect;
    if (!stale)
      for (const auto& [name, learner] : learners) redirect.names.push_back(name);
    return send(from, redirect, out);
  }
  Learner& learner = learners[from];
  const bool added = found == learners.end();
  learner.last_request = now;
  // The learner may have missed updates; everything after its index is sent again.
  learner.sent_index = message.index;
  const std::uint64_t term = role == Role::leader ? voting.term : heartbeat_term;
  const Time heartbeat = role == Role::leader ? due_heartbeat - heartbeat_interval : heartbeat_sent_at;
  if (added || message.index < ledger.applied ||
      std::pair(message.term, static_cast<Time>(message.heartbeat)) < std::pair(term, heartbeat))
    push_update(now, from, learner, true, out);
}

// Entries and replies are sent by stream, a grant alone as a datagram, as the next grant replaces a lost one.
void Record::State::push_update(Time now, const std::string& to, Learner& learner, bool reply, Outbox& out) {
  if (learner.sent_index < log.base()) return send_chunk(to, 0, out);
  Message update;
  update.kind = kLearnUpdate;
  update.term = role == Role::leader ? voting.term : heartbeat_term;
  update.heartbeat = role == Role::leader ? due_heartbeat - heartbeat_interval : heartbeat_sent_at;
  update.commit = ledger.applied;
  attach_lease(update);
  update.entries = entries_from(learner.sent_index + 1, ledger.applied);
  learner.sent_index += update.entries.size();
  learner.last_push = now;
  const bool full = reply || !update.entries.empty() || learner.sent_term != update.term;
  learner.sent_term = update.term;
  if (full) update.leader = leader, update.total = log.last();
  send(to, update, out, full ? Transport::stream : Transport::datagram);
}

// Pushes updates to the learners. `heartbeat_only`: there is nothing but a new heartbeat, of which a learner
// gets one per kGrantInterval.
void Record::State::push_to_learners(Time now, bool heartbeat_only, Outbox& out) {
  std::erase_if(learners, [&](const auto& named) {
    return now - named.second.last_request > kForgetAfter * heartbeat_interval || has_vote(named.first);
  });
  const bool activation_changed =
      grant && std::tie(grant->version, grant->next, grant->activation_time) != pushed_activation;
  if (activation_changed) pushed_activation = {grant->version, grant->next, grant->activation_time};
  for (auto& [name, learner] : learners) {
    if (learner.sent_index < log.base()) continue;  // a snapshot transfer is driven by its replies
    const bool due = now - learner.last_push >= kGrantInterval * heartbeat_interval - heartbeat_interval / 2;
    if (!heartbeat_only || activation_changed || due || learner.sent_index < ledger.applied)
      push_update(now, name, learner, false, out);
  }
}

void Record::State::on_learn_update(Time now, const std::string& from, Message& message, Outbox& out) {
  if (role == Role::leader || from != upstream) return;
  if (voting.excluded && voting.readmit_after == 0 && message.total != 0) set_excluded(true, message.total);
  const std::uint64_t applied_before = ledger.applied;
  std::vector<Disk::Entry> entries;
  for (auto& entry : message.entries) {
    if (entry->index <= log.base()) continue;
    if (entry->index > applied_before)
      entries.push_back({entry->index, entry->term, std::move(entry->command)});
  }
  if (!entries.empty() && entries.front().index == applied_before + 1) {
    if (!log.append(entries)) {
      disk_failed = disk != nullptr;
      return;
    }
    apply_up_to(now, std::min(message.commit, entries.back().index), out);
  }
  const bool is_new = process_heartbeat(now, message);
  if (is_new)
    due_learn = std::min(last_request + kRenewalInterval * heartbeat_interval,
                         now + (kGrantInterval + 1) * heartbeat_interval);
  if (role == Role::observer && has_vote(settings.name) && disk != nullptr) become_follower(now);
  if (is_new || ledger.applied > applied_before) push_to_learners(now, false, out);
  // An update was lost, or the entries did not fit into one message.
  if (message.commit <= ledger.applied) return;
  if (now - last_request >= heartbeat_interval) return send_learn_request(now, out);
  due_learn = last_request + heartbeat_interval;
}

void Record::State::on_learn_redirect(Time now, const std::string& from, const Message& message,
                                      Outbox& out) {
  if (from != upstream || role == Role::leader) return;
  std::vector<std::string> names = message.names;
  std::erase(names, settings.name);
  upstream.clear();
  if (names.empty()) {
    due_learn = std::max(due_learn, now + heartbeat_interval);
    return;
  }
  switch_upstream(now, names[random() % names.size()], out);
}

}  // namespace marblehub::fleet
