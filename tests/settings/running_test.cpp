// Whole days in short: what must hold under any settings, and against chance. That no call has more attempts
// than allowed, two at once, or other than one answer in time, and that none goes to a worker that leaves,
// the fleet itself checks throughout.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>

#include "simulated_fleet.h"

using namespace marblehub::settings_play;

namespace {

// The share of calls that is refused or fails.
double turned_away(const Figures& f) {
  return f.calls > 0 ? static_cast<double>(f.refused) / static_cast<double>(f.calls) : 0;
}

enum class Trouble { errors, store_out, half_dead, registry_silent };
void showValue(Trouble t, std::ostream& os) {
  static const char* const names[] = {"errors", "store out", "half dead", "registry silent"};
  os << names[static_cast<int>(t)];
}
constexpr Time kSettled = 10 * kS;  // after a trouble as many are refused as before it, and all news is told

}  // namespace

// May be worse by 0.01 of the worth: a call may wait for two reports of its worker, each up to a sweep and 30
// ms, which is 0.008 of a connection of 20 s. What probes cost is bounded beside it, as the settings price
// them.
TEST_CASE("under any settings a calm fleet is served no worse than by random choice") {
  double least = 1, most = -1;
  bool held = under_any_settings("calm", 6, [&](const Drawn& d) {
    auto day = [&](bool by_chance) {
      SimulatedFleet fleet(d, by_chance);
      fleet.run(30 * kS);
      fleet.end();
      return fleet.since_last();
    };
    Figures chosen = day(false), chance = day(true);
    double better = chosen.served / chosen.asked - chance.served / chance.asked;
    least = std::min(least, better), most = std::max(most, better);
    RC_ASSERT(better >= -0.01);
    // 0.0045 points a call, for the first hundred and for one a second; each balancer may overdraw by two
    double calls = static_cast<double>(chosen.calls) + 100 + 120;
    double cost = d.price_probe * (static_cast<double>(chosen.probes) - 3 * d.balancers);
    RC_ASSERT(cost <= 0.0045 * calls);
  });
  std::cout << "worth over random choice: " << least << " to " << most << "\n";
  REQUIRE(held);
}

// A worker's drain is told to each balancer in its own time; the fleet holds each to it.
TEST_CASE("under any settings nothing new goes to a worker that leaves") {
  bool held = under_any_settings("leaving", 6, [&](const Drawn& d) {
    SimulatedFleet fleet(d);
    fleet.run(6 * kS);
    for (std::size_t i = 0; i < fleet.workers(); i += 3) fleet.drain(i);
    fleet.run(10 * kS);
    RC_ASSERT(fleet.since_last().attempts > 0);
    fleet.end();
  });
  REQUIRE(held);
}

// A balancer that has met errors has two set-ups under way, or two failures within its class's wanted time,
// which fade to 1/e in that: it may try again after ln 1.5 of it. Before, as many are out as there were
// calls, and the bound falls by half a round.
TEST_CASE("under any settings attempts are bounded while all workers answer with an error") {
  double most = 0;
  bool held = under_any_settings("error storm", 6, [&](const Drawn& d, bool probes_too) {
    SimulatedFleet fleet(d);
    fleet.run(8 * kS);
    fleet.errors(true, probes_too);
    constexpr Time kStorm = 6 * kS;
    fleet.run(kStorm);
    double slo = static_cast<double>(d.settings(0).classes[0].slo_us);
    for (const SimulatedFleet::Storm& s : fleet.storm()) {
      double bound = 2 * s.before + 3 + kStorm / (std::log(1.5) * slo);
      most = std::max(most, s.all / bound);
      RC_ASSERT(s.all <= bound);
    }
    fleet.errors(false, false);
    fleet.end();
  });
  std::cout << "attempts in a storm, of what is allowed: " << most << "\n";
  REQUIRE(held);
}

// A session store that all workers ask for each set-up was out for 6 s, and long after its end 95% of the
// calls were refused: seed=5, 84th play, a store of 4 times the usual rate, 5 attempts a call. The store
// works off set-ups in turn, also those given up meanwhile. At its return its queue passed 0.36 s, the
// time-out of one of five attempts, so each attempt was given up before its turn and begun anew behind the
// queue: 174 attempts a second where 96 are worked off, the queue 11.6 s long after 15 s. With no retries of
// the clients, or with at most 3 attempts a call, it healed at once. docs/incidents/2026-12-03-store-jam.md
// has the figures.
// With seeds 1070 and 1094 a further fault showed after "half dead": calls of groups were held until their
// deadline and refused with no attempt ("reject attempts 0 left 0.03 admitted 1.00"), while warm workers
// stood at a load of 0.1: all backends of the group warmed up and were closed.
TEST_CASE("under any settings refusals fall back within seconds after a trouble") {
  double worst = 0;
  bool held = under_any_settings("after trouble", 300, [&](const Drawn& d, bool probes_too) {
    Trouble kind =
        *rc::gen::element(Trouble::errors, Trouble::store_out, Trouble::half_dead, Trouble::registry_silent);
    SimulatedFleet fleet(d);
    fleet.run(10 * kS);
    double before = turned_away(fleet.since_last());
    auto trouble = [&](bool on) {
      if (kind == Trouble::errors) fleet.errors(on, probes_too);
      if (kind == Trouble::store_out) fleet.store(!on);
      if (kind == Trouble::registry_silent) fleet.registry(!on);
      for (std::size_t i = 0; kind == Trouble::half_dead && i < fleet.workers(); i += 2)
        on ? fleet.kill(i) : fleet.revive(i);
    };
    trouble(true);
    if (kind == Trouble::registry_silent) fleet.drain(0);  // of which nobody can be told
    fleet.run(6 * kS);
    trouble(false);
    fleet.run(kSettled);
    fleet.since_last();
    fleet.run(5 * kS);
    double after = turned_away(fleet.since_last());
    worst = std::max(worst, after - before);
    RC_ASSERT(after <= before + 0.02);  // a call or two
    RC_ASSERT(kind != Trouble::registry_silent || fleet.untold(0) == 0);
    fleet.end();
  });
  std::cout << "more refusals than before the trouble: " << worst << "\n";
  REQUIRE(held);
}

// The settings of a play of the property above (seed 1023): 10 s after half of the workers came back cold, a
// third of the calls is still refused, all by admission ("reject reason 0 attempts 0 admitted 0.15"). The
// other half stands at a load of 0.7 to 1.1 while those that came back are little more than half full.
TEST_CASE("refusals fall back after half of a full fleet came back cold") {
  Drawn d = kolobeh();
  d.workers = 16, d.zones = 1, d.price_probe = 0.02, d.cold_share = 0.36, d.level = 0.4, d.calls = 12;
  d.client_retries = 3, d.notes = true, d.list_lag = 6 * kS, d.seed = 370643;
  SimulatedFleet fleet(d);
  fleet.run(10 * kS);
  double before = turned_away(fleet.since_last());
  for (std::size_t i = 0; i < fleet.workers(); i += 2) fleet.kill(i);
  fleet.run(6 * kS);
  for (std::size_t i = 0; i < fleet.workers(); i += 2) fleet.revive(i);
  fleet.run(kSettled);
  fleet.since_last();
  fleet.run(5 * kS);
  REQUIRE(turned_away(fleet.since_last()) <= before + 0.02);  // a call or two
}
