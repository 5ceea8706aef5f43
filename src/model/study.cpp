#include "model/study.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <mutex>
#include <thread>

namespace marblehub::model {

const std::vector<std::string> kComparedStatistics = {
    "served share", "without share",     "mean gap",     "moves",
    "store calls",  "store wait ms",     "refused",      "failed",
    "workers fell", "cold workers fell", "set up ms 99", "moves in any minute",
    "rules broken"};

Estimate estimate(const std::vector<double>& values) {
  Estimate e;
  e.n = values.size();
  if (e.n == 0) return e;
  auto n = static_cast<double>(e.n);
  for (double value : values) e.mean += value / n;
  if (e.n < 2) return e;
  double squares = 0;
  for (double value : values) squares += (value - e.mean) * (value - e.mean);
  boost::math::students_t t(n - 1);
  e.half_width = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  return e;
}

std::vector<Result> run_all(const std::vector<Job>& jobs, int threads,
                            const std::function<void(std::size_t, std::size_t)>& done) {
  std::vector<Result> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::size_t finished = 0;
  std::mutex mutex;
  std::exception_ptr error;
  auto run_jobs = [&] {
    for (std::size_t i; (i = next.fetch_add(1)) < jobs.size();) {
      try {
        results[i] = run(jobs[i].scenario, {.seed = jobs[i].seed});
      } catch (...) {
        std::lock_guard lock(mutex);
        if (!error) error = std::current_exception();
        next = jobs.size();
        return;
      }
      std::lock_guard lock(mutex);
      if (done) done(++finished, jobs.size());
    }
  };
  std::vector<std::thread> workers;
  for (int i = 1; i < threads; ++i) workers.emplace_back(run_jobs);
  run_jobs();
  for (std::thread& other : workers) other.join();
  if (error) std::rethrow_exception(error);
  return results;
}

Estimate Variant::estimate_of(const std::string& statistic) const {
  std::vector<double> values;
  for (const Result& r : results) values.push_back(r.statistic(statistic));
  return estimate(values);
}

Estimate Variant::paired_difference(const Variant& other, const std::string& statistic) const {
  std::vector<double> differences;
  for (std::size_t i = 0; i < results.size(); ++i)
    differences.push_back(results[i].statistic(statistic) - other.results[i].statistic(statistic));
  return estimate(differences);
}

std::string table(const std::vector<Variant>& variants, const std::vector<std::string>& statistics) {
  std::string out = fmt::format("{:<22}", "");
  for (const Variant& variant : variants) out += fmt::format(" {:>26}", variant.name);
  out += "\n";
  for (const std::string& name : statistics) {
    std::string line = fmt::format("{:<22}", name);
    for (const Variant& variant : variants) {
      Estimate e = variant.estimate_of(name);
      line += fmt::format(" {:>26}", fmt::format("{:.5g} +- {:.2g}", e.mean, e.half_width));
    }
    out += line + "\n";
    for (std::size_t w = 1; w < variants.size(); ++w) {
      Estimate e = variants[w].paired_difference(variants[0], name);
      if (e.significant())
        out += fmt::format("  {} less {}: {:.4g} +- {:.2g}\n", variants[w].name, variants[0].name, e.mean,
                           e.half_width);
    }
  }
  return out;
}

}  // namespace marblehub::model
