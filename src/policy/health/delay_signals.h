/// Message delays of the backends, as measured by this balancer and as derived from load reports.
#pragma once

#include <algorithm>

#include "policy/context.h"
#include "policy/state/backend.h"

namespace marblehub::policy {

/// Estimates how long messages take at each backend, from observations on connections and from load reports.
class DelaySignals {
 public:
  explicit DelaySignals(Context& context);

  /// Shortest message latency objective of all classes, in ms.
  double shortest_objective_ms() const { return shortest_objective_ms_; }

  /// Estimated message delay at the backend in ms, in addition to the round trip of health checks.
  double delay(const Backend& backend) const {
    return std::max(backend.observed_delay.at(context_.now, kObservationDecayTime),
                    backend.reported_delay.at(context_.now, kReportDecayTime));
  }

  /// Whether the estimate was updated within this time. All balancers that received an older signal have
  /// already reacted to it.
  bool updated_within(const Backend& backend, Time within) const {
    return context_.now - std::max(backend.observed_delay.since, backend.reported_delay.since) < within;
  }

  /// Sets the observed delay, limited to max_delay_ms().
  void observe(Backend& backend, double ms) const { backend.observed_delay.set(capped(ms), context_.now); }

  /// Raises the observed delay to at least `ms` and refreshes it.
  void observe_at_least(Backend& backend, double ms) const { observe(backend, std::max(delay(backend), ms)); }

  /// Updates utilization and reported delay from a load report. Ignores reports without a load.
  void apply_report(Backend& backend, const LoadReport& report) const;

  /// Upper bound of the delays, in ms.
  double max_delay_ms() const { return kMaxDelayObjectives * shortest_objective_ms_; }

  static constexpr Time kReportDecayTime = 6 * kSecond;  // long, since load reports are rare

 private:
  static constexpr Time kObservationDecayTime = 10 * kSecond;
  // Maximum delay as a multiple of the objective, so that the delay of a hung backend decays soon after it
  // recovers.
  static constexpr double kMaxDelayObjectives = 4;

  double capped(double ms) const { return std::min(ms, max_delay_ms()); }

  Context& context_;
  const double shortest_objective_ms_;
};

}  // namespace marblehub::policy
