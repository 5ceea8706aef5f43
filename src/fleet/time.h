/// Types that all components of the fleet share. The state machines of the components perform no I/O, read no
/// clock and draw no entropy: time, seeds and received messages are passed in, outgoing messages are
/// returned.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::fleet {

/// Microseconds of the fleet's clock: the system time at the start of the process, advanced monotonically.
using marblehub::policy::Time;

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;

/// The component that a message belongs to; only that component encodes and decodes the body. The numbers are
/// part of the wire format.
enum class Component : std::uint8_t { view = 1, record = 2, wallet = 3 };
/// How a message is sent. A stream is opened if there is no established one to the member.
enum class Transport : std::uint8_t { datagram, stream };

/// A message to be sent to another member.
struct Outgoing {
  std::string to;  ///< the name of a member, or "@" and the address of a seed whose name is not known yet
  Component component = Component::view;
  Transport transport = Transport::datagram;
  std::string body;  ///< at most 1,200 bytes for a datagram, 1 MiB for a stream
};

/// The messages that one step of a state machine produced, in the order in which they are sent.
using Outbox = std::vector<Outgoing>;

}  // namespace marblehub::fleet
