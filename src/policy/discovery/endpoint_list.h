/// Follows the endpoint list: which backends there are, which have restarted, and when to ask service
/// discovery again.
#pragma once

#include "policy/context.h"
#include "policy/discovery/fleet_sample.h"
#include "policy/state/backend_table.h"

namespace marblehub::policy {

class EndpointList {
 public:
  EndpointList(Context& context, BackendTable& backends) : context_(context), backends_(backends) {}

  /// Takes a list, a change of it, or the news that the call for one has failed.
  void on(const EndpointListEvent& event);

  /// Asks for the list where it has to be asked for, no watch is open and the backoff is over.
  void poll();

 private:
  void call_failed();
  void apply(const BackendEntry& entry);
  void update_leaving_since();

  Context& context_;
  BackendTable& backends_;
  bool watching_ = false;
  bool call_in_flight_ = false;
  Time next_call_at_ = 0;
  Time called_at_ = 0;
  Time backoff_ = kSecond;
};

}  // namespace marblehub::policy
