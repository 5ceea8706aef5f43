#include "fleet/view/view.h"

#include <algorithm>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

constexpr Time kNever = 3600 * kSecond;
constexpr Time kAskPace = kSecond;  // between whole exchanges that this balancer begins out of turn
constexpr std::size_t kFarewells = 32;
constexpr int kAgreed = 8;

}  // namespace

using view::MemberUpdate;
using view::MessageKind;
using view::ViewMessage;

View::State::State(const Settings& given, std::uint64_t incarnation, std::uint64_t seed, Time now)
    : settings(given),
      name(given.name),
      address(given.advertise.empty() ? given.listen : given.advertise),
      start_incarnation(std::min(incarnation, view::kMaxIncarnation - 1)),
      random(seed),
      changed(now) {
  own = &members[name];
  self() = {name, address, start_incarnation, MemberStatus::left, 1, now};
  take_over(now, self(), {name, address, start_incarnation, MemberStatus::alive, 1, {}, 0});
  order.clear();
  auto within = [&](Time span) {
    return now + static_cast<Time>(chance() % static_cast<std::uint64_t>(span));
  };
  next_probe = within(settings.probe);
  next_exchange = within(kPushPullInterval);
  next_retry = within(2 * settings.probe);
  next_seed = next_gossip = next_due = last_now = now;
  last_ask = now - kAskPace;
  twin_probed = now - kSecond;
}

void View::State::fill_head(ViewMessage& message) const {
  message.start_incarnation = start_incarnation;
  message.incarnation = self().incarnation;
  message.address = address;
  message.status = self().status;
  message.digest = converged(last_now) ? digest : 0;
}

bool View::State::converged(Time now) const {
  return suspicions.empty() && now - changed >= 3 * settings.probe;
}

std::vector<std::string> View::State::some(std::size_t count, bool (*fits)(MemberStatus),
                                           const std::string& except) {
  std::vector<const std::string*> all;
  for (const auto& [one, member] : members)
    if (one != name && one != except && fits(member.status)) all.push_back(&one);
  std::vector<std::string> chosen;
  while (chosen.size() < count && !all.empty()) {
    std::size_t i = one_of(all.size());
    chosen.push_back(*all[i]);
    all[i] = all.back();
    all.pop_back();
  }
  return chosen;
}

// A process that was stopped, or is starved, has answers waiting unread: what it missed is nobody's fault but
// its own. It accuses nobody of that time, and doubts itself.
void View::State::wake(Time now) {
  const Time late = now - next_due;
  last_now = std::max(last_now, now);
  if (late <= settings.ack || stopped()) return;
  for (auto& [suspect, suspicion] : suspicions) suspicion.begun += late;
  probe.reset();
  helping.clear();
  next_probe = now + settings.ack;  // what waits is read first
  doubt(late > 2 * settings.probe ? 3 : 1);
  if (late > 2 * settings.probe) next_exchange = std::min(next_exchange, now + settings.probe);
  next_due = now;
}

Time View::State::due() const {
  if (stopped()) return last_now + kNever;
  Time due = std::min({next_probe, next_exchange, next_retry, next_seed});
  if (present > 1 && gossip.fresh()) due = std::min(due, std::max(next_gossip, last_now + 1));
  if (probe && probe->round < 2) due = std::min(due, probe->next);
  if (probe) due = std::min(due, probe->end);
  for (const auto& [suspect, suspicion] : suspicions) due = std::min(due, deadline(suspect));
  for (const auto& [sequence, help] : helping) due = std::min(due, help.nacked ? help.until : help.nack);
  return due;
}

void View::State::check() const {
  MARBLEHUB_INVARIANT("view", self().status == (left ? MemberStatus::left : MemberStatus::alive),
                      "holds itself gone");
  MARBLEHUB_INVARIANT("view", members.size() <= kMaxMembers + 1, "more members than its bound");
  MARBLEHUB_INVARIANT("view", local_health >= 0 && local_health <= kMaxLocalHealth,
                      "health out of its bounds");
  MARBLEHUB_DEBUG_INVARIANT("view", gossip.bounded(members.size()), "gossip over its bound");
#ifdef MARBLEHUB_CHECKS
  std::size_t there = 0, away = 0, suspects = 0;
  for (const auto& [one, member] : members) {
    there += is_live(member.status);
    away += is_dead(member.status);
    suspects += member.status == MemberStatus::suspect;
    MARBLEHUB_DEBUG_INVARIANT("view",
                              (member.status == MemberStatus::suspect) == (suspicions.count(one) == 1),
                              "a suspect without a term: " + one);
  }
  MARBLEHUB_DEBUG_INVARIANT("view", there == present && away == gone && suspects == suspicions.size(),
                            "its counts are not those of its members");
#endif
}

