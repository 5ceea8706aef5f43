// How many descriptors the program may still open. The platform allows so many; clients that only hold one,
// or that send what cannot be read, must never take those that calls, probes and the registry need.
#pragma once

#include <cstddef>
#include <cstdint>

namespace marblehub::net {

class Room {
 public:
  explicit Room(std::int64_t limit);
  // From the configuration, at start and on reload. What the system allows is a bound as well.
  void limit(std::int64_t most);

  std::size_t left() const;
  // Part kept for those who have asked: below it, whoever has not asked yet gives way.
  std::size_t reserve() const { return limit_ / 8; }
  bool none() const { return left() == 0; }
  bool scarce() const { return left() <= reserve(); }

 private:
  std::size_t limit_ = 0;
  const std::size_t own_;  // open since before the first socket, and the loop's
};

}  // namespace marblehub::net
