/// Backend selection by the design's blend of active connections, recent connections and latency.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/placement/group_affinity.h"
#include "policy/requests/retry_rules.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Selects the backend of an attempt by weighted random choice. The weight combines active connections,
/// recent connections and latency, and is scaled by capacity, reported load and health.
class Selector {
 public:
  Selector(Context& context, BackendTable& backends, const DelaySignals& delays, const SlowStartRamp& ramp,
           const RetryRules& rules, const GroupAffinity& affinity)
      : context_(context),
        backends_(backends),
        delays_(delays),
        ramp_(ramp),
        rules_(rules),
        affinity_(affinity) {}

  /// Returns the index of a backend for the next attempt, or kNoBackend. In a large fleet only a random
  /// subset is examined, except for grouped requests, whose backends are ranked over the whole fleet.
  int pick(const Request& request);

  /// Decay time of the recent connections of a backend.
  static constexpr Time kRecentDecayTime = 10 * kSecond;

 private:
  struct Totals;

  int pick_among(const Request& request, std::vector<int> candidates, bool whole_fleet);
  Totals totals_of(const std::vector<int>& candidates, bool any_sampled) const;
  double weight(const Request& request, int index, double recent, const Totals& totals) const;
  int draw(const std::vector<int>& candidates, const std::vector<double>& weights, double total);

  Context& context_;
  BackendTable& backends_;
  const DelaySignals& delays_;
  const SlowStartRamp& ramp_;
  const RetryRules& rules_;
  const GroupAffinity& affinity_;
  std::size_t round_robin_next_ = 0;  // if all candidates are down
};

}  // namespace marblehub::policy
