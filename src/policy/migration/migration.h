/// Migration of established connections. A connection earns nothing on a backend that is down, or whose
/// messages come later than the objective.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/requests/admission.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

/// Redirects established connections away from backends that are draining, removed, down, overwhelmed or
/// late.
class Migration {
 public:
  Migration(Context& context, const BackendTable& backends, const DelaySignals& delays,
            const Admission& admission, RequestTable& requests)
      : context_(context), backends_(backends), delays_(delays), admission_(admission), requests_(requests) {}

  /// Redirects the connections that leave in this sweep. Called once per sweep.
  void redirect_leaving();

 private:
  bool needs_migration(const Backend& backend) const;
  bool leaves_in_sweep(const Request& request);
  bool leaves_draining_in_sweep(const Backend& backend, Time opened_at);
  void emit_redirect(std::uint64_t id, const Backend& backend);
  bool capacity_elsewhere() const;

  Context& context_;
  const BackendTable& backends_;
  const DelaySignals& delays_;
  const Admission& admission_;
  RequestTable& requests_;
};

}  // namespace marblehub::policy
