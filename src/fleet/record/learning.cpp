// Those who do not vote learn through each other: each asks one member and is pushed what is agreed, and a
// grant now and then; each serves at most eight and points others on to those.
#include <algorithm>

#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::size_t kMostLearners = 8;
// In pulses. A grant that is lost is asked for by stream after kGrant + 1; a stream that loses that too sends
// it again after 200 ms (RFC 6298, Linux's least): at a lease of 600 ms that is 500 ms, before the 550 for
// which a grant is used.
constexpr int kGrant = 5;                // between grants to one learner, where nothing else is new
constexpr int kStale = 8;                // without news: another is asked
constexpr int kFirst = 2;                // until one asked for the first time must have answered
constexpr int kKeep = 40, kForget = 50;  // between asks where all arrives; until a learner is forgotten

}  // namespace

// What equals the message's own term and beat, as it does while a majority answers, is left out.
void Record::State::put_lease(Message& message) const {
  if (!grant) return;
  auto lease = std::make_unique<fb::LeaseT>();
  lease->version = grant->version, lease->next = grant->next;
  lease->until = grant->until, lease->activation_time = grant->activation_time;
  if (grant_term != message.term || grant_beat != message.heartbeat)
    lease->term = grant_term, lease->heartbeat = grant_beat;
  message.lease = std::move(lease);
}

bool Record::State::hear(Time now, const Message& message) {
  if (message.lease != nullptr) {
    const fb::LeaseT& lease = *message.lease;
    const std::pair granted = lease.term != 0 ? std::pair(lease.term, lease.heartbeat)  //
                                              : std::pair(message.term, message.heartbeat);
    if (granted > std::pair(grant_term, static_cast<std::int64_t>(grant_beat))) {
      grant = Grant{lease.version, lease.next, lease.until, lease.activation_time};
      grant_term = granted.first;
      grant_beat = granted.second;
    }
  }
  if (std::pair(message.term, message.heartbeat) <=
      std::pair(beat_term, static_cast<std::int64_t>(beat_sent)))
    return false;
  beat_term = message.term;
  beat_sent = message.heartbeat;
  beat_heard = answered = now;
  if (!message.leader.empty()) leader = message.leader;
  return true;
}

// To the one upstream: what is here, so that it sends what is not.
void Record::State::ask_upstream(Time now, Outbox& out) {
  asked = now;
  due_learn = std::max(now + pulse, answered + (kGrant + 1) * pulse);
  Message ask;
  ask.kind = kLearnRequest;
  ask.index = ledger.applied;
  ask.term = beat_term;
  ask.heartbeat = beat_sent;
  send(upstream, ask, out);
}

void Record::State::ask_first(Time now, const std::string& whom, Outbox& out) {
  upstream = whom;
  answered = now - (kStale - kFirst) * pulse;
  ask_upstream(now, out);
}

void Record::State::learn(Time now, Outbox& out) {
  if (now - answered < kStale * pulse && !upstream.empty()) return ask_upstream(now, out);
  std::vector<std::string> known_members = voters();  // it knows nothing newer: try another
  if (random() % 4 == 0) known_members = alive;       // were all voters out of reach, another may have more
  std::erase(known_members, settings.name);
  if (known_members.empty()) known_members = voters();
  ask_first(now, known_members[random() % known_members.size()], out);
}

void Record::State::on_learn(Time now, const std::string& from, const Message& message, Outbox& out) {
  const auto standing = learners.find(from);
  const bool stale =
      role != Role::leader && (leader.empty() || now - beat_heard > kStale * pulse || from == upstream);
  if (stale || (standing == learners.end() && learners.size() >= kMostLearners)) {
    Message elsewhere;
    elsewhere.kind = kLearnRedirect;
    if (!stale)
      for (const auto& [name, learner] : learners) elsewhere.names.push_back(name);
    return send(from, elsewhere, out);
  }
  Learner& learner = learners[from];
  const bool fresh = standing == learners.end();
  learner.heard = now;
  // It asks where it misses something, and what was pushed since is sent again then.
  learner.have = message.index;
  const std::uint64_t term = role == Role::leader ? voting.term : beat_term;
  const Time heartbeat = role == Role::leader ? due_beat - pulse : beat_sent;
  if (fresh || message.index < ledger.applied ||
      std::pair(message.term, static_cast<Time>(message.heartbeat)) < std::pair(term, heartbeat))
    push(now, from, learner, true, out);
}

