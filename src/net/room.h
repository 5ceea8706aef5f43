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

  bool none() const { return left() == 0; }
  // The last eighth is kept for those who have asked: whoever has not asked yet gives way.
  bool scarce() const { return left() <= limit_ / 8; }

 private:
  std::size_t left() const;

  std::size_t limit_ = 0;
  const std::size_t own_;  // open since before the first socket, and the loop's
};

}  // namespace marblehub::net
