// The results of a conformance run, one for each requirement.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace marblehub::conformance {

/// The result of one requirement: its suite, the section of the specification that states it, its text, and
/// whether the router satisfies it.
struct Result {
  std::string suite, section, requirement;
  bool passed;
};

/// Collects results in the order of the checks and passes each on as soon as it is known.
class Report {
 public:
  explicit Report(std::function<void(const Result&)> on_result) : on_result_(std::move(on_result)) {}
  /// Sets the suite of the results that follow.
  void suite(std::string name) { suite_ = std::move(name); }
  /// Adds the result of one requirement.
  void check(std::string section, std::string requirement, bool passed) {
    results_.push_back({suite_, std::move(section), std::move(requirement), passed});
    on_result_(results_.back());
  }
  std::size_t failed() const {
    std::size_t count = 0;
    for (const Result& result : results_) count += !result.passed;
    return count;
  }
  const std::vector<Result>& results() const { return results_; }

 private:
  std::function<void(const Result&)> on_result_;
  std::string suite_;
  std::vector<Result> results_;
};

/// A suite: its name on the command line, a one-line description, and the function that runs its checks.
struct Suite {
  const char* name;
  const char* description;
  void (*run)(Report&);
};
/// All suites, in the order in which they run.
const std::vector<Suite>& suites();

}  // namespace marblehub::conformance
