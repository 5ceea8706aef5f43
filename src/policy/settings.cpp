#include <algorithm>
#include <cmath>

#include "marblehub/policy.h"

namespace marblehub::policy {

Time shortest_message_objective(const Settings& settings) {
  constexpr Time default_objective = 50'000;
  Time shortest = 0;
  for (const RequestClass& request_class : settings.classes) {
    Time objective = request_class.message_objective_us;
    if (objective > 0 && (shortest == 0 || objective < shortest)) shortest = objective;
  }
  return shortest > 0 ? shortest : default_objective;
}

Time first_call_spread(const Settings& settings) {
  constexpr Time longest_spread = 4'000'000;
  constexpr int balancers_of_longest_spread = 300;
  const int balancers = std::min(settings.balancers, balancers_of_longest_spread);
  return longest_spread * balancers / balancers_of_longest_spread;
}

std::optional<SettingsError> validate(const Settings& s) {
  auto is_finite_non_negative = [](double value) { return std::isfinite(value) && value >= 0; };
  if (s.balancers < 1) return SettingsError{"balancers"};
  if (s.max_attempts < 1) return SettingsError{"limits.max_attempts"};
  if (s.max_retry_after_us < 0) return SettingsError{"limits.max_retry_after_us"};
  if (s.connect_timeout_us < 0) return SettingsError{"limits.connect_timeout_us"};
  if (s.stop_sending_within_us < 0) return SettingsError{"invariants.stop_sending_within_us"};
  if (s.must_ask_within_us < 0) return SettingsError{"invariants.must_ask_in_us"};
  if (!(s.cold_share > 0 && s.cold_share <= 1)) return SettingsError{"invariants.cold_share"};
  if (s.warm_within_us < 0) return SettingsError{"invariants.warm_within_us"};
  if (!is_finite_non_negative(s.price_probe)) return SettingsError{"prices.probe"};
  if (!is_finite_non_negative(s.price_cross_zone)) return SettingsError{"prices.cross_zone"};
  if (s.classes.empty()) return SettingsError{"request_classes"};
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    std::string path = "request_classes." + std::to_string(i) + ".";
    if (s.classes[i].slo_us < 0) return SettingsError{path + "slo_us"};
    if (s.classes[i].dedup_window_us < 0) return SettingsError{path + "window_us"};
    if (s.classes[i].message_objective_us < 0) return SettingsError{"specifics.message_aim_us"};
  }
  return std::nullopt;
}

}  // namespace marblehub::policy
