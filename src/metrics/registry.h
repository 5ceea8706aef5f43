// What the program counts. Metrics are registered once, at start, and read by the exposition, the remote
// writer and the print at exit. Names follow the Prometheus conventions.
#pragma once

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace marblehub::metrics {

using Labels = std::vector<std::pair<std::string, std::string>>;  // sorted by name

struct Metric {
  std::string name, help;
  bool counter = true;  // else a gauge
  Labels labels;
  double value = 0;

  void add(double more = 1) { value += more; }
  void set(double to) { value = to; }
};

class Registry {
 public:
  Metric& counter(std::string name, std::string help, Labels labels = {}) {
    return metrics_.emplace_back(Metric{std::move(name), std::move(help), true, std::move(labels), 0});
  }
  Metric& gauge(std::string name, std::string help, Labels labels = {}) {
    return metrics_.emplace_back(Metric{std::move(name), std::move(help), false, std::move(labels), 0});
  }
  const std::deque<Metric>& all() const { return metrics_; }

 private:
  std::deque<Metric> metrics_;  // a deque: references stay good
};

// The text exposition format, version 0.0.4.
std::string exposition(const Registry& registry);

}  // namespace marblehub::metrics
