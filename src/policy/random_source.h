/// The balancer's own random numbers: the same seed gives the same decisions.
#pragma once

#include <cstdint>
#include <random>

#include "marblehub/policy.h"

namespace marblehub::policy {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// 64 random bits.
  std::uint64_t bits() { return engine_(); }

  /// Evenly from 0 to 1, 1 excluded.
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

  /// Evenly from 0 to `most`.
  Time up_to(Time max) { return static_cast<Time>(uniform() * static_cast<double>(max)); }

  /// Evenly from three quarters to five quarters of `mean`, so that balancers do not act in step.
  Time jittered(Time mean) { return 3 * mean / 4 + up_to(mean / 2); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace marblehub::policy
