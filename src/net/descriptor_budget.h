// How many descriptors the program may still open. The platform allows so many; clients that only hold one,
// or that send what cannot be read, must never take those that calls, probes and the registry need.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/loop.h"

namespace marblehub::net {

// Kept for a client that is only told BUSY or PONG: while calls hold all others, those that come would have
// no answer at all, and the front would take this balancer for dead.
constexpr std::size_t kAnswerReserve = 1;
// The registry has one connection beside that. Without it a drain would not be heard of, however many calls
// are served.
constexpr std::size_t kRegistryReserve = kAnswerReserve + 1;

class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::int64_t limit);
  // From the configuration, at start and on reload. What the system allows is a bound as well.
  void set_limit(std::int64_t most);

  bool exhausted() const { return Fd::left() == 0; }
  bool may_accept() const { return Fd::left(kAnswerReserve) > 0; }
  // The last eighth is kept for those who have asked: whoever has not asked yet gives way.
  // Connections that only linger after their end do not count: they are closed when a descriptor is needed.
  bool is_low() const;
  // Whether there is a descriptor for one more, with a spare connection closed for it if need be.
  bool make_one_available();

 private:
  std::size_t limit_ = 0;
  const std::size_t own_;  // open since before the first socket, and the loop's
};

}  // namespace marblehub::net
