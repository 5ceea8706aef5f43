// What a conformance run says: one line a requirement, with the section that asks for it.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace marblehub::conformance {

struct Line {
  std::string suite, section, words;
  bool passed;
};

class Report {
 public:
  explicit Report(std::function<void(const Line&)> each) : each_(std::move(each)) {}
  void suite(std::string name) { suite_ = std::move(name); }
  void check(std::string section, std::string words, bool passed) {
    lines_.push_back({suite_, std::move(section), std::move(words), passed});
    each_(lines_.back());
  }
  std::size_t failed() const {
    std::size_t n = 0;
    for (const Line& line : lines_) n += !line.passed;
    return n;
  }
  const std::vector<Line>& lines() const { return lines_; }

 private:
  std::function<void(const Line&)> each_;
  std::string suite_;
  std::vector<Line> lines_;
};

struct Suite {
  const char* name;
  const char* about;
  void (*run)(Report&);
};
const std::vector<Suite>& suites();

}  // namespace marblehub::conformance
