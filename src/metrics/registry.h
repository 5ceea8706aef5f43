/// The program's metrics. They are registered once, at start, and read by the exposition, remote write and
/// the output at exit. Names follow the Prometheus conventions.
#pragma once

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "core/counters.h"

namespace marblehub::metrics {

using Labels = core::Counters::Labels;

/// One time series.
struct Metric : core::Counter {
  std::string name, help;
  bool counter = true;  // else a gauge
  Labels labels;
};

/// Owns all metrics.
class Registry final : public core::Counters {
 public:
  Metric& counter(std::string name, std::string help, Labels labels = {}) override {
    return metrics_.emplace_back(Metric{{}, std::move(name), std::move(help), true, std::move(labels)});
  }
  Metric& gauge(std::string name, std::string help, Labels labels = {}) override {
    return metrics_.emplace_back(Metric{{}, std::move(name), std::move(help), false, std::move(labels)});
  }
  const std::deque<Metric>& all() const { return metrics_; }

 private:
  std::deque<Metric> metrics_;  // a deque, since references must remain valid
};

/// All metrics in the Prometheus text exposition format, version 0.0.4.
std::string exposition(const Registry& registry);

}  // namespace marblehub::metrics
