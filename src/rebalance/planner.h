/// Plans which of this balancer's established connections move, and when, to even out the workers' load.
/// Has no I/O and no clock: the driver feeds it events and carries out its plans. The policy chooses where a
/// moved client goes, as for any other call.
///
/// Balancers do not coordinate. Each moves the same share of its own connections off a worker above the mean
/// load, so that together they move that share of the excess however many they are (docs/rebalancing.md).
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "policy/state/decaying_value.h"
#include "rebalance/connection_table.h"
#include "rebalance/fleet.h"
#include "rebalance/fleet_view.h"
#include "rebalance/hysteresis_gate.h"
#include "rebalance/move_limits.h"
#include "rebalance/planner_state.h"
#include "rebalance/progress_watch.h"
#include "rebalance/settings.h"

namespace marblehub::rebalance {

/// The result of one planning step.
struct Plan {
  std::vector<std::uint64_t> moves;  // ids of the connections to move
  PlannerState state = PlannerState::acting;
};

/// Decides on the moves of one balancer.
class Planner {
 public:
  /// Times are in microseconds since the epoch and never decrease.
  Planner(const Settings& settings, const FleetConfig& fleet, Time now);

  /// Takes effect with the next plan.
  void update_settings(const Settings& settings) { settings_ = settings; }

  // ---- Events, reported by the driver.
  void update_member(const Member& member) { table_.update(member, rng_); }
  /// Takes the members of a complete endpoint list; all others no longer serve.
  void keep_only_members(const std::unordered_set<std::string>& listed) { table_.keep_only(listed); }
  void connection_established(Time now, const Connection& connection);
  /// `load` is in work per second.
  void set_load(std::uint64_t id, double load) { table_.set_load(id, load); }
  /// The connection was closed or moved by others than the planner; an unknown id is ignored.
  void connection_ended(std::uint64_t id);
  /// `load` is relative to the worker's capacity.
  void load_reported(Time now, const std::string& worker, double load);
  /// A call has received its final answer.
  void call_answered(Time now, bool refused);
  /// Replaces the list of connections at workers that their route does not (or no longer) allow. Ids that end
  /// later are skipped.
  void set_out_of_pool(std::vector<std::uint64_t> ids);
  /// A client was requested to move, by the planner or otherwise; its reconnect will call the session store.
  void move_requested(Time now) { limits_.record_move_request(now); }
  void set_paused(bool on) { paused_ = on; }
  bool paused() const { return paused_; }

  // ---- Planning.

  /// Call about once a second. In a dry run the planner makes the same plans and counts them as carried out.
  Plan plan(Time now);

  // ---- Figures for metrics and logs, as of the last plan.
  double gap() const { return view_.gap; }
  double max_load() const { return view_.max_load; }
  double mean_load() const { return view_.mean_load; }
  std::size_t connection_count() const { return table_.size(); }

 private:
  using Entry = ConnectionTable::Entry;
  using Worker = ConnectionTable::Worker;

  static constexpr double kMaxMovedShare = 0.05;  // of a worker's connections, in one step
  static constexpr int kCandidates = 12;          // connections drawn and compared per move

  struct Step;

  // ---- planner.cpp
  void update_stay_estimate(double seconds);
  double expected_stay_minutes() const;
  PlannerState check_gates(Time now);
  PlannerState check_gap(Time now);
  bool in_quiet_hours(Time now) const;
  double work_per_load() const;
  void move_for_balance(Step& step);
  bool move_from(Worker& worker, double excess, Step& step);
  bool may_move(const Entry& entry, double max_connection_load, Time now) const;
  std::uint64_t choose_connection(const Worker& worker, double max_connection_load, Time now);
  void commit_move(Time now, std::uint64_t id, Plan& plan);

  // ---- outside_moves.cpp
  PlannerState move_out_of_pool(Step& step);
  std::uint64_t choose_out_of_pool(Time now);

  Settings settings_;
  const FleetConfig fleet_;
  std::mt19937_64 rng_;
  const Time started_at_;
  ConnectionTable table_;
  MoveLimits limits_;
  ProgressWatch progress_;
  FleetView view_;
  HysteresisGate stale_gate_, refusal_gate_, overload_gate_;
  policy::DecayingValue refused_calls_, answered_calls_;
  bool paused_ = false, acting_ = false;
  Time last_plan_at_ = -1;
  double connection_seconds_ = 0, endings_ = 0;  // decaying; endings exclude planned moves

  std::vector<std::uint64_t> out_of_pool_;  // may hold ids that have ended
  double out_of_pool_credit_ = 0;
  std::mt19937_64 out_of_pool_rng_;  // separate, so that balancing draws do not depend on routes
};

/// The state of one planning step.
struct Planner::Step {
  Time now = 0;
  double share = 0;                 // of an excess to move in this step
  std::size_t moves_left = 0;       // allowed by the limits
  std::size_t uncounted_moves = 0;  // out-of-pool moves that the limits have not recorded yet
  double work_per_load = 0;  // work per second that equals a load of 1 on a worker of scale 1; 0: unknown
  Plan plan;
};

}  // namespace marblehub::rebalance
