#include "model/study.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <mutex>
#include <thread>

namespace marblehub::model {

const std::vector<std::string> kFigures = {
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
  e.half = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  return e;
}

std::vector<Result> run_all(const std::vector<Job>& jobs, int threads,
                            const std::function<void(std::size_t, std::size_t)>& done) {
  std::vector<Result> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::size_t finished = 0;
  std::mutex mutex;
  std::exception_ptr error;
  auto work = [&] {
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
  std::vector<std::thread> others;
  for (int i = 1; i < threads; ++i) others.emplace_back(work);
  work();
  for (std::thread& other : others) other.join();
  if (error) std::rethrow_exception(error);
  return results;
}

Estimate Way::estimate_of(const std::string& figure) const {
  std::vector<double> values;
  for (const Result& r : results) values.push_back(r.figure(figure));
  return estimate(values);
}

Estimate Way::less(const Way& other, const std::string& figure) const {
  std::vector<double> differences;
  for (std::size_t i = 0; i < results.size(); ++i)
    differences.push_back(results[i].figure(figure) - other.results[i].figure(figure));
  return estimate(differences);
}

std::string table(const std::vector<Way>& ways, const std::vector<std::string>& figures) {
  std::string out = fmt::format("{:<22}", "");
  for (const Way& way : ways) out += fmt::format(" {:>26}", way.name);
  out += "\n";
  for (const std::string& name : figures) {
    std::string line = fmt::format("{:<22}", name);
    for (const Way& way : ways) {
      Estimate e = way.estimate_of(name);
      line += fmt::format(" {:>26}", fmt::format("{:.5g} +- {:.2g}", e.mean, e.half));
    }
    out += line + "\n";
    for (std::size_t w = 1; w < ways.size(); ++w) {
      Estimate e = ways[w].less(ways[0], name);
      if (e.apart())
        out += fmt::format("  {} less {}: {:.4g} +- {:.2g}\n", ways[w].name, ways[0].name, e.mean, e.half);
    }
  }
  return out;
}

}  // namespace marblehub::model
