// What a conformance run says: one line a requirement, with the section that asks for it.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace marblehub::conformance {

struct Result {
  std::string suite, section, requirement;
  bool passed;
};

class Report {
 public:
  explicit Report(std::function<void(const Result&)> on_result) : on_result_(std::move(on_result)) {}
  void suite(std::string name) { suite_ = std::move(name); }
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

struct Suite {
  const char* name;
  const char* description;
  void (*run)(Report&);
};
const std::vector<Suite>& suites();

}  // namespace marblehub::conformance
