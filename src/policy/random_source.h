/// Random numbers of the balancer. The same seed gives the same decisions.
#pragma once

#include <cstdint>
#include <random>

#include "marblehub/policy.h"

namespace marblehub::policy {

/// A seeded generator: the same seed produces the same sequence.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns 64 random bits.
  std::uint64_t bits() { return engine_(); }

  /// Uniform in [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

  /// Uniform between 0 and `max`.
  Time up_to(Time max) { return static_cast<Time>(uniform() * static_cast<double>(max)); }

  /// Uniform between 3/4 and 5/4 of `mean`, so that balancers do not act simultaneously.
  Time jittered(Time mean) { return 3 * mean / 4 + up_to(mean / 2); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace marblehub::policy
