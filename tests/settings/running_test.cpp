// Properties of a simulated fleet under any settings, and in comparison with random placement. The simulation
// itself checks that a call has no concurrent attempts, no more attempts than allowed and one answer in time,
// and that no attempt goes to a draining worker.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>

#include "simulated_fleet.h"

using namespace marblehub::random_settings;

namespace {

// The share of calls that are refused or fail.
double refused_share(const Statistics& f) {
  return f.calls > 0 ? static_cast<double>(f.refused) / static_cast<double>(f.calls) : 0;
}

// What fails in the simulated fleet.
enum class Failure { errors, store_out, half_killed, registry_out };
void showValue(Failure t, std::ostream& os) {
  static const char* const names[] = {"errors", "store out", "half of the workers killed", "registry out"};
  os << names[static_cast<int>(t)];
}
// After this time refusals are back at their previous level and all list changes are known.
constexpr Time kRecoveryTime = 10 * kS;

}  // namespace

// Clients come once all balancers are ready: each has asked for the list, the last of them after 4 s.
constexpr Time kReadyTime = 4200 * kMs;

// Allows a loss of 0.01 of the served value: a call may wait for two load reports, each for up to one sweep
// and 30 ms, which is 0.008 of a connection of 20 s. The cost of probes, as priced by the settings, has a
// bound of its own.
TEST_CASE("under any settings a calm fleet is served no worse than by random choice") {
  double min_gain = 1, max_gain = -1;
  bool passed = check_random_settings("calm", 6, [&](const Deployment& d) {
    auto run_fleet = [&](bool random_policy) {
      SimulatedFleet fleet(d, random_policy, kReadyTime);
      fleet.run(30 * kS);
      fleet.finish();
      return fleet.take_statistics();
    };
    Statistics policy_run = run_fleet(false), random_run = run_fleet(true);
    double gain = policy_run.served / policy_run.requested - random_run.served / random_run.requested;
    min_gain = std::min(min_gain, gain), max_gain = std::max(max_gain, gain);
    RC_ASSERT(gain >= -0.01);
    // The probe budget is 0.0045 per call, plus 100 initial calls and one call per second; each balancer may
    // exceed it by its last probes.
    double calls = static_cast<double>(policy_run.calls) + 100 + 120;
    double cost = d.price_probe * (static_cast<double>(policy_run.probes) - 3 * d.balancers);
    RC_ASSERT(cost <= 0.0045 * calls);
  });
  std::cout << "served value over random choice: " << min_gain << " to " << max_gain << "\n";
  REQUIRE(passed);
}

// Each balancer learns of a drain at a different time; the simulation checks its attempts from then on.
TEST_CASE("under any settings no new connection goes to a draining worker") {
  bool passed = check_random_settings("leaving", 6, [&](const Deployment& d) {
    SimulatedFleet fleet(d);
    fleet.run(6 * kS);
    for (std::size_t i = 0; i < fleet.worker_count(); i += 3) fleet.drain(i);
    fleet.run(10 * kS);
    RC_ASSERT(fleet.take_statistics().attempts > 0);
    fleet.finish();
  });
  REQUIRE(passed);
}

// After its first error a balancer allows two set-ups or recent failures at a time. Failures decay to 1/e
// within the class's objective (slo_us), which allows a new attempt every ln 1.5 objectives. Attempts before
// the first error are limited by the calls only, and the bound falls by half a round.
TEST_CASE("under any settings attempts are bounded while all workers answer with an error") {
  double max_gain = 0;
  bool passed = check_random_settings("error storm", 6, [&](const Deployment& d, bool probes_too) {
    SimulatedFleet fleet(d);
    fleet.run(8 * kS);
    fleet.set_errors(true, probes_too);
    constexpr Time kStorm = 6 * kS;
    fleet.run(kStorm);
    double slo = static_cast<double>(d.settings(0).classes[0].slo_us);
    for (const SimulatedFleet::ErrorStorm& s : fleet.error_storm()) {
      double bound = 2 * s.before_error + 3 + kStorm / (std::log(1.5) * slo);
      max_gain = std::max(max_gain, s.total / bound);
      RC_ASSERT(s.total <= bound);
    }
    fleet.set_errors(false, false);
    fleet.finish();
  });
  std::cout << "attempts in an error storm, as a share of the bound: " << max_gain << "\n";
  REQUIRE(passed);
}

// Guards against retries that keep an overload alive after its cause has ended, such as attempts that time
// out in the session store's queue and are started again behind it (docs/incidents/2026-12-03-store-jam.md),
// and against groups whose calls are rejected without an attempt although workers have spare capacity.
TEST_CASE("under any settings refusals fall back within seconds after a failure") {
  double worst = 0;
  bool passed = check_random_settings("after trouble", 300, [&](const Deployment& d, bool probes_too) {
    Failure kind =
        *rc::gen::element(Failure::errors, Failure::store_out, Failure::half_killed, Failure::registry_out);
    SimulatedFleet fleet(d);
    fleet.run(10 * kS);
    double before = refused_share(fleet.take_statistics());
    auto set_failure = [&](bool on) {
      if (kind == Failure::errors) fleet.set_errors(on, probes_too);
      if (kind == Failure::store_out) fleet.set_store_available(!on);
      if (kind == Failure::registry_out) fleet.set_registry_available(!on);
      for (std::size_t i = 0; kind == Failure::half_killed && i < fleet.worker_count(); i += 2)
        on ? fleet.kill(i) : fleet.revive(i);
    };
    set_failure(true);
    if (kind == Failure::registry_out) fleet.drain(0);  // no balancer can learn of it
    fleet.run(6 * kS);
    set_failure(false);
    fleet.run(kRecoveryTime);
    fleet.take_statistics();
    fleet.run(5 * kS);
    double after = refused_share(fleet.take_statistics());
    worst = std::max(worst, after - before);
    RC_ASSERT(after <= before + 0.02);  // a call or two
    RC_ASSERT(kind != Failure::registry_out || fleet.unaware_balancers(0) == 0);
    fleet.finish();
  });
  std::cout << "increase in refusals after the failure: " << worst << "\n";
  REQUIRE(passed);
}

// Guards against admission control that keeps refusing calls after half of the workers have restarted cold,
// while these workers have spare capacity. The deployment is one that the property above draws with seed
// 1023.
TEST_CASE("refusals fall back after half of a full fleet came back cold") {
  Deployment d = single_class_deployment();
  d.workers = 16, d.zones = 1, d.price_probe = 0.02, d.cold_share = 0.36, d.load_level = 0.4,
  d.calls_per_second = 12;
  d.client_retries = 3, d.connection_updates = true, d.endpoint_list_delay = 6 * kS, d.seed = 370643;
  SimulatedFleet fleet(d);
  fleet.run(10 * kS);
  double before = refused_share(fleet.take_statistics());
  for (std::size_t i = 0; i < fleet.worker_count(); i += 2) fleet.kill(i);
  fleet.run(6 * kS);
  for (std::size_t i = 0; i < fleet.worker_count(); i += 2) fleet.revive(i);
  fleet.run(kRecoveryTime);
  fleet.take_statistics();
  fleet.run(5 * kS);
  REQUIRE(refused_share(fleet.take_statistics()) <= before + 0.02);  // a call or two
}
