#include "policy/slow_start/ramp.h"

#include <algorithm>
#include <cmath>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

// Within this time the endpoint list shows a restart, if there was one.
constexpr Time kListDelay = 5 * kSecond;
// A warming backend is open in a sweep with probability kOpenFactor * factor^kOpenExponent. The
// values limit its load even if all requests arrive in the first seconds of the warm-up.
constexpr double kOpenFactor = 1.7, kOpenExponent = 1.5;
// In a burst the probability is divided by (recent rate / mean rate)^kBurstExponent, up to kMaxBurstDivisor.
constexpr double kBurstExponent = 3, kMaxBurstDivisor = 20;

}  // namespace

// Returns the probability per unit of scale. A waiting request takes the first backend that opens, so the
// probability grows with the scale, and it drops in a burst, when a request waits in every sweep.
double SlowStartRamp::open_probability() const {
  double total_scale = 1e-9, scales_with_headroom = 0, count = 0;
  for (const Backend& backend : backends_) {
    if (!backend.listed || !backend.sampled) continue;
    bool headroom = !backend.down && (warming(backend) || backend.utilization < kHeadroomLoad);
    count += 1;
    total_scale += backend.scale;
    scales_with_headroom += headroom ? backend.scale : 0;
  }
  double mean_rate = requests_.total_count / (context_.uptime_seconds() + 2);
  double mean_count = std::max(1.0, mean_rate * kBurstDecayTime / kSecond);
  double burst = std::max(1.0, requests_.recent_count.at(context_.now, kBurstDecayTime) / mean_count);
  double probability = kOpenFactor * scales_with_headroom / total_scale /
                       std::min(kMaxBurstDivisor, std::pow(burst, kBurstExponent));
  if (context_.settings.groups) probability /= kMaxGroupBackends;  // a group shares few backends
  probability *= count / total_scale;
  return probability;
}

void SlowStartRamp::draw_open_backends() {
  const double probability = open_probability();
  for (Backend& backend : backends_) {
    if (backend.restart_unconfirmed && context_.now - backend.warming_since > kListDelay)
      backend.start_warming(0, false);
    if (!warming(backend)) continue;
    backend.open_in_sweep =
        context_.random.uniform() < probability * backend.scale * std::pow(factor(backend), kOpenExponent);
  }
}

}  // namespace marblehub::policy
