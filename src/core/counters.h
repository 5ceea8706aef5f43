/// The interface through which the core registers and updates its metrics; src/metrics implements it. Names
/// follow the Prometheus conventions.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace marblehub::core {

/// The value of one metric. The caller keeps a reference, so that an update needs no look-up.
struct Counter {
  double value = 0;

  void add(double more = 1) { value += more; }
  void set(double to) { value = to; }
};

/// A registry of metrics.
class Counters {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;  // sorted by name
  virtual ~Counters() = default;
  /// Each metric is registered once, at start. References are valid for the lifetime of the registry.
  virtual Counter& counter(std::string name, std::string help, Labels labels = {}) = 0;
  virtual Counter& gauge(std::string name, std::string help, Labels labels = {}) = 0;
};

}  // namespace marblehub::core
