// Shows the planner what stands, and carries out what it plans: one a balancer. It has no clock and no I/O of
// its own; whoever owns it calls step about once a second, and says when an operator pauses it.
#pragma once

#include <vector>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "rebalance/planner.h"

namespace marblehub::rebalance {

// What is counted, whether the planner is on or not.
struct Counters {
  explicit Counters(metrics::Registry& metrics);
  metrics::Metric &moved, &planned, &gap, &highest, &mean, &paused;
  std::vector<metrics::Metric*> seconds;  // in each state
};

class Driver : public core::StandingWatch {
 public:
  // From then on it watches the dispatcher; `startup` is what the dispatcher was made with.
  Driver(const Settings& settings, core::Dispatcher& dispatcher, const config::Startup& startup,
         Counters& counters);

  Plan step();  // what was planned; in a dry run none of it is done
  void set_paused(bool on);
  // Other settings from now on. What has been moved in the last minute still counts.
  void update_settings(const Settings& settings);
  bool paused() const { return planner_.paused(); }
  const Settings& settings() const { return settings_; }
  const Planner& planner() const { return planner_; }

  // core::StandingWatch
  void stands(std::uint64_t id, const std::string& worker, const core::Call& call, bool found) override;
  void load_is(std::uint64_t id, double load) override { planner_.load_is(id, load); }
  void gone(std::uint64_t id) override { planner_.gone(id); }
  void reported(const std::string& worker, double load) override;
  void members(const config::WorkerList& list) override;
  void answered(bool refused) override;
  void told_to_move() override;

 private:
  void look_outside(core::Time now);

  Settings settings_;
  core::Dispatcher& dispatcher_;
  Planner planner_;
  std::uint64_t routes_seen_ = 0;  // the gate's changes when it was last asked who stands outside
  core::Time routes_seen_at_ = 0;
  PlannerState state_ = PlannerState::starting;
  core::Time stepped_at_ = 0, said_at_ = 0;
  Counters& counters_;
};

}  // namespace marblehub::rebalance
