#include "rebalance/driver.h"

#include <unordered_set>

#include "log/log.h"

namespace marblehub::rebalance {
namespace {

constexpr std::uint64_t kSeedMask = 0x5bd1e995;       // separates its random numbers from those of the policy
constexpr core::Time kRecheckInterval = 10'000'000;   // of the search for out-of-pool connections
constexpr core::Time kStateLogInterval = 10'000'000;  // minimum time between log lines about the state

FleetConfig fleet_config_of(const config::Startup& startup) {
  const marblehub::policy::Settings& s = startup.settings;
  return {s.balancers, s.balancer_index, s.cold_share, s.warm_within_us, startup.seed ^ kSeedMask};
}

}  // namespace

Counters::Counters(metrics::Registry& metrics)
    : moved(metrics.counter("marblehub_rebalance_moves_total", "Clients told to move for balance")),
      planned(metrics.counter("marblehub_rebalance_planned_total",
                              "Moves for balance that were planned, carried out or not")),
      gap(metrics.gauge("marblehub_rebalance_gap", "Highest less lowest load a capacity")),
      max_load(metrics.gauge("marblehub_rebalance_highest_load", "Load a capacity of the fullest worker")),
      mean_load(metrics.gauge("marblehub_rebalance_mean_load", "Load a capacity of all workers seen")),
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
      planner_(settings, fleet_config_of(startup), dispatcher.now()),
      last_step_at_(dispatcher.now()),
      counters_(counters) {
  worker_list_updated(startup.known);
  dispatcher.set_connection_observer(*this);
}

void Driver::update_settings(const Settings& settings) {
  settings_ = settings;
  planner_.update_settings(settings);
}

Plan Driver::step() {
  core::Time now = dispatcher_.now();
  check_out_of_pool(now);
  Plan plan = planner_.plan(now);
  counters_.seconds[static_cast<std::size_t>(plan.state)]->add(static_cast<double>(now - last_step_at_) /
                                                               1e6);
  last_step_at_ = now;
  // Near balance the state changes with every report; the log is limited, the counters have every change.
  if (plan.state != logged_state_ && now - logged_at_ >= kStateLogInterval) {
    log::info("rebalancing: {}, gap {:.2f}, mean load {:.2f}", name_of(plan.state), planner_.gap(),
              planner_.mean_load());
    logged_state_ = plan.state;
    logged_at_ = now;
  }
  counters_.planned.add(static_cast<double>(plan.moves.size()));
  counters_.gap.set(planner_.gap());
  counters_.max_load.set(planner_.max_load());
  counters_.mean_load.set(planner_.mean_load());
  for (std::uint64_t id : plan.moves) {
    log::debug("rebalancing: call {} {}", id, settings_.dry_run ? "would move" : "moves");
    if (!settings_.dry_run && dispatcher_.move(id)) counters_.moved.add();
  }
  return plan;
}

// Repeats the check while routes are unchanged: a call placed by the previous version may have been
// established since.
void Driver::check_out_of_pool(core::Time now) {
  std::uint64_t version = dispatcher_.placement_version();
  if (version == 0 ||
      (version == checked_placement_version_ && now - out_of_pool_checked_at_ < kRecheckInterval))
    return;
  checked_placement_version_ = version;
  out_of_pool_checked_at_ = now;
  planner_.set_out_of_pool(dispatcher_.out_of_pool());
}

void Driver::set_paused(bool on) {
  if (on != planner_.paused()) log::info("rebalancing: {}", on ? "paused" : "resumed");
  planner_.set_paused(on);
  counters_.paused.set(on);
}

void Driver::connection_established(std::uint64_t id, const std::string& worker, const core::Call& call,
                                    bool preexisting) {
  planner_.connection_established(dispatcher_.now(),
                                  {id, worker, call.load_hint, call.group, call.returned, preexisting});
}

void Driver::worker_load_reported(const std::string& worker, double load) {
  planner_.load_reported(dispatcher_.now(), worker, load);
}

void Driver::worker_list_updated(const config::WorkerList& list) {
  std::unordered_set<std::string> listed;
  for (const config::WorkerEntry& entry : list.workers) {
    planner_.update_member({entry.backend.address, entry.backend.scale, entry.backend.start_time,
                            entry.backend.health == marblehub::policy::Health::serving});
    listed.insert(entry.backend.address);
  }
  if (list.snapshot) planner_.keep_only_members(listed);
}

void Driver::call_answered(bool refused) { planner_.call_answered(dispatcher_.now(), refused); }

void Driver::move_requested() { planner_.move_requested(dispatcher_.now()); }

}  // namespace marblehub::rebalance
