// The rules that every run is held to, checked from what the model itself knows, not from what the balancer
// believes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/engine.h"

namespace marblehub::model {

enum class Rule {
  one_answer,              // exactly one final answer a call
  answer_in_time,          // and before the client gives up
  one_attempt_at_a_time,   // no two attempts of a call are out at once
  attempt_limit,           // no more than the scenario allows, four at most
  no_attempt_after_drain,  // nothing new to a worker 250 ms after its drain or end was told
  cold_crash,              // no cold worker pushed over
  move_interval,           // no client moved for balance twice within the floor
  balancer_limit,          // moves for balance of one balancer in any minute
  fleet_limit,             // of all balancers in any minute
};
constexpr int kRuleCount = 9;
constexpr Time kDrainGracePeriod = 250 * kMillisecond;

inline const char* name_of(Rule rule) {
  static const char* const names[kRuleCount] = {"one answer", "in time",        "one at a time",
                                                "attempts",   "drained",        "cold fell",
                                                "floor",      "balancer limit", "fleet limit"};
  return names[static_cast<int>(rule)];
}

class RuleViolations {
 public:
  void record(Rule rule, Time when, const std::string& detail) {
    counts_[static_cast<std::size_t>(rule)] += 1;
    if (first_violations_.size() < 20) first_violations_.push_back({rule, when, detail});
  }
  struct Violation {
    Rule rule;
    Time when;
    std::string detail;
  };
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

// The most that fell within any `span`, of times in order. [t, t + span) for every t among them.
inline std::size_t max_count_within(const std::vector<Time>& times, Time span) {
  std::size_t max_count = 0;
  for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= span) ++from;
    max_count = std::max(max_count, to - from + 1);
  }
  return max_count;
}

}  // namespace marblehub::model
