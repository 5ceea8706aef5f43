/// Health checks.
#pragma once

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

/// Schedules the probes of each backend within the probe budget, and marks backends down and up by the
/// results.
class Prober {
 public:
  Prober(Context& context, BackendTable& backends, const DelaySignals& delays, const RequestTable& requests)
      : context_(context), backends_(backends), delays_(delays), requests_(requests) {}

  /// Probes the backends that are due, as far as the budget allows. Called once per sweep.
  void probe_due_backends();

  /// Probes the backend immediately.
  void probe(Backend& backend);

  /// Applies the result of a health check.
  void on(const ProbeResultEvent& event);

  /// Counts a failed health check or a failed connect. Three consecutive misses mark the backend down until a
  /// check succeeds.
  void count_miss(Backend& backend);

  /// Schedules a check in about kRecheckInterval, unless one is due earlier. The regular interval may be
  /// several minutes.
  void schedule_recheck(Backend& backend);

  /// Remaining budget in probes. Every probe is charged, including rechecks. Negative if overdrawn.
  double budget_left() const;

  /// Changes the number of balancers that share the fleet's budget. The current remaining budget is kept.
  void set_balancer_count(int balancers);

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
