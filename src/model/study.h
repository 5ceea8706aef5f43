// Many runs: a parameter over values and seeds, two ways compared seed by seed, and pages of the results.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "model/fleet.h"

namespace marblehub::model {

using Changes = std::vector<std::pair<std::string, std::string>>;  // key, value

// Mean of paired or single values with a 95 per cent interval of the mean (Student's t: Montgomery, "Design
// and Analysis of Experiments", section 2.4 and, paired, 2.5).
struct Estimate {
  std::size_t n = 0;
  double mean = 0, half_width = 0;  // the interval is mean - half to mean + half
  bool significant() const { return n > 1 && (mean - half_width > 0 || mean + half_width < 0); }
};
Estimate estimate(const std::vector<double>& values);

struct Job {
  Scenario scenario;
  std::uint64_t seed = 1;
};
// Runs them on `threads` at once, one thread each, and gives the results in the order of the jobs. `done` is
// told how many are, from one thread at a time.
std::vector<Result> run_all(const std::vector<Job>& jobs, int threads,
                            const std::function<void(std::size_t, std::size_t)>& done = {});

// The same scenario in several ways, over the same seeds.
struct Variant {
  std::string name;
  std::vector<Result> results;  // one a seed, in order

  Estimate estimate_of(const std::string& statistic) const;
  Estimate paired_difference(const Variant& other, const std::string& statistic) const;  // paired by seed
};

// A line a figure with each way's mean and, from the second way on, its paired difference to the first.
std::string table(const std::vector<Variant>& variants, const std::vector<std::string>& statistics);
extern const std::vector<std::string> kComparedStatistics;  // those that a comparison shows

// One self-contained page: tables, and plots of gap, moves and store calls over time.
std::string html_report(const std::string& title, const std::vector<Variant>& variants,
                        const std::vector<std::string>& statistics);

}  // namespace marblehub::model
