#include "policy/health/delay_signals.h"

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

// Queueing delay at a load, in objectives: factor * load / (1 - load). It is 0.4 at a load of 0.85 and 1 at
// 0.93.
constexpr double kQueueingFactor = 0.07;
constexpr double kMinSpareCapacity = 0.05;  // lower bound of 1 - load
// Interval of health checks of a backend whose last report implies late messages.
constexpr Time kLateRecheckInterval = 500 * kMillisecond;

}  // namespace

DelaySignals::DelaySignals(Context& context)
    : context_(context),
      shortest_objective_ms_(static_cast<double>(shortest_message_objective(context.settings)) /
                             kMillisecond) {}

void DelaySignals::apply_report(Backend& backend, const LoadReport& report) const {
  if (report.load < 0) return;
  const Time now = context_.now;
  backend.utilization = report.load;
  backend.report_at = now;
  double queueing_delay =
      shortest_objective_ms_ * kQueueingFactor * report.load / std::max(kMinSpareCapacity, 1 - report.load);
  backend.reported_delay.set(capped(queueing_delay), now);
  // Message delays may not be observable; then only the next report shows the effect of migration.
  if (backend.reported_delay.value >= kMigrationThreshold * shortest_objective_ms_)
    backend.probe_due = std::min(backend.probe_due, now + context_.random.jittered(kLateRecheckInterval));
}

}  // namespace marblehub::policy
