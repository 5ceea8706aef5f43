// What is said about members, and which of two words holds: the higher incarnation, then the worse standing
// (SWIM, section 4.2; `left` is worst, as it is said by the member itself).
#include <algorithm>
#include <cmath>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

std::uint64_t mixed(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

// A member's share of the digest: nothing of one that is not there, so that it does not matter when each
// balancer forgets.
std::uint64_t share(const Member& member) {
  if (!is_live(member.status)) return 0;
  std::uint64_t hash = 0xcbf29ce484222325u;  // FNV-1a, then mixed
  for (unsigned char c : member.name) hash = (hash ^ c) * 0x100000001b3u;
  return mixed(mixed(hash ^ mixed(member.incarnation)) + static_cast<std::uint64_t>(member.status) + 1);
}

// An accusation must reach its suspect and the answer all others: two spreads. Fresh news go to 3 others each
// 2/5 of a period, which takes log4(n) + ln(n)/3 of such steps (Pittel, "On Spreading a Rumor", 1987): both
// spreads are 1.94 log10(n) periods. Three log10(n) leave half as much again for what is lost and late;
// `alpha`, 4 as it comes, is the least for few members. Lifeguard's alpha x log10(n) reckons with news that
// go by probes.
double least_periods(double alpha, std::size_t members) {
  return alpha * std::max(1.0, 0.75 * std::log10(static_cast<double>(members)));
}

}  // namespace

using view::MemberUpdate;

MemberUpdate View::State::update_for(const Member& member) const {
  MemberUpdate update{member.name, member.address, member.incarnation, member.status, member.schema, {}, 0};
  auto it = suspicions.find(member.name);
  if (it != suspicions.end()) update.accusers = it->second.accusers;
  return update;
}

void View::State::doubt(int by) { local_health = std::clamp(local_health + by, 0, kMaxLocalHealth); }

bool View::State::hear(Time now, const MemberUpdate& update, Source source, Outbox& out) {
  if (update.name == name) {
    hear_of_self(now, update, out);
    return false;
  }
  auto it = members.find(update.name);
  if (it == members.end()) {
    if (members.size() >= kMaxMembers) return false;
    if (!is_live(update.status)) {
      // Nothing is lost with one that was never here; but a joiner counts and tries those lost before it
      // came.
      if (source == Source::gossip || update.status == MemberStatus::left ||
          update.age >= kDeadMemberRetention)
        return false;
      members[update.name] = {update.name,   update.address, update.incarnation,
                              update.status, update.schema,  now - update.age};
      ++gone;
      return true;
    }
    Member& member = members[update.name];
    member.name = update.name;
    member.status = MemberStatus::left;  // until taken over
    take_over(now, member, update);
    return true;
  }
  Member& member = it->second;
  // One name, one address while it is there: a later process of that name elsewhere has to wait until the
  // earlier is given up, and words about it are not about this one.
  if (is_live(member.status) && update.address != member.address) return false;
  if (update.incarnation < member.incarnation) return false;
  if (update.incarnation == member.incarnation) {
    if (update.status == MemberStatus::suspect && member.status == MemberStatus::suspect)
      return confirm(now, member, update.accusers);
    if (update.status <= member.status) return false;
  }
  // An exchange says what another gave up, perhaps long ago and behind a partition, of one that answers here.
  // It is put to that member itself, which then refutes; were it gone, this balancer's own probes would find
  // out.
  if (source == Source::exchange && update.status == MemberStatus::dead && is_live(member.status)) {
    view::ViewMessage message;
    message.kind = view::MessageKind::ping;
    message.sequence = chance();
    message.target = member.name;
    fill_head(message);
    message.updates.push_back(update);
    out.push_back({member.name, Component::view, Transport::datagram, view::encode(message)});
    return false;
  }
  take_over(now, member, update);
  return true;
}

void View::State::hear_of_self(Time now, const MemberUpdate& update, Outbox& out) {
  if (stopped()) return;
  if (update.address != address && is_live(update.status)) probe_twin(now, update.address, out);
  Member& me = self();
  if (update.incarnation < me.incarnation ||
      (update.incarnation == me.incarnation && update.status == MemberStatus::alive))
    return;
  // An accusation, or a word of an earlier process whose clock was ahead: overruled by a higher incarnation.
  if (update.status == MemberStatus::suspect) doubt(1);
  digest ^= share(me);
  me.incarnation = update.incarnation + 1;
  me.since = now;
  digest ^= share(me);
  changed = now;
  agreed = 0;
  ++generation;
  tell(me);
}

void View::State::take_over(Time now, Member& member, const MemberUpdate& update) {
  const bool was = is_live(member.status), is = is_live(update.status);
  MARBLEHUB_INVARIANT("view", update.incarnation >= member.incarnation,
                      "an incarnation goes back: " + member.name);
  digest ^= share(member);
  if (is_dead(member.status)) --gone;
  if (is_dead(update.status)) ++gone;
  present = present + is - was;
  if (member.status != update.status || member.incarnation != update.incarnation) member.since = now;
  member.address = update.address;
  member.incarnation = update.incarnation;
  member.status = update.status;
  member.schema = update.schema;
  digest ^= share(member);
  changed = now;
  agreed = 0;
  ++generation;

  suspicions.erase(member.name);
  if (is && !was)
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(one_of(order.size() + 1)), member.name);
  if (update.status == MemberStatus::suspect) {
    // Lifeguard, section IV.B: from `most` down to `least` as up to K others accuse too.
    Suspicion& suspicion = suspicions[member.name];
    suspicion.begun = now;
    suspicion.least =
        static_cast<Time>(least_periods(settings.suspicion, present) * static_cast<double>(settings.probe));
    suspicion.needed = std::min<std::size_t>(3, present > 2 ? present - 2 : 0);
    suspicion.most = suspicion.needed ? 6 * suspicion.least : suspicion.least;
    confirm(now, member, update.accusers);
    // About twelve of the fleet look for themselves at once: a live suspect hears of it sooner, a dead one is
    // accused by enough to be given up in the least time.
    bool mine = !update.accusers.empty() && update.accusers.front() == name;
    if (!mine && chance() % present < 12) probe_next(member.name);
  }
  tell(member);
}

bool View::State::confirm(Time, const Member& member, const std::vector<std::string>& accusers) {
  Suspicion& suspicion = suspicions[member.name];
  bool added = false;
  for (const std::string& accuser : accusers)
    if (suspicion.accusers.size() <= suspicion.needed &&
        std::find(suspicion.accusers.begin(), suspicion.accusers.end(), accuser) ==
            suspicion.accusers.end()) {
      suspicion.accusers.push_back(accuser);
      added = true;
    }
  if (added) tell(member);
  return added;
}

Time View::State::deadline(const std::string& suspect) const {
  const Suspicion& s = suspicions.at(suspect);
  if (s.needed == 0 || s.accusers.size() <= 1) return s.begun + s.most;
  double share =
      std::log(static_cast<double>(s.accusers.size())) / std::log(static_cast<double>(s.needed) + 1);
  return s.begun +
         std::max(s.least, s.most - static_cast<Time>(static_cast<double>(s.most - s.least) * share));
}

void View::State::give_up_overdue(Time now, Outbox& out) {
  std::vector<std::string> overdue;
  for (const auto& [suspect, suspicion] : suspicions)
    if (deadline(suspect) <= now) overdue.push_back(suspect);
  for (const std::string& suspect : overdue) {
    MemberUpdate update = update_for(members.at(suspect));
    update.status = MemberStatus::dead;
    update.accusers.clear();
    hear(now, update, Source::gossip, out);
  }
}

}  // namespace marblehub::fleet
