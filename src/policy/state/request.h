/// State of one request, from its arrival until its connection has ended.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "marblehub/policy.h"
#include "policy/state/attempt_history.h"

namespace marblehub::policy {

/// Addresses of the backends that a request may use; null: any.
using BackendSet = std::shared_ptr<const std::set<std::string>>;

/// A request from its arrival until its connection has ended.
struct Request {
  int request_class = 0;  // index into Settings::classes
  Time deadline = 0;
  std::uint64_t group = 0;  // of connections that share work on a backend; 0: none
  BackendSet allowed_backends;
  double load = 1;  // 1 is an average connection

  int attempts = 0;       // started so far
  int backend = -1;       // index of the backend of the latest attempt
  Time sent_at = 0;       // start of the latest attempt
  Time time_share = 0;    // time allotted to the latest attempt if further attempts may follow
  bool counted = false;   // included in the connection count of its backend
  bool open = false;      // the connection is established
  bool answered = false;  // no further action is emitted for this request
  bool resumes = false;   // its backend holds the connection since before the start

  AttemptHistory history;
  std::vector<int> tried;  // indices of the backends of all attempts

  int report_waits = 0;        // number of load reports that it has waited for
  Time report_wait_until = 0;  // end of the current wait for a load report

  /// Whether an attempt was sent to this backend.
  bool has_tried(int backend_index) const {
    return std::find(tried.begin(), tried.end(), backend_index) != tried.end();
  }
};

}  // namespace marblehub::policy
