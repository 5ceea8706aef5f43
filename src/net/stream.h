// A TCP connection that never blocks: what is written is kept until the peer takes it, and it ends in order
// or by a reset, as asked. It is never told of anything from within its own calls.
#pragma once

#include <netinet/in.h>

#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace marblehub::net {

using core::CloseKind;

using config::parse_address;

constexpr std::size_t kMaxBacklogBytes =
    64 * 1024;  // kept for a side that does not read; then the other waits

class Stream {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void connected() {}
    virtual void received(std::string_view bytes) = 0;
    virtual void drained() {}                  // after a write did not go out at once
    virtual void ended(CloseKind ending) = 0;  // the peer's side, or a connect that failed
  };

  Stream(Loop& loop, Handler& handler);
  ~Stream() { spare(false); }

  void adopt(Fd fd);
  void read_now() {
    on_io(EV_READ);
  }  // what has come already, without waiting for the loop; only after adopt
  // A failure is told as an ending. Where no descriptor may be opened, it takes one of what is spare;
  // `reserve` are kept for it beside those that all share.
  void connect(const sockaddr_in& to, std::size_t reserve = 0);
  bool has_unread() const;  // bytes that have come, or the peer's end
  void write(std::string_view bytes);
  void set_reading(bool on);
  // What was written and the system has not taken; after an ending, what it never took.
  std::size_t backlog() const { return out_.size() - sent_; }
  // Whether the peer has ended its side, also where that lies behind bytes that are not read yet. Nothing is
  // read by this; false where the system does not tell.
  bool peer_ended() const;
  // Before adopt or connect: of what is ready in one turn this is read before other streams.
  void read_first() { io_.priority(1); }
  bool unsent() const { return unsent_; }  // a connect that failed here, for want of a descriptor or the like

  // A connection that is kept only to save a later connect. Its handler is told of an ending if it is
  // reclaimed.
  void spare(bool on);
  // How many have been ended here and are open only until their peer has read the last of it.
  static std::size_t lingering() { return all_lingering_; }
  // Frees a descriptor for what is more urgent: of the connections that linger and have sent all the one that
  // has done so for longest is closed, or where there is none one that is spare. False: there is neither.
  static bool reclaim();

  // Ends the stream for its handler. In order: what is left goes out, then FIN, and the peer has a moment to
  // read it; a close with unread input would make the kernel send a reset that overtakes the last line.
  static void finish(std::unique_ptr<Stream> stream);
  // The same for a peer that is turned away: it gets less of our time and descriptors.
  static void turn_away(std::unique_ptr<Stream> stream);
  // Closes at once: what is written goes out, but the descriptor is free right away.
  static void drop(std::unique_ptr<Stream> stream);
  static void reset(std::unique_ptr<Stream> stream);
  static void end(std::unique_ptr<Stream> stream, CloseKind ending);  // the one or the other

 private:
  enum class State { idle, connecting, open, closed };

  void on_io(int events);
  void read_some();
  bool read_once();
  void flush();
  void fail(CloseKind ending);
  void watch();
  void settle();
  void discard();
  static bool cut_linger();
  static void linger(std::unique_ptr<Stream> stream, Time span);
  void release();

  Loop& loop_;
  Handler* handler_;
  Fd fd_;
  IoWatch io_;
  TimerWatch linger_;
  State state_ = State::idle;
  bool reading_ = true, shut_ = false, unsent_ = false;
  bool broken_ = false;    // nothing more can be sent; what has come is still read
  bool wrote_all_ = true;  // false from a write that did not go out at once until `drained` is called
  std::string out_;
  std::size_t sent_ = 0;
  std::size_t discarded_ = 0;  // read from the peer since its handler gave it up
  bool lingering_ = false;     // given up by its handler; the loop keeps it until it is done
  bool accepted_ = false;      // the peer connected to us
  static inline std::size_t all_lingering_ = 0;
  static inline std::list<Stream*> spare_;  // the longest so first
  std::optional<std::list<Stream*>::iterator> spare_place_;
};

}  // namespace marblehub::net
