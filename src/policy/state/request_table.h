/// The requests that are not over, and how many have come.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "policy/state/decaying_value.h"
#include "policy/state/request.h"

namespace marblehub::policy {

struct RequestTable {
  std::map<std::uint64_t, Request> requests;  // by id
  std::set<std::uint64_t> waiting;            // not answered yet, and some that were since the last sweep

  double total_count = 0;      // since the start, those that come back too
  DecayingValue recent_count;  // the same, decaying

  /// The request whose attempt of this number, from 0, is in flight; null: there is none.
  Request* find_in_flight(std::uint64_t id, int attempt) {
    auto it = requests.find(id);
    if (it == requests.end()) return nullptr;
    Request& request = it->second;
    return request.in_flight && request.attempts == attempt + 1 ? &request : nullptr;
  }

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
