/// Connects the rebalancing planner to the dispatcher.
#pragma once

#include <vector>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "rebalance/planner.h"

namespace marblehub::rebalance {

/// The metrics of rebalancing; exported whether it is enabled or not. The registry owns them.
struct Counters {
  explicit Counters(metrics::Registry& metrics);
  metrics::Metric &moved, &planned, &gap, &max_load, &mean_load, &paused;
  std::vector<metrics::Metric*> seconds;  // by PlannerState
};

/// Reports the dispatcher's connections, loads and answers to the planner and carries out its plans: one per
/// balancer. Has no timer; its owner calls step() about once a second.
class Driver : public core::ConnectionObserver {
 public:
  /// Registers with the dispatcher; `startup` is what the dispatcher was created with. Dispatcher and
  /// counters outlive the driver.
  Driver(const Settings& settings, core::Dispatcher& dispatcher, const config::Startup& startup,
         Counters& counters);

  /// Makes a plan, carries it out unless this is a dry run, and returns it.
  Plan step();
  /// Pauses or resumes moves on behalf of an operator.
  void set_paused(bool on);
  /// Replaces the settings; moves of the last minute still count towards the limits.
  void update_settings(const Settings& settings);
  bool paused() const { return planner_.paused(); }
  const Settings& settings() const { return settings_; }
  const Planner& planner() const { return planner_; }

  // core::ConnectionObserver
  void connection_established(std::uint64_t id, const std::string& worker, const core::Call& call,
                              bool preexisting) override;
  void connection_load_changed(std::uint64_t id, double load) override { planner_.set_load(id, load); }
  void connection_ended(std::uint64_t id) override { planner_.connection_ended(id); }
  void worker_load_reported(const std::string& worker, double load) override;
  void worker_list_updated(const config::WorkerList& list) override;
  void call_answered(bool refused) override;
  void move_requested() override;

 private:
  void check_out_of_pool(core::Time now);

  Settings settings_;
  core::Dispatcher& dispatcher_;
  Planner planner_;
  std::uint64_t checked_placement_version_ = 0;  // at the last check for out-of-pool connections
  core::Time out_of_pool_checked_at_ = 0;
  PlannerState logged_state_ = PlannerState::starting;
  core::Time last_step_at_ = 0, logged_at_ = 0;
  Counters& counters_;
};

}  // namespace marblehub::rebalance
