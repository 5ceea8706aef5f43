// A scenario: a fleet, its clients, what happens to them and what is expected of it. docs/model.md tells the
// form of the files; what is wrong in one is thrown with its place and key.
#pragma once

#include <string>
#include <vector>

#include "config/options.h"
#include "model/lanes.h"
#include "rebalance/settings.h"

namespace marblehub::model {

struct Kind {  // of workers
  std::string name;
  int count = 0;
  double cores = 4, speed = 1;  // a core of speed 1 does a second of work a second
  double scale = 0;             // as the registry tells it; 0: what it is
  int most = 0;                 // connections; 0: no bound
  Time queue = 0;               // set-ups are refused when they would wait longer
  Time from = 0;                // when it starts, cold; 0: it is warm since long ago
};

struct Happening {
  enum class What { drain, stop, hang, slow, kill_balancer, drop, move };
  What what = What::drain;
  Time at = 0, lasts = 0;
  std::string kind;  // of workers
  int number = 0;    // of the worker in its kind, or of the balancer
  double value = 0;
};

struct Expectation {
  enum class Sense { below, above, at_most, at_least, exactly };
  std::string text, figure;
  Time at = -1;  // -1: over the whole run
  Sense sense = Sense::below;
  double value = 0;
};

struct Scenario {
  std::string name;
  Time lasts = 0;
  int balancers = 1;
  std::vector<Kind> kinds;
  // Work, in microseconds of a core.
  double setup_work = 2000, probe_work = 100, group_work = 0;
  Time service = 0, store_time = 0;
  double store_rate = 0;  // calls a second that the session store takes; 0: no bound
  // Clients.
  int standing = 0;
  double arrivals = 0;    // a second, all balancers together
  Time arrive_until = 0;  // 0: always
  double stay = 0;        // mean seconds
  double load = 0, spread = 0, heavy_share = 0, heavy_times = 1;
  int groups = 0;
  double big_group = 0, quic_share = 0, quic_obeys = 1, lost = 0;
  std::string placed;  // the kind that holds all that stand at the start; empty: all, by scale
  Time comes_back = 0, client_timeout = 0;
  int tries = 0;
  // The net, the registry and the reports.
  Time hop = 0, jitter = 0, list_least = 0, list_most = 0, report_late = 0;
  double report_noise = 0;
  // Cold starts and falls.
  double cold_share = 1;
  Time warm_within = 0, falls_over = 0, back_after = 0;
  double wave = 0;  // amplitude of the load of the clients of one worker, each in its own phase
  Time wave_period = 0;
  Time slo = 0, aim = 0;
  int attempts = 4;
  rebalance::Settings rebalance;
  std::vector<Happening> happenings;
  std::vector<Expectation> expectations;

  int workers() const;
  // The number of a worker among all, by its kind and its number in it, from 1.
  int worker(const std::string& kind, int number) const;
  const Kind& kind_of(int worker) const { return *place_of(worker).first; }
  std::string name_of(int worker) const;  // kind-number

 private:
  std::pair<const Kind*, int> place_of(int worker) const;  // its kind, and its number in it, from 1
};

// `changes` are key=value pairs that go before those of the file.
Scenario scenario_from(const std::string& text, const std::string& place,
                       const std::vector<std::pair<std::string, std::string>>& changes = {});
Scenario scenario_in(const std::string& path,
                     const std::vector<std::pair<std::string, std::string>>& changes = {});

}  // namespace marblehub::model
