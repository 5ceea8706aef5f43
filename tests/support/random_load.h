// Seeds and length of tests under random load. A run by hand may set other ones, by these variables of the
// environment:
//   MARBLEHUB_TEST_SEEDS    the first seed and how many, as "FIRST COUNT"
//   MARBLEHUB_TEST_SECONDS  how long each seed is played
#pragma once

#include <cstdint>
#include <cstdlib>
#include <random>
#include <sstream>
#include <vector>

namespace marblehub::test {

/// The seeds to play: `standard`, unless the environment names others.
inline std::vector<std::uint64_t> load_seeds(std::vector<std::uint64_t> standard) {
  const char* text = std::getenv("MARBLEHUB_TEST_SEEDS");
  if (!text) return standard;
  std::istringstream in(text);
  std::uint64_t first = 0, count = 0;
  in >> first >> count;
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t i = 0; i < count; ++i) seeds.push_back(first + i);
  return seeds;
}

/// The length of one play in milliseconds: `standard`, unless the environment names another.
inline std::int64_t load_duration_ms(std::int64_t standard) {
  const char* text = std::getenv("MARBLEHUB_TEST_SECONDS");
  return text ? std::atoll(text) * 1000 : standard;
}

/// Random decisions of a test.
class RandomChoice {
 public:
  explicit RandomChoice(std::uint64_t seed) : engine_(seed) {}
  /// A number from 0 to below `end`, which must be positive.
  std::size_t below(std::size_t end) { return static_cast<std::size_t>(engine_() % end); }
  bool one_in(std::size_t n) { return below(n) == 0; }
  template <class Container>
  auto& of(Container& items) {
    return items[below(std::size(items))];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace marblehub::test
