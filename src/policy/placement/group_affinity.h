/// Group affinity: which backends the connections of one group keep to. A backend pays for a group once,
/// whether it holds one connection of it or all.
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

  /// For each candidate whether the request's group keeps to it; all where it has none. The order is given by
  /// the group's number and the backends' names, the same at all balancers; one that is full, late, down or
  /// warming up gives way to the next. As many as the group's share of this balancer's connections asks for,
  /// since one connection says little of a group's size, and many balancers with wide sets would scatter it.
  /// `usual_scale`: the candidates' mean; `mean_load`: connections a backend.
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
