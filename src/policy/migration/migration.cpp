#include "policy/migration/migration.h"

#include <algorithm>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr Time kLeaveDownTime = kSecond;          // mean time until a connection leaves a down backend
constexpr Time kLeaveDrainingTime = 4 * kSecond;  // all connections leave a draining backend within this time
constexpr Time kLeaveSlowTime = 5 * kSecond;      // mean time until a connection leaves a late backend
constexpr Time kMaxSignalAge = 2 * kSecond;       // older delay signals move no connections
constexpr double kMaxLoadFactor = 2;              // heavier connections leave at a rate up to this factor
constexpr double kMinJudgedDelayMs = 1;           // delay from which the state of an idle backend is known

}  // namespace

bool Migration::needs_migration(const Backend& backend) const {
  if (backend.active == 0) return false;
  bool late = delays_.updated_within(backend, kMaxSignalAge) &&
              delays_.delay(backend) >= kMigrationThreshold * delays_.shortest_objective_ms();
  return backend.leaving_since >= 0 || backend.down || overwhelmed(backend) || late;
}

// Connections leave a draining backend at an even rate, but only if another backend is usable. One that was
// resumed at a backend that drains already has as much time from then on.
bool Migration::leaves_draining_in_sweep(const Backend& backend, Time opened_at) {
  if (!std::any_of(backends_.begin(), backends_.end(), usable)) return false;
  Time left = std::max(backend.leaving_since, opened_at) + kLeaveDrainingTime - context_.now;
  return left <= kSweepInterval || context_.random.uniform() * static_cast<double>(left) < kSweepInterval;
}

// Departures are spread over time, and suppressed if most other backends are no better.
bool Migration::leaves_in_sweep(const Request& request) {
  const Backend& backend = backends_[request.backend];
  if (backend.leaving_since >= 0) return leaves_draining_in_sweep(backend, request.sent_at);
  double lateness = std::min(1.0, delays_.delay(backend) / delays_.shortest_objective_ms());
  double rate = backend.down || overwhelmed(backend)
                    ? 1.0 / kLeaveDownTime
                    : lateness * lateness * std::min(kMaxLoadFactor, request.load) / kLeaveSlowTime;
  return context_.random.uniform() < rate * kSweepInterval && capacity_elsewhere();
}

void Migration::emit_redirect(std::uint64_t id, const Backend& backend) {
  RedirectReason reason = backend.leaving_since >= 0 ? RedirectReason::draining
                          : backend.down             ? RedirectReason::down
                          : overwhelmed(backend)     ? RedirectReason::overwhelmed
                                                     : RedirectReason::late;
  context_.emit(Redirect{id, reason, delays_.delay(backend), backend.utilization});
}

// Whether at most half of the backends with a known state are late or down; otherwise migration does not
// help.
bool Migration::capacity_elsewhere() const {
  if (admission_.admitted_fraction() < 1) return true;
  int unhealthy = 0, judged = 1;  // one backend is assumed to be healthy
  for (const Backend& backend : backends_) {
    if (!backend.listed || backend.draining) continue;
    judged += backend.active > 0 || backend.down || delays_.delay(backend) >= kMinJudgedDelayMs;
    unhealthy += backend.down || admission_.late(backend);
  }
  return 2 * unhealthy <= judged;
}

void Migration::redirect_leaving() {
  std::vector<char> migrating;
  for (const Backend& backend : backends_) migrating.push_back(needs_migration(backend));
  if (std::find(migrating.begin(), migrating.end(), 1) == migrating.end()) return;
  for (auto& [id, request] : requests_.requests) {
    if (!request.open || request.answered) continue;
    if (!migrating[static_cast<std::size_t>(request.backend)] || !leaves_in_sweep(request)) continue;
    emit_redirect(id, backends_[request.backend]);
    request.answered = true;
  }
}

}  // namespace marblehub::policy
