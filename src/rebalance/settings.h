/// Settings of the rebalancing planner, read from its own file (docs/rebalancing.md).
#pragma once

#include "config/options.h"
#include "marblehub/policy.h"

namespace marblehub::rebalance {

using marblehub::policy::Time;

/// The planner is off unless `enabled` is set. Times are in microseconds.
struct Settings {
  bool enabled = false;
  bool dry_run = true;                   // plan, count and log moves without making them
  double moves_per_minute = 60;          // limit of this balancer in any minute
  double fleet_moves_per_minute = 600;   // limit of all balancers together in any minute
  double gap = 0.15;                     // highest minus lowest load at which moves start
  Time min_move_interval = 600'000'000;  // between two moves of one client
  Time settle_time = 30'000'000;         // minimum age of a connection to be moved
  Time half_life = 60'000'000;           // time in which an excess is halved
  int quiet_from = -1;                   // minute of the day, UTC; -1: no quiet hours
  int quiet_to = -1;                     // first minute after them; may be past midnight
  double min_gain = 0.02;                // expected gain below which nothing moves: load times minutes
  double store_calls_per_minute = 0;     // limit of the fleet's session store calls from setups; 0: none
  Time max_report_age = 15'000'000;      // older load reports are ignored
  double max_refused_share = 0.05;       // share of calls refused above which nothing moves
  double max_mean_load = 0.85;           // mean load above which nothing moves
  Time progress_timeout = 60'000'000;    // time in which moves must narrow the gap
  std::string pause_file = {};           // nothing moves while this file exists; empty: none
};

/// Throws config::DecodeError with place and key, for unknown keys too.
Settings settings_from(const config::Options& options);

}  // namespace marblehub::rebalance
