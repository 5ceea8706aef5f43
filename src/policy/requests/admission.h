/// Admission: when the fleet as a whole is full, every further connection makes all late, so fewer are
/// admitted.
#pragma once

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Whether the backend is asked for many times what it can do. One that hangs may still answer health checks,
/// and so is not marked down.
inline bool overwhelmed(const Backend& backend) {
  constexpr double overwhelming_load = 4;  // far over what clients ask for
  return backend.utilization > overwhelming_load;
}

/// Whether the backend serves, as far as is known.
inline bool usable(const Backend& backend) {
  return backend.listed && !backend.draining && !backend.down && !overwhelmed(backend);
}

class Admission {
 public:
  Admission(const Context& context, const BackendTable& backends, const DelaySignals& delays)
      : context_(context), backends_(backends), delays_(delays) {}

  /// Looks at the load of the usable backends; once a sweep.
  void update();

  /// The part of the new connections that is admitted, 0.05 to 1.
  double admitted_fraction() const { return admitted_fraction_; }

  /// What a usual connection of each balancer adds to the load of a backend of scale 1.
  double connection_load() const { return connection_load_; }

  /// Whether messages at the backend have lately taken longer than their objective.
  bool late(const Backend& backend) const;

 private:
  const Context& context_;
  const BackendTable& backends_;
  const DelaySignals& delays_;
  double admitted_fraction_ = 1;
  double connection_load_ = 0;
};

}  // namespace marblehub::policy
