#include "net/stream.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace marblehub::net {
namespace {

constexpr std::size_t kReadBufferSize = 16 * 1024;
constexpr Time kLingerTime = 1'000'000, kBriefLingerTime = 200'000;
// Input discarded from a lingering connection before it is closed anyway.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;

}  // namespace

Stream::Stream(Loop& loop, Handler& handler)
    : loop_(loop),
      handler_(&handler),
      io_(loop, [this](int events) { on_io(events); }),
      linger_timer_(loop, [this] { release(); }) {}

void Stream::adopt(Fd fd) {
  fd_ = std::move(fd);
  accepted_ = true;
  int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  state_ = State::open;
  watch();
}

void Stream::connect(const sockaddr_in& to, std::size_t reserve) {
  if (Fd::available(reserve) > 0 || reclaim())
    fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  state_ = State::connecting;
  if (!fd_) {
    failed_ = failed_locally_ = true;
    io_.feed(EV_WRITE);
    return;
  }
  int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    failed_ = true;
    failed_locally_ = errno == EADDRNOTAVAIL || errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
    io_.feed(EV_WRITE);
    return;
  }
  watch();
}

bool Stream::has_unread_input() const {
  pollfd input{fd_.get(), POLLIN, 0};
  return ::poll(&input, 1, 0) > 0;
}

void Stream::write(std::string_view bytes) {
  if (failed_ || state_ == State::closed || write_shut_down_) return;
  out_.append(bytes);
  if (state_ == State::open) flush();
}

void Stream::flush() {
  while (sent_ < out_.size()) {
    ssize_t n = ::send(fd_.get(), out_.data() + sent_, out_.size() - sent_, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) {  // reported from the loop, not inside the caller's write
      failed_ = true;
      io_.stop();  // the socket stays readable: with reading off, the loop would spin
      io_.feed(EV_READ);
      return;
    }
    sent_ += static_cast<std::size_t>(n);
  }
  if (sent_ == out_.size()) {
    out_.clear();
    sent_ = 0;
  } else if (sent_ > 64 * 1024) {
    out_.erase(0, sent_);
    sent_ = 0;
  }
  if (!out_.empty()) drain_reported_ = false;
  watch();
}

bool Stream::peer_ended() const {
  if (state_ != State::open) return state_ == State::closed;
  if (failed_) return true;
  pollfd asked{fd_.get(), POLLIN | POLLRDHUP, 0};
  if (::poll(&asked, 1, 0) <= 0) return false;
  if (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) return true;
  // Without POLLRDHUP, the end is only seen once all bytes before it have been read.
  char next;
  return (asked.revents & POLLIN) && ::recv(fd_.get(), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Stream::set_reading(bool on) {
  reading_ = on;
  if (state_ != State::open) return;
  if (failed_ && on) return io_.feed(EV_READ);
  watch();
}

void Stream::watch() {
  if (failed_) return;  // restarting the watcher would lose the pending event that reports it
  if (state_ == State::connecting) return io_.start(fd_.get(), EV_WRITE);
  if (state_ != State::open) return;
  // Also after a later write emptied the buffer, since `drained` is called from the loop only.
  bool writing = !out_.empty() || !drain_reported_;
  io_.start(fd_.get(), (reading_ ? EV_READ : 0) | (writing ? EV_WRITE : 0));
}

void Stream::fail(CloseKind ending) {
  if (lingering_ && ending == CloseKind::orderly &&
      !out_.empty()) {  // the peer sends no more but may still read
    reading_ = false;
    return watch();
  }
  state_ = State::closed;
  io_.stop();
  if (lingering_) return release();
  if (handler_) handler_->ended(ending);
}

void Stream::on_io(int events) {
  if (state_ == State::closed) return;
  if (failed_ && (state_ == State::connecting || lingering_)) return fail(CloseKind::aborted);
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return fail(CloseKind::aborted);
    state_ = State::open;
    flush();
    if (handler_) handler_->connected();
    return;
  }
  if ((events & EV_WRITE) && !failed_) {
    flush();
    if (out_.empty() && !drain_reported_) {
      drain_reported_ = true;
      watch();
      if (lingering_) {
        shut_down_writes();
      } else if (handler_) {
        handler_->drained();
      }
    }
  }
  if ((events & EV_READ) && state_ == State::open) read_some();
}

// Reads twice, so that an end behind the last bytes is found before any timer runs.
void Stream::read_some() {
  bool drained = read_once();
  if (drained && state_ == State::open && handler_ && reading_) read_once();
}

// Reads once; returns whether the input was drained. A peer may send its last lines and reset the connection
// while something is written to it: the write fails, and the lines are read before the end is reported.
bool Stream::read_once() {
  if (failed_) {
    if (!reading_) return false;  // set_reading triggers the next read
    io_.feed(EV_READ);            // there may be more than the buffer holds
  }
  char buffer[kReadBufferSize];
  ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
  bool nothing_yet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  if (nothing_yet && !failed_) return false;
  if (n <= 0) {
    fail(n == 0 && !failed_ ? CloseKind::orderly : CloseKind::aborted);
    return false;
  }
  if (handler_) {
    handler_->received(std::string_view(buffer, static_cast<std::size_t>(n)));
    return static_cast<std::size_t>(n) < sizeof buffer;
  }
  discarded_ += static_cast<std::size_t>(n);
  if (discarded_ > kMaxDiscardedBytes) release();
  return false;
}

// Reads and discards pending input, so that a close does not reset the connection.
void Stream::discard() {
  char buffer[kReadBufferSize];
  while (discarded_ <= kMaxDiscardedBytes) {
    ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n <= 0) return;
    discarded_ += static_cast<std::size_t>(n);
  }
}

