#include "policy/placement/selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr double kActiveShare = 0.25, kRecentShare = 0.25, kLatencyShare = 0.5;  // the design's blend
constexpr double kSharpness = 6;      // a backend half as good by the blend draws 1/64 as often
constexpr double kMissFactor = 0.25;  // of the weight, for each miss in a row
constexpr double kHeadroomPower = 6,
                 kLeastHeadroom = 0.02;  // what is left of its capacity counts to this power
constexpr double kCrossZoneCost = 8;     // crossing zones counts as latency: price x objective x this
constexpr double kLeastSoftening = 0.1;  // ms that are added to latencies before they are compared
constexpr double kOutsideSample =
    0.0005;                             // weight outside the sample: used when all inside it are in trouble
constexpr std::size_t kExamined = 128;  // candidates a draw looks at, or twice the root of the fleet if more

}  // namespace

struct Selector::Totals {
  std::vector<double> recent;  // connections, of each candidate
  double count = 0, scales = 0, loads = 0, recents = 0;
  double mean_latency = 0, best_latency = 1e18, softening = 0;
};

int Selector::pick(const Request& request) {
  std::vector<int>& sampled = backends_.sampled();
  std::size_t examined = std::max(kExamined, 2 * static_cast<std::size_t>(std::sqrt(sampled.size())));
  if (sampled.size() > examined && request.group == 0) {
    for (std::size_t k = 0; k < examined; ++k)
      std::swap(sampled[k], sampled[k + context_.random.bits() % (sampled.size() - k)]);
    std::vector<int> part(sampled.begin(), sampled.begin() + static_cast<std::ptrdiff_t>(examined));
    int picked = pick_among(request, std::move(part), false);
    if (picked != kNoBackend) return picked;
  }
  return pick_among(request, backends_.all(), true);
}

int Selector::pick_among(const Request& request, std::vector<int> candidates, bool whole_fleet) {
  std::erase_if(candidates, [&](int index) { return !rules_.allowed(backends_[index], request); });
  if (candidates.empty()) return kNoBackend;
  bool any_up = false, any_sampled = false;
  for (int index : candidates) {
    if (backends_[index].down) continue;
    any_up = true;
    any_sampled |= backends_[index].sampled;
  }
  if (!any_up)  // round robin, as without health checks
    return whole_fleet ? candidates[next_in_turn_++ % candidates.size()] : kNoBackend;

  const Totals totals = totals_of(candidates, any_sampled);
  const std::vector<char> selected =
      affinity_.select(request, candidates, totals.scales / totals.count, totals.loads / totals.count);
  std::vector<double> weights(candidates.size());
  double total = 0;
  for (std::size_t k = 0; k < candidates.size(); ++k) {
    if (backends_[candidates[k]].down || !selected[k]) continue;
    weights[k] = weight(request, candidates[k], totals.recent[k], totals);
    total += weights[k];
  }
  return draw(candidates, weights, total);
}

Selector::Totals Selector::totals_of(const std::vector<int>& candidates, bool any_sampled) const {
  Totals totals;
  totals.recent.resize(candidates.size());
  double latencies = 0, timed = 0;
  for (std::size_t k = 0; k < candidates.size(); ++k) {
    const Backend& backend = backends_[candidates[k]];
    if (backend.down || (!backend.sampled && any_sampled)) continue;
    totals.recent[k] = backend.recent.at(context_.now, kRecentMemory);
    totals.count += 1;
    totals.scales += backend.scale;
    totals.loads += backend.load;
    totals.recents += totals.recent[k];
    if (backend.latency <= 0) continue;
    latencies += backend.latency;
    timed += 1;
    totals.best_latency = std::min(totals.best_latency, backend.latency);
  }
  if (timed == 0) totals.best_latency = 0;
  totals.mean_latency = timed > 0 ? latencies / timed : 0;
  totals.softening = std::max(kLeastSoftening, totals.mean_latency / 2);
  return totals;
}

double Selector::weight(const Request& request, int index, double recent, const Totals& totals) const {
  const Backend& backend = backends_[index];
  const Settings& settings = context_.settings;
  const double warm = ramp_.factor(backend);

  // A candidate's share of the connections if they were spread by size, as a count to compare with.
  double size = backend.scale / totals.scales;
  double few_active = 1 / (1 + backend.load / (size * totals.count) / (1 + totals.loads / totals.count));
  double few_recent = 1 / (1 + recent / (size * totals.count) / (1 + totals.recents / totals.count));
  if (warm < 1) few_active = few_recent = 0.5;  // low counts while it warms up must not pull crowds

  double crossing = kCrossZoneCost * settings.price_cross_zone * delays_.shortest_objective_ms();
  double latency = (backend.latency > 0 ? backend.latency : totals.mean_latency) + delays_.delay(backend) +
                   (backend.zone == settings.zone ? 0 : crossing);
  double quick = (totals.best_latency + totals.softening) / (latency + totals.softening);

  double blend = kActiveShare * few_active + kRecentShare * few_recent + kLatencyShare * quick;
  double weight = backend.scale * std::pow(blend, kSharpness) * std::pow(kMissFactor, backend.misses);
  weight *= std::pow(std::clamp(1 - backend.utilization, kLeastHeadroom, 1.0), kHeadroomPower);
  weight *= ramp_.open(backend) ? warm : 0;
  if (!backend.sampled) weight *= kOutsideSample;
  if (request.has_tried(index)) weight *= kTriedWeight;
  return weight;
}

int Selector::draw(const std::vector<int>& candidates, const std::vector<double>& weights, double total) {
  double drawn = context_.random.uniform() * total;
  for (std::size_t k = 0; k < candidates.size(); ++k)
    if (weights[k] > 0 && (drawn -= weights[k]) < 0) return candidates[k];
  return kNoBackend;
}

}  // namespace marblehub::policy
