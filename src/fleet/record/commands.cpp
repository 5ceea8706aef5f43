// Commands on their way into the log, and what the leader adds of itself.
#include <algorithm>

#include "fleet/record/state.h"

namespace marblehub::fleet {
namespace {

constexpr std::uint8_t kMostHops = 8;
constexpr std::size_t kMostForwarded = 384 * 1024;

}  // namespace

std::uint64_t Record::State::propose(Time now, Body body, Outbox& out) {
  Command& command = pending.emplace_back();
  command.id = {settings.name, incarnation, ++number};
  command.body = std::move(body);
  const std::uint64_t mine = number;
  if (pending.size() == 1 || due_forward > now) forward(now, out);
  return mine;
}

void Record::State::forward(Time now, Outbox& out) {
  due_forward = now + 2 * pulse;
  if (pending.empty()) return;
  Message message;
  message.kind = kForward;
  std::size_t octets = 0;
  for (const Command& command : pending) {
    message.names.push_back(encode(command));
    octets += message.names.back().size();
    if (octets > kMostForwarded || message.names.size() >= 256) break;
  }
  on_forward(now, message, out);
}

void Record::State::on_forward(Time now, Message& message, Outbox& out) {
  if (role == Role::leader) return take(now, message.names, out);
  if (++message.hops > kMostHops) return;
  const bool near = disk != nullptr && votes(settings.name) && !leader.empty();
  const std::string& next = near ? leader : upstream;
  if (!next.empty() && next != settings.name) send(next, message, out);
}

// Each sender's commands enter the log in their order and once; a repeated one is there already.
void Record::State::take(Time now, std::vector<std::string>& commands, Outbox& out) {
  const std::uint64_t before = log.last();
  for (const std::string& octets : commands) {
    Command command;
    if (!decode(octets, command)) continue;
    const CommandId& last = logged[command.id.sender];
    if (command.id.incarnation < last.incarnation) continue;
    const std::uint64_t turn = command.id.incarnation == last.incarnation ? last.number + 1 : 1;
    if (command.id.number != turn) continue;
    if (auto* activate = std::get_if<ActivateRoutes>(&command.body))
      activate->activation_time =
          std::max(activate->activation_time, now + settings.lease + 2 * settings.clock_bound);
    if (auto* change = std::get_if<ChangeVoters>(&command.body)) {
      // It binds from here on, before it is agreed: so it must be one that will be applied as it stands, and
      // the one before it agreed, in this leader's term.
      const auto standing = log.voters();
      if (ledger.applied < term_start || (standing && standing->first > ledger.applied)) continue;
      Ledger trial;
      trial.voters = voters();
      Command first = command;
      first.id.incarnation = first.id.number = 1;
      if (!apply(trial, 1, first).empty())
        change->voters.clear();  // refused where it is applied
      else
        change->voters = trial.voters;
    }
    const CommandId id = command.id;
    if (!append_own(std::move(command))) return follow(now);
    logged[id.sender] = id;
  }
  if (log.last() == before) return;
  for (const std::string& voter : voters())
    if (voter != settings.name) send_append(now, voter, out);
  advance(now, out);
}

bool Record::State::append_own(std::optional<Command> command) {
  if (log.append({{log.last() + 1, voting.term, command ? encode(*command) : std::string()}})) return true;
  disk_failed = true;
  leader.clear();
  return false;
}

void Record::State::drop_applied() {
  const auto last = ledger.last_commands.find(settings.name);
  if (last == ledger.last_commands.end()) return;
  while (!pending.empty() && last->second >= pending.front().id) pending.pop_front();
}

void Record::State::after_applying(const Command& command, bool was_voter) {
  drop_applied();
  if (!std::holds_alternative<ChangeVoters>(command.body)) return;
  const bool is_voter = std::ranges::count(ledger.voters, settings.name) != 0;
  if (voting.excluded && voting.readmit_after != 0 && ledger.applied > voting.readmit_after && is_voter &&
      !was_voter) {
    vouched = true;
    set_outside(false, 0);
  }
}

void Record::State::keep_house(Time now, Outbox& out) {
  const RouteState& routes = ledger.routes;
  if (routes.next == 0 || now < routes.activation_time + settings.clock_bound || !pending.empty()) return;
  propose(now, CompleteRoutes{routes.next}, out);
}

}  // namespace marblehub::fleet
