#include "policy/health/prober.h"

#include <algorithm>

#include "policy/health/intervals.h"

namespace marblehub::policy {
namespace {

// The design's: a probe each five seconds, the mean of the last twenty, three misses in a row.
constexpr Time kProbeInterval = 5 * kSecond;
constexpr std::size_t kLatencyWindow = 20;
constexpr int kMissesUntilDown = 3;

constexpr Time kMaxProbeInterval = 600 * kSecond;
constexpr Time kBusyRateFactor = 8;  // a backend that holds our connections is probed so much oftener
constexpr double kMaxBackendProbesPerSecond =
    20;                                     // on one backend from all balancers: some % of a core at most
constexpr double kFrequentProbeLoad = 0.5;  // a backend with a load above it is looked at oftener

// The budget: points that probes may cost, under half of one in a hundred.
constexpr double kProbeBudget = 0.0045;
// Requests of the fleet that count as seen at its start, and one more a second: down backends are found
// again.
constexpr double kInitialRequests = 100;
constexpr double kInitialRateRequests = 3;
constexpr double kInitialRateSeconds = 2;
// Probes that must be left: for any backend, for one that holds connections, and for a suspect.
constexpr double kIdleBackendBudget = 4, kBusyBackendBudget = 1, kSuspectBudget = -2;

}  // namespace

// Stretched until neither the price of a request nor the work of one backend passes its bound.
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

void Prober::share_budget_by(int balancers) {
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
  const Time usual = interval();
  const std::size_t count = backends_.size();
  const std::size_t from = context_.random.bits();  // the budget must not always spare the last
  for (std::size_t k = 0; k < count; ++k) {
    Backend& backend = backends_[static_cast<int>((from + k) % count)];
    if (!is_candidate(backend)) continue;
    if (backend.active > 0 || backend.down || backend.utilization > kFrequentProbeLoad)
      backend.probe_due =
          std::min(backend.probe_due, now + context_.random.jittered(usual / kBusyRateFactor));
    if (now < backend.probe_due || budget_left() < required_budget(backend)) continue;
    probe(backend);
    backend.probe_due = now + context_.random.jittered(usual);
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
  if (event.outcome == Outcome::not_sent)
    return schedule_recheck(backend);  // it never left here: no word on the backend
  if (event.outcome != Outcome::served) return count_miss(backend);
  if (backend.down) {
    // What was said of it before is over; it may have restarted: the list will tell.
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
