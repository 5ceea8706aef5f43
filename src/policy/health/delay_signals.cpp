#include "policy/health/delay_signals.h"

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

// A message waits 0.4 of the objective at a load of 0.85 and all of it at 0.93.
constexpr double kQueueingFactor = 0.07;
constexpr double kMinSpareCapacity = 0.05;
// One whose report says that messages come late is checked again so soon.
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
  // Waiting grows as spare capacity vanishes.
  double queueing_delay =
      shortest_objective_ms_ * kQueueingFactor * report.load / std::max(kMinSpareCapacity, 1 - report.load);
  backend.reported_delay.set(capped(queueing_delay), now);
  // On sockets no message tells of its delay; only the next report says whether migration has helped.
  if (backend.reported_delay.value >= kMigrationThreshold * shortest_objective_ms_)
    backend.probe_due = std::min(backend.probe_due, now + context_.random.jittered(kLateRecheckInterval));
}

}  // namespace marblehub::policy
