/// Membership and failure detection: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and
/// the refinements of Lifeguard (Dadgar, Phillips, Currey 2018): local health multiplier, suspicion timeouts
/// that shrink with independent confirmations, buddy system. Push-pull exchanges of the full state repair
/// what gossip missed.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/settings/settings.h"
#include "fleet/time.h"

namespace marblehub::fleet {

/// `dead`: given up after a suspicion timed out. `left`: announced its own departure. In updates of the same
/// incarnation the higher value wins.
enum class MemberStatus : std::uint8_t { alive, suspect, dead, left };

// Limits and intervals, documented in docs/fleet-view.md.
constexpr std::size_t kMaxMembers = 2048;         // further joiners are ignored
constexpr int kMaxLocalHealth = 8;                // maximum of the local health multiplier, Lifeguard's S
constexpr Time kPushPullInterval = 30 * kSecond;  // between push-pulls with a random member
constexpr Time kDeadMemberRetention = 3600 * kSecond;  // then a dead member is removed
constexpr Time kBudgetHold = 120 * kSecond;            // see View::budget_members

/// A member as this balancer knows it.
struct Member {
  std::string name, address;      ///< IPv4 address and port, for UDP and TCP
  std::uint64_t incarnation = 0;  ///< grows when it refutes a suspicion or restarts; never decreases
  MemberStatus status = MemberStatus::alive;
  std::uint8_t schema = 1;
  Time since = 0;  ///< when the status or incarnation last changed, by this balancer's clock
};

/// One balancer's view of the fleet's members. A state machine without I/O: the owner passes in time and
/// received messages, and sends the messages of the outbox. Not thread-safe.
class View {
 public:
  /// `incarnation` should be higher than that of any earlier process of the same name; `seed` seeds the
  /// random generator.
  View(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now);

  /// Handles a message that the envelope authenticated as coming from `from`. A body that cannot be decoded
  /// changes nothing. A message in the outbox goes to the address that members() has for its name, or, for
  /// "@address", to that address.
  void received(Time now, const std::string& from, std::string_view body, Transport transport, Outbox& out);
  /// Runs the timers; to be called at next_due. From a much later call the view concludes that this process
  /// was paused.
  void tick(Time now, Outbox& out);
  /// Announces the departure of this balancer at shutdown: the others mark it as left without suspicion.
  /// Nothing is sent or accepted afterwards.
  void leave(Time now, Outbox& out);
  /// When to call tick next.
  Time next_due() const;

  /// All known members by name, dead ones and this balancer included.
  const std::map<std::string, Member>& members() const;
  std::size_t live_count() const;    ///< members alive or suspect, this balancer included
  std::uint64_t digest() const;      ///< over names, incarnations and statuses of the live members
  std::uint64_t generation() const;  ///< grows with every change of a member
  bool converged(Time now) const;    ///< no suspect, and no change for three probe periods
  /// Lifeguard's local health multiplier: 0 is healthy; the higher, the more likely it is that this balancer
  /// itself is slow or badly connected.
  int local_health() const;
  /// The address of an earlier process that has the same name and answered a ping. This process must then
  /// stop; the view sends nothing more.
  std::optional<std::string> name_conflict() const;

  /// The number of balancers that share the fleet-wide budgets of the policy. A new member counts at once and
  /// one that left no longer counts; a dead one counts in full for kBudgetHold and then decays linearly to
  /// zero within another kBudgetHold, so that the sides of a partition do not each spend the whole budget.
  double budget_members(Time now) const;

 private:
  struct State;
  /// Deletes the state, whose type is incomplete here.
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
