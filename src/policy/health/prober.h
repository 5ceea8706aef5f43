/// Health checks: when each backend is probed, what the results say, and what probes may cost.
#pragma once

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

class Prober {
 public:
  Prober(Context& context, BackendTable& backends, const DelaySignals& delays, const RequestTable& requests)
      : context_(context), backends_(backends), delays_(delays), requests_(requests) {}

  /// Probes the backends that are due, as far as the budget allows.
  void probe_due_backends();

  /// Probes this one now.
  void probe(Backend& backend);

  /// Takes the result of a health check.
  void on(const ProbeResultEvent& event);

  /// Counts a check past its time-out or a failed connect. Three in a row mark the backend down until a check
  /// succeeds.
  void count_miss(Backend& backend);

  /// Checks the backend again soon: at a stretched interval three misses would take minutes.
  void schedule_recheck(Backend& backend);

  /// Probes that the budget has left; every probe counts, also of suspects. Negative: overdrawn.
  double budget_left() const;

  /// Shares the fleet's budget among so many balancers from now on. What was earned so far neither grows nor
  /// is lost.
  void share_budget_by(int balancers);

 private:
  Time interval() const;
  bool is_candidate(const Backend& backend) const;
  double required_budget(const Backend& backend) const;

  Context& context_;
  BackendTable& backends_;
  const DelaySignals& delays_;
  const RequestTable& requests_;
  double probes_sent_ = 0;
};

}  // namespace marblehub::policy
