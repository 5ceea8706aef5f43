/// The rules that every run must keep. They are checked against the state of the simulation, not against the
/// balancers' view of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/engine.h"

namespace marblehub::model {

/// A rule. Several of them concern planner moves: clients moved to even out the load.
enum class Rule {
  one_answer,              // exactly one final answer per call
  answer_in_time,          // the final answer comes before the client times out
  one_attempt_at_a_time,   // at most one attempt of a call is pending
  attempt_limit,           // no more attempts per call than the scenario allows
  no_attempt_after_drain,  // no attempt at a worker 250 ms after its drain or removal was reported
  cold_crash,              // no worker crashes from overload during its slow start
  move_interval,           // no two planner moves of a client within the minimum interval
  balancer_limit,          // planner moves of one balancer in any minute
  fleet_limit,             // planner moves of all balancers in any minute
};
constexpr int kRuleCount = 9;
constexpr Time kDrainGracePeriod = 250 * kMillisecond;

/// The name of a rule in the output.
inline const char* name_of(Rule rule) {
  static const char* const names[kRuleCount] = {"one answer", "in time",        "one at a time",
                                                "attempts",   "drained",        "cold fell",
                                                "floor",      "balancer limit", "fleet limit"};
  return names[static_cast<int>(rule)];
}

/// Counts the violations of each rule and keeps the first ones for the output.
class RuleViolations {
 public:
  /// Counts a violation; the first 20 are kept with their details.
  void record(Rule rule, Time when, const std::string& detail) {
    counts_[static_cast<std::size_t>(rule)] += 1;
    if (first_violations_.size() < 20) first_violations_.push_back({rule, when, detail});
  }
  /// One violation; `detail` names the client or worker, or says what happened.
  struct Violation {
    Rule rule;
    Time when;
    std::string detail;
  };
  /// Adds the violations of another process.
  void add(const RuleViolations& other) {
    for (std::size_t i = 0; i < kRuleCount; ++i) counts_[i] += other.counts_[i];
    for (const Violation& violation : other.first_violations_)
      if (first_violations_.size() < 20) first_violations_.push_back(violation);
  }
  long count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  long total() const {
    long sum = 0;
    for (long n : counts_) sum += n;
    return sum;
  }
  const std::vector<Violation>& first_violations() const { return first_violations_; }

 private:
  long counts_[kRuleCount] = {};
  std::vector<Violation> first_violations_;
};

/// The maximum number of `times` (sorted) in a window [t, t + span), over all t among them.
inline std::size_t max_count_within(const std::vector<Time>& times, Time span) {
  std::size_t max_count = 0;
  for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= span) ++from;
    max_count = std::max(max_count, to - from + 1);
  }
  return max_count;
}

}  // namespace marblehub::model
