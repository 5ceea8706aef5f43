#include "policy/slow_start/ramp.h"

#include <algorithm>
#include <cmath>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr Time kListDelay = 5 * kSecond;  // by then the list has told of a restart, if there was one
// A backend is open in so many sweeps times its slow-start factor to that power: all may come in its first
// seconds.
constexpr double kOpenFactor = 1.7, kOpenExponent = 1.5;
// More requests than usual divide that part by their ratio to that power, so much at most: one request a
// sweep.
constexpr double kBurstExponent = 3, kMaxBurstDivisor = 20;

}  // namespace

// A request that waits takes whichever backend opens first, so small ones open less often, and in a burst,
// with a request for every sweep, all do by far. For each unit of size.
double SlowStartRamp::open_probability() const {
  double total_scale = 1e-9, scales_with_headroom = 0, count = 0;
  for (const Backend& backend : backends_) {
    if (!backend.listed || !backend.sampled) continue;
    bool headroom = !backend.down && (warming(backend) || backend.utilization < kHeadroomLoad);
    count += 1;
    total_scale += backend.scale;
    scales_with_headroom += headroom ? backend.scale : 0;
  }
  double usual_rate = requests_.total_count / (context_.uptime_seconds() + 2);
  double usual = std::max(1.0, usual_rate * kBurstDecayTime / kSecond);
  double burst = std::max(1.0, requests_.recent_count.at(context_.now, kBurstDecayTime) / usual);
  double part = kOpenFactor * scales_with_headroom / total_scale /
                std::min(kMaxBurstDivisor, std::pow(burst, kBurstExponent));
  if (context_.settings.groups) part /= kMaxGroupBackends;  // all of a group come
  part *= count / total_scale;
  return part;
}

void SlowStartRamp::draw_open_backends() {
  const double part = open_probability();
  for (Backend& backend : backends_) {
    if (backend.restart_unconfirmed && context_.now - backend.warming_since > kListDelay)
      backend.start_warming(0, false);
    if (!warming(backend)) continue;
    backend.open_in_sweep =
        context_.random.uniform() < part * backend.scale * std::pow(factor(backend), kOpenExponent);
  }
}

}  // namespace marblehub::policy
