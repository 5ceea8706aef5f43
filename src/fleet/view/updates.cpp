// Updates about members. Of two updates the one with the higher incarnation wins, then the one with the
// higher status (SWIM, section 4.2; `left` is the highest, as only the member itself announces it).
#include <algorithm>
#include <cmath>

#include "check/check.h"
#include "fleet/view/state.h"

namespace marblehub::fleet {
namespace {

/// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/// A member's contribution to the digest: 0 unless it is live, so that the digest does not depend on when
/// each balancer removes dead members.
std::uint64_t digest_share(const Member& member) {
  if (!is_live(member.status)) return 0;
  std::uint64_t hash = 0xcbf29ce484222325u;  // FNV-1a
  for (unsigned char c : member.name) hash = (hash ^ c) * 0x100000001b3u;
  return mix(mix(hash ^ mix(member.incarnation)) + static_cast<std::uint64_t>(member.status) + 1);
}

/// The minimum suspicion timeout in protocol periods. Within it the suspicion has to reach the suspect, and
/// the refutation all others. Fresh updates go to 3 members every 2/5 of a period, so each dissemination
/// takes log4(n) + ln(n)/3 such steps (Pittel, "On Spreading a Rumor", 1987), both together 1.94 log10(n)
/// periods. The default `alpha` of 4 gives 3 log10(n), which leaves a margin for loss and delay; for few
/// members `alpha` itself is the timeout. Lifeguard's alpha x log10(n) assumes dissemination by probes only.
double min_suspicion_periods(double alpha, std::size_t members) {
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

void View::State::adjust_local_health(int change) {
  local_health = std::clamp(local_health + change, 0, kMaxLocalHealth);
}

bool View::State::apply_update(Time now, const MemberUpdate& update, Source source, Outbox& out) {
  if (update.name == name) {
    apply_own_update(now, update, out);
    return false;
  }
  auto it = members.find(update.name);
  if (it == members.end()) {
    if (members.size() >= kMaxMembers) return false;
    if (!is_live(update.status)) {
      // A member that was never known here is not added as dead, except from a push-pull: a joiner counts the
      // members that died before it joined in budget_members and tries to reach them.
      if (source == Source::gossip || update.status == MemberStatus::left ||
          update.age >= kDeadMemberRetention)
        return false;
      members[update.name] = {update.name,   update.address, update.incarnation,
                              update.status, update.schema,  now - update.age};
      ++dead_members;
      return true;
    }
    Member& member = members[update.name];
    member.name = update.name;
    member.status = MemberStatus::left;  // not counted as live until replace_member
    replace_member(now, member, update);
    return true;
  }
  Member& member = it->second;
  // A name belongs to one address while its member is live: another process with that name is ignored until
  // the member is dead.
  if (is_live(member.status) && update.address != member.address) return false;
  if (update.incarnation < member.incarnation) return false;
  if (update.incarnation == member.incarnation) {
    if (update.status == MemberStatus::suspect && member.status == MemberStatus::suspect)
      return add_accusers(now, member, update.accusers);
    if (update.status <= member.status) return false;
  }
  // A push-pull may report as dead a member that is reachable from here, if the sender was partitioned from
  // it. The update is sent to that member, so that it refutes; if it is dead, this balancer's own probes
  // detect that.
  if (source == Source::push_pull && update.status == MemberStatus::dead && is_live(member.status)) {
    view::ViewMessage message;
    message.kind = view::MessageKind::ping;
    message.sequence = next_random();
    message.target = member.name;
    fill_header(message);
    message.updates.push_back(update);
    out.push_back({member.name, Component::view, Transport::datagram, view::encode(message)});
    return false;
  }
  replace_member(now, member, update);
  return true;
}

void View::State::apply_own_update(Time now, const MemberUpdate& update, Outbox& out) {
  if (is_stopped()) return;
  if (update.address != address && is_live(update.status)) probe_name_conflict(now, update.address, out);
  Member& me = self();
  if (update.incarnation < me.incarnation ||
      (update.incarnation == me.incarnation && update.status == MemberStatus::alive))
    return;
  // A suspicion, or an update about an earlier process whose clock was ahead: refuted by a higher
  // incarnation.
  if (update.status == MemberStatus::suspect) adjust_local_health(1);
  digest ^= digest_share(me);
  me.incarnation = update.incarnation + 1;
  me.since = now;
  digest ^= digest_share(me);
  last_change = now;
  matching_digests = 0;
  ++generation;
  disseminate(me);
}

void View::State::replace_member(Time now, Member& member, const MemberUpdate& update) {
  const bool was_live = is_live(member.status), now_live = is_live(update.status);
  MARBLEHUB_INVARIANT("view", update.incarnation >= member.incarnation,
                      "the incarnation of a member decreased: " + member.name);
  digest ^= digest_share(member);
  if (is_dead(member.status)) --dead_members;
  if (is_dead(update.status)) ++dead_members;
  live_members = live_members + now_live - was_live;
  if (member.status != update.status || member.incarnation != update.incarnation) member.since = now;
  member.address = update.address;
  member.incarnation = update.incarnation;
  member.status = update.status;
  member.schema = update.schema;
  digest ^= digest_share(member);
  last_change = now;
  matching_digests = 0;
  ++generation;

  suspicions.erase(member.name);
  if (now_live && !was_live)
    probe_order.insert(
        probe_order.begin() + static_cast<std::ptrdiff_t>(random_index(probe_order.size() + 1)), member.name);
  if (update.status == MemberStatus::suspect) {
    // Lifeguard, section IV.B: the timeout shrinks with up to K confirmations by other members.
    Suspicion& suspicion = suspicions[member.name];
    suspicion.started = now;
    suspicion.min_timeout = static_cast<Time>(min_suspicion_periods(settings.suspicion, live_members) *
                                              static_cast<double>(settings.probe));
    suspicion.needed_confirmations = std::min<std::size_t>(3, live_members > 2 ? live_members - 2 : 0);
    suspicion.max_timeout =
        suspicion.needed_confirmations ? 6 * suspicion.min_timeout : suspicion.min_timeout;
    add_accusers(now, member, update.accusers);
    // About twelve members probe the suspect at once: a live one learns of the suspicion sooner, and a dead
    // one gets enough confirmations for the minimum timeout.
    bool own_suspicion = !update.accusers.empty() && update.accusers.front() == name;
    if (!own_suspicion && next_random() % live_members < 12) queue_priority_probe(member.name);
  }
  disseminate(member);
}

bool View::State::add_accusers(Time, const Member& member, const std::vector<std::string>& accusers) {
  Suspicion& suspicion = suspicions[member.name];
  bool added = false;
  for (const std::string& accuser : accusers)
    if (suspicion.accusers.size() <= suspicion.needed_confirmations &&
        std::find(suspicion.accusers.begin(), suspicion.accusers.end(), accuser) ==
            suspicion.accusers.end()) {
      suspicion.accusers.push_back(accuser);
      added = true;
    }
  if (added) disseminate(member);
  return added;
}

Time View::State::suspicion_deadline(const std::string& suspect) const {
  const Suspicion& s = suspicions.at(suspect);
  if (s.needed_confirmations == 0 || s.accusers.size() <= 1) return s.started + s.max_timeout;
  double fraction = std::log(static_cast<double>(s.accusers.size())) /
                    std::log(static_cast<double>(s.needed_confirmations) + 1);
  return s.started +
         std::max(s.min_timeout,
                  s.max_timeout -
                      static_cast<Time>(static_cast<double>(s.max_timeout - s.min_timeout) * fraction));
}

void View::State::expire_suspicions(Time now, Outbox& out) {
  std::vector<std::string> overdue;
  for (const auto& [suspect, suspicion] : suspicions)
    if (suspicion_deadline(suspect) <= now) overdue.push_back(suspect);
  for (const std::string& suspect : overdue) {
    MemberUpdate update = update_for(members.at(suspect));
    update.status = MemberStatus::dead;
    update.accusers.clear();
    apply_update(now, update, Source::gossip, out);
  }
}

}  // namespace marblehub::fleet
