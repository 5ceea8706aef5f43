#include "policy/slow_start/ramp.h"

#include <algorithm>
#include <cmath>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr Time kListLag = 5 * kSecond;  // by then the list has told of a restart, if there was one
// A backend is open in so many sweeps times its slow-start factor to that power: all may come in its first
// seconds.
constexpr double kOpenPart = 1.7, kOpenPower = 1.5;
// More requests than usual divide that part by their ratio to that power, so much at most: one request a
// sweep.
constexpr double kBurstPower = 3, kLargestBurst = 20;

}  // namespace

// A request that waits takes whichever backend opens first, so small ones open less often, and in a burst,
// with a request for every sweep, all do by far. For each unit of size.
double SlowStartRamp::open_part() const {
  double scales = 1e-9, scales_with_headroom = 0, count = 0;
  for (const Backend& backend : backends_) {
    if (!backend.listed || !backend.sampled) continue;
    bool headroom = !backend.down && (warming(backend) || backend.utilization < kHeadroomLoad);
    count += 1;
    scales += backend.scale;
    scales_with_headroom += headroom ? backend.scale : 0;
  }
  double usual_rate = requests_.seen / (context_.seconds_served() + 2);
  double usual = std::max(1.0, usual_rate * kBurstMemory / kSecond);
  double burst = std::max(1.0, requests_.lately.at(context_.now, kBurstMemory) / usual);
  double part =
      kOpenPart * scales_with_headroom / scales / std::min(kLargestBurst, std::pow(burst, kBurstPower));
  if (context_.settings.groups) part /= kMostGroupBackends;  // all of a group come
  part *= count / scales;
  return part;
}

void SlowStartRamp::draw_open_backends() {
  const double part = open_part();
  for (Backend& backend : backends_) {
    if (backend.restart_unconfirmed && context_.now - backend.warming_since > kListLag)
      backend.start_warming(0, false);
    if (!warming(backend)) continue;
    backend.open_in_sweep =
        context_.random.uniform() < part * backend.scale * std::pow(factor(backend), kOpenPower);
  }
}

}  // namespace marblehub::policy
