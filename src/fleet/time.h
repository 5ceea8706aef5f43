// What every part of the fleet reckons with. All machines here are free of I/O, clock and chance: time, seeds
// and what arrived are handed in, what is to be sent is handed out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "marblehub/policy.h"

namespace marblehub::fleet {

using marblehub::policy::Time;  // microseconds of the fleet's clock: the system's time at start, carried on
                                // steadily

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;

// Something to hand to another member. `part` is whose message it is; bodies are made and read by that part.
enum class Component : std::uint8_t { view = 1, record = 2, wallet = 3 };
enum class Transport : std::uint8_t { datagram, stream };  // a stream is opened for it where none stands

struct Outgoing {
  std::string to;  // a member's name; for a seed not yet met, "@" and its address
  Component component = Component::view;
  Transport transport = Transport::datagram;
  std::string body;  // at most 1,200 octets on a datagram, 1 MiB on a stream
};

using Outbox = std::vector<Outgoing>;

}  // namespace marblehub::fleet
