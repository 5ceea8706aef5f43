#include "rebalance/driver.h"

#include <unordered_set>

#include "log/log.h"

namespace marblehub::rebalance {
namespace {

constexpr std::uint64_t kOwnSeed = 0x5bd1e995;  // the module draws from the same seed
constexpr core::Time kRoutesAgain = 10'000'000;
constexpr core::Time kSaid = 10'000'000;  // between two lines of the log about its state

Fleet fleet_of(const config::Startup& startup) {
  const marblehub::policy::Settings& s = startup.settings;
  return {s.balancers, s.balancer_index, s.cold_share, s.warm_within_us, startup.seed ^ kOwnSeed};
}

}  // namespace

Counters::Counters(metrics::Registry& metrics)
    : moved(metrics.counter("marblehub_rebalance_moves_total", "Clients told to move for balance")),
      planned(metrics.counter("marblehub_rebalance_planned_total",
                              "Moves for balance that were planned, carried out or not")),
      gap(metrics.gauge("marblehub_rebalance_gap", "Highest less lowest load a capacity")),
      highest(metrics.gauge("marblehub_rebalance_highest_load", "Load a capacity of the fullest worker")),
      mean(metrics.gauge("marblehub_rebalance_mean_load", "Load a capacity of all workers seen")),
      paused(
          metrics.gauge("marblehub_rebalance_paused", "Whether an operator has paused moves for balance")) {
  for (int i = 0; i < kPlannerStateCount; ++i)
    seconds.push_back(&metrics.counter("marblehub_rebalance_seconds_total",
                                       "Time in which moves for balance were made, or why they were not",
                                       {{"state", name_of(static_cast<PlannerState>(i))}}));
}

Driver::Driver(const Settings& settings, core::Dispatcher& dispatcher, const config::Startup& startup,
               Counters& counters)
    : settings_(settings),
      dispatcher_(dispatcher),
      planner_(settings, fleet_of(startup), dispatcher.now()),
      stepped_at_(dispatcher.now()),
      counters_(counters) {
  members(startup.known);
  dispatcher.set_standing_watch(*this);
}

void Driver::update_settings(const Settings& settings) {
  settings_ = settings;
  planner_.update_settings(settings);
}

Plan Driver::step() {
  core::Time now = dispatcher_.now();
  look_outside(now);
  Plan plan = planner_.plan(now);
  counters_.seconds[static_cast<std::size_t>(plan.state)]->add(static_cast<double>(now - stepped_at_) / 1e6);
  stepped_at_ = now;
  // Near balance it comes and goes with every report: the counters tell that, the log need not.
  if (plan.state != state_ && now - said_at_ >= kSaid) {
    log::info("rebalancing: {}, gap {:.2f}, mean load {:.2f}", name_of(plan.state), planner_.gap(),
              planner_.mean());
    state_ = plan.state;
    said_at_ = now;
  }
  counters_.planned.add(static_cast<double>(plan.moves.size()));
  counters_.gap.set(planner_.gap());
  counters_.highest.set(planner_.highest());
  counters_.mean.set(planner_.mean());
  for (std::uint64_t id : plan.moves) {
    log::debug("rebalancing: call {} {}", id, settings_.dry_run ? "would move" : "moves");
    if (!settings_.dry_run && dispatcher_.move(id)) counters_.moved.add();
  }
  return plan;
}

// Again after a while: a call that began by the version before may have come to stand since.
void Driver::look_outside(core::Time now) {
  std::uint64_t changes = dispatcher_.gate_changes();
  if (changes == 0 || (changes == routes_seen_ && now - routes_seen_at_ < kRoutesAgain)) return;
  routes_seen_ = changes;
  routes_seen_at_ = now;
  planner_.outside(dispatcher_.outside());
}

void Driver::set_paused(bool on) {
  if (on != planner_.paused()) log::info("rebalancing: {}", on ? "paused" : "resumed");
  planner_.set_paused(on);
  counters_.paused.set(on);
}

void Driver::stands(std::uint64_t id, const std::string& worker, const core::Call& call, bool found) {
  planner_.stands(dispatcher_.now(), {id, worker, call.load_hint, call.group, call.returned, found});
}

void Driver::reported(const std::string& worker, double load) {
  planner_.reported(dispatcher_.now(), worker, load);
}

void Driver::members(const config::WorkerList& list) {
  std::unordered_set<std::string> named;
  for (const config::WorkerEntry& entry : list.workers) {
    planner_.member({entry.backend.address, entry.backend.scale, entry.backend.start_time,
                     entry.backend.health == marblehub::policy::Health::serving});
    named.insert(entry.backend.address);
  }
  if (list.snapshot) planner_.only(named);
}

void Driver::answered(bool refused) { planner_.answered(dispatcher_.now(), refused); }

void Driver::told_to_move() { planner_.told_to_move(dispatcher_.now()); }

}  // namespace marblehub::rebalance
