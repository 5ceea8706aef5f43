#include "policy/health/prober.h"

#include <algorithm>

#include "policy/health/intervals.h"

namespace marblehub::policy {
namespace {

// As the design has it: a probe every five seconds, the mean of the last twenty, down after three misses in a
// row.
constexpr Time kProbeInterval = 5 * kSecond;
constexpr std::size_t kLatencyWindow = 20;  // samples
constexpr int kMissesUntilDown = 3;

constexpr Time kMaxProbeInterval = 600 * kSecond;
constexpr Time kBusyRateFactor = 8;  // rate factor for backends with connections of this balancer
constexpr double kMaxBackendProbesPerSecond = 20;  // on one backend, from all balancers
constexpr double kFrequentProbeLoad = 0.5;         // a backend above this load is probed more often

// Points per request that probes may cost.
constexpr double kProbeBudget = 0.0045;
// Requests of the fleet that are credited to the budget at the start, in addition to one per second, so that
// recovered backends are detected without traffic.
constexpr double kInitialRequests = 100;
// Initial values of the request rate estimate: requests of the fleet and seconds.
constexpr double kInitialRateRequests = 3;
constexpr double kInitialRateSeconds = 2;
// Remaining budget required to probe a backend without connections, with connections, and with misses.
constexpr double kIdleBackendBudget = 4, kBusyBackendBudget = 1, kSuspectBudget = -2;

}  // namespace

// The interval grows with the fleet, so that both the cost of probes per request and the probe rate at each
// backend stay below their limits.
Time Prober::interval() const {
  const Settings& settings = context_.settings;
  double weighted_backends = 0;
  for (const Backend& backend : backends_)
    if (backend.listed && (backend.sampled || backend.active > 0))
      weighted_backends += backend.active > 0 ? kBusyRateFactor : 1;
  double interval =
      std::max<double>(kProbeInterval, settings.balancers / kMaxBackendProbesPerSecond * kSecond);
  if (settings.price_probe > 0) {
    double initial_requests = kInitialRateRequests / settings.balancers;
    double request_rate =
        (requests_.total_count + initial_requests) / (context_.uptime_seconds() + kInitialRateSeconds);
    double probe_rate = request_rate * kProbeBudget / settings.price_probe;
    interval = std::max(interval, weighted_backends / probe_rate * kSecond);
  }
  return static_cast<Time>(std::min(interval, static_cast<double>(kMaxProbeInterval)));
}

double Prober::budget_left() const {
  const Settings& settings = context_.settings;
  if (settings.price_probe <= 0) return 2 * kIdleBackendBudget;
  double requests =
      requests_.total_count + (kInitialRequests + context_.uptime_seconds()) / settings.balancers;
  return requests * kProbeBudget / settings.price_probe - probes_sent_;
}

void Prober::set_balancer_count(int balancers) {
  double left = budget_left();
  context_.settings.balancers = balancers;
  probes_sent_ += budget_left() - left;
}

bool Prober::is_candidate(const Backend& backend) const {
  if (!backend.listed || backend.probe_in_flight) return false;
  return backend.sampled || backend.active > 0 || backend.misses > 0;
}

double Prober::required_budget(const Backend& backend) const {
  if (backend.misses > 0) return kSuspectBudget;
  return backend.active > 0 ? kBusyBackendBudget : kIdleBackendBudget;
}

void Prober::probe_due_backends() {
  if (!context_.settings.may_probe) return;
  const Time now = context_.now;
  const Time regular_interval = interval();
  const std::size_t count = backends_.size();
  // Starts at a random backend, so that an insufficient budget affects all equally.
  const std::size_t from = context_.random.bits();
  for (std::size_t k = 0; k < count; ++k) {
    Backend& backend = backends_[static_cast<int>((from + k) % count)];
    if (!is_candidate(backend)) continue;
    if (backend.active > 0 || backend.down || backend.utilization > kFrequentProbeLoad)
      backend.probe_due =
          std::min(backend.probe_due, now + context_.random.jittered(regular_interval / kBusyRateFactor));
    if (now < backend.probe_due || budget_left() < required_budget(backend)) continue;
    probe(backend);
    backend.probe_due = now + context_.random.jittered(regular_interval);
  }
}

void Prober::probe(Backend& backend) {
  probes_sent_ += 1;
  backend.probe_in_flight = true;
  context_.emit(Probe{backend.address});
}

void Prober::on(const ProbeResultEvent& event) {
  int index = backends_.find(event.backend);
  if (index == kNoBackend) return;
  Backend& backend = backends_[index];
  backend.probe_in_flight = false;
  if (event.outcome == Outcome::not_sent) return schedule_recheck(backend);  // not sent, so it is no miss
  if (event.outcome != Outcome::served) return count_miss(backend);
  if (backend.down) {
    // It may have restarted, which the endpoint list will confirm; earlier delays are obsolete.
    backend.clear_delays();
    backend.start_warming(context_.now, true);
  }
  backend.mark_up();
  backend.add_latency_sample(static_cast<double>(event.rtt) / kMillisecond, kLatencyWindow);
  delays_.apply_report(backend, event.report);
}

void Prober::count_miss(Backend& backend) {
  if (++backend.misses >= kMissesUntilDown) backend.down = true;
  if (!backend.down) schedule_recheck(backend);
}

void Prober::schedule_recheck(Backend& backend) {
  backend.probe_due = std::min(backend.probe_due, context_.now + context_.random.jittered(kRecheckInterval));
}

}  // namespace marblehub::policy
