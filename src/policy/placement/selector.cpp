#include "policy/placement/selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/load_levels.h"

namespace marblehub::policy {
namespace {

constexpr double kActiveWeight = 0.25, kRecentWeight = 0.25, kLatencyWeight = 0.5;  // of the scores
constexpr double kBlendExponent = 6;  // half the combined score gives 1/64 of the weight
constexpr double kMissFactor = 0.25;  // weight factor for each consecutive miss
constexpr double kHeadroomExponent = 6, kMinHeadroom = 0.02;  // of the free capacity
constexpr double kCrossZoneFactor = 8;           // latency of crossing zones: price * objective * factor
constexpr double kMinLatencyOffset = 0.1;        // ms, added to latencies before they are compared
constexpr double kOutsideSampleWeight = 0.0005;  // such backends serve if all in the sample are unavailable
// Number of candidates examined in a large fleet; 2 * sqrt(fleet size) if that is greater.
constexpr std::size_t kMinExaminedCandidates = 128;

}  // namespace

/// Sums and means over the candidates that are up.
struct Selector::Totals {
  std::vector<double> recent;  // decayed load of recent connections, for each candidate
  double count = 0, total_scale = 0, total_load = 0, total_recent = 0;
  double mean_latency = 0, best_latency = 1e18, latency_offset = 0;
};

int Selector::pick(const Request& request) {
  std::vector<int>& sampled = backends_.sampled();
  std::size_t examined =
      std::max(kMinExaminedCandidates, 2 * static_cast<std::size_t>(std::sqrt(sampled.size())));
  if (sampled.size() > examined && request.group == 0) {
    for (std::size_t k = 0; k < examined; ++k)
      std::swap(sampled[k], sampled[k + context_.random.bits() % (sampled.size() - k)]);
    std::vector<int> subset(sampled.begin(), sampled.begin() + static_cast<std::ptrdiff_t>(examined));
    int picked = pick_among(request, std::move(subset), false);
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
  if (!any_up)  // round robin, ignoring health checks
    return whole_fleet ? candidates[round_robin_next_++ % candidates.size()] : kNoBackend;

  const Totals totals = totals_of(candidates, any_sampled);
  const std::vector<char> selected = affinity_.select(request, candidates, totals.total_scale / totals.count,
                                                      totals.total_load / totals.count);
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
  double total_latency = 0, measured = 0;
  for (std::size_t k = 0; k < candidates.size(); ++k) {
    const Backend& backend = backends_[candidates[k]];
    if (backend.down || (!backend.sampled && any_sampled)) continue;
    totals.recent[k] = backend.recent.at(context_.now, kRecentDecayTime);
    totals.count += 1;
    totals.total_scale += backend.scale;
    totals.total_load += backend.load;
    totals.total_recent += totals.recent[k];
    if (backend.latency <= 0) continue;
    total_latency += backend.latency;
    measured += 1;
    totals.best_latency = std::min(totals.best_latency, backend.latency);
  }
  if (measured == 0) totals.best_latency = 0;
  totals.mean_latency = measured > 0 ? total_latency / measured : 0;
  totals.latency_offset = std::max(kMinLatencyOffset, totals.mean_latency / 2);
  return totals;
}

double Selector::weight(const Request& request, int index, double recent, const Totals& totals) const {
  const Backend& backend = backends_[index];
  const Settings& settings = context_.settings;
  const double capacity_factor = ramp_.factor(backend);

  // Counts are compared with an even distribution by scale.
  double scale_share = backend.scale / totals.total_scale;
  double active_score =
      1 / (1 + backend.load / (scale_share * totals.count) / (1 + totals.total_load / totals.count));
  double recent_score =
      1 / (1 + recent / (scale_share * totals.count) / (1 + totals.total_recent / totals.count));
  if (capacity_factor < 1)
    active_score = recent_score = 0.5;  // low counts must not attract a burst during warm-up

  double crossing_cost = kCrossZoneFactor * settings.price_cross_zone * delays_.shortest_objective_ms();
  double latency = (backend.latency > 0 ? backend.latency : totals.mean_latency) + delays_.delay(backend) +
                   (backend.zone == settings.zone ? 0 : crossing_cost);
  double latency_score = (totals.best_latency + totals.latency_offset) / (latency + totals.latency_offset);

  double score = kActiveWeight * active_score + kRecentWeight * recent_score + kLatencyWeight * latency_score;
  double weight = backend.scale * std::pow(score, kBlendExponent) * std::pow(kMissFactor, backend.misses);
  weight *= std::pow(std::clamp(1 - backend.utilization, kMinHeadroom, 1.0), kHeadroomExponent);
  weight *= ramp_.open(backend) ? capacity_factor : 0;
  if (!backend.sampled) weight *= kOutsideSampleWeight;
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
