/// What is known of how long messages take at each backend, as seen by this balancer and as derived from load
/// reports.
#pragma once

#include <algorithm>

#include "policy/context.h"
#include "policy/state/backend.h"

namespace marblehub::policy {

class DelaySignals {
 public:
  explicit DelaySignals(Context& context);

  /// The shortest latency objective of the messages on any connection, in ms.
  double shortest_objective_ms() const { return shortest_objective_ms_; }

  /// How long a message is said to take at the backend beyond what health checks measure, in ms.
  double delay(const Backend& backend) const {
    return std::max(backend.observed_delay.at(context_.now, kObservationDecayTime),
                    backend.reported_delay.at(context_.now, kReportDecayTime));
  }

  /// Whether a signal has come within that time. An older one has been answered already, by this balancer and
  /// by all others that saw it.
  bool updated_within(const Backend& backend, Time within) const {
    return context_.now - std::max(backend.observed_delay.since, backend.reported_delay.since) < within;
  }

  /// Takes it that a message takes `ms` there.
  void observe(Backend& backend, double ms) const { backend.observed_delay.set(capped(ms), context_.now); }

  /// The same, if that is longer than what is known.
  void observe_at_least(Backend& backend, double ms) const { observe(backend, std::max(delay(backend), ms)); }

  /// The same as the backend's load report has it. A report that tells no load changes nothing.
  void apply_report(Backend& backend, const LoadReport& report) const;

  /// The longest that a delay signal counts for, in ms.
  double max_delay_ms() const { return kMaxDelayObjectives * shortest_objective_ms_; }

  static constexpr Time kReportDecayTime = 6 * kSecond;  // a load report is rare and says much

 private:
  static constexpr Time kObservationDecayTime = 10 * kSecond;
  // Times the objective. Without a bound a hung backend's delay would outlast its trouble by 30 s.
  static constexpr double kMaxDelayObjectives = 4;

  double capped(double ms) const { return std::min(ms, max_delay_ms()); }

  Context& context_;
  const double shortest_objective_ms_;
};

}  // namespace marblehub::policy
