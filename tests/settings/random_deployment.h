// Randomly drawn deployments: two reference deployments, and random combinations of their parameters.
#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <ostream>
#include <string>

#include "marblehub/policy.h"

namespace marblehub::random_settings {

using namespace marblehub::policy;

// Which events carry load reports: none, probe results only, or probe and call results.
enum class ReportMode { none, probes, all };

// The parameters of a simulated fleet and its workload.
struct Deployment {
  // Passed to the balancer in its settings
  int balancers = 3, zones = 3, attempts = 4, classes = 1;
  bool pull_endpoints = true, groups = true, may_probe = true, may_send_retry_after = false;
  double price_probe = 0.0018, price_cross_zone = 0.03, cold_share = 0.13;
  // Known to the simulation only
  int workers = 10, client_retries = 1;
  ReportMode reports = ReportMode::probes;
  double probe_ms = 0.2;       // load of a probe, as CPU time of its worker
  double load_level = 0.3;     // usual load as a share of the fleet's capacity
  double store_headroom = 20;  // the session store's capacity over the usual rate of set-ups
  double calls_per_second = 24;
  bool load_hints = false, connection_updates = false, class_loads_differ = false,
       class_deadlines_differ = false;
  Time endpoint_list_delay = 2'000'000;
  std::uint64_t seed = 1;

