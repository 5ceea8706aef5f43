// Failure detection: SWIM's probe of one member per protocol period, in an order that has each member once a
// round (section 4.3), with indirect pings where no ack arrives, and Lifeguard's nacks.
#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {

namespace {
constexpr std::size_t kGossipFanout = 3;  // members that one step sends to
}

using view::MessageKind;
using view::ViewMessage;

// Adds the header, the update about the addressee where it is not alive (Lifeguard's buddy system) or has
// another address, and as much gossip as fits.
void View::State::send(ViewMessage message, const std::string& to, const std::string& to_address,
                       Outbox& out) {
  fill_header(message);
  std::size_t used = encoded_header_size(message);
  auto it = members.find(to);
  const bool known = it != members.end() && it->second.address == to_address;
  if (it != members.end() && (it->second.status != MemberStatus::alive || !known)) {
    message.updates.push_back(update_for(it->second));
    used += encoded_size(message.updates.back());
  }
  for (view::MemberUpdate& update : gossip.take(live_members, view::kMaxDatagramBodyBytes - used, to))
    message.updates.push_back(std::move(update));
  Outgoing outgoing{known ? to : "@" + to_address, Component::view, Transport::datagram,
                    view::encode(message)};
  MARBLEHUB_INVARIANT("view", outgoing.body.size() <= view::kMaxDatagramBodyBytes,
                      "a datagram exceeds its maximum size");
  out.push_back(std::move(outgoing));
}

std::string View::State::next_target() {
  auto is_candidate = [&](const std::string& peer) {
    auto it = members.find(peer);
    return peer != name && it != members.end() && is_live(it->second.status);
  };
  auto accused = [&](const std::string& peer) {  // by this balancer, or by enough others
    const auto it = suspicions.find(peer);
    return it != suspicions.end() && (it->second.accusers.size() > it->second.needed_confirmations ||
                                      std::ranges::count(it->second.accusers, name) != 0);
  };
  while (!priority_probes.empty()) {
    std::string peer = std::move(priority_probes.front());
    priority_probes.pop_front();
    if (is_candidate(peer) && !accused(peer)) return peer;
  }
  for (int round = 0; round < 2; ++round) {
    while (!probe_order.empty()) {
      std::string peer = std::move(probe_order.back());
      probe_order.pop_back();
      if (is_candidate(peer)) return peer;
    }
    for (const auto& [peer, member] : members)
      if (is_candidate(peer)) probe_order.push_back(peer);
    for (std::size_t i = probe_order.size(); i > 1; --i)
      std::swap(probe_order[i - 1], probe_order[random_index(i)]);
  }
  return {};
}

void View::State::begin_probe(Time now, Outbox& out) {
  // Lifeguard's local health: an unhealthy balancer waits longer for acks and probes less often.
  const Time period = settings.probe * (1 + local_health), ack = settings.ack * (1 + local_health);
  next_probe = now + period;
  std::string target = next_target();
  if (target.empty()) {
    probe.reset();
    return;
  }
  probe = Probe{target, next_random(), 0, now + ack, now + ack + (period - ack) / 2, now + period, {}, {}};
  ViewMessage message;
  message.kind = MessageKind::ping;
  message.sequence = probe->sequence;
  message.target = target;
  send(std::move(message), target, members.at(target).address, out);
}

