#include "fleet/record/record.h"

#include <algorithm>

#include "fleet/record/state.h"
#include "fleet/storage_error.h"

namespace marblehub::fleet {
namespace {

// What all start from before anything is agreed.
Ledger first_ledger(const Settings& settings) {
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
      pulse(std::max<Time>(settings.lease / 12, kMillisecond)),
      random(seed),
      log(disk),
      ledger(first_ledger(settings)),
      heard(now) {
  if (disk != nullptr) {
    const Disk::Contents contents = disk->load();
    voting = contents.voting;
    log.load(contents);
    if (contents.snapshot_index != 0 &&
        (!decode(contents.snapshot, ledger) || ledger.applied != contents.snapshot_index))
      throw StorageError("record: the snapshot on disk is not of its index " +
                         std::to_string(contents.snapshot_index));
    if (contents.empty) set_outside(!first_fleet, 0);
    if (contents.empty && first_fleet) vouched = true;
  }
  follow(now);
}

std::vector<std::string> Record::State::voters() const {
  if (auto changed = log.voters()) return changed->second;
  return ledger.voters;
}

bool Record::State::votes(const std::string& name) const {
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
  state_->alive = alive;
  std::erase(state_->alive, state_->settings.name);
}

void Record::received(Time now, const std::string& from, std::string_view body, Outbox& out) {
  State& state = *state_;
  Message message;
  if (!decode_with_checksum(body, message) || from == state.settings.name) return;
  switch (message.kind) {
    case kVoteRequest:
      return state.on_ask(now, from, message, out);
    case kVoteReply:
      return state.on_answer(now, from, message, out);
    case kAppendRequest:
      return state.on_append(now, from, message, out);
    case kAppendReply:
      return state.on_appended(now, from, message, out);
    case kSnapshotChunk:
      return state.on_chunk(now, from, message, out);
    case kSnapshotReply:
      return state.on_chunked(now, from, message, out);
    case kForward:
      return state.on_forward(now, message, out);
    case kLearnRequest:
      return state.on_learn(now, from, message, out);
    case kLearnUpdate:
      return state.on_learnt(now, from, message, out);
    case kLearnRedirect:
      return state.on_elsewhere(now, from, message, out);
    case kRejoinRequest:
      return state.on_hello(now, from, message, out);
    case kRejoinReply:
      return state.on_hello_back(from, message);
    default:
      return;  // of a newer schema
  }
}

void Record::tick(Time now, Outbox& out) {
  State& state = *state_;
  if (state.voters().empty()) return;
  if (state.disk_failed && state.due_beat <= now) {
    state.due_beat = now + state.pulse;
    state.disk_failed = !state.disk->store_voting_state(state.voting);
  }
  const bool voter = state.disk != nullptr && state.votes(state.settings.name);
  if (state.role == Role::leader) {
    if (state.due_beat <= now) state.broadcast_heartbeat(now, out);
  } else if (voter) {
    if (state.role == Role::observer) state.follow(now);
    if (state.due_campaign <= now) {
      if (state.can_vote())
        state.campaign(now, true, out);
      else
        state.wait_anew(now);
    }
    // No leader speaks to it: it may have been taken out of the voters without hearing of it.
    if (now - state.heard > 4 * state.election_timeout && state.due_learn <= now) state.learn(now, out);
  } else {
    if (state.role != Role::observer) state.follow(now);
    if (state.due_learn <= now) state.learn(now, out);
  }
  if (state.disk != nullptr && (!state.vouched || state.voting.excluded) && state.due_hello <= now)
    state.say_hello(now, out);
  if (!state.pending.empty() && state.due_forward <= now) state.forward(now, out);
}

Time Record::next_due() const {
  const State& state = *state_;
  Time due = state.heard + kSecond * 3600;
  const bool voter = state.disk != nullptr && state.votes(state.settings.name);
  if (state.role == Role::leader || state.disk_failed) due = state.due_beat;
  if (state.role != Role::leader) due = std::min(due, voter ? state.due_campaign : state.due_learn);
  if (state.disk != nullptr && (!state.vouched || state.voting.excluded))
    due = std::min(due, state.due_hello);
  if (!state.pending.empty()) due = std::min(due, state.due_forward);
  return due;
}

std::uint64_t Record::propose(Time now, Body body, Outbox& out) {
  return state_->propose(now, std::move(body), out);
}

const Ledger& Record::ledger() const { return state_->ledger; }
std::optional<Grant> Record::grant() const { return state_->grant; }
Role Record::role() const { return state_->role; }
std::uint64_t Record::term() const {
  return state_->role == Role::observer ? std::max(state_->voting.term, state_->beat_term)
                                        : state_->voting.term;
}
std::string Record::leader() const { return state_->leader; }
bool Record::has_majority(Time now) const {
  const State& state = *state_;
  if (state.voters().empty()) return false;
  if (state.role == Role::leader) return now - state.contact_of_majority(now) < 2 * state.election_timeout;
  return !state.leader.empty() && state.beat_term != 0 && now - state.beat_heard < 2 * state.election_timeout;
}
bool Record::may_vote() const { return state_->can_vote(); }

}  // namespace marblehub::fleet