  // The settings of the balancer with index `me`.
  Settings settings(int me) const {
    Settings s;
    s.balancers = balancers, s.balancer_index = me, s.zone = zone(me);
    s.pull_endpoints = pull_endpoints, s.groups = groups, s.may_probe = may_probe;
    s.load_reported = reports != ReportMode::none;
    s.max_attempts = attempts, s.may_send_retry_after = may_send_retry_after,
    s.max_retry_after_us = 1'000'000;
    s.price_probe = price_probe, s.price_cross_zone = price_cross_zone;
    s.cold_share = cold_share, s.warm_within_us = 24'000'000;
    for (int i = 0; i < classes; ++i) {
      RequestClass c;
      c.name = "c" + std::to_string(i), c.stream = true;
      c.slo_us = classes == 1 ? 500'000 : 300'000;
      c.message_objective_us = classes == 1 ? 150'000 : i < 2 ? 60'000 : 100'000;
      s.classes.push_back(c);
    }
    return s;
  }
  std::string zone(int i) const { return std::string(1, static_cast<char>('a' + i % zones)); }
  Time deadline(int request_class) const {
    return class_deadlines_differ && request_class == 2 ? 1'200'000 : classes == 1 ? 3'000'000 : 1'800'000;
  }
  double class_load(int request_class) const { return !class_loads_differ ? 1 : request_class == 1 ? 6 : 2; }
  double class_value(int request_class) const { return request_class == 1 ? 2 : 1; }
};

// The reference deployment with one class, pulled endpoint lists and load reports of probes.
inline Deployment single_class_deployment() { return {}; }

// The reference deployment with three classes, pushed endpoint lists and no load reports.
inline Deployment multi_class_deployment() {
  Deployment d;
  d.balancers = 2, d.zones = 1, d.attempts = 3, d.classes = 3;
  d.pull_endpoints = d.groups = false,
  d.connection_updates = d.class_loads_differ = d.class_deadlines_differ = true;
  d.price_probe = 0.002, d.price_cross_zone = 0, d.cold_share = 0.14;
  d.workers = 9, d.client_retries = 3, d.reports = ReportMode::none, d.probe_ms = 3.3, d.load_level = 0.33;
  d.store_headroom = 4, d.endpoint_list_delay = 3'500'000;
  return d;
}

// Draws each parameter independently; only within a RapidCheck property or generator.
inline Deployment random_deployment() {
  auto flag = [] { return *rc::gen::arbitrary<bool>(); };
  Deployment d;
  d.balancers = *rc::gen::element(2, 2, 3, 3, 4, 6, 10, 10, 30, 100, 300);
  d.zones = *rc::gen::element(1, 3);
  d.attempts = *rc::gen::element(1, 2, 3, 4, 5);
  d.classes = *rc::gen::element(1, 3);
  d.pull_endpoints = flag(), d.groups = flag(), d.may_send_retry_after = flag();
  d.may_probe = *rc::gen::element(true, true, true, false);
  d.price_probe = *rc::gen::element(0.0, 0.0002, 0.0018, 0.002, 0.02);
  d.price_cross_zone = *rc::gen::element(0.0, 0.03);
  d.cold_share = *rc::gen::element(0.13, 0.36, 1.0);
  d.workers = *rc::gen::element(6, 9, 12, 16);
  d.client_retries = *rc::gen::element(0, 1, 3);
  d.reports = *rc::gen::element(ReportMode::none, ReportMode::probes, ReportMode::all);
  d.probe_ms = *rc::gen::element(0.0, 0.2, 3.3);
  d.load_level = *rc::gen::element(0.2, 0.3, 0.4);
  d.store_headroom = *rc::gen::element(4.0, 20.0);
  d.calls_per_second = *rc::gen::element(12.0, 24.0, 40.0);
  d.load_hints = flag(), d.connection_updates = flag(), d.class_loads_differ = flag(),
  d.class_deadlines_differ = flag();
  d.endpoint_list_delay = *rc::gen::element(800'000, 2'000'000, 6'000'000);
  return d;
}

inline void showValue(const Deployment& d, std::ostream& os) {
  os << d.balancers << " balancers, " << d.workers << " workers, " << d.zones << " zones, " << d.attempts
     << " attempts, " << d.classes << " classes; "
     << (d.pull_endpoints ? "pulled endpoint list" : "pushed endpoint list") << (d.groups ? ", groups" : "")
     << (d.may_probe ? ", probes at " : ", no probes, ") << d.price_probe
     << (d.may_send_retry_after ? ", retry_after" : "") << ", cross-zone price " << d.price_cross_zone
     << ", cold share " << d.cold_share << ", report mode " << static_cast<int>(d.reports) << ", probe load "
     << d.probe_ms << " ms, load level " << d.load_level << ", store headroom " << d.store_headroom << ", "
     << d.calls_per_second << " calls/s, " << d.client_retries << " client retries"
     << (d.load_hints ? ", load hints" : "") << (d.connection_updates ? ", connection updates" : "")
     << (d.class_loads_differ ? ", loads differ by class" : "")
     << (d.class_deadlines_differ ? ", deadlines differ by class" : "") << ", list delay "
     << d.endpoint_list_delay / 1000 << " ms, seed " << d.seed;
}

// Checks `property` for `runs` random deployments. MARBLEHUB_RANDOM_RUNS=1000 sets the number of runs;
// RC_PARAMS="seed=..." repeats one.
template <class Property>
bool check_random_settings(const std::string& name, int runs, Property property) {
  if (!std::getenv("RC_PARAMS")) {
    const char* more = std::getenv("MARBLEHUB_RANDOM_RUNS");
    setenv(
        "RC_PARAMS",
        ("seed=20261202 noshrink=1 max_success=" + (more ? std::string(more) : std::to_string(runs))).c_str(),
        1);
  }
  return rc::check(name, property);
}

}  // namespace marblehub::random_settings

namespace rc {
/// Generates deployments for RapidCheck: random ones, and the two fixed ones with the seed alone random.
template <>
struct Arbitrary<marblehub::random_settings::Deployment> {
  static Gen<marblehub::random_settings::Deployment> arbitrary() {
    using namespace marblehub::random_settings;
    return gen::resize(kNominalSize, gen::exec([] {
                         int kind = *gen::element(0, 1, 2, 2, 2);
                         Deployment d = kind == 0   ? single_class_deployment()
                                        : kind == 1 ? multi_class_deployment()
                                                    : random_deployment();
                         d.seed = *gen::inRange<std::uint64_t>(1, 1'000'000);
                         return d;
                       }));
  }
};
}  // namespace rc
