// Settings of the planner of moves. Off unless a file turns it on; docs/rebalancing.md explains each.
#pragma once

#include "config/options.h"
#include "marblehub/policy.h"

namespace marblehub::rebalance {

using marblehub::policy::Time;

struct Settings {
  bool enabled = false;
  bool dry_run = true;                   // plans, counts and logs, and moves nobody
  double moves_per_minute = 60;          // this balancer, in any minute
  double fleet_moves_per_minute = 600;   // all balancers together, in any minute
  double gap = 0.15;                     // highest less lowest load a capacity that is worth acting on
  Time min_move_interval = 600'000'000;  // between two moves of one client
  Time settle_time = 30'000'000;         // what has just come is left alone so long
  Time half_life = 60'000'000;           // an excess is to be halved in this time
  int quiet_from = -1;                   // minute of the day, UTC; -1: no quiet hours
  int quiet_to = -1;                     // the first minute after them; may be past midnight
  double min_gain = 0.02;                // of a move: load gap x minutes that it must be expected to save
  double store_calls_per_minute = 0;   // session store calls of the fleet that set-ups may make; 0: no bound
  Time max_report_age = 15'000'000;    // an older report tells nothing
  double max_refused_share = 0.05;     // part of the calls refused from which nothing is moved
  double max_mean_load = 0.85;         // mean load from which nothing is moved
  Time progress_timeout = 60'000'000;  // the gap must have narrowed after so long
  std::string pause_file = {};         // while it exists nothing is moved; empty: none
};

// Throws config::DecodeError with place and key; a key that means nothing is refused too.
Settings settings_from(const config::Options& options);

}  // namespace marblehub::rebalance
