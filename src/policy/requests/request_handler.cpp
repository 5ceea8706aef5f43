#include "policy/requests/request_handler.h"

#include <algorithm>
#include <vector>

#include "policy/health/intervals.h"

namespace marblehub::policy {
namespace {

constexpr double kMeanLoadSmoothing = 0.02;  // weight of a new value in the moving average
// A request waits for up to kMaxReportWaits load reports if the last report is older than the maximum age.
constexpr int kMaxReportWaits = 2;
constexpr Time kReportWaitTime = 30 * kMillisecond;
constexpr Time kMaxReportAge = 2 * kSecond;
constexpr Time kMaxReportAgeWarming = 300 * kMillisecond;  // of a warming backend
// Maximum number of connections that all balancers together are assumed to send to a backend between two
// reports.
constexpr double kMaxSentBetweenReports = 3;
// Delay assumed for a backend that has reset a connection, in objectives.
constexpr double kResetDelayObjectives = 2;

}  // namespace

// ---- Arrival

bool RequestHandler::has_class(const RequestEvent& event) const {
  return event.request_class >= 0 &&
         event.request_class < static_cast<int>(deps_.context.settings.classes.size());
}

double RequestHandler::update_mean_load(double load) {
  mean_load_ = mean_load_ > 0 ? mean_load_ + kMeanLoadSmoothing * (load - mean_load_) : load;
  return mean_load_;
}

Request& RequestHandler::add_request(const RequestEvent& event) {
  Request& request = deps_.requests.requests[event.id];
  request.request_class = event.request_class;
  request.allowed_backends = event.allowed_backends;
  request.deadline = deps_.context.now + event.expires_in;
  if (deps_.context.settings.groups) request.group = event.group;
  if (event.load_hint > 0) request.load = event.load_hint / update_mean_load(event.load_hint);
  return request;
}

void RequestHandler::on(const RequestEvent& event) {
  RequestTable& table = deps_.requests;
  if (table.requests.count(event.id) || !has_class(event)) return;
  table.total_count += 1;
  table.recent_count.add(1, deps_.context.now, SlowStartRamp::kBurstDecayTime);
  table.waiting.insert(event.id);
  Request& request = add_request(event);
  if (deps_.context.random.uniform() < deps_.admission.admitted_fraction()) return place(event.id, request);
  Time max_retry_after = deps_.context.settings.max_retry_after_us;
  reject(event.id, request, max_retry_after / 2 + deps_.context.random.up_to(max_retry_after / 2),
         RejectReason::admission);
}

void RequestHandler::on(const HandoverEvent& event) {
  int index = deps_.backends.find(event.backend);
  if (deps_.requests.requests.count(event.request.id) || index == kNoBackend || !has_class(event.request))
    return;
  Request& request = add_request(event.request);
  request.attempts = 1;
  request.backend = index;
  request.history.begin(attempt_at(index));
  request.open = true;
  add_held_connection(deps_.backends[index], request);
}

// Counts a connection that the backend has held since before the start.
void RequestHandler::add_held_connection(Backend& backend, Request& request) {
  backend.add_connection(request, deps_.groups);
  // The backend may be at capacity already, so its first check is early.
  if (backend.latency_samples.empty()) {
    Time first_check = deps_.context.now + deps_.context.random.up_to(kRecheckInterval);
    backend.probe_due = std::min(backend.probe_due, first_check);
  }
}

void RequestHandler::on(const ResumeEvent& event) {
  RequestTable& table = deps_.requests;
  const std::uint64_t id = event.request.id;
  if (table.requests.count(id) || !has_class(event.request)) return;
  table.waiting.insert(id);
  Request& request = add_request(event.request);
  request.deadline = deps_.context.now + Resumptions::kTotalTime;
  request.resumes = true;
  deps_.resumptions.add(id, event.backend, event.request.expires_in);
  place(id, request);
}

// ---- Placement and retries

// Where probes are expensive, reports may be outdated: a new one is requested before an attempt is sent.
bool RequestHandler::wait_for_report(Backend& backend, Request& request) {
  const Context& context = deps_.context;
  const Settings& settings = context.settings;
  const bool warming = deps_.ramp.warming(backend);
  Time max_age = warming ? kMaxReportAgeWarming : kMaxReportAge;
  if (settings.price_probe <= 0 || request.report_waits >= kMaxReportWaits) return false;
  if (context.now - backend.report_at < max_age) return false;
  if (!settings.may_probe || (!backend.probe_in_flight && deps_.prober.budget_left() < 1)) return false;
  if ((backend.down && !warming) || !settings.load_reported) return false;  // no report is expected
  request.report_waits += 1;
  request.report_wait_until = context.now + kReportWaitTime;
  if (!backend.probe_in_flight) deps_.prober.probe(backend);
  return true;
}

// Divides the remaining time equally among the remaining attempts. An attempt gets at least the latency
// objective, and all of the time if the rest is too short for another attempt.
Time RequestHandler::attempt_time_share(const Request& request, Time left) const {
  int attempts_left = deps_.context.settings.max_attempts - request.attempts;
  Time objective = deps_.rules.class_of(request).slo_us;
  Time share = std::min(left, std::max(objective, left / attempts_left));
  if (attempts_left == 1 || left - share < deps_.context.settings.connect_timeout_us) return left;
  return share;
}

// An attempt gets all of the remaining time while congestion of a shared resource is suspected. Its queue
// also holds aborted attempts; once the queueing delay exceeds the time share, every attempt would be aborted
// before it is served and requeued at the end. Without early aborts the load is limited to one attempt per
// request.
Time RequestHandler::attempt_timeout(const Request& request, Time left, const SetupLimiter& limiter) const {
  bool congested = deps_.rules.class_of(request).stream && limiter.congestion_suspected();
  return congested ? left : attempt_time_share(request, left);
}

// Starts the next attempt if one is allowed and can still succeed; otherwise the request waits or is
// answered.
void RequestHandler::place(std::uint64_t id, Request& request) {
  if (request.resumes) return resume(id, request);
  // The margin of one sweep lets the final answer go out before the deadline.
  Time left = request.deadline - deps_.context.now - kSweepInterval;
  bool attempts_left = request.attempts < deps_.context.settings.max_attempts;
  if (left <= 0 || !attempts_left || !deps_.rules.repeatable(request)) return reject_or_fail(id, request);
  if (list_is_unconfirmed()) return;  // waits; the sweep tries again
  Time objective = deps_.rules.class_of(request).slo_us;
  SetupLimiter& limiter = limiter_of(request);
  if (limiter.at_limit(deps_.context.now, objective)) return;  // waits; the sweep tries again
  int index = deps_.selector.pick(request);
  if (index == kNoBackend) return;
  if (wait_for_report(deps_.backends[index], request)) return;
  request.time_share = attempt_time_share(request, left);
  begin_attempt(id, request, index, attempt_timeout(request, left, limiter), limiter);
}

// The next attempt to resume a connection at the backend that holds it.
void RequestHandler::resume(std::uint64_t id, Request& request) {
  Time left = request.deadline - deps_.context.now;
  if (left <= 0 || !deps_.rules.repeatable(request)) return fail(id, request);
  Resumptions::Step step = deps_.resumptions.next_step(id, request.attempts);
  if (step == Resumptions::Step::wait) return;
  if (step == Resumptions::Step::give_up) return fail(id, request);
  const int index = deps_.resumptions.backend_of(id);
  if (!deps_.rules.in_dedup_group(deps_.backends[index], request)) return fail(id, request);
  submit(id, request, index, std::min(left, Resumptions::kAttemptTime));
}

// Raises the utilization by the expected load until the next report. Other balancers are assumed to send to
// the same backend too, but only a few of them in that time.
void RequestHandler::anticipate_load(Backend& backend, const Request& request) const {
  if (backend.report_at < deps_.context.started_at) return;
  double senders = std::min(0.5 * deps_.context.settings.balancers, kMaxSentBetweenReports);
  backend.utilization += senders * request.load * deps_.admission.connection_load() / backend.scale;
}

void RequestHandler::begin_attempt(std::uint64_t id, Request& request, int index, Time timeout,
                                   SetupLimiter& limiter) {
  const bool stream = deps_.rules.class_of(request).stream;
  Backend& backend = deps_.backends[index];
  anticipate_load(backend, request);
  backend.recent.add(request.load, deps_.context.now, Selector::kRecentDecayTime);
  backend.open_in_sweep = false;
  if (stream) limiter.begin();
  submit(id, request, index, timeout);
  if (!stream) backend.add_connection(request, deps_.groups);  // no EstablishedEvent follows
}

AttemptHistory::Attempt RequestHandler::attempt_at(int index) const {
  const Backend& backend = deps_.backends[index];
  return {index, deps_.context.now, backend.zone, backend.cell};
}

void RequestHandler::submit(std::uint64_t id, Request& request, int index, Time timeout) {
  request.attempts += 1;
  request.backend = index;
  request.sent_at = deps_.context.now;
  const std::optional<Time> send_by = deps_.rules.send_by(request);
  request.history.begin(attempt_at(index));
  request.tried.push_back(index);
  deps_.context.emit(Submit{id, deps_.backends[index].address, deps_.context.now + timeout, send_by});
}

// ---- Answers

RejectReason RequestHandler::rejection_reason(const Request& request) const {
  if (request.history.execution() != Execution::not_sent) return RejectReason::attempts_failed;
  return list_is_unconfirmed() ? RejectReason::list_unconfirmed : RejectReason::expired;
}

// Sends the final answer, with a random delay before a retry.
void RequestHandler::reject_or_fail(std::uint64_t id, Request& request) {
  if (!deps_.rules.may_reject(request)) return fail(id, request);
  Time max_retry_after = deps_.context.settings.max_retry_after_us;
  reject(id, request, deps_.context.random.up_to(max_retry_after / 4), rejection_reason(request));
}

void RequestHandler::on(const EndRequestEvent& event) {
  auto it = deps_.requests.requests.find(event.id);
  if (it == deps_.requests.requests.end() || it->second.open || it->second.answered) return;
  Request& request = it->second;
  if (request.history.in_flight()) end_attempt(request, event.attempt_outcome);
  if (!deps_.rules.may_reject(request)) return fail(event.id, request);
  reject(event.id, request, 0, rejection_reason(request));
}

void RequestHandler::fail(std::uint64_t id, Request& request) {
  deps_.context.emit(Fail{id});
  end_request(id, request);
}

void RequestHandler::reject(std::uint64_t id, Request& request, Time retry_after, RejectReason reason) {
  deps_.context.emit(Reject{id, deps_.context.settings.may_send_retry_after ? retry_after : 0, reason});
  end_request(id, request);
}

void RequestHandler::end_request(std::uint64_t id, Request& request) {
  request.answered = true;
  deps_.resumptions.remove(id);
  if (!request.history.in_flight()) deps_.requests.requests.erase(id);
}

// ---- Attempt results

void RequestHandler::on(const EstablishedEvent& event) {
  Request* request = deps_.requests.find_in_flight(event.id, event.attempt);
  if (!request || request->open) return;
  request->open = true;
  if (request->resumes) {
    deps_.resumptions.remove(event.id);
    return add_held_connection(deps_.backends[request->backend], *request);
  }
  bool promptly = deps_.context.now - request->sent_at <= request->time_share;
  limiter_of(*request).succeed(promptly);
  if (!request->counted) deps_.backends[request->backend].add_connection(*request, deps_.groups);
}

void RequestHandler::on(const ResultEvent& event) {
  Request* request = deps_.requests.find_in_flight(event.id, event.attempt);
  if (!request) return;
  end_attempt(*request, event.outcome);
  apply_result(deps_.backends[request->backend], event, *request);
  if (event.terminal || request->answered || request->open) {
    deps_.resumptions.remove(event.id);
    deps_.requests.requests.erase(event.id);
    return;
  }
  deps_.resumptions.attempt_failed(event.id);
  place(event.id, *request);
}

void RequestHandler::end_attempt(Request& request, Outcome outcome) {
  request.history.end(outcome);
  if (!request.open) end_setup(request);
  deps_.backends[request.backend].remove_connection(request, deps_.groups);
}

void RequestHandler::end_setup(const Request& request) {
  if (request.resumes) return;  // it took no part in the limit
  SetupLimiter& limiter = limiter_of(request);
  if (deps_.rules.class_of(request).stream) limiter.end();
}

// A failure during setup may be caused by congestion shared by all backends, so it lowers the setup limit.
void RequestHandler::apply_result(Backend& backend, const ResultEvent& event, const Request& request) {
  const DelaySignals& delays = deps_.delays;
  delays.apply_report(backend, event.report);
  if (event.outcome == Outcome::connect_failed) deps_.prober.count_miss(backend);
  if (event.outcome == Outcome::reset) {
    deps_.prober.schedule_recheck(backend);
    delays.observe_at_least(backend, kResetDelayObjectives * delays.shortest_objective_ms());
  }
  if (event.outcome == Outcome::full) delays.observe_at_least(backend, delays.max_delay_ms());
  bool failed_in_setup = !request.open && !request.resumes &&
                         (event.outcome == Outcome::error || event.outcome == Outcome::timeout);
  if (failed_in_setup)
    limiter_of(request).fail(request.sent_at, deps_.context.now, deps_.rules.class_of(request).slo_us);
}

void RequestHandler::on(const ConnectionUpdateEvent& event) {
  Request* request = deps_.requests.find_in_flight(event.id, event.attempt);
  if (!request) return;
  Backend& backend = deps_.backends[request->backend];
  if (event.kind == ConnectionUpdateKind::messages_slow) {
    deps_.delays.observe(backend, event.value);
  } else if (event.value > 0) {
    double load = event.value / update_mean_load(event.value);
    if (request->counted) backend.load = std::max(0.0, backend.load + load - request->load);
    request->load = load;
  }
}

void RequestHandler::on(const ClientGoneEvent& event) {
  auto it = deps_.requests.requests.find(event.id);
  if (it != deps_.requests.requests.end()) end_request(it->first, it->second);
}

// ---- The sweep

void RequestHandler::process_waiting() {
  RequestTable& table = deps_.requests;
  const Time now = deps_.context.now;
  std::vector<std::uint64_t> ids(table.waiting.begin(), table.waiting.end());
  // During congestion the few allowed attempts go to the newest requests, which have the most time left. The
  // oldest would probably be aborted before they are served.
  if (limiters_.any_congestion_suspected()) std::reverse(ids.begin(), ids.end());
  for (std::uint64_t id : ids) {
    auto it = table.requests.find(id);
    if (it == table.requests.end() || it->second.open || it->second.answered) {
      table.waiting.erase(id);
      continue;
    }
    Request& request = it->second;
    if (!request.history.in_flight() && now >= request.report_wait_until)
      place(id, request);
    else if (now >= request.deadline - kSweepInterval / 4)
      reject_or_fail(id, request);  // the result of the attempt is overdue, and the client must be answered
  }
}

}  // namespace marblehub::policy
