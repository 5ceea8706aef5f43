#include "net/stream.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace marblehub::net {
namespace {

constexpr std::size_t kReadAtOnce = 16 * 1024;
constexpr Time kLinger = 1'000'000, kBriefLinger = 200'000;
// A peer that has been answered and goes on sending at full speed is read no further than this.
constexpr std::size_t kDiscarded = 256 * 1024;

}  // namespace

Stream::Stream(Loop& loop, Handler& handler)
    : loop_(loop),
      handler_(&handler),
      io_(loop, [this](int events) { on_io(events); }),
      linger_(loop, [this] { release(); }) {}

void Stream::adopt(Fd fd) {
  fd_ = std::move(fd);
  accepted_ = true;
  int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  state_ = State::open;
  watch();
}

void Stream::connect(const sockaddr_in& to, std::size_t reserve) {
  if (Fd::left(reserve) > 0 || reclaim())
    fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  state_ = State::connecting;
  if (!fd_) {
    broken_ = unsent_ = true;
    io_.feed(EV_WRITE);
    return;
  }
  int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    broken_ = true;
    unsent_ = errno == EADDRNOTAVAIL || errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
    io_.feed(EV_WRITE);
    return;
  }
  watch();
}

bool Stream::has_unread() const {
  pollfd input{fd_.get(), POLLIN, 0};
  return ::poll(&input, 1, 0) > 0;
}

void Stream::write(std::string_view bytes) {
  if (broken_ || state_ == State::closed || shut_) return;
  out_.append(bytes);
  if (state_ == State::open) flush();
}

void Stream::flush() {
  while (sent_ < out_.size()) {
    ssize_t n = ::send(fd_.get(), out_.data() + sent_, out_.size() - sent_, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) {  // the writer is inside its own call: the loop tells it
      broken_ = true;
      io_.stop();  // the socket stays readable: on hold, the loop would call again and again
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
  if (!out_.empty()) wrote_all_ = false;
  watch();
}

bool Stream::peer_ended() const {
  if (state_ != State::open) return state_ == State::closed;
  if (broken_) return true;
  pollfd asked{fd_.get(), POLLIN | POLLRDHUP, 0};
  if (::poll(&asked, 1, 0) <= 0) return false;
  if (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) return true;
  // Where the system knows no POLLRDHUP, an end that is next to be read is seen all the same.
  char next;
  return (asked.revents & POLLIN) && ::recv(fd_.get(), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Stream::set_reading(bool on) {
  reading_ = on;
  if (state_ != State::open) return;
  if (broken_ && on) return io_.feed(EV_READ);
  watch();
}

void Stream::watch() {
  if (broken_) return;  // starting the watcher again would lose the event that tells of it
  if (state_ == State::connecting) return io_.start(fd_.get(), EV_WRITE);
  if (state_ != State::open) return;
  // Also when a later write has taken the last of it along: `drained` is told by the loop only.
  bool writing = !out_.empty() || !wrote_all_;
  io_.start(fd_.get(), (reading_ ? EV_READ : 0) | (writing ? EV_WRITE : 0));
}

void Stream::fail(CloseKind ending) {
  if (lingering_ && ending == CloseKind::orderly && !out_.empty()) {  // it sends no more but may still read
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
  if (broken_ && (state_ == State::connecting || lingering_)) return fail(CloseKind::aborted);
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
  if ((events & EV_WRITE) && !broken_) {
    flush();
    if (out_.empty() && !wrote_all_) {
      wrote_all_ = true;
      watch();
      if (lingering_) {
        settle();
      } else if (handler_) {
        handler_->drained();
      }
    }
  }
  if ((events & EV_READ) && state_ == State::open) read_some();
}

// The end that lies behind the last bytes is found with them, so that no timer comes between the two.
void Stream::read_some() {
  bool drained = read_once();
  if (drained && state_ == State::open && handler_ && reading_) read_once();
}

// A peer may say its last lines and reset the connection in the moment in which something is written to it.
// The write fails then, and the lines that have come are read before the end is told. True where less came
// than is read at once.
bool Stream::read_once() {
  if (broken_) {
    if (!reading_) return false;  // read_on looks again
    io_.feed(EV_READ);            // there may be more than is read at once
  }
  char buffer[kReadAtOnce];
  ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
  bool nothing_yet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  if (nothing_yet && !broken_) return false;
  if (n <= 0) {
    fail(n == 0 && !broken_ ? CloseKind::orderly : CloseKind::aborted);
    return false;
  }
  if (handler_) {
    handler_->received(std::string_view(buffer, static_cast<std::size_t>(n)));
    return static_cast<std::size_t>(n) < sizeof buffer;
  }
  discarded_ += static_cast<std::size_t>(n);
  if (discarded_ > kDiscarded) release();
  return false;
}

// What has come for nobody is read, so that a close does not reset the connection.
void Stream::discard() {
  char buffer[kReadAtOnce];
  while (discarded_ <= kDiscarded) {
    ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n <= 0) return;
    discarded_ += static_cast<std::size_t>(n);
  }
}

void Stream::spare(bool on) {
  if (spare_place_) {
    spare_.erase(*std::exchange(spare_place_, std::nullopt));
    all_lingering_ -= lingering_;
  }
  if (!on) return;
  spare_place_ = spare_.insert(spare_.end(), this);
  all_lingering_ += lingering_;
}

bool Stream::cut_linger() {
  auto done = std::find_if(spare_.begin(), spare_.end(),
                           [](const Stream* s) { return s->lingering_ && s->out_.empty(); });
  if (done == spare_.end()) return false;
  Stream& stream = **done;
  stream.discard();
  stream.release();
  return true;
}

bool Stream::reclaim() {
  if (cut_linger()) return true;
  auto resting = std::find_if(spare_.begin(), spare_.end(), [](const Stream* s) { return !s->lingering_; });
  if (resting == spare_.end()) return false;
  Stream& stream = **resting;
  stream.spare(false);
  stream.fail(CloseKind::aborted);
  return true;
}

void Stream::settle() {
  if (shut_ || !out_.empty()) return;
  shut_ = true;
  ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::finish(std::unique_ptr<Stream> stream) { linger(std::move(stream), kLinger); }

void Stream::turn_away(std::unique_ptr<Stream> stream) { linger(std::move(stream), kBriefLinger); }

void Stream::drop(std::unique_ptr<Stream> stream) {
  if (!stream) return;
  stream->handler_ = nullptr;
  stream->spare(false);
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
  if (s.state_ != State::open || s.broken_) return drop(std::move(stream));
  s.spare(false);
  s.lingering_ = true;
  // A client must be able to read its last line; a worker need not take note of the end, only of the bytes.
  bool awaited = s.accepted_ || !s.out_.empty();
  s.loop_.keep(std::shared_ptr<Stream>(std::move(stream)), awaited);
  s.reading_ = true;
  s.watch();
  s.settle();
  s.spare(true);
  s.linger_.start(span);
}

void Stream::reset(std::unique_ptr<Stream> stream) {
  if (!stream) return;
  struct linger hard {
    1, 0
  };
  if (stream->fd_) setsockopt(stream->fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  drop(std::move(stream));
}

void Stream::end(std::unique_ptr<Stream> stream, CloseKind ending) {
  if (ending == CloseKind::orderly) return finish(std::move(stream));
  reset(std::move(stream));
}

void Stream::release() {
  state_ = State::closed;
  spare(false);
  io_.stop();
  linger_.stop();
  fd_.reset();
  loop_.release(this);
}

}  // namespace marblehub::net
