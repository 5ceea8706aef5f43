/// The active requests and the arrival rate.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "policy/state/decaying_value.h"
#include "policy/state/request.h"

namespace marblehub::policy {

/// Requests until their connection ends, and the number of arrivals.
struct RequestTable {
  std::map<std::uint64_t, Request> requests;  // by id
  std::set<std::uint64_t> waiting;            // ids of unanswered requests; cleaned up by the sweep

  double total_count = 0;      // requests since the start, including reconnects
  DecayingValue recent_count;  // the same, with exponential decay

  /// Returns the request if its attempt with this number (from 0) is in flight, otherwise null.
  Request* find_in_flight(std::uint64_t id, int attempt) {
    auto it = requests.find(id);
    if (it == requests.end()) return nullptr;
    Request& request = it->second;
    return request.history.in_flight() && request.attempts == attempt + 1 ? &request : nullptr;
  }

  /// Counts open connections and unanswered requests; does not set Counts::down.
  Balancer::Counts counts() const {
    Balancer::Counts counts;
    for (const auto& [id, request] : requests) {
      if (request.answered) continue;
      (request.open ? counts.open : counts.unanswered) += 1;
    }
    return counts;
  }
};

}  // namespace marblehub::policy
