/// Slow start: limits the requests sent to backends that warm up.
#pragma once

#include "policy/context.h"
#include "policy/slow_start/factor.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

/// Opens each warming backend at random in a fraction of the sweeps that grows with its capacity. As
/// balancers draw independently, their combined rate stays within that capacity.
class SlowStartRamp {
 public:
  SlowStartRamp(Context& context, BackendTable& backends, const RequestTable& requests)
      : context_(context), backends_(backends), requests_(requests) {}

  /// Lower bound of the capacity of the backend, as a fraction of its full capacity.
  double factor(const Backend& backend) const {
    const Settings& settings = context_.settings;
    return slow_start_factor(backend.warming_since, context_.now, settings.cold_share,
                             settings.warm_within_us);
  }

  /// Whether the backend is still warming up.
  bool warming(const Backend& backend) const { return factor(backend) < 1; }

  /// Whether the backend may receive a request in this sweep.
  bool open(const Backend& backend) const { return !warming(backend) || backend.open_in_sweep; }

  /// Draws which of the warming backends are open in this sweep. Called once per sweep.
  void draw_open_backends();

  /// Time over which the recent arrival rate is measured to detect bursts.
  static constexpr Time kBurstDecayTime = 2 * kSecond;

 private:
  double open_probability() const;

  Context& context_;
  BackendTable& backends_;
  const RequestTable& requests_;
};

}  // namespace marblehub::policy
