/// Memory of calls that a worker may have executed although their client got no answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <utility>

#include "core/ports.h"

namespace marblehub::core {

/// Recognizes a call that comes again after its client has left or its attempt has failed, and that must not
/// be executed a second time. Holds a bounded number of calls, the oldest of which are forgotten first.
class ExecutedCalls {
 public:
  /// How long a call is remembered, in microseconds.
  static constexpr Time kRetention = 60'000'000;
  static constexpr std::size_t kMaxCalls = 65'536;

  /// `identity` is Call::identity; 0 is ignored.
  void add(std::uint64_t identity, Time now);
  bool contains(std::uint64_t identity, Time now);
  std::size_t size() const { return identities_.size(); }

 private:
  void forget_until(Time time);
  void forget_oldest();

  std::unordered_set<std::uint64_t> identities_;
  std::deque<std::pair<Time, std::uint64_t>> by_age_;  // the oldest first
};

}  // namespace marblehub::core
