/// Admission control. When the fleet as a whole is full, every further connection makes all of them late, so
/// fewer are admitted.
#pragma once

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Whether the reported load is a multiple of the capacity. A hung backend may still answer health checks and
/// is then not marked down.
inline bool overwhelmed(const Backend& backend) {
  constexpr double overwhelming_load = 4;  // far above the load in normal operation
  return backend.utilization > overwhelming_load;
}

/// Whether the backend can serve requests.
inline bool usable(const Backend& backend) {
  return backend.listed && !backend.draining && !backend.down && !overwhelmed(backend);
}

/// Admits only a fraction of the new connections while the fleet as a whole is overloaded, when each further
/// connection would delay the messages of all.
class Admission {
 public:
  Admission(const Context& context, const BackendTable& backends, const DelaySignals& delays)
      : context_(context), backends_(backends), delays_(delays) {}

  /// Updates the admitted fraction from the load of the usable backends. Called once per sweep.
  void update();

  /// Fraction of the new connections to admit, from 0.05 to 1.
  double admitted_fraction() const { return admitted_fraction_; }

  /// Load that an average connection adds to a backend of scale 1.
  double connection_load() const { return connection_load_; }

  /// Whether recent messages at the backend exceeded their latency objective.
  bool late(const Backend& backend) const;

 private:
  const Context& context_;
  const BackendTable& backends_;
  const DelaySignals& delays_;
  double admitted_fraction_ = 1;
  double connection_load_ = 0;
};

}  // namespace marblehub::policy
