// What is known of the datagrams of one attempt: whether its worker can have processed any of them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "quic/packet.h"

namespace marblehub::quic {

/// The client's first flight, and what became of it in the attempt in flight, which begins by sending all
/// datagrams that have come so far. Each datagram counts as arrived until something proves the opposite.
class Delivery {
 public:
  /// Adds a datagram of the client. Only the first ones are kept for further attempts.
  void add(std::string_view datagram);
  const std::vector<std::string>& flight() const { return flight_; }
  /// Frees the flight of a call that has no further attempt.
  void clear_flight() { flight_ = {}; }

  /// A new attempt begins.
  void begin_attempt();
  /// Datagrams of the attempt were sent.
  void count_sent(std::size_t datagrams) { sent_ += datagrams; }
  /// A datagram of the attempt has met a closed port.
  void count_returned() { returned_ += 1; }
  /// The worker has answered with a Retry, to which the client will reply with an Initial of its own.
  void retry_received();

  /// Whether certainly no datagram of the attempt had an effect at the worker.
  bool none_arrived() const { return returned_ >= sent_; }
  /// Whether the client has sent an Initial again that the worker had been sent before. A reply of a worker
  /// that does not know the call then proves nothing: another process of the worker may have processed the
  /// datagrams of before.
  bool client_has_repeated() const;

 private:
  std::vector<std::string> flight_;
  bool overflowed_ = false;  // datagrams were not kept
  std::size_t sent_ = 0, returned_ = 0;
  // Positions in the flight: of the first datagram that a Retry has not answered, and behind those that were
  // sent when the attempt began.
  std::size_t first_ = 0, begun_with_ = 0;
};

}  // namespace marblehub::quic
