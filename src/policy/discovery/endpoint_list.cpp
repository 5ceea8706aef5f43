#include "policy/discovery/endpoint_list.h"

#include <algorithm>

#include "policy/health/intervals.h"

namespace marblehub::policy {
namespace {

// Maximum backoff: after an outage of service discovery, the list must arrive within 6 s.
constexpr Time kMaxBackoff = 3500 * kMillisecond;

// A call that is not answered within this time counts as failed.
constexpr Time kMaxAnswerTime = 3500 * kMillisecond;
// From then on the cached list is used unless an answer is due. Longer than the spread of the first calls.
constexpr Time kConfirmationTime = 5 * kSecond;
// Service discovery that refuses one connection may be restarting; two calls are about 1 s apart.
constexpr int kMaxUnreachableCalls = 2;

}  // namespace

void EndpointList::on(const EndpointListEvent& event) {
  call_in_flight_ = false;
  unreachable_calls_ = event.kind == EndpointListKind::unreachable ? unreachable_calls_ + 1 : 0;
  if (event.kind == EndpointListKind::failed || event.kind == EndpointListKind::unreachable)
    return call_failed();
  if (event.kind == EndpointListKind::cached) {
    next_call_at_ = context_.now + context_.random.up_to(first_call_spread(context_.settings));
  } else {
    watching_ = true;
    state_ = EndpointListState::confirmed;
    backoff_ = kSecond;
  }
  if (event.kind != EndpointListKind::changes)
    for (Backend& backend : backends_) backend.listed = false;
  if (event.entries)
    for (const BackendEntry& entry : *event.entries) apply(entry);
  update_leaving_since();
  choose_sample(context_.settings, backends_);
}

// Exponential backoff with jitter: all balancers share one discovery service.
void EndpointList::call_failed() {
  watching_ = false;
  give_up_confirmation_if_due();
  Time after_last_call = std::max<Time>(0, called_at_) + context_.random.jittered(backoff_);
  Time from_now = context_.now + context_.random.jittered(kSecond);
  next_call_at_ = std::max(from_now, after_last_call);
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

void EndpointList::apply(const BackendEntry& entry) {
  auto [backend, added] = backends_.find_or_add(entry.address);
  if (added) backend->probe_due = context_.now + context_.random.up_to(kRecheckInterval);
  backend->update_from(entry);
  if (entry.start_time <= backend->listed_start) return;
  // The backend has restarted: the state of the old process is discarded.
  backend->listed_start = entry.start_time;
  backend->start_warming(entry.start_time, false);
  backend->mark_up();
  backend->clear_delays();
}

void EndpointList::update_leaving_since() {
  for (Backend& backend : backends_) {
    bool stays = backend.listed && !backend.draining;
    if (stays)
      backend.leaving_since = -1;
    else if (backend.leaving_since < 0)
      backend.leaving_since = context_.now;
  }
}

void EndpointList::request_first_list() {
  if (called_at_ == kNotCalled) next_call_at_ = std::min(next_call_at_, context_.now);
}

// Service must not depend on service discovery: after a while the cached list is better than none.
void EndpointList::give_up_confirmation_if_due() {
  if (state_ != EndpointListState::unconfirmed) return;
  const bool answer_is_due = call_in_flight_ && context_.now - called_at_ < kMaxAnswerTime;
  const bool time_is_up = context_.now - context_.started_at >= kConfirmationTime && !answer_is_due;
  if (time_is_up || unreachable_calls_ >= kMaxUnreachableCalls) state_ = EndpointListState::unavailable;
}

void EndpointList::poll() {
  give_up_confirmation_if_due();
  if (!context_.settings.pull_endpoints || watching_ || call_in_flight_ || context_.now < next_call_at_)
    return;
  call_in_flight_ = true;
  called_at_ = context_.now;
  context_.emit(WatchEndpoints{});
}

}  // namespace marblehub::policy
