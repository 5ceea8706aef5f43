/// Slow start: how much a backend that warms up is sent by this balancer.
#pragma once

#include "policy/context.h"
#include "policy/slow_start/factor.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

class SlowStartRamp {
 public:
  SlowStartRamp(Context& context, BackendTable& backends, const RequestTable& requests)
      : context_(context), backends_(backends), requests_(requests) {}

  /// The share of its capacity that the backend surely has.
  double factor(const Backend& backend) const {
    const Settings& settings = context_.settings;
    return slow_start_factor(backend.warming_since, context_.now, settings.cold_share,
                             settings.warm_within_us);
  }

  bool warming(const Backend& backend) const { return factor(backend) < 1; }

  /// Whether it may be sent a request in this sweep.
  bool open(const Backend& backend) const { return !warming(backend) || backend.open_in_sweep; }

  /// Draws anew which of the backends that warm up are open in this sweep.
  void draw_open_backends();

  /// How long a burst of requests is compared with the usual rate.
  static constexpr Time kBurstDecayTime = 2 * kSecond;

 private:
  double open_probability() const;

  Context& context_;
  BackendTable& backends_;
  const RequestTable& requests_;
};

}  // namespace marblehub::policy
