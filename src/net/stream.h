/// Non-blocking TCP connections with a write buffer, closed by FIN or by a reset.
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

/// Unsent bytes of one side of a call above which the other side is no longer read.
constexpr std::size_t kMaxBacklogBytes = 64 * 1024;

/// A non-blocking TCP connection. Bytes that the system does not accept are buffered. Events, including
/// failures, are reported by the event loop, not from within write, connect or set_reading on the same
/// stream.
class Stream {
 public:
  /// Receives the events of a stream. Must live until the stream is destroyed or passed to finish, drop or
  /// reset.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void connected() {}
    virtual void received(std::string_view bytes) = 0;
    virtual void drained() {}                  ///< the write buffer, filled by an earlier write, is empty
    virtual void ended(CloseKind ending) = 0;  ///< the peer closed, or a connect failed
  };

  Stream(Loop& loop, Handler& handler);
  ~Stream() { set_reclaimable(false); }

  void adopt(Fd fd);  ///< takes over an accepted connection
  /// Reads what has already arrived, without waiting for the loop. Only after adopt or once connected.
  void read_now() { on_io(EV_READ); }
  /// Starts to connect; a failure is reported by Handler::ended. If no descriptor is available, a reclaimable
  /// connection is closed for it. `reserve` is the number of reserved descriptors that this connect may use.
  void connect(const sockaddr_in& to, std::size_t reserve = 0);
  bool has_unread_input() const;       ///< whether bytes or the peer's end have arrived unread
  void write(std::string_view bytes);  ///< buffers what the system does not accept at once
  void set_reading(bool on);           ///< turns reading off or on again
  /// The written bytes that the system has not accepted; after an ending, those it never did.
  std::size_t backlog() const { return out_.size() - sent_; }
  /// Whether the peer has closed its side, even behind bytes that are not read yet, as far as the system
  /// reports it. Reads nothing.
  bool peer_ended() const;
  /// Reads this stream before others that are ready in the same iteration. Call it before adopt or connect.
  void set_read_priority() { io_.priority(1); }
  /// Whether a connect failed for lack of local resources, such as descriptors or ports.
  bool failed_locally() const { return failed_locally_; }

  /// Marks an idle connection, kept only to save a later connect, as one that may be closed to free a
  /// descriptor. Its handler is notified by `ended` in that case.
  void set_reclaimable(bool on);
  /// The number of streams already finished whose descriptors are open until the peer has read all bytes.
  static std::size_t lingering() { return lingering_count_; }
  /// Frees a descriptor: closes the oldest lingering connection that has sent all its bytes, or else the
  /// oldest reclaimable one. Returns false if there is neither.
  static bool reclaim();

  /// Ends the stream for its handler: sends the buffered bytes, then FIN, and stays open briefly, because a
  /// close with unread input would make the kernel send a reset that can overtake the last line.
  static void finish(std::unique_ptr<Stream> stream);
  /// Like finish, with a shorter linger time, for rejected peers.
  static void finish_briefly(std::unique_ptr<Stream> stream);
  /// Closes at once and frees the descriptor; bytes already passed to the system are still sent.
  static void drop(std::unique_ptr<Stream> stream);
  static void reset(std::unique_ptr<Stream> stream);                  ///< closes at once with a TCP reset
  static void end(std::unique_ptr<Stream> stream, CloseKind ending);  ///< finish or reset

 private:
  /// The state of the connection; idle: not connected yet.
  enum class State { idle, connecting, open, closed };

  void on_io(int events);
  void read_some();
  bool read_once();
  void flush();
  void fail(CloseKind ending);
  void watch();
  void shut_down_writes();
  void discard();
  static bool close_drained_linger();
  static void linger(std::unique_ptr<Stream> stream, Time span);
  void release();

  Loop& loop_;
  Handler* handler_;
  Fd fd_;
  IoWatch io_;
  TimerWatch linger_timer_;
  State state_ = State::idle;
  bool reading_ = true, write_shut_down_ = false, failed_locally_ = false;
  bool failed_ = false;         // nothing more can be sent; input that has arrived is still read
  bool drain_reported_ = true;  // false from a partial write until `drained` is called
  std::string out_;
  std::size_t sent_ = 0;
  std::size_t discarded_ = 0;  // read while lingering, without a handler
  bool lingering_ = false;     // has no handler any more; the loop owns it until it is closed
  bool accepted_ = false;      // the peer initiated the connection
  static inline std::size_t lingering_count_ = 0;
  static inline std::list<Stream*> reclaimable_;  // the oldest first
  std::optional<std::list<Stream*>::iterator> reclaimable_position_;
};

}  // namespace marblehub::net
