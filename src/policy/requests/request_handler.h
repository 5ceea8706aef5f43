/// The life of a request: admitted, placed, retried, answered, and counted at its backend while its
/// connection stands.
#pragma once

#include "policy/context.h"
#include "policy/health/delay_signals.h"
#include "policy/health/prober.h"
#include "policy/placement/selector.h"
#include "policy/requests/admission.h"
#include "policy/requests/retry_rules.h"
#include "policy/requests/setup_limiter.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

class RequestHandler {
 public:
  /// The parts that it asks; they outlive it.
  struct Dependencies {
    Context& context;
    BackendTable& backends;
    RequestTable& requests;
    GroupConnections& groups;
    const DelaySignals& delays;
    const SlowStartRamp& ramp;
    const RetryRules& rules;
    const Admission& admission;
    Prober& prober;
    Selector& selector;
  };

  explicit RequestHandler(const Dependencies& dependencies) : deps_(dependencies) {}

  void on(const RequestEvent& event);
  void on(const HandoverEvent& event);
  void on(const EstablishedEvent& event);
  void on(const ResultEvent& event);
  void on(const ConnectionUpdateEvent& event);
  void on(const ClientGoneEvent& event);

  /// Places held requests, and answers those whose time is up; once a sweep.
  void process_waiting();

  /// Forgets the setup limits of backend sets that are no longer used.
  void forget_unused_limiters() { limiters_.forget_unused(deps_.context.now); }

 private:
  bool has_class(const RequestEvent& event) const;
  Request& add_request(const RequestEvent& event);
  double update_mean_load(double load);

  void place(std::uint64_t id, Request& request);
  bool wait_for_report(Backend& backend, Request& request);
  Time attempt_time_share(const Request& request, Time left) const;
  Time attempt_timeout(const Request& request, Time left, const SetupLimiter& limiter) const;
  void begin_attempt(std::uint64_t id, Request& request, int index, Time timeout, SetupLimiter& limiter);
  void anticipate_load(Backend& backend, const Request& request) const;

  void end_setup(const Request& request);
  void apply_result(Backend& backend, const ResultEvent& event, const Request& request);
  void reject_or_fail(std::uint64_t id, Request& request);
  void reject(std::uint64_t id, Request& request, Time retry_after, RejectReason reason);
  void end_request(std::uint64_t id, Request& request);

  SetupLimiter& limiter_of(const Request& request) {
    return limiters_.find_or_add(request.allowed_backends, deps_.context.now);
  }

  const Dependencies deps_;
  SetupLimiters limiters_;
  double mean_load_ = 0;  // mean load hinted or noted, to count connections in usual ones
};

}  // namespace marblehub::policy
