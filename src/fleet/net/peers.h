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

constexpr std::size_t kStreamQueue =
    2 * kMaxStreamMessageBytes;             // octets unsent to one peer; more are dropped
constexpr std::size_t kStreamsMost = 1024;  // of others
constexpr std::size_t kUnprovenMost = 64;   // of others that have not shown the key yet
constexpr Time kUnproven = 5 * kSecond;     // until a stream must have shown it
constexpr Time kConnectWithin = 2 * kSecond, kStalled = 10 * kSecond, kIdle = 60 * kSecond;
constexpr Time kAfterFailure = 200 * kMillisecond;  // a peer that could not be reached is left alone so long

class Peers {
 public:
  struct Heard {
    std::function<bool(std::string_view octets)> frame;  // false: it did not verify, and the stream ends
    std::function<void(const char* reason)> dropped;
  };
  Peers(net::Loop& loop, const sockaddr_in& listen, Heard heard);  // throws std::runtime_error
  ~Peers();

  void send(const sockaddr_in& to, std::string_view sealed);
  void flush_and_close();  // at the end: what is queued goes out in order
  std::size_t outgoing() const { return outgoing_.size(); }
  std::size_t incoming() const { return incoming_.size(); }

 private:
  struct Out;
  struct In;
  void accept();
  void sweep();
  void listen_again();

  net::Loop& loop_;
  Heard heard_;
  net::Fd listener_;
  net::IoWatch accepting_;
  net::TimerWatch sweep_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, std::unique_ptr<Out>> outgoing_;
  std::map<In*, std::unique_ptr<In>> incoming_;
  std::size_t unproven_ = 0;
};

}  // namespace marblehub::fleet
