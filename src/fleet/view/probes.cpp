// Is it there? SWIM's probe of one member a period, in an order that meets each once a round (section 4.3),
// asked for by others where no answer comes, with Lifeguard's nacks.
#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {

namespace {
constexpr std::size_t kGossipTo = 3;  // in a step
}

using view::MessageKind;
using view::ViewMessage;

// Adds who sends, what the addressee should hear about itself (Lifeguard's buddy system, and a wrong
// address), and as much gossip as fits.
void View::State::send(ViewMessage message, const std::string& to, const std::string& at, Outbox& out) {
  fill_head(message);
  std::size_t used = encoded_header_size(message);
  auto it = members.find(to);
  const bool known = it != members.end() && it->second.address == at;
  if (it != members.end() && (it->second.status != MemberStatus::alive || !known)) {
    message.updates.push_back(update_for(it->second));
    used += encoded_size(message.updates.back());
  }
  for (view::MemberUpdate& update : gossip.take(present, view::kMaxDatagramBodyBytes - used, to))
    message.updates.push_back(std::move(update));
  Outgoing outgoing{known ? to : "@" + at, Component::view, Transport::datagram, view::encode(message)};
  MARBLEHUB_INVARIANT("view", outgoing.body.size() <= view::kMaxDatagramBodyBytes,
                      "a datagram over its bound");
  out.push_back(std::move(outgoing));
}

std::string View::State::next_target() {
  auto there = [&](const std::string& one) {
    auto it = members.find(one);
    return one != name && it != members.end() && is_live(it->second.status);
  };
  auto accused = [&](const std::string& one) {  // by this one, or by as many as count
    const auto it = suspicions.find(one);
    return it != suspicions.end() && (it->second.accusers.size() > it->second.needed ||
                                      std::ranges::count(it->second.accusers, name) != 0);
  };
  while (!next.empty()) {
    std::string one = std::move(next.front());
    next.pop_front();
    if (there(one) && !accused(one)) return one;
  }
  for (int round = 0; round < 2; ++round) {
    while (!order.empty()) {
      std::string one = std::move(order.back());
      order.pop_back();
      if (there(one)) return one;
    }
    for (const auto& [one, member] : members)
      if (there(one)) order.push_back(one);
    for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[one_of(i)]);
  }
  return {};
}

void View::State::begin_probe(Time now, Outbox& out) {
  // Lifeguard's local health: who doubts itself waits longer for others, and asks less often.
  const Time period = settings.probe * (1 + local_health), ack = settings.ack * (1 + local_health);
  next_probe = now + period;
  std::string target = next_target();
  if (target.empty()) {
    probe.reset();
    return;
  }
  probe = Probe{target, chance(), 0, now + ack, now + ack + (period - ack) / 2, now + period, {}, {}};
  ViewMessage message;
  message.kind = MessageKind::ping;
  message.sequence = probe->sequence;
  message.target = target;
  send(std::move(message), target, members.at(target).address, out);
}

// Asked again itself, and others asked in this one's place: twice in a period, so that a lossy network makes
// few suspects.
void View::State::ask_helpers(Outbox& out) {
  const Member& target = members.at(probe->target);
  ViewMessage again;
  again.kind = MessageKind::ping;
  again.sequence = probe->sequence;
  again.target = target.name;
  send(std::move(again), target.name, target.address, out);
  // Those that are suspects themselves help only where there are no others.
  const auto wanted = static_cast<std::size_t>(std::max(0, settings.indirect));
  std::vector<std::string> helpers = some(wanted, is_alive, target.name);
  if (helpers.size() < wanted)
    for (std::string& one : some(wanted - helpers.size(), is_suspect, target.name))
      helpers.push_back(std::move(one));
  for (const std::string& helper : helpers) {
    ViewMessage message;
    message.kind = MessageKind::ping_request;
    message.sequence = probe->sequence;
    message.target = target.name;
    message.target_address = target.address;
    send(std::move(message), helper, members.at(helper).address, out);
    if (std::find(probe->helpers.begin(), probe->helpers.end(), helper) == probe->helpers.end())
      probe->helpers.push_back(helper);
  }
}

void View::State::probe_next(const std::string& one) {
  if (next.size() < kMostNext && std::ranges::count(next, one) == 0) next.push_back(one);
}

