/// What is known of the attempts of one request: whether any of them may have been executed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// Whether an attempt, or any attempt of a request, has been executed.
enum class Execution { not_sent, proved_not_run, may_have_run };

/// The attempts of one request, of which at most one is in flight. The only place where it is decided whether
/// a request may have been executed. An attempt in flight may have been, until its outcome proves otherwise.
class AttemptHistory {
 public:
  /// An attempt that was submitted. A backend that changes its zone or cell later takes no part in the
  /// deduplication of this attempt, so both are those of the time at which it was submitted.
  struct Attempt {
    int backend = -1;  // index
    Time sent_at = 0;
    std::string zone = {};
    std::int64_t cell = -1;  // -1: none
  };

  void begin(Attempt attempt) {
    latest_ = std::move(attempt);
    in_flight_ = true;
  }

  /// Records how the attempt in flight has ended.
  void end(Outcome outcome) {
    in_flight_ = false;
    ended_any_ = true;
    if (!proves_not_run(outcome) && !first_possible_run_) first_possible_run_ = latest_;
  }

  bool in_flight() const { return in_flight_; }

  Execution execution() const {
    if (in_flight_ || first_possible_run_) return Execution::may_have_run;
    return ended_any_ ? Execution::proved_not_run : Execution::not_sent;
  }

  /// The first of the ended attempts that may have been executed.
  const std::optional<Attempt>& first_possible_run() const { return first_possible_run_; }

 private:
  Attempt latest_;
  std::optional<Attempt> first_possible_run_;
  bool in_flight_ = false, ended_any_ = false;
};

}  // namespace marblehub::policy
