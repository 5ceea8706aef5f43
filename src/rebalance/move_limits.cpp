#include "rebalance/move_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace marblehub::rebalance {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr Time kBurst = 5 * kSecond;  // interval in which only its share of a minute's limit is used
// A slot is open only at its start: with moves late in a slot, a minute could hold more than the limit.
constexpr Time kSlotOpenTime = kSecond * 3 / 2;

// Spreads a minute's limit, so that the session store and the target workers do not get it all at once.
double burst_limit(double per_minute) {
  return std::max(1.0, std::floor(per_minute * static_cast<double>(kBurst) / static_cast<double>(kMinute)));
}

void drop_before(std::deque<Time>& times, Time cutoff) {
  while (!times.empty() && times.front() <= cutoff) times.pop_front();
}

double count_recent(const std::deque<Time>& times, Time now) {
  return static_cast<double>(
      std::count_if(times.begin(), times.end(), [now](Time time) { return time > now - kBurst; }));
}

}  // namespace

void MoveLimits::drop_expired(Time now) {
  drop_before(moves_, now - kMinute);
  drop_before(setups_, now - kMinute);
  drop_before(expected_setups_, now - kMinute);
}

std::size_t MoveLimits::allowance(const Settings& settings, Time now) const {
  double share = settings.fleet_moves_per_minute / fleet_.balancers;
  double own_limit = std::floor(std::min(settings.moves_per_minute, share));
  if (own_limit >= 1) {
    double remaining = std::min(own_limit - static_cast<double>(moves_.size()),
                                burst_limit(own_limit) - count_recent(moves_, now));
    return static_cast<std::size_t>(std::max(0.0, remaining));
  }
  if (settings.fleet_moves_per_minute < 1 || settings.moves_per_minute < 1) return 0;
  return slot_allowance(settings.fleet_moves_per_minute, now);
}

// Keeps a fleet limit of less than one move per balancer and minute. Time is divided into slots of one minute
// over the limit, assigned to the balancers round robin; each balancer may move once per slot of its own. No
// more slots begin in any minute than the limit allows.
std::size_t MoveLimits::slot_allowance(double fleet_moves_per_minute, Time now) const {
  double slot = static_cast<double>(kMinute) / std::floor(fleet_moves_per_minute);
  auto slot_index = static_cast<std::int64_t>(static_cast<double>(now) / slot);
  auto slot_start = static_cast<Time>(static_cast<double>(slot_index) * slot);
  bool slot_open = now - slot_start < std::min<Time>(kSlotOpenTime, static_cast<Time>(slot / 2));
  bool slot_used = !moves_.empty() && moves_.back() >= slot_start;
  return slot_index % fleet_.balancers == fleet_.balancer_index && slot_open && !slot_used ? 1 : 0;
}

// Every client that reconnects calls the session store. This balancer's share of the limit is reduced by the
// setups of the last minute and by those expected from moves under way.
bool MoveLimits::store_allows(const Settings& settings, Time now, std::size_t planned) const {
  if (settings.store_calls_per_minute <= 0) return true;
  double own_limit = settings.store_calls_per_minute / fleet_.balancers;
  double minute_total = static_cast<double>(setups_.size() + expected_setups_.size() + planned) + 1;
  double burst_total =
      count_recent(setups_, now) + count_recent(expected_setups_, now) + static_cast<double>(planned) + 1;
  return minute_total <= own_limit && burst_total <= burst_limit(own_limit);
}

}  // namespace marblehub::rebalance
