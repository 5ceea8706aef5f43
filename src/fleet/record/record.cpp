#include "fleet/record/record.h"

#include <algorithm>

#include "fleet/record/state.h"
#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

// The ledger of an empty log.
Ledger initial_ledger(const Settings& settings) {
  Ledger ledger;
  ledger.voters = settings.voters;
  std::ranges::sort(ledger.voters);
  return ledger;
}

}  // namespace

Record::State::State(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet,
                     std::uint64_t seed, Time now)
    : settings(settings),
      incarnation(incarnation),
      disk(disk),
      election_timeout(std::max(settings.lease / 2, settings.clock_bound * 3)),
      heartbeat_interval(std::max<Time>(settings.lease / 12, kMillisecond)),
      random(seed),
      log(disk),
      ledger(initial_ledger(settings)),
      last_leader_contact(now) {
  if (disk != nullptr) {
    const Disk::Contents contents = disk->load();
    voting = contents.voting;
    log.load(contents);
    if (contents.snapshot_index != 0 &&
        (!decode(contents.snapshot, ledger) || ledger.applied != contents.snapshot_index))
      throw StorageError("record: the snapshot on disk does not match its index " +
                         std::to_string(contents.snapshot_index));
    if (contents.empty) set_excluded(!first_fleet, 0);
    if (contents.empty && first_fleet) state_confirmed = true;
  }
  become_follower(now);
}

std::vector<std::string> Record::State::voters() const {
  if (auto changed = log.voters()) return changed->second;
  return ledger.voters;
}

bool Record::State::has_vote(const std::string& name) const {
  const auto names = voters();
  return std::ranges::find(names, name) != names.end();
}

void Record::State::send(const std::string& to, Message& message, Outbox& out, Transport by) const {
  out.push_back({to, Component::record, by, encode_with_checksum(message)});
}

void Record::Release::operator()(State* state) const { delete state; }

Record::Record(const Settings& settings, std::uint64_t incarnation, Disk* disk, bool first_fleet,
               std::uint64_t seed, Time now)
    : state_(new State(settings, incarnation, disk, first_fleet, seed, now)) {}

void Record::update_members(Time, const std::vector<std::string>& alive, Outbox&) {
  state_->alive_members = alive;
  std::erase(state_->alive_members, state_->settings.name);
}

void Record::received(Time now, const std::string& from, std::string_view body, Outbox& out) {
  State& state = *state_;
  Message message;
  if (!decode_with_checksum(body, message) || from == state.settings.name) return;
  switch (message.kind) {
    case kVoteRequest:
      return state.on_vote_request(now, from, message, out);
    case kVoteReply:
      return state.on_vote_reply(now, from, message, out);
    case kAppendRequest:
      return state.on_append_request(now, from, message, out);
    case kAppendReply:
      return state.on_append_reply(now, from, message, out);
    case kSnapshotChunk:
      return state.on_snapshot_chunk(now, from, message, out);
    case kSnapshotReply:
      return state.on_snapshot_reply(now, from, message, out);
    case kForward:
      return state.on_forward(now, message, out);
    case kLearnRequest:
      return state.on_learn_request(now, from, message, out);
    case kLearnUpdate:
      return state.on_learn_update(now, from, message, out);
    case kLearnRedirect:
      return state.on_learn_redirect(now, from, message, out);
    case kRejoinRequest:
      return state.on_rejoin_request(now, from, message, out);
    case kRejoinReply:
      return state.on_rejoin_reply(from, message);
    default:
      return;  // a type of a newer version
  }
}

void Record::tick(Time now, Outbox& out) {
  State& state = *state_;
  if (state.voters().empty()) return;
  if (state.disk_failed && state.due_heartbeat <= now) {
    state.due_heartbeat = now + state.heartbeat_interval;
    state.disk_failed = !state.disk->store_voting_state(state.voting);
  }
  const bool voter = state.disk != nullptr && state.has_vote(state.settings.name);
  if (state.role == Role::leader) {
    if (state.due_heartbeat <= now) state.broadcast_heartbeat(now, out);
  } else if (voter) {
    if (state.role == Role::observer) state.become_follower(now);
    if (state.due_election <= now) {
      if (state.can_vote())
        state.campaign(now, true, out);
      else
        state.reset_election_timer(now);
    }
    // Without contact to a leader it may have been removed from the voters without knowing it.
    if (now - state.last_leader_contact > 4 * state.election_timeout && state.due_learn <= now)
      state.request_updates(now, out);
  } else {
    if (state.role != Role::observer) state.become_follower(now);
    if (state.due_learn <= now) state.request_updates(now, out);
  }
  if (state.disk != nullptr && (!state.state_confirmed || state.voting.excluded) && state.due_rejoin <= now)
    state.send_rejoin_request(now, out);
  if (!state.pending_commands.empty() && state.due_forward <= now) state.forward(now, out);
}

Time Record::next_due() const {
  const State& state = *state_;
  Time due = state.last_leader_contact + kSecond * 3600;
  const bool voter = state.disk != nullptr && state.has_vote(state.settings.name);
  if (state.role == Role::leader || state.disk_failed) due = state.due_heartbeat;
  if (state.role != Role::leader) due = std::min(due, voter ? state.due_election : state.due_learn);
  if (state.disk != nullptr && (!state.state_confirmed || state.voting.excluded))
    due = std::min(due, state.due_rejoin);
  if (!state.pending_commands.empty()) due = std::min(due, state.due_forward);
  return due;
}

std::uint64_t Record::propose(Time now, Body body, Outbox& out) {
  return state_->propose(now, std::move(body), out);
}

const Ledger& Record::ledger() const { return state_->ledger; }
std::optional<Grant> Record::grant() const { return state_->grant; }
Role Record::role() const { return state_->role; }
std::uint64_t Record::term() const {
  return state_->role == Role::observer ? std::max(state_->voting.term, state_->heartbeat_term)
                                        : state_->voting.term;
}
std::string Record::leader() const { return state_->leader; }
bool Record::has_majority(Time now) const {
  const State& state = *state_;
  if (state.voters().empty()) return false;
  if (state.role == Role::leader) return now - state.majority_contact_time(now) < 2 * state.election_timeout;
  return !state.leader.empty() && state.heartbeat_term != 0 &&
         now - state.heartbeat_received_at < 2 * state.election_timeout;
}
bool Record::may_vote() const { return state_->can_vote(); }

}  // namespace marblehub::fleet
