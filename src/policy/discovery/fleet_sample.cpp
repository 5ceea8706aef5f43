#include "policy/discovery/fleet_sample.h"

#include <algorithm>
#include <cmath>

namespace marblehub::policy {
namespace {

constexpr double kMinSampledBackends = 12;     // leaves a choice in every zone after the loss of a third
constexpr double kMinBalancersPerBackend = 8;  // a burst at one balancer then fills no backend
// Step between the samples of consecutive balancers: spreads any run of them evenly.
constexpr double kGoldenRatio = 0.6180339887;

std::vector<int> listed_by_zone(const BackendTable& backends) {
  std::vector<int> listed;
  for (int index : backends.all())
    if (backends[index].listed) listed.push_back(index);
  std::sort(listed.begin(), listed.end(), [&](int one, int other) {
    const Backend& a = backends[one];
    const Backend& b = backends[other];
    return a.zone != b.zone ? a.zone < b.zone : a.address < b.address;
  });
  return listed;
}

double sampled_fraction(const Settings& settings, std::size_t listed) {
  // All balancers must choose the backends of a group from the same set.
  if (settings.groups) return 1;
  return std::max(kMinSampledBackends / static_cast<double>(listed),
                  kMinBalancersPerBackend / settings.balancers);
}

}  // namespace

void choose_sample(const Settings& settings, BackendTable& backends) {
  const std::vector<int> listed = listed_by_zone(backends);
  const double fraction = sampled_fraction(settings, listed.size());
  const double step = settings.balancer_index * kGoldenRatio;
  std::vector<int>& sampled = backends.sampled();
  sampled.clear();
  for (std::size_t from = 0, to = 0; from < listed.size(); from = to) {
    while (to < listed.size() && backends[listed[to]].zone == backends[listed[from]].zone) ++to;
    for (std::size_t i = from; i < to; ++i) {
      double position = (static_cast<double>(i - from) + 0.5) / static_cast<double>(to - from) + step;
      Backend& backend = backends[listed[i]];
      backend.sampled = position - std::floor(position) < fraction;
      if (backend.sampled) sampled.push_back(listed[i]);
    }
  }
}

}  // namespace marblehub::policy