// Entries and answers go by stream. A grant alone is a datagram: one that is late is of no use, the next is.
void Record::State::push(Time now, const std::string& to, Learner& learner, bool answer, Outbox& out) {
  if (learner.have < log.base()) return send_chunk(to, 0, out);
  Message news;
  news.kind = kLearnUpdate;
  news.term = role == Role::leader ? voting.term : beat_term;
  news.heartbeat = role == Role::leader ? due_beat - pulse : beat_sent;
  news.commit = ledger.applied;
  put_lease(news);
  news.entries = entries_from(learner.have + 1, ledger.applied);
  learner.have += news.entries.size();
  learner.told = now;
  const bool all = answer || !news.entries.empty() || learner.told_term != news.term;
  learner.told_term = news.term;
  if (all) news.leader = leader, news.total = log.last();
  send(to, news, out, all ? Transport::stream : Transport::datagram);
}

// `paced`: what came is a heartbeat, of which a learner needs one in kGrant; else it is news to be passed on.
void Record::State::push_all(Time now, bool paced, Outbox& out) {
  std::erase_if(learners, [&](const auto& named) {
    return now - named.second.heard > kForget * pulse || votes(named.first);
  });
  const bool turned = grant && std::tie(grant->version, grant->next, grant->activation_time) != turn_told;
  if (turned) turn_told = {grant->version, grant->next, grant->activation_time};
  for (auto& [name, learner] : learners) {
    if (learner.have < log.base()) continue;  // a snapshot goes on by its own answers
    const bool due = now - learner.told >= kGrant * pulse - pulse / 2;
    if (!paced || turned || due || learner.have < ledger.applied) push(now, name, learner, false, out);
  }
}

void Record::State::on_learnt(Time now, const std::string& from, Message& message, Outbox& out) {
  if (role == Role::leader || from != upstream) return;
  if (voting.excluded && voting.readmit_after == 0 && message.total != 0) set_outside(true, message.total);
  const std::uint64_t before = ledger.applied;
  std::vector<Disk::Entry> entries;
  for (auto& entry : message.entries) {
    if (entry->index <= log.base()) continue;
    if (entry->index > before) entries.push_back({entry->index, entry->term, std::move(entry->command)});
  }
  if (!entries.empty() && entries.front().index == before + 1) {
    if (!log.append(entries)) {
      disk_failed = disk != nullptr;
      return;
    }
    commit_to(now, std::min(message.commit, entries.back().index), out);
  }
  const bool news = hear(now, message);
  if (news) due_learn = std::min(asked + kKeep * pulse, now + (kGrant + 1) * pulse);
  if (role == Role::observer && votes(settings.name) && disk != nullptr) follow(now);
  if (news || ledger.applied > before) push_all(now, false, out);
  // Something was lost, or there is more than one message holds.
  if (message.commit <= ledger.applied) return;
  if (now - asked >= pulse) return ask_upstream(now, out);
  due_learn = asked + pulse;
}

void Record::State::on_elsewhere(Time now, const std::string& from, const Message& message, Outbox& out) {
  if (from != upstream || role == Role::leader) return;
  std::vector<std::string> names = message.names;
  std::erase(names, settings.name);
  upstream.clear();
  if (names.empty()) {
    due_learn = std::max(due_learn, now + pulse);
    return;
  }
  ask_first(now, names[random() % names.size()], out);
}

}  // namespace marblehub::fleet
