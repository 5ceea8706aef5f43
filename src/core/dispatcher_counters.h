/// The dispatcher's metrics.
#pragma once

#include <vector>

#include "core/counters.h"
#include "core/ports.h"

namespace marblehub::core {

/// Names used in metrics and log lines.
const char* name_of(Outcome outcome);
const char* name_of(MoveReason reason);
const char* name_of(policy::Health health);

/// References to the metrics, which are registered at construction and owned by `counters`.
struct DispatcherCounters {
  explicit DispatcherCounters(Counters& counters);

  Counter& attempt_result(Outcome outcome) { return *attempt_results_[static_cast<std::size_t>(outcome)]; }
  Counter& probe_result(Outcome outcome) { return *probe_results_[static_cast<std::size_t>(outcome)]; }

  Counter& move_reason(MoveReason reason) { return *move_reasons_[static_cast<std::size_t>(reason)]; }
  Counter& rejection(policy::RejectReason reason) { return *rejections_[static_cast<std::size_t>(reason)]; }

  Counter &calls, &adopted, &served, &rejected, &failed, &clients_left, &deadline_answers, &attempts, &moves,
      &silent_moves, &slow_updates, &probes, &lists, &list_failures, &list_unreachable, &drain_stops,
      &repeated_ids;
  Counter &established, &waiting, &workers_down, &list_confirmed;  // gauges

 private:
  std::vector<Counter*> attempt_results_, probe_results_;  // by Outcome
  std::vector<Counter*> move_reasons_;                     // by MoveReason
  std::vector<Counter*> rejections_;                       // by RejectReason
};

}  // namespace marblehub::core
