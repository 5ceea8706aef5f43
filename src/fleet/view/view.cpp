#include "fleet/view/view.h"

#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

constexpr Time kStoppedTickInterval = 3600 * kSecond;
constexpr Time kMinPushPullInterval = kSecond;  // for push-pulls besides the periodic ones
constexpr std::size_t kMaxLeaveMessages = 32;
constexpr int kMinMatchingDigests = 8;

}  // namespace

using view::MemberUpdate;
using view::MessageKind;
using view::ViewMessage;

View::State::State(const Settings& given, std::uint64_t incarnation, std::uint64_t seed, Time now)
    : settings(given),
      name(given.name),
      address(given.advertise.empty() ? given.listen : given.advertise),
      start_incarnation(std::min(incarnation, view::kMaxIncarnation - 1)),
      rng_state(seed),
      last_change(now) {
  own_member = &members[name];
  self() = {name, address, start_incarnation, MemberStatus::left, 1, now};
  replace_member(now, self(), {name, address, start_incarnation, MemberStatus::alive, 1, {}, 0});
  probe_order.clear();
  auto within = [&](Time span) {
    return now + static_cast<Time>(next_random() % static_cast<std::uint64_t>(span));
  };
  next_probe = within(settings.probe);
  next_push_pull = within(kPushPullInterval);
  next_reconnect = within(2 * settings.probe);
  next_seed_ping = next_gossip = next_due = last_now = now;
  last_push_pull = now - kMinPushPullInterval;
  conflict_probed_at = now - kSecond;
}

void View::State::fill_header(ViewMessage& message) const {
  message.start_incarnation = start_incarnation;
  message.incarnation = self().incarnation;
  message.address = address;
  message.status = self().status;
  message.digest = converged(last_now) ? digest : 0;
}

bool View::State::converged(Time now) const {
  return suspicions.empty() && now - last_change >= 3 * settings.probe;
}

std::vector<std::string> View::State::random_members(std::size_t count, bool (*fits)(MemberStatus),
                                                     const std::string& except) {
  std::vector<const std::string*> all;
  for (const auto& [peer, member] : members)
    if (peer != name && peer != except && fits(member.status)) all.push_back(&peer);
  std::vector<std::string> chosen;
  while (chosen.size() < count && !all.empty()) {
    std::size_t i = random_index(all.size());
    chosen.push_back(*all[i]);
    all[i] = all.back();
    all.pop_back();
  }
  return chosen;
}

// A process that was stopped or starved of CPU has unread acks in its socket. It must not suspect others for
// that time, so it extends the suspicions, drops its probes and raises its own local health multiplier.
void View::State::detect_pause(Time now) {
  const Time late = now - next_due;
  last_now = std::max(last_now, now);
  if (late <= settings.ack || is_stopped()) return;
  for (auto& [suspect, suspicion] : suspicions) suspicion.started += late;
  probe.reset();
  indirect_pings.clear();
  next_probe = now + settings.ack;  // the unread messages first
  adjust_local_health(late > 2 * settings.probe ? 3 : 1);
  if (late > 2 * settings.probe) next_push_pull = std::min(next_push_pull, now + settings.probe);
  next_due = now;
}

Time View::State::due() const {
  if (is_stopped()) return last_now + kStoppedTickInterval;
  Time due = std::min({next_probe, next_push_pull, next_reconnect, next_seed_ping});
  if (live_members > 1 && gossip.has_fresh()) due = std::min(due, std::max(next_gossip, last_now + 1));
  if (probe && probe->indirect_rounds < 2) due = std::min(due, probe->next_round);
  if (probe) due = std::min(due, probe->deadline);
  for (const auto& [suspect, suspicion] : suspicions) due = std::min(due, suspicion_deadline(suspect));
  for (const auto& [sequence, ping] : indirect_pings)
    due = std::min(due, ping.nack_sent ? ping.expires_at : ping.nack_at);
  return due;
}

void View::State::check() const {
  MARBLEHUB_INVARIANT("view", self().status == (left ? MemberStatus::left : MemberStatus::alive),
                      "this balancer is not alive in its own view");
  MARBLEHUB_INVARIANT("view", members.size() <= kMaxMembers + 1, "too many members");
  MARBLEHUB_INVARIANT("view", local_health >= 0 && local_health <= kMaxLocalHealth,
                      "the local health multiplier is out of range");
  MARBLEHUB_DEBUG_INVARIANT("view", gossip.within_bounds(members.size()),
                            "the gossip queue exceeds its limits");
#ifdef MARBLEHUB_CHECKS
  std::size_t live = 0, dead = 0, suspects = 0;
  for (const auto& [peer, member] : members) {
    live += is_live(member.status);
    dead += is_dead(member.status);
    suspects += member.status == MemberStatus::suspect;
    MARBLEHUB_DEBUG_INVARIANT("view",
                              (member.status == MemberStatus::suspect) == (suspicions.count(peer) == 1),
                              "status and suspicion do not match: " + peer);
  }
  MARBLEHUB_DEBUG_INVARIANT("view",
                            live == live_members && dead == dead_members && suspects == suspicions.size(),
                            "the member counts do not match the members");
#endif
}

