// Who is there: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and Lifeguard's refinements
// (Dadgar, Phillips, Currey 2018): local health, suspicion shortened by independent accusers, buddy system.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/settings/settings.h"
#include "fleet/time.h"

namespace marblehub::fleet {

enum class MemberStatus : std::uint8_t { alive, suspect, dead, left };

// Bounds and pace. Documented in docs/fleet-view.md.
constexpr std::size_t kMaxMembers = 2048;              // further joiners are not taken in
constexpr int kMaxLocalHealth = 8;                     // Lifeguard's S
constexpr Time kPushPullInterval = 30 * kSecond;       // a whole exchange with one at random
constexpr Time kDeadMemberRetention = 3600 * kSecond;  // who has been gone for so long is not tried again
constexpr Time kBudgetHold = 120 * kSecond;            // see View::budget_members

struct Member {
  std::string name, address;      // of its UDP and TCP port
  std::uint64_t incarnation = 0;  // grows when it refutes an accusation or starts anew; never goes back
  MemberStatus status = MemberStatus::alive;
  std::uint8_t schema = 1;
  Time since = 0;  // of its standing, by this balancer's clock
};

class View {
 public:
  View(const Settings& settings, std::uint64_t incarnation, std::uint64_t seed, Time now);

  // From the owner. A body that cannot be read changes nothing. To a name in the outbox belongs the address
  // that members() has for it; "@address" is sent there as it stands.
  void received(Time now, const std::string& from, std::string_view body, Transport transport, Outbox& out);
  void tick(Time now, Outbox& out);   // at next_due or later; a much later call means that this process slept
  void leave(Time now, Outbox& out);  // at SIGTERM: others take it off at once, without suspicion
  Time next_due() const;

  // What it has, this balancer included.
  const std::map<std::string, Member>& members() const;
  std::size_t live_count() const;    // alive or suspect
  std::uint64_t digest() const;      // over names, incarnations and standing: two settled views are equal
  std::uint64_t generation() const;  // grows with every change
  bool converged(Time now) const;    // no suspect, and no change for three probe periods
  int local_health() const;  // Lifeguard's local health multiplier, 0 the best: it doubts itself above
  // The address of another process of this one's name, begun earlier, that answered: this one must stop. From
  // then on it sends nothing. The earlier one goes on.
  std::optional<std::string> name_conflict() const;

  // For the fleet's budgets in the module: the balancers alive, settled and smoothed. Who left by its own
  // word is off at once, who was given up counts in full for kBudgetHold and then fades within another, so
  // that the halves of a partition do not each spend the whole budget at a cold worker; growth is followed at
  // once.
  double budget_members(Time now) const;

 private:
  struct State;
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
