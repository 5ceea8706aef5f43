/// The program's file descriptor limit, with reserves so that idle or misbehaving clients cannot use up the
/// descriptors that calls, probes and the registry need.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/loop.h"

namespace marblehub::net {

/// Descriptors kept for accepting clients that only get BUSY or PONG. Without this reserve the front would
/// get no answer while calls use all other descriptors, and would consider this balancer dead.
constexpr std::size_t kReplyReserve = 1;
/// One more for the connection to the registry, so that drains are reported however many calls are open.
constexpr std::size_t kRegistryReserve = kReplyReserve + 1;

/// Applies the configured descriptor limit to Fd and answers what may still be opened.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::int64_t limit);
  /// Sets the configured limit, at start and on reload; the system's RLIMIT_NOFILE is a bound as well.
  void set_limit(std::int64_t max_open);

  bool exhausted() const { return Fd::available() == 0; }
  /// Whether a client may be accepted, if need be from the reserve for replies.
  bool may_accept() const { return Fd::available(kReplyReserve) > 0; }
  /// Whether at most an eighth of the limit is left; clients that have sent no request are then evicted.
  /// Lingering connections count as free, since they are closed when a descriptor is needed.
  bool is_low() const;
  /// Whether one more descriptor may be opened; closes a reclaimable connection if necessary.
  bool make_one_available();

 private:
  std::size_t limit_ = 0;
  const std::size_t reserved_;  // descriptors outside Fd's count, and the reserves
};

}  // namespace marblehub::net
