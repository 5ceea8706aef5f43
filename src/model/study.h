/// Series of runs: variants of a scenario over several seeds, compared by paired differences, and reports.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "model/fleet.h"

namespace marblehub::model {

/// Settings that override those of a scenario file.
using Changes = std::vector<std::pair<std::string, std::string>>;  // key, value

/// A mean with its 95% confidence interval (Student's t: Montgomery, "Design and Analysis of Experiments",
/// section 2.4 and, for paired values, 2.5).
struct Estimate {
  std::size_t n = 0;
  double mean = 0, half_width = 0;  // the interval is mean +- half_width
  /// Whether the interval excludes zero.
  bool significant() const { return n > 1 && (mean - half_width > 0 || mean + half_width < 0); }
};
/// The half-width is 0 for fewer than two values.
Estimate estimate(const std::vector<double>& values);

/// One run of a series.
struct Job {
  Scenario scenario;
  std::uint64_t seed = 1;
};
/// Runs jobs in parallel on `threads` threads, one thread per job. Returns the results in the order of the
/// jobs and rethrows the first exception. `done` is called with the numbers of finished and of all jobs, from
/// one thread at a time.
std::vector<Result> run_all(const std::vector<Job>& jobs, int threads,
                            const std::function<void(std::size_t, std::size_t)>& done = {});

/// One of several variants of a scenario, run over the same seeds.
struct Variant {
  std::string name;
  std::vector<Result> results;  // by seed

  Estimate estimate_of(const std::string& statistic) const;
  Estimate paired_difference(const Variant& other,
                             const std::string& statistic) const;  // this - other, paired by seed
};

/// A text table: a line per statistic with the mean of each variant, followed by the significant differences
/// from the first variant.
std::string table(const std::vector<Variant>& variants, const std::vector<std::string>& statistics);
extern const std::vector<std::string> kComparedStatistics;  // shown in comparisons

/// A self-contained HTML page with tables, and plots of load, moves and store calls over time.
std::string html_report(const std::string& title, const std::vector<Variant>& variants,
                        const std::vector<std::string>& statistics);

}  // namespace marblehub::model
