/// The fleet's TCP streams. A frame is a length of four bytes in network order, followed by a sealed message
/// of that many bytes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fleet/time.h"
#include "fleet/wire/envelope.h"
#include "net/loop.h"
#include "net/stream.h"

namespace marblehub::fleet {

/// Unsent bytes queued for one peer. Messages beyond that are dropped.
constexpr std::size_t kMaxStreamQueueBytes = 2 * kMaxStreamMessageBytes;
constexpr std::size_t kMaxIncomingStreams = 1024;
/// Incoming streams without a verified frame yet, and the time in which the first must arrive.
constexpr std::size_t kMaxUnverifiedStreams = 64;
constexpr Time kVerifyTimeout = 5 * kSecond;
constexpr Time kConnectTimeout = 2 * kSecond, kStallTimeout = 10 * kSecond, kIdleTimeout = 60 * kSecond;
/// After a failure no connection to that peer is attempted for so long.
constexpr Time kReconnectDelay = 200 * kMillisecond;

/// Owns one outgoing stream to each peer that is sent something, and the incoming streams of peers. Sending
/// never blocks: messages to a peer that does not read are dropped. Idle streams are closed.
class PeerStreams {
 public:
  /// Called on the loop's thread.
  struct Callbacks {
    std::function<bool(std::string_view bytes)> on_frame;  ///< false: not verified, the stream is closed
    std::function<void(const char* reason)> on_drop;       ///< reason: a label of the drop counter
  };
  /// Throws std::runtime_error if the address cannot be bound.
  PeerStreams(net::Loop& loop, const sockaddr_in& listen, Callbacks callbacks);
  ~PeerStreams();

  /// Queues a message as one frame, and connects to the peer if needed.
  void send(const sockaddr_in& to, std::string_view sealed);
  /// Closes the listener and all outgoing streams after what is queued on them has been sent.
  void flush_and_close();
  std::size_t outgoing() const { return outgoing_.size(); }
  std::size_t incoming() const { return incoming_.size(); }

 private:
  struct OutgoingStream;
  struct IncomingStream;
  void accept();
  void sweep();
  void start_accepting();

  net::Loop& loop_;
  Callbacks callbacks_;
  net::Fd listener_;
  net::IoWatch accepting_;
  net::TimerWatch sweep_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, std::unique_ptr<OutgoingStream>> outgoing_;
  std::map<IncomingStream*, std::unique_ptr<IncomingStream>> incoming_;
  std::size_t unverified_ = 0;
};

}  // namespace marblehub::fleet
