/// Chooses the backend of an attempt by the design's blend of active connections, recent connections and
/// latency.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/placement/group_affinity.h"
#include "policy/requests/retry_rules.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

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

  /// The index of a backend for the next attempt, or kNoBackend. In a big fleet each draw looks at a part,
  /// chosen anew; a group's backends are the same only over the whole.
  int pick(const Request& request);

  /// How long a connection counts as new at its backend.
  static constexpr Time kRecentDecayTime = 10 * kSecond;

 private:
  struct Totals;  // over the candidates

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
  std::size_t round_robin_next_ = 0;  // of the round robin
};

}  // namespace marblehub::policy
