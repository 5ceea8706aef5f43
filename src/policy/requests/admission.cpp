#include "policy/requests/admission.h"

#include <algorithm>

namespace marblehub::policy {
namespace {

constexpr double kFullLoad = 0.75;    // mean load over which fewer are admitted
constexpr double kHighestLoad = 1.5;  // a report above it counts as this
constexpr double kLeastAdmitted = 0.05;
constexpr double kRecovery = 0.005;          // a sweep, once there is capacity again
constexpr double kFewestKnown = 5;           // connections from which their mean load is known
constexpr Time kSignalMemory = 5 * kSecond;  // only newer signals shed load

}  // namespace

bool Admission::late(const Backend& backend) const {
  return delays_.fresh(backend, kSignalMemory) && delays_.delay(backend) > delays_.shortest_objective_ms();
}

void Admission::update() {
  double full = 0, scales = 0, connections = 0;
  for (const Backend& backend : backends_) {
    if (!usable(backend)) continue;
    scales += backend.scale;
    connections += backend.load * context_.settings.balancers;
    full += backend.scale * std::max(std::min(backend.utilization, kHighestLoad), late(backend) ? 1.0 : 0.0);
  }
  double excess = scales > 0 ? full / scales - kFullLoad : 0;
  admitted_part_ = excess > 0 ? std::max(kLeastAdmitted, admitted_part_ * (1 - excess))
                              : std::min(1.0, admitted_part_ + kRecovery);
  load_of_one_ = connections > kFewestKnown ? full / connections : 0;
}

}  // namespace marblehub::policy
