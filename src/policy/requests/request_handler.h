/// Request lifecycle: admitted, placed, retried, answered, and counted at its backend while its connection is
/// open.
#pragma once

#include "policy/context.h"
#include "policy/discovery/endpoint_list.h"
#include "policy/health/delay_signals.h"
#include "policy/health/prober.h"
#include "policy/placement/selector.h"
#include "policy/requests/admission.h"
#include "policy/requests/resumptions.h"
#include "policy/requests/retry_rules.h"
#include "policy/requests/setup_limiter.h"
#include "policy/slow_start/ramp.h"
#include "policy/state/backend_table.h"
#include "policy/state/request_table.h"

namespace marblehub::policy {

/// Admits, places, retries and answers requests, and counts each at its backend while its connection is open.
class RequestHandler {
 public:
  /// The components that it uses; they must outlive it.
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
    const EndpointList& endpoints;
    Resumptions& resumptions;
  };

  explicit RequestHandler(const Dependencies& dependencies) : deps_(dependencies) {}

  void on(const RequestEvent& event);
  void on(const HandoverEvent& event);
  void on(const ResumeEvent& event);
  void on(const EstablishedEvent& event);
  void on(const ResultEvent& event);
  void on(const ConnectionUpdateEvent& event);
  void on(const ClientGoneEvent& event);
  void on(const EndRequestEvent& event);

  /// Places waiting requests and answers those past their deadline. Called once per sweep.
  void process_waiting();

  /// Removes the setup limiters of unused backend sets. Called once per sweep.
  void forget_unused_limiters() { limiters_.forget_unused(deps_.context.now); }

 private:
  bool has_class(const RequestEvent& event) const;
  Request& add_request(const RequestEvent& event);
  double update_mean_load(double load);

  void place(std::uint64_t id, Request& request);
  void resume(std::uint64_t id, Request& request);
  void submit(std::uint64_t id, Request& request, int index, Time timeout);
  AttemptHistory::Attempt attempt_at(int index) const;
  bool wait_for_report(Backend& backend, Request& request);
  Time attempt_time_share(const Request& request, Time left) const;
  Time attempt_timeout(const Request& request, Time left, const SetupLimiter& limiter) const;
  void begin_attempt(std::uint64_t id, Request& request, int index, Time timeout, SetupLimiter& limiter);
  void anticipate_load(Backend& backend, const Request& request) const;
  void add_held_connection(Backend& backend, Request& request);

  void end_attempt(Request& request, Outcome outcome);
  void end_setup(const Request& request);
  void apply_result(Backend& backend, const ResultEvent& event, const Request& request);
  void reject_or_fail(std::uint64_t id, Request& request);
  void reject(std::uint64_t id, Request& request, Time retry_after, RejectReason reason);
  void fail(std::uint64_t id, Request& request);
  void end_request(std::uint64_t id, Request& request);
  bool list_is_unconfirmed() const { return deps_.endpoints.state() == EndpointListState::unconfirmed; }
  RejectReason rejection_reason(const Request& request) const;

  SetupLimiter& limiter_of(const Request& request) {
    return limiters_.find_or_add(request.allowed_backends, deps_.context.now);
  }

  const Dependencies deps_;
  SetupLimiters limiters_;
  double mean_load_ = 0;  // moving average of hinted and updated loads; the unit of Request::load
};

}  // namespace marblehub::policy
