/// Group affinity: the backends that connections of one group keep to. A backend pays for a group once,
/// whether it holds one of its connections or all.
#pragma once

#include <vector>

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/requests/retry_rules.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"
#include "policy/state/group_connections.h"
#include "policy/state/request.h"

namespace marblehub::policy {

/// Keeps the connections of a group on few backends, as a backend pays a fixed cost for each group that it
/// holds, whatever the number of connections.
class GroupAffinity {
 public:
  GroupAffinity(const Context& context, const BackendTable& backends, const DelaySignals& delays,
                const SlowStartRamp& ramp, const RetryRules& rules, const GroupConnections& groups)
      : context_(context),
        backends_(backends),
        delays_(delays),
        ramp_(ramp),
        rules_(rules),
        groups_(groups) {}

  /// Returns for each candidate whether the group of the request may use it; all if it has no group.
  /// Candidates are ranked by weighted rendezvous hashing of group and address, so all balancers prefer the
  /// same backends; backends that are full, late, down or warming up rank lower or are skipped. The number of
  /// backends grows with the group's share of this balancer's connections, from 1 to kMaxGroupBackends:
  /// larger sets at many balancers would scatter the group. `mean_scale` and `mean_load` are means over the
  /// candidates.
  std::vector<char> select(const Request& request, const std::vector<int>& candidates, double mean_scale,
                           double mean_load) const;

 private:
  double availability(const Backend& backend) const;
  double rank(const Request& request, int index, double mean_scale) const;

  const Context& context_;
  const BackendTable& backends_;
  const DelaySignals& delays_;
  const SlowStartRamp& ramp_;
  const RetryRules& rules_;
  const GroupConnections& groups_;
};

}  // namespace marblehub::policy
