/// The implementation of View. updates.cpp applies updates to members, probes.cpp has the current probe and
/// the indirect pings for others, exchange.cpp the push-pulls, seeds and name conflicts, view.cpp the timers.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/view/gossip.h"
#include "fleet/view/message.h"
#include "fleet/view/view.h"

namespace marblehub::fleet {

/// The state of a View.
struct View::State {
  State(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now);

  // -- updates.cpp: updates about members
  /// How an update arrived. A push-pull also has members that died long ago.
  enum class Source { gossip, push_pull };
  /// Applies an update where it supersedes what is known. Returns whether a member or suspicion changed.
  bool apply_update(Time now, const view::MemberUpdate& update, Source source, Outbox& out);
  /// Handles an update about this balancer itself: refutes it by a higher incarnation.
  void apply_own_update(Time now, const view::MemberUpdate& update, Outbox& out);
  /// Overwrites a member with an update and starts or ends its suspicion.
  void replace_member(Time now, Member& member, const view::MemberUpdate& update);
  /// Adds accusers to a suspicion, up to those that shorten its timeout. Returns whether any was new.
  bool add_accusers(Time now, const Member& member, const std::vector<std::string>& accusers);
  /// Declares dead each suspect whose timeout has passed.
  void expire_suspicions(Time now, Outbox& out);
  view::MemberUpdate update_for(const Member& member) const;
  Time suspicion_deadline(const std::string& suspect) const;
  void disseminate(const Member& member) { gossip.add(update_for(member)); }
  /// Raises or lowers the local health multiplier within its limits.
  void adjust_local_health(int change);

  // -- probes.cpp: probes, indirect pings and gossip
  void begin_probe(Time now, Outbox& out);
  void step_probe(Time now, Outbox& out);
  void step_indirect_pings(Time now, Outbox& out);
  void send_ping_requests(Outbox& out);
  /// Has a member probed before the ones of the regular order.
  void queue_priority_probe(const std::string& peer);
  /// Whether another member suspects it too, or it is no longer live.
  bool accused_by_others(const std::string& peer) const;
  /// The member to probe next; empty where there is none.
  std::string next_target();
  void on_ping(Time now, const std::string& from, const view::ViewMessage& message, Outbox& out);
  void on_ack(Time now, const view::ViewMessage& message, Outbox& out);
  void on_ping_request(Time now, const std::string& from, const view::ViewMessage& message, Outbox& out);
  void on_nack(const std::string& from, const view::ViewMessage& message);
  void step_gossip(Time now, Outbox& out);
  /// Sends a datagram with a header and as much gossip as fits.
  void send(view::ViewMessage message, const std::string& to, const std::string& to_address, Outbox& out);

  // -- exchange.cpp: seeds, dead members, push-pulls, name conflicts
  /// Pings seeds and dead members, starts the periodic push-pull and removes old dead members.
  void step_maintenance(Time now, Outbox& out);
  void request_push_pull(Time now, const std::string& to, Outbox& out);
  /// `changes`: the number of updates in the message that changed a member here.
  void on_push_pull(Time now, const std::string& from, const view::ViewMessage& message, std::size_t changes,
                    Outbox& out);
  void send_full_state(Time now, view::MessageKind kind, const std::string& to, Outbox& out);
  /// Handles a message from another process that has this one's name.
  void handle_name_conflict(Time now, const view::ViewMessage& message, Outbox& out);
  void probe_name_conflict(Time now, const std::string& other_address, Outbox& out);

  // -- view.cpp
  /// Called first on every input. Where this process was paused, extends the suspicions and ends the probe.
  void detect_pause(Time now);
  /// The earliest of the timers.
  Time due() const;
  bool converged(Time now) const;
  /// Checks the invariants.
  void check() const;
  /// Sets the fields of a message that describe this balancer.
  void fill_header(view::ViewMessage& message) const;
  std::uint64_t next_random() {  // splitmix64 (Steele, Lea, Flood 2014)
    std::uint64_t z = (rng_state += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::size_t random_index(std::size_t n) { return static_cast<std::size_t>(next_random() % n); }
  /// Up to `count` random members whose status fits, without this balancer and `except`.
  std::vector<std::string> random_members(std::size_t count, bool (*fits)(MemberStatus),
                                          const std::string& except);
  Member& self() { return *own_member; }
  const Member& self() const { return *own_member; }
  bool is_stopped() const { return left || conflicting_address.has_value(); }

  const Settings settings;
  const std::string name, address;
  const std::uint64_t start_incarnation;
  std::uint64_t rng_state;

  std::map<std::string, Member> members;
  Member* own_member;
  std::size_t live_members = 0, dead_members = 0;
  std::uint64_t digest = 0, generation = 1;
  Time last_change;  // of any member

  /// The suspicion of one member. Its timeout starts at max_timeout and shrinks to min_timeout as further
  /// members confirm it.
  struct Suspicion {
    std::vector<std::string> accusers;
    Time started = 0, min_timeout = 0, max_timeout = 0;
    std::size_t needed_confirmations = 0;  // accusers besides the first until min_timeout applies
  };
  std::map<std::string, Suspicion> suspicions;
  view::Gossip gossip;
  int local_health = 0;
  int matching_digests = 0;  // consecutive messages from converged members with this digest

  /// The probe of the current protocol period.
  struct Probe {
    std::string target;
    std::uint64_t sequence = 0;
    int indirect_rounds = 0;  // rounds of ping requests sent so far, at most 2
    Time next_round = 0, second_round = 0, deadline = 0;
    std::vector<std::string> helpers, nacked;  // members asked to ping the target; those that sent a nack
  };
  std::optional<Probe> probe;
  std::vector<std::string> probe_order;  // taken from the back; each member once a round
  // Members to probe first: suspects to be confirmed or refuted, and helpers that did not answer.
  std::deque<std::string> priority_probes;
  static constexpr std::size_t kMaxPriorityProbes = 8;
  Time next_probe;

  /// A ping that this balancer makes on the request of another member.
  struct IndirectPing {
    std::string requester, requester_address, target;
    std::uint64_t sequence = 0;
    Time nack_at = 0, expires_at = 0;
    bool nack_sent = false;
  };
  std::map<std::uint64_t, IndirectPing> indirect_pings;  // by the sequence of its ping
  static constexpr std::size_t kMaxIndirectPings = 64;

  Time next_gossip, next_push_pull, next_reconnect, next_seed_ping, last_push_pull, last_now, next_due;
  std::uint64_t conflict_sequence = 0;  // of the last ping to another process with this name; 0: none awaited
  Time conflict_probed_at;
  std::optional<std::string> conflicting_address;  // see View::name_conflict
  bool left = false;
};

/// Whether a member counts as present: alive or suspect.
inline bool is_live(MemberStatus status) {
  return status == MemberStatus::alive || status == MemberStatus::suspect;
}
inline bool is_alive(MemberStatus status) { return status == MemberStatus::alive; }
inline bool is_suspect(MemberStatus status) { return status == MemberStatus::suspect; }
inline bool is_dead(MemberStatus status) { return status == MemberStatus::dead; }

}  // namespace marblehub::fleet