View::View(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now)
    : state_(new State(settings, incarnation, seed, now)) {}
void View::Release::operator()(State* state) const { delete state; }

void View::received(Time now, const std::string& from, std::string_view body, Transport transport,
                    Outbox& out) {
  State& s = *state_;
  if (s.stopped() || from.empty() || from.size() > view::kMaxMemberNameBytes) return;
  if (transport == Transport::datagram && body.size() > view::kMaxDatagramBodyBytes) return;
  std::optional<ViewMessage> message = view::decode(body);
  if (!message) return;
  const bool exchange = message->kind == MessageKind::push_pull_request ||
                        message->kind == MessageKind::push_pull_state ||
                        message->kind == MessageKind::push_pull_reply;
  if (exchange != (transport == Transport::stream)) return;
  // A ping for another that had this address before
  if (message->kind == MessageKind::ping && !message->target.empty() && message->target != s.name) return;
  s.wake(now);
  if (from == s.name) {
    s.meet_twin(now, *message, out);
  } else {
    auto it = s.members.find(from);
    const bool met = it == s.members.end() || !is_live(it->second.status);
    MemberUpdate sender{from, message->address, message->incarnation, message->status, message->schema, {},
                        0};
    const bool there = s.hear(now, sender, State::Source::gossip, out) && is_live(message->status);
    std::size_t brought = 0;
    for (const MemberUpdate& update : message->updates)
      brought += s.hear(now, update, exchange ? State::Source::exchange : State::Source::gossip, out);
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
        s.on_exchange(now, from, *message, brought, out);
    }
    // Met for the first time or again, or both think that all is known and differ: the whole view is
    // exchanged.
    const bool differ = message->digest != 0 && s.converged(now) && message->digest != s.digest;
    // All seem to know all: what is still to be told would be told in vain. Whoever missed it differs, and
    // asks.
    if (message->digest != 0 && s.converged(now)) s.agreed = differ ? 0 : s.agreed + 1;
    if (s.agreed >= kAgreed) s.gossip.clear();
    if (known && !exchange && ((met && there) || differ) && now - s.last_ask >= kAskPace)
      s.ask(now, from, out);
  }
  s.next_due = s.due();
  s.check();
}

void View::tick(Time now, Outbox& out) {
  State& s = *state_;
  s.wake(now);
  if (!s.stopped()) {
    s.step_probe(now, out);  // may accuse, and so shorten another's term
    s.give_up_overdue(now, out);
    s.step_gossip(now, out);
    s.step_helping(now, out);
    s.step_meetings(now, out);
  }
  s.next_due = s.due();
  s.check();
}

void View::leave(Time now, Outbox& out) {
  State& s = *state_;
  if (s.stopped()) return;
  s.last_now = std::max(s.last_now, now);
  std::vector<std::string> told = s.some(kFarewells, is_live, {});
  s.take_over(now, s.self(), {s.name, s.address, s.self().incarnation, MemberStatus::left, 1, {}, 0});
  s.left = true;
  for (const std::string& one : told) {  // its head says it; each passes it on
    ViewMessage message;
    message.kind = MessageKind::ping;
    message.sequence = s.chance();
    message.target = one;
    s.send(std::move(message), one, s.members.at(one).address, out);
  }
  s.next_due = s.due();
  s.check();
}

Time View::next_due() const { return state_->next_due; }
const std::map<std::string, Member>& View::members() const { return state_->members; }
std::size_t View::live_count() const { return state_->present; }
std::uint64_t View::digest() const { return state_->digest; }
std::uint64_t View::generation() const { return state_->generation; }
bool View::converged(Time now) const { return state_->converged(now); }
int View::local_health() const { return state_->local_health; }
std::optional<std::string> View::name_conflict() const { return state_->twin; }

double View::budget_members(Time now) const {
  const State& s = *state_;
  double members = static_cast<double>(s.present);
  if (s.gone == 0) return members;
  for (const auto& [name, member] : s.members)
    if (is_dead(member.status)) {
      double held = static_cast<double>(now - member.since) / static_cast<double>(kBudgetHold);
      members += std::clamp(2 - held, 0.0, 1.0);
    }
  return members;
}

}  // namespace marblehub::fleet
