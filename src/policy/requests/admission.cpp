#include "policy/requests/admission.h"

#include <algorithm>

namespace marblehub::policy {
namespace {

constexpr double kFullLoad = 0.75;       // mean load above which fewer connections are admitted
constexpr double kMaxCountedLoad = 1.5;  // upper bound of the load of one backend in the mean
constexpr double kMinAdmittedFraction = 0.05;
constexpr double kRecoveryPerSweep = 0.005;  // increase per sweep while there is capacity
constexpr double kMinKnownConnections = 5;   // number of connections required to estimate their load
constexpr Time kMaxSignalAge = 5 * kSecond;  // older signals do not count

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
