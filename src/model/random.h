/// Random numbers of the model: one stream per entity and purpose, so that a change in one stream does not
/// shift the draws of the others. The generator is Philox4x32-10 of the Random123 library (Salmon et al.,
/// "Parallel Random Numbers: As Easy as 1, 2, 3", SC11, section 3.3): a draw is a function of seed, purpose,
/// entity and count, without shared state.
#pragma once

#include <Random123/philox.h>

#include <cmath>
#include <cstdint>

namespace marblehub::model {

/// The purpose of a stream. The values are part of the generator's input: they determine the results.
enum class Purpose : std::uint32_t {
  client = 1,
  arrival = 2,
  network = 3,
  worker = 5,
  report = 7,
  placement = 8,
  choice = 9,
  policy = 11
};

/// A stream of random numbers.
class RandomStream {
 public:
  /// `count` is the number of draws so far: with it an entity resumes its stream at another balancer.
  RandomStream(std::uint64_t seed, Purpose purpose, std::uint64_t entity, std::uint32_t count = 0)
      : key_{{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)}},
        entity_(entity),
        purpose_(static_cast<std::uint32_t>(purpose)),
        count_(count) {}

  std::uint32_t count() const { return count_; }
  /// The next 64 random bits.
  std::uint64_t bits() {
    r123::Philox4x32::ctr_type at = {
        {count_++, purpose_, static_cast<std::uint32_t>(entity_), static_cast<std::uint32_t>(entity_ >> 32)}};
    at = r123::Philox4x32()(at, key_);
    return static_cast<std::uint64_t>(at[0]) << 32 | at[1];
  }
  double uniform() { return static_cast<double>(bits() >> 11) * 0x1p-53; }  // [0, 1)
  /// Uniform in [low, high).
  double between(double low, double high) { return low + (high - low) * uniform(); }
  /// Uniform in [0, n).
  std::uint64_t below(std::uint64_t n) {
    return static_cast<std::uint64_t>(uniform() * static_cast<double>(n));
  }
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }
  /// Standard normal, by the Box-Muller transform.
  double normal() {
    double u = 1 - uniform(), v = uniform();
    return std::sqrt(-2 * std::log(u)) * std::cos(6.283185307179586 * v);
  }
  /// Log-normal with mean 1; `sigma` is the standard deviation of the logarithm.
  double lognormal(double sigma) { return std::exp(sigma * normal() - sigma * sigma / 2); }

 private:
  r123::Philox4x32::key_type key_;
  std::uint64_t entity_;
  std::uint32_t purpose_, count_;
};

}  // namespace marblehub::model
