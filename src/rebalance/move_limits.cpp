#include "rebalance/move_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace marblehub::rebalance {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr Time kBurst = 5 * kSecond;  // no more is done in so long than its part of a minute's limit
// A slot may be used in its first second and a half only: a move that came late in its slot would share a
// minute with too many.
constexpr Time kSlotUse = kSecond * 3 / 2;

// A store or a target that a minute's calls reach at once would be late for all of them.
double in_a_burst(double a_minute) {
  return std::max(1.0, std::floor(a_minute * static_cast<double>(kBurst) / static_cast<double>(kMinute)));
}

void drop_before(std::deque<Time>& times, Time least) {
  while (!times.empty() && times.front() <= least) times.pop_front();
}

double lately(const std::deque<Time>& times, Time now) {
  return static_cast<double>(
      std::count_if(times.begin(), times.end(), [now](Time time) { return time > now - kBurst; }));
}

}  // namespace

void MoveLimits::forget_old(Time now) {
  drop_before(moved_, now - kMinute);
  drop_before(set_ups_, now - kMinute);
  drop_before(to_come_, now - kMinute);
}

std::size_t MoveLimits::allowance(const Settings& settings, Time now) const {
  double share = settings.fleet_moves_per_minute / fleet_.balancers;
  double own = std::floor(std::min(settings.moves_per_minute, share));
  if (own >= 1) {
    double left = std::min(own - static_cast<double>(moved_.size()), in_a_burst(own) - lately(moved_, now));
    return static_cast<std::size_t>(std::max(0.0, left));
  }
  if (settings.fleet_moves_per_minute < 1 || settings.moves_per_minute < 1) return 0;
  return allowance_in_turns(settings.fleet_moves_per_minute, now);
}

// Whole moves only. A fleet limit that gives less than one a balancer and minute is kept in turns: time is
// cut into slots of a minute over the limit, and a balancer may move once at the slots that are its own. Of
// these no more begin in any minute than the limit says.
std::size_t MoveLimits::allowance_in_turns(double fleet_a_minute, Time now) const {
  double slot = static_cast<double>(kMinute) / std::floor(fleet_a_minute);
  auto number = static_cast<std::int64_t>(static_cast<double>(now) / slot);
  auto begins = static_cast<Time>(static_cast<double>(number) * slot);
  bool begun = now - begins < std::min<Time>(kSlotUse, static_cast<Time>(slot / 2));
  bool used = !moved_.empty() && moved_.back() >= begins;
  return number % fleet_.balancers == fleet_.me && begun && !used ? 1 : 0;
}

// Every client that reconnects calls the session store; of what it can bear, what this balancer's clients ask
// for anyway and what moves on the way will ask for is taken off.
bool MoveLimits::store_allows(const Settings& settings, Time now, std::size_t planned) const {
  if (settings.store_calls_per_minute <= 0) return true;
  double own = settings.store_calls_per_minute / fleet_.balancers;
  double in_a_minute = static_cast<double>(set_ups_.size() + to_come_.size() + planned) + 1;
  double in_burst = lately(set_ups_, now) + lately(to_come_, now) + static_cast<double>(planned) + 1;
  return in_a_minute <= own && in_burst <= in_a_burst(own);
}

}  // namespace marblehub::rebalance
