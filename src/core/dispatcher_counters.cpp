#include "core/dispatcher_counters.h"

#include <array>

namespace marblehub::core {
namespace {

// Names of metric labels and in the log, by Outcome.
constexpr std::array<const char*, 8> kOutcomeNames = {"served",         "error", "full",      "timeout",
                                                      "connect_failed", "reset", "cancelled", "not_sent"};
// By MoveReason.
constexpr std::array<const char*, 8> kMoveReasonNames = {"draining", "down",    "overwhelmed", "late",
                                                         "silent",   "balance", "routes",      "restart"};
// By policy::Health.
constexpr std::array<const char*, 3> kHealthNames = {"ready", "draining", "gone"};
// By RejectReason; `held` is RejectReason::expired.
constexpr std::array<const char*, 4> kRejectReasonNames = {"admission", "held", "attempts_failed",
                                                           "list_unconfirmed"};

// The counter of one kind of final answer.
Counter& answer_counter(Counters& counters, const char* answer) {
  return counters.counter("marblehub_answers_total", "Final answers to clients", {{"answer", answer}});
}

}  // namespace

const char* name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }
const char* name_of(MoveReason reason) { return kMoveReasonNames[static_cast<std::size_t>(reason)]; }
const char* name_of(policy::Health health) { return kHealthNames[static_cast<std::size_t>(health)]; }

DispatcherCounters::DispatcherCounters(Counters& counters)
    : calls(counters.counter("marblehub_calls_total", "Calls taken from clients")),
      adopted(counters.counter("marblehub_adopted_total",
                               "Standing connections taken over from another balancer")),
      served(answer_counter(counters, "served")),
      rejected(answer_counter(counters, "overload")),
      failed(answer_counter(counters, "failed")),
      clients_left(
          counters.counter("marblehub_clients_left_total", "Clients that left before they were answered")),
      deadline_answers(
          counters.counter("marblehub_deadline_answers_total", "Calls answered only at their deadline")),
      attempts(counters.counter("marblehub_attempts_total", "Attempts begun")),
      moves(counters.counter("marblehub_moves_total", "Clients told to move")),
      silent_moves(
          counters.counter("marblehub_silent_moves_total", "Clients moved because their worker fell silent")),
      slow_updates(counters.counter("marblehub_slow_message_notes_total",
                                    "Notes that messages at a worker take long, or no longer do")),
      probes(counters.counter("marblehub_probes_total", "Probes sent")),
      lists(counters.counter("marblehub_registry_answers_total", "Lists and changes told by the registry")),
      list_failures(counters.counter("marblehub_registry_failures_total", "Registry calls that failed")),
      list_unreachable(counters.counter("marblehub_registry_unreachable_total",
                                        "Registry calls that failed because it could not be connected to")),
      drain_stops(counters.counter("marblehub_drain_stops_total",
                                   "Attempts stopped because their worker had begun to leave")),
      repeated_ids(counters.counter("marblehub_repeated_ids_total",
                                    "Calls failed because one of the same id may have been executed")),
      established(counters.gauge("marblehub_connections", "Connections that stand")),
      waiting(counters.gauge("marblehub_calls_waiting", "Calls not yet answered")),
      workers_down(counters.gauge("marblehub_workers_down", "Listed workers marked down")),
      list_confirmed(counters.gauge("marblehub_list_confirmed",
                                    "1 once the registry has answered since the start, else 0")) {
  for (const char* name : kOutcomeNames)
    attempt_results_.push_back(&counters.counter("marblehub_attempt_results_total",
                                                 "How attempts ended, standing ones included",
                                                 {{"outcome", name}}));
  for (const char* name : kOutcomeNames)
    probe_results_.push_back(
        &counters.counter("marblehub_probe_results_total", "How probes ended", {{"outcome", name}}));
  // These break down marblehub_moves_total, and the policy's part of the `overload` answers in
  // marblehub_answers_total.
  for (const char* name : kMoveReasonNames)
    move_reasons_.push_back(&counters.counter("marblehub_move_reasons_total", "Clients told to move, by why",
                                              {{"reason", name}}));
  for (const char* name : kRejectReasonNames)
    rejections_.push_back(&counters.counter(
        "marblehub_rejections_total", "Calls that the policy has rejected, by why", {{"reason", name}}));
}

}  // namespace marblehub::core
