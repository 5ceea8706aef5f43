// Joiners, those that are gone and met again, twins, and whole views by stream.
#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

constexpr Time kSeedPace = 5 * kSecond;  // for seeds that are no member, while others are
constexpr Time kTwinPace = kSecond / 2;

}  // namespace

using view::MessageKind;
using view::ViewMessage;

void View::State::step_meetings(Time now, Outbox& out) {
  if (now >= next_seed) {
    const bool alone = present == 1;
    next_seed = now + (alone ? settings.probe : kSeedPace);
    std::vector<std::string> unknown;
    for (const std::string& seed : settings.seeds)
      if (seed != address && std::none_of(members.begin(), members.end(), [&](const auto& one) {
            return is_live(one.second.status) && one.second.address == seed;
          }))
        unknown.push_back(seed);
    if (!alone && unknown.size() > 1) unknown = {unknown[one_of(unknown.size())]};
    for (const std::string& seed : unknown) {
      ViewMessage message;
      message.kind = MessageKind::ping;
      message.sequence = chance();
      send(std::move(message), {}, seed, out);
    }
  }
  if (now >= next_retry) {  // one that is gone: behind a partition that has healed it hears that, and refutes
    next_retry = now + 2 * settings.probe;
    std::vector<std::string> met;
    if (gone) met = some(1, is_dead, {});
    // And a suspect of long: where the accusation was told behind a partition, nobody else may tell it to its
    // face.
    for (const auto& [one, suspicion] : suspicions)
      if (now - suspicion.begun > 2 * settings.probe && met.size() < 2) met.push_back(one);
    for (const std::string& one : met) {
      ViewMessage message;
      message.kind = MessageKind::ping;
      message.sequence = chance();
      message.target = one;
      send(std::move(message), one, members.at(one).address, out);
    }
  }
  if (now >= next_exchange) {
    next_exchange = now + kPushPullInterval;
    for (const std::string& one : some(1, is_live, {})) ask(now, one, out);
    for (auto it = members.begin(); it != members.end();) {
      const Member& member = it->second;
      const bool old = !is_live(member.status) && now - member.since > kDeadMemberRetention && &member != own;
      if (old) {
        gone -= is_dead(member.status);
        gossip.forget(member.name);
      }
      it = old ? members.erase(it) : std::next(it);
    }
  }
}

void View::State::ask(Time now, const std::string& to, Outbox& out) {
  ViewMessage message;
  message.kind = MessageKind::push_pull_request;
  fill_head(message);
  message.digest = digest;
  last_ask = now;
  out.push_back({to, Component::view, Transport::stream, view::encode(message)});
}

void View::State::send_whole(Time now, MessageKind kind, const std::string& to, Outbox& out) {
  ViewMessage message;
  message.kind = kind;
  fill_head(message);
  message.digest = digest;
  for (const auto& [other, member] : members) {
    message.updates.push_back(update_for(member));
    message.updates.back().age = now - member.since;
  }
  out.push_back({to, Component::view, Transport::stream, view::encode(message)});
}

void View::State::on_exchange(Time now, const std::string& from, const ViewMessage& message,
                              std::size_t brought, Outbox& out) {
  // One that brought much is followed by another soon: many join at once, or a partition has healed.
  if (brought > 1) {
    const Time least = settings.probe * 2 / 5;
    const auto spread = static_cast<std::size_t>(settings.probe - least);
    next_exchange = std::min(next_exchange, now + least + static_cast<Time>(one_of(spread)));
  }
  auto it = members.find(from);
  const std::string to =
      it != members.end() && it->second.address == message.address ? from : "@" + message.address;
  if (message.digest == digest) return;  // nothing to tell each other
  if (message.kind == MessageKind::push_pull_request) send_whole(now, MessageKind::push_pull_state, to, out);
  if (message.kind == MessageKind::push_pull_state) send_whole(now, MessageKind::push_pull_reply, to, out);
}

// Another process says this one's name. Words may be old ones, played again: only an answer to a ping of this
// process shows that it is there now.
void View::State::meet_twin(Time now, const ViewMessage& message, Outbox& out) {
  if (message.address == address) return;  // this process's own words, or those of one that was here before
  if (message.kind == MessageKind::ack && twin_sequence != 0 && message.sequence == twin_sequence) {
    twin_sequence = 0;
    if (std::pair(message.start_incarnation, message.address) < std::pair(start_incarnation, address))
      twin = message.address;
    return;
  }
  if (message.kind == MessageKind::ping) {
    ViewMessage ack;
    ack.kind = MessageKind::ack;
    ack.sequence = message.sequence;
    fill_head(ack);
    out.push_back({"@" + message.address, Component::view, Transport::datagram, view::encode(ack)});
  }
  probe_twin(now, message.address, out);
}

void View::State::probe_twin(Time now, const std::string& at, Outbox& out) {
  if (now < twin_probed + kTwinPace) return;
  twin_probed = now;
  twin_sequence = chance() | 1;
  ViewMessage ping;
  ping.kind = MessageKind::ping;
  ping.sequence = twin_sequence;
  ping.target = name;
  fill_head(ping);
  out.push_back({"@" + at, Component::view, Transport::datagram, view::encode(ping)});
}

}  // namespace marblehub::fleet
