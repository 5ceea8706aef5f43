#include "policy/requests/admission.h"

#include <algorithm>

namespace marblehub::policy {
namespace {

constexpr double kFullLoad = 0.75;       // mean load over which fewer are admitted
constexpr double kMaxCountedLoad = 1.5;  // a report above it counts as this
constexpr double kMinAdmittedFraction = 0.05;
constexpr double kRecoveryPerSweep = 0.005;  // a sweep, once there is capacity again
constexpr double kMinKnownConnections = 5;   // connections from which their mean load is known
constexpr Time kMaxSignalAge = 5 * kSecond;  // only newer signals shed load

}  // namespace

bool Admission::late(const Backend& backend) const {
  return delays_.updated_within(backend, kMaxSignalAge) &&
         delays_.delay(backend) > delays_.shortest_objective_ms();
}

void Admission::update() {
  double full = 0, total_scale = 0, connections = 0;
  for (const Backend& backend : backends_) {
    if (!usable(backend)) continue;
    total_scale += backend.scale;
    connections += backend.load * context_.settings.balancers;
    full +=
        backend.scale * std::max(std::min(backend.utilization, kMaxCountedLoad), late(backend) ? 1.0 : 0.0);
  }
  double excess = total_scale > 0 ? full / total_scale - kFullLoad : 0;
  admitted_fraction_ = excess > 0 ? std::max(kMinAdmittedFraction, admitted_fraction_ * (1 - excess))
                                  : std::min(1.0, admitted_fraction_ + kRecoveryPerSweep);
  connection_load_ = connections > kMinKnownConnections ? full / connections : 0;
}

}  // namespace marblehub::policy
