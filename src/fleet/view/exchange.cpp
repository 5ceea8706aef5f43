// Seeds, dead members, push-pulls of the full state by stream, and name conflicts.
#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

constexpr Time kSeedRetryInterval = 5 * kSecond;  // for seeds that are not live members, while others are
constexpr Time kMinConflictProbeInterval = kSecond / 2;

}  // namespace

using view::MessageKind;
using view::ViewMessage;

void View::State::step_maintenance(Time now, Outbox& out) {
  if (now >= next_seed_ping) {
    const bool alone = live_members == 1;
    next_seed_ping = now + (alone ? settings.probe : kSeedRetryInterval);
    std::vector<std::string> unreached;
    for (const std::string& seed : settings.seeds)
      if (seed != address && std::none_of(members.begin(), members.end(), [&](const auto& entry) {
            return is_live(entry.second.status) && entry.second.address == seed;
          }))
        unreached.push_back(seed);
    if (!alone && unreached.size() > 1) unreached = {unreached[random_index(unreached.size())]};
    for (const std::string& seed : unreached) {
      ViewMessage message;
      message.kind = MessageKind::ping;
      message.sequence = next_random();
      send(std::move(message), {}, seed, out);
    }
  }
  if (now >= next_reconnect) {  // a dead member that was behind a partition learns of it and refutes
    next_reconnect = now + 2 * settings.probe;
    std::vector<std::string> targets;
    if (dead_members) targets = random_members(1, is_dead, {});
    // Also members suspected for long: if the suspicion spread behind a partition, there may be no other
    // member that informs them.
    for (const auto& [peer, suspicion] : suspicions)
      if (now - suspicion.started > 2 * settings.probe && targets.size() < 2) targets.push_back(peer);
    for (const std::string& peer : targets) {
      ViewMessage message;
      message.kind = MessageKind::ping;
      message.sequence = next_random();
      message.target = peer;
      send(std::move(message), peer, members.at(peer).address, out);
    }
  }
  if (now >= next_push_pull) {
    next_push_pull = now + kPushPullInterval;
    for (const std::string& peer : random_members(1, is_live, {})) request_push_pull(now, peer, out);
    for (auto it = members.begin(); it != members.end();) {
      const Member& member = it->second;
      const bool expired =
          !is_live(member.status) && now - member.since > kDeadMemberRetention && &member != own_member;
      if (expired) {
        dead_members -= is_dead(member.status);
        gossip.remove(member.name);
      }
      it = expired ? members.erase(it) : std::next(it);
    }
  }
}

void View::State::request_push_pull(Time now, const std::string& to, Outbox& out) {
  ViewMessage message;
  message.kind = MessageKind::push_pull_request;
  fill_header(message);
  message.digest = digest;
  last_push_pull = now;
  out.push_back({to, Component::view, Transport::stream, view::encode(message)});
}

void View::State::send_full_state(Time now, MessageKind kind, const std::string& to, Outbox& out) {
  ViewMessage message;
  message.kind = kind;
  fill_header(message);
  message.digest = digest;
  for (const auto& [other, member] : members) {
    message.updates.push_back(update_for(member));
    message.updates.back().age = now - member.since;
  }
  out.push_back({to, Component::view, Transport::stream, view::encode(message)});
}

void View::State::on_push_pull(Time now, const std::string& from, const ViewMessage& message,
                               std::size_t changes, Outbox& out) {
  // A push-pull with several changes is followed by another soon: members are joining, or a partition healed.
  if (changes > 1) {
    const Time min_delay = settings.probe * 2 / 5;
    const auto spread = static_cast<std::size_t>(settings.probe - min_delay);
    next_push_pull = std::min(next_push_pull, now + min_delay + static_cast<Time>(random_index(spread)));
  }
  auto it = members.find(from);
  const std::string to =
      it != members.end() && it->second.address == message.address ? from : "@" + message.address;
  if (message.digest == digest) return;  // the states are equal
  if (message.kind == MessageKind::push_pull_request)
    send_full_state(now, MessageKind::push_pull_state, to, out);
  if (message.kind == MessageKind::push_pull_state)
    send_full_state(now, MessageKind::push_pull_reply, to, out);
}

// The message may be an old one that is replayed: only the ack to a ping of this process proves that the
// other one is running now.
void View::State::handle_name_conflict(Time now, const ViewMessage& message, Outbox& out) {
  if (message.address == address) return;  // sent by this process or an earlier one at its address
  if (message.kind == MessageKind::ack && conflict_sequence != 0 && message.sequence == conflict_sequence) {
    conflict_sequence = 0;
    if (std::pair(message.start_incarnation, message.address) < std::pair(start_incarnation, address))
      conflicting_address = message.address;
    return;
  }
  if (message.kind == MessageKind::ping) {
    ViewMessage ack;
    ack.kind = MessageKind::ack;
    ack.sequence = message.sequence;
    fill_header(ack);
    out.push_back({"@" + message.address, Component::view, Transport::datagram, view::encode(ack)});
  }
  probe_name_conflict(now, message.address, out);
}

void View::State::probe_name_conflict(Time now, const std::string& other_address, Outbox& out) {
  if (now < conflict_probed_at + kMinConflictProbeInterval) return;
  conflict_probed_at = now;
  conflict_sequence = next_random() | 1;
  ViewMessage ping;
  ping.kind = MessageKind::ping;
  ping.sequence = conflict_sequence;
  ping.target = name;
  fill_header(ping);
  out.push_back({"@" + other_address, Component::view, Transport::datagram, view::encode(ping)});
}

}  // namespace marblehub::fleet