// Pings the target again and asks helpers to ping it. Called up to twice in a period, so that a lossy network
// causes few suspicions.
void View::State::send_ping_requests(Outbox& out) {
  const Member& target = members.at(probe->target);
  ViewMessage again;
  again.kind = MessageKind::ping;
  again.sequence = probe->sequence;
  again.target = target.name;
  send(std::move(again), target.name, target.address, out);
  // Suspects are asked only where is_candidate are not enough alive members.
  const auto wanted = static_cast<std::size_t>(std::max(0, settings.indirect));
  std::vector<std::string> helpers = random_members(wanted, is_alive, target.name);
  if (helpers.size() < wanted)
    for (std::string& peer : random_members(wanted - helpers.size(), is_suspect, target.name))
      helpers.push_back(std::move(peer));
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

void View::State::queue_priority_probe(const std::string& peer) {
  if (priority_probes.size() < kMaxPriorityProbes && std::ranges::count(priority_probes, peer) == 0)
    priority_probes.push_back(peer);
}

bool View::State::accused_by_others(const std::string& peer) const {
  const auto it = suspicions.find(peer);
  if (it == suspicions.end()) return !is_live(members.at(peer).status);
  return std::ranges::any_of(it->second.accusers, [&](const std::string& who) { return who != name; });
}

void View::State::step_probe(Time now, Outbox& out) {
  if (probe && !is_live(members.at(probe->target).status)) probe.reset();
  if (probe && now >= probe->deadline) {
    const Member& target = members.at(probe->target);
    // A helper that sent no nack either indicates that this balancer's own messages are lost or late, unless
    // another member suspects that helper too.
    std::size_t silent = 0;
    for (const std::string& helper : probe->helpers) {
      if (std::ranges::count(probe->nacked, helper) != 0 || accused_by_others(helper)) continue;
      ++silent;
      queue_priority_probe(helper);
    }
    if (probe->helpers.empty() || silent != 0) adjust_local_health(1);
    view::MemberUpdate update = update_for(target);
    update.status = MemberStatus::suspect;
    update.accusers = {name};
    probe.reset();
    apply_update(now, update, Source::gossip, out);
  } else if (probe && probe->indirect_rounds < 2 && now >= probe->next_round) {
    ++probe->indirect_rounds;
    probe->next_round = probe->indirect_rounds == 1
                            ? std::max(probe->second_round, now + 1)
                            : probe->deadline;  // not due at once where this call is late
    send_ping_requests(out);
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
    adjust_local_health(-1);
  }
  auto it = indirect_pings.find(message.sequence);
  if (it == indirect_pings.end() || now >= it->second.expires_at) return;
  IndirectPing ping = std::move(it->second);
  indirect_pings.erase(it);
  ViewMessage ack;
  ack.kind = MessageKind::ack;
  ack.sequence = ping.sequence;
  ack.target = ping.target;
  send(std::move(ack), ping.requester, ping.requester_address, out);
}

void View::State::on_ping_request(Time now, const std::string& from, const ViewMessage& message,
                                  Outbox& out) {
  if (message.target.empty() || message.target_address.empty() || indirect_pings.size() >= kMaxIndirectPings)
    return;
  std::uint64_t sequence = next_random();
  // The nack is sent after 4/5 of the minimum time that the requester waits (Lifeguard, section IV.A).
  indirect_pings[sequence] = {from,
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
  auto contains = [&](const std::vector<std::string>& list) {
    return std::find(list.begin(), list.end(), from) != list.end();
  };
  if (contains(probe->helpers) && !contains(probe->nacked)) probe->nacked.push_back(from);
}

// Sends fresh updates without waiting for probes, because SWIM's piggybacking alone takes seconds where many
// members join or are suspected at once. The number of transmissions of an update stays the same, and nothing
// is sent where nothing is fresh.
void View::State::step_gossip(Time now, Outbox& out) {
  if (now < next_gossip || live_members == 1 || !gossip.has_fresh()) return;
  next_gossip = now + settings.probe * 2 / 5;
  for (const std::string& peer : random_members(kGossipFanout, is_live, {})) {
    ViewMessage message;
    message.kind = MessageKind::gossip;
    message.target = peer;
    send(std::move(message), peer, members.at(peer).address, out);
  }
}

void View::State::step_indirect_pings(Time now, Outbox& out) {
  for (auto it = indirect_pings.begin(); it != indirect_pings.end();) {
    IndirectPing& ping = it->second;
    if (!ping.nack_sent && now >= ping.nack_at) {
      ping.nack_sent = true;
      ViewMessage nack;
      nack.kind = MessageKind::nack;
      nack.sequence = ping.sequence;
      nack.target = ping.target;
      send(std::move(nack), ping.requester, ping.requester_address, out);
    }
    it = now >= ping.expires_at ? indirect_pings.erase(it) : std::next(it);
  }
}

}  // namespace marblehub::fleet
