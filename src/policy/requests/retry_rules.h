/// Which further attempts a request may have: by what a second effect of it would do.
#pragma once

#include "policy/context.h"
#include "policy/state/backend_table.h"
#include "policy/state/request.h"

namespace marblehub::policy {

class RetryRules {
 public:
  RetryRules(const Context& context, const BackendTable& backends) : context_(context), backends_(backends) {}

  const RequestClass& class_of(const Request& request) const {
    return context_.settings.classes[static_cast<std::size_t>(request.request_class)];
  }

  /// Whether a further attempt may be made at all. Once it may not it never will: it is answered at once.
  bool repeatable(const Request& request) const;

  /// Whether no more of its time is left than one connect may take, and two sweeps.
  bool near_deadline(const Request& request) const {
    return request.deadline - context_.now <= context_.settings.connect_timeout_us + 2 * kSweepInterval;
  }

  /// Whether the request may be sent to this backend.
  bool allowed(const Backend& backend, const Request& request) const;

  /// Whether it does no harm if the client tries again: nothing of it may run twice.
  bool harmless_to_repeat(const Request& request) const;

 private:
  bool repeats_unrestricted(const Request& request) const {
    return request.may_have_run_at < 0 || class_of(request).repeat == Repeat::safe;
  }

  const Context& context_;
  const BackendTable& backends_;
};

}  // namespace marblehub::policy
