// The rules that every run is held to, checked from what the model itself knows, not from what the balancer
// believes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/lanes.h"

namespace marblehub::model {

enum class Rule {
  one_answer,      // exactly one final answer a call
  in_time,         // and before the client gives up
  one_at_a_time,   // no two attempts of a call are out at once
  four_attempts,   // no more than the scenario allows, four at most
  drained,         // nothing new to a worker 250 ms after its drain or end was told
  cold_fell,       // no cold worker pushed over
  floor,           // no client moved for balance twice within the floor
  balancer_limit,  // moves for balance of one balancer in any minute
  fleet_limit,     // of all balancers in any minute
};
constexpr int kRules = 9;
constexpr Time kDrainBound = 250 * kMillisecond;

inline const char* name_of(Rule rule) {
  static const char* const names[kRules] = {"one answer", "in time",        "one at a time",
                                            "attempts",   "drained",        "cold fell",
                                            "floor",      "balancer limit", "fleet limit"};
  return names[static_cast<int>(rule)];
}

class Rules {
 public:
  void broken(Rule rule, Time when, const std::string& how) {
    counts_[static_cast<std::size_t>(rule)] += 1;
    if (first_.size() < 20) first_.push_back({rule, when, how});
  }
  struct Breach {
    Rule rule;
    Time when;
    std::string how;
  };
  void add(const Rules& other) {
    for (std::size_t i = 0; i < kRules; ++i) counts_[i] += other.counts_[i];
    for (const Breach& breach : other.first_)
      if (first_.size() < 20) first_.push_back(breach);
  }
  long count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  long all() const {
    long sum = 0;
    for (long n : counts_) sum += n;
    return sum;
  }
  const std::vector<Breach>& first() const { return first_; }

 private:
  long counts_[kRules] = {};
  std::vector<Breach> first_;
};

// The most that fell within any `span`, of times in order. [t, t + span) for every t among them.
inline std::size_t most_within(const std::vector<Time>& times, Time span) {
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= span) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}

}  // namespace marblehub::model
