// Submission of commands, their way to the leader and into its log.
#include <algorithm>

#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::uint8_t kMaxHops = 8;
constexpr std::size_t kMaxForwardedBytes = 384 * 1024;

}  // namespace

std::uint64_t Record::State::propose(Time now, Body body, Outbox& out) {
  Command& command = pending_commands.emplace_back();
  command.id = {settings.name, incarnation, ++number};
  command.body = std::move(body);
  const std::uint64_t assigned = number;
  if (pending_commands.size() == 1 || due_forward > now) forward(now, out);
  return assigned;
}

void Record::State::forward(Time now, Outbox& out) {
  due_forward = now + 2 * heartbeat_interval;
  if (pending_commands.empty()) return;
  Message message;
  message.kind = kForward;
  std::size_t bytes = 0;
  for (const Command& command : pending_commands) {
    message.names.push_back(encode(command));
    bytes += message.names.back().size();
    if (bytes > kMaxForwardedBytes || message.names.size() >= 256) break;
  }
  on_forward(now, message, out);
}

void Record::State::on_forward(Time now, Message& message, Outbox& out) {
  if (role == Role::leader) return append_commands(now, message.names, out);
  if (++message.hops > kMaxHops) return;
  const bool as_voter = disk != nullptr && has_vote(settings.name) && !leader.empty();
  const std::string& next = as_voter ? leader : upstream;
  if (!next.empty() && next != settings.name) send(next, message, out);
}

// Appends the commands of each sender in order and once; duplicates are skipped.
void Record::State::append_commands(Time now, std::vector<std::string>& commands, Outbox& out) {
  const std::uint64_t last_before = log.last();
  for (const std::string& bytes : commands) {
    Command command;
    if (!decode(bytes, command)) continue;
    const CommandId& last = last_logged[command.id.sender];
    if (command.id.incarnation < last.incarnation) continue;
    const std::uint64_t expected = command.id.incarnation == last.incarnation ? last.number + 1 : 1;
    if (command.id.number != expected) continue;
    if (auto* activate = std::get_if<ActivateRoutes>(&command.body))
      activate->activation_time =
          std::max(activate->activation_time, now + settings.lease + 2 * settings.clock_bound);
    if (auto* change = std::get_if<ChangeVoters>(&command.body)) {
      // A change of the voters takes effect when it is appended, so it must be certain to be applied
      // unchanged, and the previous change must be committed in the term of this leader.
      const auto latest_change = log.voters();
      if (ledger.applied < term_start || (latest_change && latest_change->first > ledger.applied)) continue;
      Ledger scratch;
      scratch.voters = voters();
      Command renumbered = command;
      renumbered.id.incarnation = renumbered.id.number = 1;
      if (!apply(scratch, 1, renumbered).empty())
        change->voters.clear();  // rejected when it is applied
      else
        change->voters = scratch.voters;
    }
    const CommandId id = command.id;
    if (!append_entry(std::move(command))) return become_follower(now);
    last_logged[id.sender] = id;
  }
  if (log.last() == last_before) return;
  for (const std::string& voter : voters())
    if (voter != settings.name) send_append(now, voter, out);
  advance_commit_index(now, out);
}

bool Record::State::append_entry(std::optional<Command> command) {
  if (log.append({{log.last() + 1, voting.term, command ? encode(*command) : std::string()}})) return true;
  disk_failed = true;
  leader.clear();
  return false;
}

void Record::State::drop_applied() {
  const auto last = ledger.last_commands.find(settings.name);
  if (last == ledger.last_commands.end()) return;
  while (!pending_commands.empty() && last->second >= pending_commands.front().id)
    pending_commands.pop_front();
}

void Record::State::after_applying(const Command& command, bool was_voter) {
  drop_applied();
  if (!std::holds_alternative<ChangeVoters>(command.body)) return;
  const bool is_voter = std::ranges::count(ledger.voters, settings.name) != 0;
  if (voting.excluded && voting.readmit_after != 0 && ledger.applied > voting.readmit_after && is_voter &&
      !was_voter) {
    state_confirmed = true;
    set_excluded(false, 0);
  }
}

void Record::State::complete_activation(Time now, Outbox& out) {
  const RouteState& routes = ledger.routes;
  if (routes.next == 0 || now < routes.activation_time + settings.clock_bound || !pending_commands.empty())
    return;
  propose(now, CompleteRoutes{routes.next}, out);
}

}  // namespace marblehub::fleet