void Stream::set_reclaimable(bool on) {
  if (reclaimable_position_) {
    reclaimable_.erase(*std::exchange(reclaimable_position_, std::nullopt));
    lingering_count_ -= lingering_;
  }
  if (!on) return;
  reclaimable_position_ = reclaimable_.insert(reclaimable_.end(), this);
  lingering_count_ += lingering_;
}

bool Stream::close_drained_linger() {
  auto done = std::find_if(reclaimable_.begin(), reclaimable_.end(),
                           [](const Stream* s) { return s->lingering_ && s->out_.empty(); });
  if (done == reclaimable_.end()) return false;
  Stream& stream = **done;
  stream.discard();
  stream.release();
  return true;
}

bool Stream::reclaim() {
  if (close_drained_linger()) return true;
  auto resting =
      std::find_if(reclaimable_.begin(), reclaimable_.end(), [](const Stream* s) { return !s->lingering_; });
  if (resting == reclaimable_.end()) return false;
  Stream& stream = **resting;
  stream.set_reclaimable(false);
  stream.fail(CloseKind::aborted);
  return true;
}

void Stream::shut_down_writes() {
  if (write_shut_down_ || !out_.empty()) return;
  write_shut_down_ = true;
  ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::finish(std::unique_ptr<Stream> stream) { linger(std::move(stream), kLingerTime); }

void Stream::finish_briefly(std::unique_ptr<Stream> stream) { linger(std::move(stream), kBriefLingerTime); }

void Stream::drop(std::unique_ptr<Stream> stream) {
  if (!stream) return;
  stream->handler_ = nullptr;
  stream->set_reclaimable(false);
  stream->state_ = State::closed;
  stream->io_.stop();
  stream->fd_.reset();
  Loop& loop = stream->loop_;
  loop.defer_release(std::shared_ptr<Stream>(std::move(stream)));
}

void Stream::linger(std::unique_ptr<Stream> stream, Time span) {
  if (!stream) return;
  Stream& s = *stream;
  s.handler_ = nullptr;
  if (s.state_ != State::open || s.failed_) return drop(std::move(stream));
  s.set_reclaimable(false);
  s.lingering_ = true;
  // The exit waits until a client has read its last line; for a worker it waits only while bytes are unsent.
  bool awaited = s.accepted_ || !s.out_.empty();
  s.loop_.keep(std::shared_ptr<Stream>(std::move(stream)), awaited);
  s.reading_ = true;
  s.watch();
  s.shut_down_writes();
  s.set_reclaimable(true);
  s.linger_timer_.start(span);
}

void Stream::reset(std::unique_ptr<Stream> stream) {
  if (!stream) return;
  struct linger abort_on_close {
    1, 0
  };
  if (stream->fd_)
    setsockopt(stream->fd_.get(), SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
  drop(std::move(stream));
}

void Stream::end(std::unique_ptr<Stream> stream, CloseKind ending) {
  if (ending == CloseKind::orderly) return finish(std::move(stream));
  reset(std::move(stream));
}

void Stream::release() {
  state_ = State::closed;
  set_reclaimable(false);
  io_.stop();
  linger_timer_.stop();
  fd_.reset();
  loop_.release(this);
}

}  // namespace marblehub::net
