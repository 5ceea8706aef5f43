#include "fleet/net/peers.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace marblehub::fleet {
namespace {

constexpr Time kSweep = 500 * kMillisecond;
constexpr std::size_t kHead = 4;

std::string framed(std::string_view sealed) {
  auto size = static_cast<std::uint32_t>(sealed.size());
  std::string frame;
  frame.reserve(kHead + sealed.size());
  for (int shift = 24; shift >= 0; shift -= 8) frame.push_back(static_cast<char>(size >> shift & 0xff));
  return frame.append(sealed);
}

std::size_t length_in(std::string_view head) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kHead; ++i) size = size << 8 | static_cast<unsigned char>(head[i]);
  return size;
}

}  // namespace

// Nothing is read from it: a peer answers on a stream of its own.
struct Peers::Out final : net::Stream::Handler {
  Out(Peers& o, Time now)
      : owner(o), stream(std::make_unique<net::Stream>(o.loop_, *this)), since(now), used(now) {}
  void connected() override { open = true; }
  void received(std::string_view) override {}
  void drained() override { stalled_since = 0; }
  void ended(net::CloseKind ending) override {
    if (stream->backlog() > 0) owner.heard_.dropped("unreachable");  // once for all of it
    if (ending == net::CloseKind::aborted) failed_at = owner.loop_.now();
    net::Stream::drop(std::move(stream));
  }
  Peers& owner;
  std::unique_ptr<net::Stream> stream;
  Time since, used, stalled_since = 0, failed_at = 0;
  bool open = false;
};

struct Peers::In final : net::Stream::Handler {
  In(Peers& o, Time now) : owner(o), stream(std::make_unique<net::Stream>(o.loop_, *this)), used(now) {}
  void received(std::string_view octets) override {
    used = owner.loop_.now();
    in.append(octets);
    std::size_t at = 0;
    while (in.size() - at >= kHead) {
      std::size_t size = length_in(std::string_view(in).substr(at));
      if (size > kMaxStreamMessageBytes) {
        owner.heard_.dropped("too_long");
        return end();
      }
      if (in.size() - at - kHead < size) break;
      bool good = owner.heard_.frame(std::string_view(in).substr(at + kHead, size));
      if (!good) return end();
      if (!proven) owner.unproven_ -= 1;
      proven = true;
      at += kHead + size;
    }
    in.erase(0, at);
  }
  void ended(net::CloseKind) override { end(); }
  void end() {  // ends this object
    net::Stream::drop(std::move(stream));
    if (!proven) owner.unproven_ -= 1;
    auto it = owner.incoming_.find(this);
    std::shared_ptr<In> self = std::move(it->second);
    owner.incoming_.erase(it);
    owner.loop_.defer_release(std::move(self));
  }
  Peers& owner;
  std::unique_ptr<net::Stream> stream;
  std::string in;
  Time used;
  bool proven = false;
};

Peers::Peers(net::Loop& loop, const sockaddr_in& listen, Heard heard)
    : loop_(loop),
      heard_(std::move(heard)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      accepting_(loop, [this](int) { accept(); }),
      sweep_(loop, [this] { sweep(); }) {
  int on = 1;
  setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!listener_ || ::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&listen), sizeof listen) != 0 ||
      ::listen(listener_.get(), 128) != 0)
    throw std::runtime_error(std::string("no TCP listener: ") + std::strerror(errno));
  listen_again();
  sweep_.start(kSweep);
}

Peers::~Peers() {
  for (auto& [address, out] : outgoing_) net::Stream::drop(std::move(out->stream));
  for (auto& [key, in] : incoming_) net::Stream::drop(std::move(in->stream));
}

void Peers::listen_again() { accepting_.start(listener_.get(), EV_READ); }

void Peers::accept() {
  for (int round = 0; round < 16; ++round) {
    net::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      // Out of descriptors the listener would stay ready and keep the loop busy: the sweep tries again.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) accepting_.stop();
      return;
    }
    if (incoming_.size() >= kStreamsMost || unproven_ >= kUnprovenMost) {
      heard_.dropped("streams");
      continue;
    }
    auto in = std::make_unique<In>(*this, loop_.now());
    In* key = in.get();
    unproven_ += 1;
    incoming_.emplace(key, std::move(in));
    key->stream->adopt(std::move(fd));
  }
}

void Peers::send(const sockaddr_in& to, std::string_view sealed) {
  Time now = loop_.now();
  auto& out = outgoing_[{to.sin_addr.s_addr, to.sin_port}];
  if (out && !out->stream) {
    if (out->failed_at != 0 && now - out->failed_at < kAfterFailure) return heard_.dropped("unreachable");
    out.reset();
  }
  if (!out) {
    out = std::make_unique<Out>(*this, now);
    out->stream->connect(to);
  }
  if (out->stream->backlog() + sealed.size() > kStreamQueue) return heard_.dropped("queue");
  out->used = now;
  out->stream->write(framed(sealed));
  if (out->stream->backlog() > 0 && out->stalled_since == 0) out->stalled_since = now;
  if (out->stream->backlog() == 0) out->stalled_since = 0;
}

// Bounds on time: to connect, to be read by the peer, to show the key, to be of use.
void Peers::sweep() {
  Time now = loop_.now();
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    Out& out = *it->second;
    if (out.stream) {
      bool late = !out.open && now - out.since > kConnectWithin;
      bool stalled = out.open && out.stalled_since > 0 && now - out.stalled_since > kStalled;
      if (late || stalled) {
        heard_.dropped(late ? "unreachable" : "stalled");
        out.failed_at = now;
        net::Stream::reset(std::move(out.stream));
      } else if (now - out.used > kIdle) {
        net::Stream::finish(std::move(out.stream));
      }
    }
    it = !out.stream && (out.failed_at == 0 || now - out.failed_at > kAfterFailure) ? outgoing_.erase(it)
                                                                                    : std::next(it);
  }
  for (auto it = incoming_.begin(); it != incoming_.end();) {
    In& in = *(it++)->second;
    Time quiet = now - in.used;
    if (!in.proven && quiet > kUnproven) heard_.dropped("streams");
    if ((!in.proven && quiet > kUnproven) || quiet > 2 * kIdle) in.end();
  }
  if (listener_) listen_again();
  sweep_.start(kSweep);
}

void Peers::flush_and_close() {
  accepting_.stop();
  listener_.reset();
  for (auto& [address, out] : outgoing_) net::Stream::finish(std::move(out->stream));
  outgoing_.clear();
}

}  // namespace marblehub::fleet
