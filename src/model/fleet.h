// One run of a scenario: the whole fleet, what came of it, and whether what was expected came true.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model/balancer.h"

namespace marblehub::model {

struct Result {
  std::string scenario;
  std::uint64_t seed = 0;
  std::map<std::string, double> statistics;  // by name, as expectations name them
  struct Snapshot {                          // every kSampleEvery
    double at = 0, gap = 0, highest = 0, lowest = 0, mean = 0;
    double moves = 0, store_calls = 0, connections = 0;  // since the last
    std::vector<std::pair<std::string, double>> kinds;   // mean load of each kind
  };
  std::vector<Snapshot> snapshots;
  RuleViolations rules;
  struct Verdict {
    std::string expected;
    double found = 0;
    bool holds = false;
  };
  std::vector<Verdict> verdicts;
  std::string log;  // of the events, where one was asked for

  double statistic(const std::string& name) const;  // 0 where there is none by that name
  bool passed() const;
  std::string text() const;  // the same bytes for the same scenario and seed
};

struct RunOptions {
  std::uint64_t seed = 1;
  int threads = 1;
  bool log = false;
  std::function<void(Time)> progress = {};
};

// Throws config::DecodeError for an expectation that names no figure.
Result run(const Scenario& scenario, const RunOptions& options);

}  // namespace marblehub::model