View::View(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now)
    : state_(new State(settings, incarnation, seed, now)) {}
void View::Release::operator()(State* state) const { delete state; }

void View::received(Time now, const std::string& from, std::string_view body, Transport transport,
                    Outbox& out) {
  State& s = *state_;
  if (s.is_stopped() || from.empty() || from.size() > view::kMaxMemberNameBytes) return;
  if (transport == Transport::datagram && body.size() > view::kMaxDatagramBodyBytes) return;
  std::optional<ViewMessage> message = view::decode(body);
  if (!message) return;
  const bool is_push_pull = message->kind == MessageKind::push_pull_request ||
                            message->kind == MessageKind::push_pull_state ||
                            message->kind == MessageKind::push_pull_reply;
  if (is_push_pull != (transport == Transport::stream)) return;
  // A ping for another member that had this address before.
  if (message->kind == MessageKind::ping && !message->target.empty() && message->target != s.name) return;
  s.detect_pause(now);
  if (from == s.name) {
    s.handle_name_conflict(now, *message, out);
  } else {
    auto it = s.members.find(from);
    const bool is_new = it == s.members.end() || !is_live(it->second.status);
    MemberUpdate sender{from, message->address, message->incarnation, message->status, message->schema, {},
                        0};
    const bool joined = s.apply_update(now, sender, State::Source::gossip, out) && is_live(message->status);
    std::size_t changes = 0;
    for (const MemberUpdate& update : message->updates)
      changes +=
          s.apply_update(now, update, is_push_pull ? State::Source::push_pull : State::Source::gossip, out);
    const bool known = s.members.count(from) && s.members.at(from).address == message->address;
    switch (message->kind) {
      case MessageKind::ping:
        s.on_ping(now, from, *message, out);
        break;
      case MessageKind::ack:
        s.on_ack(now, *message, out);
        break;
      case MessageKind::ping_request:
        s.on_ping_request(now, from, *message, out);
        break;
      case MessageKind::nack:
        s.on_nack(from, *message);
        break;
      case MessageKind::gossip:
        break;
      default:
        s.on_push_pull(now, from, *message, changes, out);
    }
    // A push-pull follows where the sender is new or returned, or both have converged and differ.
    const bool digests_differ = message->digest != 0 && s.converged(now) && message->digest != s.digest;
    // After enough matching digests the queued updates are known to all; a member that missed one has another
    // digest and starts a push-pull.
    if (message->digest != 0 && s.converged(now))
      s.matching_digests = digests_differ ? 0 : s.matching_digests + 1;
    if (s.matching_digests >= kMinMatchingDigests) s.gossip.clear();
    if (known && !is_push_pull && ((is_new && joined) || digests_differ) &&
        now - s.last_push_pull >= kMinPushPullInterval)
      s.request_push_pull(now, from, out);
  }
  s.next_due = s.due();
  s.check();
}

void View::tick(Time now, Outbox& out) {
  State& s = *state_;
  s.detect_pause(now);
  if (!s.is_stopped()) {
    s.step_probe(now, out);  // may add a suspicion or shorten one
    s.expire_suspicions(now, out);
    s.step_gossip(now, out);
    s.step_indirect_pings(now, out);
    s.step_maintenance(now, out);
  }
  s.next_due = s.due();
  s.check();
}

void View::leave(Time now, Outbox& out) {
  State& s = *state_;
  if (s.is_stopped()) return;
  s.last_now = std::max(s.last_now, now);
  std::vector<std::string> addressees = s.random_members(kMaxLeaveMessages, is_live, {});
  s.replace_member(now, s.self(), {s.name, s.address, s.self().incarnation, MemberStatus::left, 1, {}, 0});
  s.left = true;
  for (const std::string& peer : addressees) {  // the header has the status; each member passes it on
    ViewMessage message;
    message.kind = MessageKind::ping;
    message.sequence = s.next_random();
    message.target = peer;
    s.send(std::move(message), peer, s.members.at(peer).address, out);
  }
  s.next_due = s.due();
  s.check();
}

Time View::next_due() const { return state_->next_due; }
const std::map<std::string, Member>& View::members() const { return state_->members; }
std::size_t View::live_count() const { return state_->live_members; }
std::uint64_t View::digest() const { return state_->digest; }
std::uint64_t View::generation() const { return state_->generation; }
bool View::converged(Time now) const { return state_->converged(now); }
int View::local_health() const { return state_->local_health; }
std::optional<std::string> View::name_conflict() const { return state_->conflicting_address; }

double View::budget_members(Time now) const {
  const State& s = *state_;
  double members = static_cast<double>(s.live_members);
  if (s.dead_members == 0) return members;
  for (const auto& [name, member] : s.members)
    if (is_dead(member.status)) {
      double held = static_cast<double>(now - member.since) / static_cast<double>(kBudgetHold);
      members += std::clamp(2 - held, 0.0, 1.0);
    }
  return members;
}

}  // namespace marblehub::fleet
