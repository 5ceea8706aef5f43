/// What the policy remembers of one request, from its arrival until its connection has ended.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// Names of the backends that a request may use; none: any.
using BackendSet = std::shared_ptr<const std::set<std::string>>;

struct Request {
  int request_class = 0;  // index into Settings::classes
  Time deadline = 0;
  std::uint64_t group = 0;  // of connections that share work on a backend; 0: none
  BackendSet allowed_backends;
  double load = 1;  // in usual connections

  int attempts = 0;        // begun so far
  int backend = -1;        // of the latest attempt
  Time sent_at = 0;        // of the latest attempt
  Time time_share = 0;     // of the time left that the latest attempt has where more may follow
  bool in_flight = false;  // the latest attempt has no result yet
  bool counted = false;    // it is in its backend's active count
  bool open = false;       // the connection stands
  bool answered = false;   // nothing more is owed or sent

  Time may_have_run_at = -1;  // when the first attempt that may have run was sent; -1: none may have
  int may_have_run_on = -1;   // and its backend
  std::vector<int> tried;     // backends of all attempts

  int report_waits = 0;        // load reports that were asked for before it is sent
  Time report_wait_until = 0;  // it waits for one until then

  bool has_tried(int backend_index) const {
    return std::find(tried.begin(), tried.end(), backend_index) != tried.end();
  }
};

}  // namespace marblehub::policy
