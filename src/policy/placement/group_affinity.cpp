#include "policy/placement/group_affinity.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

// Backends per group, as a multiple of its share of the connections: other balancers use the backends too.
constexpr double kGroupWidth = 2;
constexpr double kLateFraction = 0.7;  // of the objective: a higher delay moves a backend to the end
constexpr double kFullLoad = 0.95;     // load from which the availability is at its minimum
constexpr double kLateWeight = 1e-9, kMinAvailability = 0.01, kAvailabilityExponent = 4;

// Pseudo-random number in (0, 1], determined by backend and group.
double rendezvous_draw(std::uint64_t backend_hash, std::uint64_t group) {
  return (static_cast<double>(mix_bits(backend_hash ^ group) >> 11) + 1) * 0x1p-53;
}

}  // namespace

// Weight factor that drops as the backend fills up. An outdated report does not count as more than
// kHeadroomLoad.
double GroupAffinity::availability(const Backend& backend) const {
  if (delays_.delay(backend) > kLateFraction * delays_.shortest_objective_ms()) return kLateWeight;
  bool recent = context_.now - backend.report_at < DelaySignals::kReportDecayTime;
  double load = recent ? backend.utilization : std::min(backend.utilization, kHeadroomLoad);
  return std::pow(std::clamp((kFullLoad - load) / (kFullLoad - kHeadroomLoad), kMinAvailability, 1.0),
                  kAvailabilityExponent);
}

double GroupAffinity::rank(const Request& request, int index, double mean_scale) const {
  const Backend& backend = backends_[index];
  // The weight grows with the square of the scale, but only linearly during warm-up, when a burst could
  // overload a large backend.
  double scale = ramp_.warming(backend) ? mean_scale : backend.scale;
  double weight =
      backend.scale * scale * availability(backend) * (request.has_tried(index) ? kTriedWeight : 1);
  return -std::log(rendezvous_draw(backend.hash, request.group)) / weight;
}

std::vector<char> GroupAffinity::select(const Request& request, const std::vector<int>& candidates,
                                        double mean_scale, double mean_load) const {
  std::vector<char> selected(candidates.size(), request.group == 0);
  if (request.group == 0) return selected;
  std::vector<std::pair<double, std::size_t>> ranked;
  for (std::size_t k = 0; k < candidates.size(); ++k)
    if (!backends_[candidates[k]].down) ranked.emplace_back(rank(request, candidates[k], mean_scale), k);
  std::sort(ranked.begin(), ranked.end());
  double wanted = kGroupWidth * groups_.count(request.group) / (kGroupWidth + mean_load);
  double needed = mean_scale * std::clamp(wanted, 1.0, kMaxGroupBackends);
  const bool may_wait = !rules_.near_deadline(request);
  for (const auto& [unused_rank, k] : ranked) {
    if (needed <= 0) break;
    const Backend& backend = backends_[candidates[k]];
    selected[k] = ramp_.open(backend);
    // A request waits for a warming backend to open; near its deadline it uses the next in rank instead.
    if (selected[k] || may_wait) needed -= backend.scale * ramp_.factor(backend);
  }
  return selected;
}

}  // namespace marblehub::policy
