/// Rules for retries: which further attempts a request may have depends on what a second effect of it would
/// do.
#pragma once

#include <optional>

#include "policy/context.h"
#include "policy/state/backend_table.h"
#include "policy/state/request.h"

namespace marblehub::policy {

/// Decides which further attempts a request may have, by its Repeat and DedupScope.
class RetryRules {
 public:
  RetryRules(const Context& context, const BackendTable& backends) : context_(context), backends_(backends) {}

  /// Returns the class of the request.
  const RequestClass& class_of(const Request& request) const {
    return context_.settings.classes[static_cast<std::size_t>(request.request_class)];
  }

  /// Whether a further attempt is allowed at all. Once this is false it stays false, so the request can be
  /// answered.
  bool repeatable(const Request& request) const;

  /// Until when the request may be sent, so that backends still discard it if it has been executed; none
  /// where that does not matter.
  std::optional<Time> send_by(const Request& request) const;

  /// Whether the remaining time is at most the connect timeout and two sweeps.
  bool near_deadline(const Request& request) const {
    return request.deadline - context_.now <= context_.settings.connect_timeout_us + 2 * kSweepInterval;
  }

  /// Whether the request may be sent to this backend.
  bool allowed(const Backend& backend, const Request& request) const;

  /// Whether the backend discards a repeat of the request: it is in the group that the first attempt that may
  /// have been executed was sent to. True where a repeat does no harm.
  bool in_dedup_group(const Backend& backend, const Request& request) const;

  /// Whether a rejection is true, which tells the client that it may safely retry: no attempt may have been
  /// executed, or all backends discard repeats.
  bool may_reject(const Request& request) const;

 private:
  bool repeats_unrestricted(const Request& request) const {
    return !request.history.first_possible_run() || class_of(request).repeat == Repeat::safe;
  }

  const Context& context_;
  const BackendTable& backends_;
};

}  // namespace marblehub::policy
