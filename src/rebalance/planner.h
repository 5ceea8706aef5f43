/// The planner of moves: which of this balancer's standing connections are to move, when, and why not more.
/// It decides free of I/O and clock; the driver beside it shows it what stands and carries out what it plans.
/// Where a moved client goes is the policy's to say, as for any other.
///
/// Balancers do not talk. Each moves the same part of its own connections off a worker that is over the mean,
/// so all together move that part of the excess, however many they are. docs/rebalancing.md weighs the ways.
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

struct Plan {
  std::vector<std::uint64_t> moves;  // ids of connections
  PlannerState state = PlannerState::acting;
};

class Planner {
 public:
  /// Times are microseconds on a clock that only advances.
  Planner(const Settings& settings, const Fleet& fleet, Time now);

  /// Other settings from now on.
  void update_settings(const Settings& settings) { settings_ = settings; }

  // ---- What it is shown.
  void member(const Member& member) { table_.update(member, random_); }
  /// What a complete list does not name is gone.
  void only(const std::unordered_set<std::string>& named) { table_.keep_only(named); }
  void stands(Time now, const Connection& connection);
  void load_is(std::uint64_t id, double load) { table_.set_load(id, load); }
  void gone(std::uint64_t id);
  void reported(Time now, const std::string& worker, double load);
  void answered(Time now, bool refused);
  /// All that stand where their route does not let them (any more); whichever of them end are left out.
  void outside(std::vector<std::uint64_t> ids);
  /// A client, by whomever: it will call the session store.
  void told_to_move(Time now) { limits_.told_to_move(now); }
  void set_paused(bool on) { paused_ = on; }
  bool paused() const { return paused_; }

  // ---- What it plans, asked about once a second. In a dry run it plans the same and takes it as done.
  Plan plan(Time now);

  // ---- What an operator reads, as of the last plan.
  double gap() const { return view_.gap; }
  double highest() const { return view_.highest; }
  double mean() const { return view_.mean; }
  std::size_t standing() const { return table_.size(); }

 private:
  using Standing = ConnectionTable::Standing;
  using Worker = ConnectionTable::Worker;

  static constexpr double kMostAtOnce = 0.05;  // part of a worker's connections that one step moves
  static constexpr int kCompared = 12;         // candidates that are compared

  struct Step;  // one plan in the making

  // ---- planner.cpp
  void count_stays(double seconds);
  double stay_minutes() const;
  PlannerState gates(Time now);
  PlannerState gap_allows(Time now);
  bool in_quiet_hours(Time now) const;
  double work_a_level() const;
  void move_for_balance(Step& step);
  bool move_off(Worker& worker, double excess, Step& step);
  bool may_move(const Standing& standing, double most_load, Time now) const;
  std::uint64_t choose(const Worker& worker, double most_load, Time now);
  void moved(Time now, std::uint64_t id, Plan& plan);

  // ---- outside_moves.cpp
  PlannerState move_outside(Step& step);
  std::uint64_t choose_outside(Time now);

  Settings settings_;
  const Fleet fleet_;
  std::mt19937_64 random_;
  const Time began_;
  ConnectionTable table_;
  MoveLimits limits_;
  ProgressWatch progress_;
  FleetView view_;
  HysteresisGate stale_, rejecting_, overloaded_;
  policy::DecayingValue rejected_, asked_;
  bool paused_ = false, acting_ = false;
  Time last_plan_ = -1;
  double stood_ = 0, ended_ = 0;  // connection-seconds, and ends other than ours; decaying

  std::vector<std::uint64_t> outside_;  // and some that have ended
  double outside_credit_ = 0;
  std::mt19937_64 outside_random_;  // of its own: where no routes are, moves for balance are as without
};

/// One plan in the making.
struct Planner::Step {
  Time now = 0;
  double part = 0;          // of an excess that is to move in this step
  std::size_t left = 0;     // moves that the limits allow
  std::size_t outside = 0;  // moves planned by routes that the limits have not counted yet
  double work_a_level = 0;  // work a second that makes up a load of 1 on a worker of scale 1; 0: unknown
  Plan plan;
};

}  // namespace marblehub::rebalance
