#include "policy/migration/migration.h"

#include <algorithm>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr Time kOffDownWithin = kSecond;          // a connection leaves a down backend within about so long
constexpr Time kOffDrainingWithin = 4 * kSecond;  // all are off a draining one by then, evenly spread
constexpr Time kOffSlowWithin = 5 * kSecond;      // and one whose messages are late within about so long
constexpr Time kSignalMemory = 2 * kSecond;       // only newer signals move connections
constexpr double kHeaviest = 2;       // a connection of more than so many usual ones leaves no sooner
constexpr double kJudgedDelayMs = 1;  // from which a backend without connections is judged

}  // namespace

bool Migration::in_trouble(const Backend& backend) const {
  if (backend.active == 0) return false;
  bool late = delays_.fresh(backend, kSignalMemory) &&
              delays_.delay(backend) >= kMigrationThreshold * delays_.shortest_objective_ms();
  return backend.leaving_since >= 0 || backend.down || overwhelmed(backend) || late;
}

// All leave a draining backend before it stops, at an even pace, and none where there is nowhere to go.
bool Migration::leaves_draining(const Backend& backend) {
  if (!std::any_of(backends_.begin(), backends_.end(), usable)) return false;
  Time left = backend.leaving_since + kOffDrainingWithin - context_.now;
  return left <= kSweepInterval || context_.random.uniform() * static_cast<double>(left) < kSweepInterval;
}

// Spread in time, and not when most others are no better.
bool Migration::leaves(const Request& request) {
  const Backend& backend = backends_[request.backend];
  if (backend.leaving_since >= 0) return leaves_draining(backend);
  double lateness = std::min(1.0, delays_.delay(backend) / delays_.shortest_objective_ms());
  double rate = backend.down || overwhelmed(backend)
                    ? 1.0 / kOffDownWithin
                    : lateness * lateness * std::min(kHeaviest, request.load) / kOffSlowWithin;
  return context_.random.uniform() < rate * kSweepInterval && capacity_elsewhere();
}

void Migration::emit_redirect(std::uint64_t id, const Backend& backend) {
  RedirectReason reason = backend.leaving_since >= 0 ? RedirectReason::draining
                          : backend.down             ? RedirectReason::down
                          : overwhelmed(backend)     ? RedirectReason::overwhelmed
                                                     : RedirectReason::late;
  context_.emit(Redirect{id, reason, delays_.delay(backend), backend.utilization});
}

// Whether at most half of the backends that can be judged are late or down: else migration is no help.
bool Migration::capacity_elsewhere() const {
  if (admission_.admitted_part() < 1) return true;
  int bad = 0, judged = 1;  // one unknown counts as good
  for (const Backend& backend : backends_) {
    if (!backend.listed || backend.draining) continue;
    judged += backend.active > 0 || backend.down || delays_.delay(backend) >= kJudgedDelayMs;
    bad += backend.down || admission_.late(backend);
  }
  return 2 * bad <= judged;
}

void Migration::redirect_leaving() {
  std::vector<char> troubled;
  for (const Backend& backend : backends_) troubled.push_back(in_trouble(backend));
  if (std::find(troubled.begin(), troubled.end(), 1) == troubled.end()) return;
  for (auto& [id, request] : requests_.requests) {
    if (!request.open || request.answered) continue;
    if (!troubled[static_cast<std::size_t>(request.backend)] || !leaves(request)) continue;
    emit_redirect(id, backends_[request.backend]);
    request.answered = true;
  }
}

}  // namespace marblehub::policy