bool View::State::missed_by_others(const std::string& one) const {
  const auto it = suspicions.find(one);
  if (it == suspicions.end()) return !is_live(members.at(one).status);
  return std::ranges::any_of(it->second.accusers, [&](const std::string& who) { return who != name; });
}

void View::State::step_probe(Time now, Outbox& out) {
  if (probe && !is_live(members.at(probe->target).status)) probe.reset();
  if (probe && now >= probe->end) {
    const Member& target = members.at(probe->target);
    // Helpers that sent not even a nack hint that it is this one's own messages that are lost or late. Not
    // so one that another member misses as well.
    std::size_t silent = 0;
    for (const std::string& helper : probe->helpers) {
      if (std::ranges::count(probe->nacked, helper) != 0 || missed_by_others(helper)) continue;
      ++silent;
      probe_next(helper);
    }
    if (probe->helpers.empty() || silent != 0) doubt(1);
    view::MemberUpdate update = update_for(target);
    update.status = MemberStatus::suspect;
    update.accusers = {name};
    probe.reset();
    hear(now, update, Source::gossip, out);
  } else if (probe && probe->round < 2 && now >= probe->next) {
    ++probe->round;
    probe->next = probe->round == 1 ? std::max(probe->half, now + 1) : probe->end;  // late: not due at once
    ask_helpers(out);
  }
  if (now >= next_probe) begin_probe(now, out);
}

void View::State::on_ping(Time now, const std::string& from, const ViewMessage& message, Outbox& out) {
  ViewMessage ack;
  ack.kind = MessageKind::ack;
  ack.sequence = message.sequence;
  send(std::move(ack), from, message.address, out);
  (void)now;
}

void View::State::on_ack(Time now, const ViewMessage& message, Outbox& out) {
  if (probe && message.sequence == probe->sequence) {
    probe.reset();
    doubt(-1);
  }
  auto it = helping.find(message.sequence);
  if (it == helping.end() || now >= it->second.until) return;
  Helping help = std::move(it->second);
  helping.erase(it);
  ViewMessage ack;
  ack.kind = MessageKind::ack;
  ack.sequence = help.sequence;
  ack.target = help.target;
  send(std::move(ack), help.requester, help.requester_address, out);
}

void View::State::on_ping_request(Time now, const std::string& from, const ViewMessage& message,
                                  Outbox& out) {
  if (message.target.empty() || message.target_address.empty() || helping.size() >= kMostHelping) return;
  std::uint64_t sequence = chance();
  // The nack leaves at four fifths of the time that its requester waits at best (Lifeguard, section IV.A).
  helping[sequence] = {from,
                       message.address,
                       message.target,
                       message.sequence,
                       now + settings.ack * 4 / 5,
                       now + 2 * settings.probe,
                       false};
  ViewMessage ping;
  ping.kind = MessageKind::ping;
  ping.sequence = sequence;
  ping.target = message.target;
  send(std::move(ping), message.target, message.target_address, out);
}

void View::State::on_nack(const std::string& from, const ViewMessage& message) {
  if (!probe || message.sequence != probe->sequence) return;
  auto in = [&](const std::vector<std::string>& list) {
    return std::find(list.begin(), list.end(), from) != list.end();
  };
  if (in(probe->helpers) && !in(probe->nacked)) probe->nacked.push_back(from);
}

// What is new does not wait for probes alone: SWIM's piggybacking takes seconds where many join or are
// accused at once. Nothing is sent where nothing is new, and each news is told as often as it would be
// anyhow.
void View::State::step_gossip(Time now, Outbox& out) {
  if (now < next_gossip || present == 1 || !gossip.fresh()) return;
  next_gossip = now + settings.probe * 2 / 5;
  for (const std::string& one : some(kGossipTo, is_live, {})) {
    ViewMessage message;
    message.kind = MessageKind::gossip;
    message.target = one;
    send(std::move(message), one, members.at(one).address, out);
  }
}

void View::State::step_helping(Time now, Outbox& out) {
  for (auto it = helping.begin(); it != helping.end();) {
    Helping& help = it->second;
    if (!help.nacked && now >= help.nack) {
      help.nacked = true;
      ViewMessage nack;
      nack.kind = MessageKind::nack;
      nack.sequence = help.sequence;
      nack.target = help.target;
      send(std::move(nack), help.requester, help.requester_address, out);
    }
    it = now >= help.until ? helping.erase(it) : std::next(it);
  }
}

}  // namespace marblehub::fleet
