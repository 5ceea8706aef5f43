#include "policy/requests/retry_rules.h"

namespace marblehub::policy {

bool RetryRules::repeatable(const Request& request) const {
  if (repeats_unrestricted(request)) return true;
  return class_of(request).repeat == Repeat::keyed && context_.now <= *send_by(request);
}

std::optional<Time> RetryRules::send_by(const Request& request) const {
  const RequestClass& request_class = class_of(request);
  if (repeats_unrestricted(request) || request_class.repeat != Repeat::keyed) return std::nullopt;
  return request.history.first_possible_run()->sent_at + request_class.dedup_window_us;
}

bool RetryRules::allowed(const Backend& backend, const Request& request) const {
  if (!backend.listed || backend.draining || !repeatable(request)) return false;
  if (request.allowed_backends && !request.allowed_backends->count(backend.address)) return false;
  return in_dedup_group(backend, request);
}

bool RetryRules::in_dedup_group(const Backend& backend, const Request& request) const {
  if (repeats_unrestricted(request)) return true;
  const AttemptHistory::Attempt& first = *request.history.first_possible_run();
  switch (class_of(request).dedup_scope) {
    case DedupScope::zone:
      return backend.zone == first.zone;
    case DedupScope::cell:  // a backend in no cell is alone in its group
      return backend.cell == first.cell && (first.cell >= 0 || &backend == &backends_[first.backend]);
    case DedupScope::all:
      return true;
  }
  return true;
}

bool RetryRules::may_reject(const Request& request) const {
  if (request.history.execution() != Execution::may_have_run) return true;
  const RequestClass& request_class = class_of(request);
  if (request_class.repeat == Repeat::safe) return true;
  return request_class.repeat == Repeat::keyed && request_class.dedup_scope == DedupScope::all;
}

}  // namespace marblehub::policy
