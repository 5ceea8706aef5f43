// The fleet's TCP side: one outgoing stream to each peer that something is sent to, and the streams of
// others. A frame is four octets of length, most significant first, and so many sealed octets. All is
// bounded, a peer that does not read makes nobody wait, and what is idle is closed.
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

constexpr std::size_t kMaxStreamQueueBytes =
    2 * kMaxStreamMessageBytes;                    // octets unsent to one peer; more are dropped
constexpr std::size_t kMaxIncomingStreams = 1024;  // of others
constexpr std::size_t kMaxUnverifiedStreams = 64;  // of others that have not shown the key yet
constexpr Time kVerifyTimeout = 5 * kSecond;       // until a stream must have shown it
constexpr Time kConnectTimeout = 2 * kSecond, kStallTimeout = 10 * kSecond, kIdleTimeout = 60 * kSecond;
constexpr Time kReconnectDelay =
    200 * kMillisecond;  // a peer that could not be reached is left alone so long

class PeerStreams {
 public:
  struct Callbacks {
    std::function<bool(std::string_view bytes)> on_frame;  // false: it did not verify, and the stream ends
    std::function<void(const char* reason)> on_drop;
  };
  PeerStreams(net::Loop& loop, const sockaddr_in& listen, Callbacks callbacks);  // throws std::runtime_error
  ~PeerStreams();

  void send(const sockaddr_in& to, std::string_view sealed);
  void flush_and_close();  // at the end: what is queued goes out in order
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
