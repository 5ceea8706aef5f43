#include "fleet/net/peer_streams.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace marblehub::fleet {
namespace {

constexpr Time kSweep = 500 * kMillisecond;
constexpr std::size_t kHeaderBytes = 4;

std::string frame_of(std::string_view sealed) {
  auto size = static_cast<std::uint32_t>(sealed.size());
  std::string on_frame;
  on_frame.reserve(kHeaderBytes + sealed.size());
  for (int shift = 24; shift >= 0; shift -= 8) on_frame.push_back(static_cast<char>(size >> shift & 0xff));
  return on_frame.append(sealed);
}

std::size_t frame_length(std::string_view header) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) size = size << 8 | static_cast<unsigned char>(header[i]);
  return size;
}

}  // namespace

// A stream to a peer. Nothing is read from it: the peer answers on a stream of its own.
struct PeerStreams::OutgoingStream final : net::Stream::Handler {
  OutgoingStream(PeerStreams& o, Time now)
      : owner(o), stream(std::make_unique<net::Stream>(o.loop_, *this)), created_at(now), last_used(now) {}
  void connected() override { open = true; }
  void received(std::string_view) override {}
  void drained() override { stalled_since = 0; }
  void ended(net::CloseKind ending) override {
    if (stream->backlog() > 0) owner.callbacks_.on_drop("unreachable");  // once for the whole queue
    if (ending == net::CloseKind::aborted) failed_at = owner.loop_.now();
    net::Stream::drop(std::move(stream));
  }
  PeerStreams& owner;
  std::unique_ptr<net::Stream> stream;
  Time created_at, last_used, stalled_since = 0, failed_at = 0;
  bool open = false;
};

// A stream from a peer, with the bytes of its incomplete frame.
struct PeerStreams::IncomingStream final : net::Stream::Handler {
  IncomingStream(PeerStreams& o, Time now)
      : owner(o), stream(std::make_unique<net::Stream>(o.loop_, *this)), last_used(now) {}
  void received(std::string_view bytes) override {
    last_used = owner.loop_.now();
    buffer.append(bytes);
    std::size_t at = 0;
    while (buffer.size() - at >= kHeaderBytes) {
      std::size_t size = frame_length(std::string_view(buffer).substr(at));
      if (size > kMaxStreamMessageBytes) {
        owner.callbacks_.on_drop("too_long");
        return end();
      }
      if (buffer.size() - at - kHeaderBytes < size) break;
      bool accepted = owner.callbacks_.on_frame(std::string_view(buffer).substr(at + kHeaderBytes, size));
      if (!accepted) return end();
      if (!verified) owner.unverified_ -= 1;
      verified = true;
      at += kHeaderBytes + size;
    }
    buffer.erase(0, at);
  }
  void ended(net::CloseKind) override { end(); }
  void end() {  // closes the stream and releases this object
    net::Stream::drop(std::move(stream));
    if (!verified) owner.unverified_ -= 1;
    auto it = owner.incoming_.find(this);
    std::shared_ptr<IncomingStream> self = std::move(it->second);
    owner.incoming_.erase(it);
    owner.loop_.defer_release(std::move(self));
  }
  PeerStreams& owner;
  std::unique_ptr<net::Stream> stream;
  std::string buffer;
  Time last_used;
  bool verified = false;
};

PeerStreams::PeerStreams(net::Loop& loop, const sockaddr_in& listen, Callbacks callbacks)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      accepting_(loop, [this](int) { accept(); }),
      sweep_(loop, [this] { sweep(); }) {
  int on = 1;
  setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!listener_ || ::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&listen), sizeof listen) != 0 ||
      ::listen(listener_.get(), 128) != 0)
    throw std::runtime_error(std::string("no TCP listener: ") + std::strerror(errno));
  start_accepting();
  sweep_.start(kSweep);
}

PeerStreams::~PeerStreams() {
  for (auto& [address, out] : outgoing_) net::Stream::drop(std::move(out->stream));
  for (auto& [key, in] : incoming_) net::Stream::drop(std::move(in->stream));
}

void PeerStreams::start_accepting() { accepting_.start(listener_.get(), EV_READ); }

void PeerStreams::accept() {
  for (int round = 0; round < 16; ++round) {
    net::Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      // Without descriptors or memory the listener would stay readable and keep the loop busy: it is watched
      // again at the next sweep.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) accepting_.stop();
      return;
    }
    if (incoming_.size() >= kMaxIncomingStreams || unverified_ >= kMaxUnverifiedStreams) {
      callbacks_.on_drop("streams");
      continue;
    }
    auto in = std::make_unique<IncomingStream>(*this, loop_.now());
    IncomingStream* key = in.get();
    unverified_ += 1;
    incoming_.emplace(key, std::move(in));
    key->stream->adopt(std::move(fd));
  }
}

void PeerStreams::send(const sockaddr_in& to, std::string_view sealed) {
  Time now = loop_.now();
  auto& out = outgoing_[{to.sin_addr.s_addr, to.sin_port}];
  if (out && !out->stream) {
    if (out->failed_at != 0 && now - out->failed_at < kReconnectDelay)
      return callbacks_.on_drop("unreachable");
    out.reset();
  }
  if (!out) {
    out = std::make_unique<OutgoingStream>(*this, now);
    out->stream->connect(to);
  }
  if (out->stream->backlog() + sealed.size() > kMaxStreamQueueBytes) return callbacks_.on_drop("queue");
  out->last_used = now;
  out->stream->write(frame_of(sealed));
  if (out->stream->backlog() > 0 && out->stalled_since == 0) out->stalled_since = now;
  if (out->stream->backlog() == 0) out->stalled_since = 0;
}

// Closes streams that exceed the time-out to connect, to be read by the peer, to be verified, or to be idle.
void PeerStreams::sweep() {
  Time now = loop_.now();
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    OutgoingStream& out = *it->second;
    if (out.stream) {
      bool late = !out.open && now - out.created_at > kConnectTimeout;
      bool stalled = out.open && out.stalled_since > 0 && now - out.stalled_since > kStallTimeout;
      if (late || stalled) {
        callbacks_.on_drop(late ? "unreachable" : "stalled");
        out.failed_at = now;
        net::Stream::reset(std::move(out.stream));
      } else if (now - out.last_used > kIdleTimeout) {
        net::Stream::finish(std::move(out.stream));
      }
    }
    it = !out.stream && (out.failed_at == 0 || now - out.failed_at > kReconnectDelay) ? outgoing_.erase(it)
                                                                                      : std::next(it);
  }
  for (auto it = incoming_.begin(); it != incoming_.end();) {
    IncomingStream& in = *(it++)->second;
    Time quiet = now - in.last_used;
    if (!in.verified && quiet > kVerifyTimeout) callbacks_.on_drop("streams");
    if ((!in.verified && quiet > kVerifyTimeout) || quiet > 2 * kIdleTimeout) in.end();
  }
  if (listener_) start_accepting();
  sweep_.start(kSweep);
}

void PeerStreams::flush_and_close() {
  accepting_.stop();
  listener_.reset();
  for (auto& [address, out] : outgoing_) net::Stream::finish(std::move(out->stream));
  outgoing_.clear();
}

}  // namespace marblehub::fleet
