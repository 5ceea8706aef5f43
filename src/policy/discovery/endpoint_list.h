/// Service discovery: which backends there are, which have restarted, and when to request the list again.
#pragma once

#include "policy/context.h"
#include "policy/discovery/fleet_sample.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

/// Applies endpoint list events to the backend table and requests the list where it is not pushed.
class EndpointList {
 public:
  EndpointList(Context& context, BackendTable& backends) : context_(context), backends_(backends) {}

  /// Applies a list or a change of it, or schedules the next request after a failed one.
  void on(const EndpointListEvent& event);

  /// Requests the list if it is not pushed, no watch is open and the backoff has elapsed, and gives up
  /// waiting for its confirmation in time. Called once per sweep.
  void poll();

  /// Whether new attempts may rely on the list.
  EndpointListState state() const { return state_; }

  /// Whether service discovery has answered since the start, so that the list is not only a cached one.
  bool is_confirmed() const { return state_ == EndpointListState::confirmed; }

  /// Requests the first list at once instead of after a random delay. No effect after the first request.
  void request_first_list();

 private:
  static constexpr Time kNotCalled = -1;

  void call_failed();
  void give_up_confirmation_if_due();
  void apply(const BackendEntry& entry);
  void update_leaving_since();

  Context& context_;
  BackendTable& backends_;
  bool watching_ = false;
  EndpointListState state_ = EndpointListState::unconfirmed;
  int unreachable_calls_ = 0;  // in a row
  bool call_in_flight_ = false;
  Time next_call_at_ = 0;
  Time called_at_ = kNotCalled;
  Time backoff_ = kSecond;
};

}  // namespace marblehub::policy
