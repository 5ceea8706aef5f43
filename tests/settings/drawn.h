// What a deployment knows, allows and pays, drawn at random: Kolobeh's, Malezi's, and any between them.
#pragma once

#include <rapidcheck.h>

#include <cstdlib>
#include <ostream>
#include <string>

#include "marblehub/policy.h"

namespace marblehub::settings_play {

using namespace marblehub::policy;

// Where load reports come from.
enum class ReportMode { none, probes, all };

struct Drawn {
  // Told to the module
  int balancers = 3, zones = 3, attempts = 4, classes = 1;
  bool ask = true, groups = true, may_probe = true, pauses = false;
  double price_probe = 0.0018, price_cross = 0.03, cold_share = 0.13;
  // Of the world only
  int workers = 10, client_retries = 1;
  ReportMode reports = ReportMode::probes;
  double probe_ms = 0.2;       // of a worker's work
  double level = 0.3;          // of the fleet's capacity, on a calm day
  double store_headroom = 20;  // times the usual rate of set-ups
  double calls = 24;           // a second
  bool hints = false, notes = false, other_loads = false, other_deadlines = false;
  Time list_lag = 2'000'000;
  std::uint64_t seed = 1;

  Settings settings(int me) const {
    Settings s;
    s.balancers = balancers, s.balancer_index = me, s.zone = zone(me);
    s.pull_endpoints = ask, s.groups = groups, s.may_probe = may_probe;
    s.load_reported = reports != ReportMode::none;
    s.max_attempts = attempts, s.may_send_retry_after = pauses, s.max_retry_after_us = 1'000'000;
    s.price_probe = price_probe, s.price_cross_zone = price_cross;
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
    return other_deadlines && request_class == 2 ? 1'200'000 : classes == 1 ? 3'000'000 : 1'800'000;
  }
  double class_load(int request_class) const { return !other_loads ? 1 : request_class == 1 ? 6 : 2; }
  double class_worth(int request_class) const { return request_class == 1 ? 2 : 1; }
};

inline Drawn kolobeh() { return {}; }

inline Drawn malezi() {
  Drawn d;
  d.balancers = 2, d.zones = 1, d.attempts = 3, d.classes = 3;
  d.ask = d.groups = false, d.notes = d.other_loads = d.other_deadlines = true;
  d.price_probe = 0.002, d.price_cross = 0, d.cold_share = 0.14;
  d.workers = 9, d.client_retries = 3, d.reports = ReportMode::none, d.probe_ms = 3.3, d.level = 0.33;
  d.store_headroom = 4, d.list_lag = 3'500'000;
  return d;
}

inline Drawn between() {
  auto flag = [] { return *rc::gen::arbitrary<bool>(); };
  Drawn d;
  d.balancers = *rc::gen::element(2, 2, 3, 3, 4, 6, 10, 10, 30, 100, 300);
  d.zones = *rc::gen::element(1, 3);
  d.attempts = *rc::gen::element(1, 2, 3, 4, 5);
  d.classes = *rc::gen::element(1, 3);
  d.ask = flag(), d.groups = flag(), d.pauses = flag();
  d.may_probe = *rc::gen::element(true, true, true, false);
  d.price_probe = *rc::gen::element(0.0, 0.0002, 0.0018, 0.002, 0.02);
  d.price_cross = *rc::gen::element(0.0, 0.03);
  d.cold_share = *rc::gen::element(0.13, 0.36, 1.0);
  d.workers = *rc::gen::element(6, 9, 12, 16);
  d.client_retries = *rc::gen::element(0, 1, 3);
  d.reports = *rc::gen::element(ReportMode::none, ReportMode::probes, ReportMode::all);
  d.probe_ms = *rc::gen::element(0.0, 0.2, 3.3);
  d.level = *rc::gen::element(0.2, 0.3, 0.4);
  d.store_headroom = *rc::gen::element(4.0, 20.0);
  d.calls = *rc::gen::element(12.0, 24.0, 40.0);
  d.hints = flag(), d.notes = flag(), d.other_loads = flag(), d.other_deadlines = flag();
  d.list_lag = *rc::gen::element(800'000, 2'000'000, 6'000'000);
  return d;
}

inline void showValue(const Drawn& d, std::ostream& os) {
  os << d.balancers << " balancers, " << d.workers << " workers, " << d.zones << " zones, " << d.attempts
     << " attempts, " << d.classes << " classes; " << (d.ask ? "list asked for" : "list pushed")
     << (d.groups ? ", groups" : "") << (d.may_probe ? ", probes at " : ", no probes, ") << d.price_probe
     << (d.pauses ? ", pauses" : "") << ", crossing " << d.price_cross << ", cold " << d.cold_share
     << ", reports " << static_cast<int>(d.reports) << ", a probe is " << d.probe_ms << " ms, level "
     << d.level << ", store x" << d.store_headroom << ", " << d.calls << " calls/s, " << d.client_retries
     << " retries" << (d.hints ? ", hints" : "") << (d.notes ? ", notes" : "")
     << (d.other_loads ? ", other loads" : "") << (d.other_deadlines ? ", other deadlines" : "") << ", lag "
     << d.list_lag / 1000 << " ms, seed " << d.seed;
}

// `property` under drawn settings. MARBLEHUB_RANDOM_RUNS=1000 is a long run; RC_PARAMS="seed=..." repeats
// one.
template <class Property>
bool under_any_settings(const std::string& name, int runs, Property property) {
  if (!std::getenv("RC_PARAMS")) {
    const char* more = std::getenv("MARBLEHUB_RANDOM_RUNS");
    setenv(
        "RC_PARAMS",
        ("seed=20261202 noshrink=1 max_success=" + (more ? std::string(more) : std::to_string(runs))).c_str(),
        1);
  }
  return rc::check(name, property);
}

}  // namespace marblehub::settings_play

namespace rc {
template <>
struct Arbitrary<marblehub::settings_play::Drawn> {
  static Gen<marblehub::settings_play::Drawn> arbitrary() {
    using namespace marblehub::settings_play;
    return gen::resize(kNominalSize, gen::exec([] {
                         int kind = *gen::element(0, 1, 2, 2, 2);
                         Drawn d = kind == 0 ? kolobeh() : kind == 1 ? malezi() : between();
                         d.seed = *gen::inRange<std::uint64_t>(1, 1'000'000);
                         return d;
                       }));
  }
};
}  // namespace rc
