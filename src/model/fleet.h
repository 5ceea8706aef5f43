/// One run of a scenario: simulates the fleet, collects statistics and checks the expectations.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model/balancer.h"

namespace marblehub::model {

/// The result of a run.
struct Result {
  std::string scenario;
  std::uint64_t seed = 0;
  std::map<std::string, double> statistics;  // by the names that expectations use
  /// The state of the fleet at a sampling time; loads are relative to capacity.
  struct Snapshot {  // one every kSampleEvery; `at` is in seconds
    double at = 0, gap = 0, highest = 0, lowest = 0, mean = 0;
    double moves = 0, store_calls = 0, connections = 0;  // since the previous one
    std::vector<std::pair<std::string, double>> kinds;   // mean load of each kind of worker
  };
  std::vector<Snapshot> snapshots;
  RuleViolations rules;
  /// An expectation and the value found.
  struct Verdict {
    std::string expected;
    double found = 0;
    bool holds = false;
  };
  std::vector<Verdict> verdicts;
  std::string log;  // of client events, if RunOptions::log is set

  double statistic(const std::string& name) const;  // 0 if there is none with that name
  bool passed() const;                              // no rule was broken and every expectation holds
  std::string text() const;                         // deterministic for a scenario and a seed
};

/// Options of a run; only the seed affects the result.
struct RunOptions {
  std::uint64_t seed = 1;
  int threads = 1;
  bool log = false;
  std::function<void(Time)> progress = {};
};

/// Runs a scenario. Throws config::DecodeError for an expectation on an unknown statistic.
Result run(const Scenario& scenario, const RunOptions& options);

}  // namespace marblehub::model
