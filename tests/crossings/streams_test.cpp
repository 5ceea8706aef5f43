// Streams in states that loopback sockets and a stopped process cannot force: a write that fails while the
// peer's last bytes are unread, and a backlog that is sent with a later write. The test holds both ends.
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "net/stream.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

using core::CloseKind;
using net::Stream;

constexpr int kMaxIterations = 200;                // iterations of the loop; more than any test needs
constexpr std::size_t kLineBytes = 256;            // bytes of one written line
constexpr std::size_t kMaxFloodBytes = 4'000'000;  // more than the buffers of a socket pair hold

// Records the events of a stream.
struct RecordingHandler final : Stream::Handler {
  void received(std::string_view bytes) override {
    text += bytes;
    if (pauses_after_first) stream->set_reading(false);
  }
  void drained() override { drained_times += 1; }
  void ended(CloseKind how) override {
    ending = how;
    ended_times += 1;
    unsent_bytes = stream->backlog();
  }
  Stream* stream = nullptr;
  std::string text;
  CloseKind ending = CloseKind::orderly;
  int drained_times = 0, ended_times = 0;
  std::size_t unsent_bytes = 0;  // the backlog when the stream ended
  bool pauses_after_first = false;
};

// A stream and the socket at the other end of its connection.
struct ConnectedStream {
  ConnectedStream() : stream(std::make_unique<Stream>(loop, handler)) {
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    handler.stream = stream.get();
    stream->adopt(net::Fd(ends[0]));
    peer = ends[1];
  }
  ~ConnectedStream() {
    Stream::drop(std::move(stream));
    close_peer();
  }
  void peer_send(const std::string& text) { REQUIRE(::send(peer, text.data(), text.size(), 0) > 0); }
  void close_peer() {
    if (peer >= 0) ::close(std::exchange(peer, -1));
  }
  std::size_t peer_read_all() {
    std::size_t total = 0;
    char buffer[65536];
    for (ssize_t n; (n = ::recv(peer, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
      total += static_cast<std::size_t>(n);
    return total;
  }
  void iterate(int count = kMaxIterations) {
    for (int i = 0; i < count; ++i) ev_run(loop.raw(), EVRUN_NOWAIT);
  }

  net::Loop loop;
  RecordingHandler handler;
  std::unique_ptr<Stream> stream;
  int peer = -1;
};

bool has_no_delay(int fd) {
  int on = 0;
  socklen_t size = sizeof on;
  REQUIRE(getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, &size) == 0);
  return on != 0;
}

}  // namespace

TEST_CASE("after a failed write the peer's last lines are delivered before the end", "[streams]") {
  ConnectedStream pair;
  pair.peer_send("BUSY\r\n");
  pair.close_peer();
  pair.stream->write("OPEN\r\n");
  pair.iterate();
  REQUIRE(pair.handler.text == "BUSY\r\n");
  REQUIRE(pair.handler.ended_times == 1);
  REQUIRE(pair.handler.ending == CloseKind::aborted);
}

TEST_CASE("bytes that a failed write did not send remain as backlog", "[streams]") {
  ConnectedStream pair;
  pair.close_peer();
  pair.stream->write("OPEN\r\n");
  pair.iterate();
  REQUIRE(pair.handler.ended_times == 1);
  REQUIRE(pair.handler.unsent_bytes == 6);
}

TEST_CASE("last lines longer than one read are delivered after a failed write", "[streams]") {
  ConnectedStream pair;
  const std::string lines(100'000, 'x');
  pair.peer_send(lines);
  pair.close_peer();
  pair.stream->write("line\r\n");
  pair.iterate();
  REQUIRE(pair.handler.text == lines);
  REQUIRE(pair.handler.ended_times == 1);
}

TEST_CASE("a paused stream whose write failed is read to its end when resumed", "[streams]") {
  ConnectedStream pair;
  pair.handler.pauses_after_first = true;
  pair.peer_send(std::string(40'000, 'x'));
  pair.close_peer();
  pair.stream->write("line\r\n");
  pair.iterate();
  REQUIRE(pair.handler.ended_times == 0);
  REQUIRE(pair.handler.text.size() < 40'000);
  pair.handler.pauses_after_first = false;
  pair.stream->set_reading(true);
  pair.iterate();
  REQUIRE(pair.handler.text.size() == 40'000);
  REQUIRE(pair.handler.ended_times == 1);
}

TEST_CASE("a backlog sent with a later write is reported as drained", "[streams]") {
  ConnectedStream pair;
  const std::string line(kLineBytes, 'x');
  std::size_t written = 0;
  while (pair.stream->backlog() <= net::kMaxBacklogBytes) {
    REQUIRE(written < kMaxFloodBytes);
    pair.stream->write(line);
    written += kLineBytes;
  }
  // The peer reads, and the next write sends the backlog with its line.
  std::size_t read = 0;
  while (pair.stream->backlog() > 0) {
    REQUIRE(read < kMaxFloodBytes);
    read += pair.peer_read_all();
    pair.stream->write(line);
    written += kLineBytes;
  }
  REQUIRE(pair.handler.drained_times == 0);
  read += pair.peer_read_all();
  pair.iterate();
  REQUIRE(pair.handler.drained_times == 1);
  REQUIRE(read == written);
}

TEST_CASE("a stream finished with a backlog sends all of it", "[streams]") {
  ConnectedStream pair;
  const std::string line(kLineBytes, 'x');
  std::size_t written = 0;
  while (pair.stream->backlog() <= net::kMaxBacklogBytes) {
    pair.stream->write(line);
    written += kLineBytes;
  }
  Stream::finish(std::move(pair.stream));
  std::size_t read = 0;
  for (int i = 0; i < kMaxIterations; ++i) {
    read += pair.peer_read_all();
    pair.iterate(1);
  }
  REQUIRE(read == written);
  char byte;
  REQUIRE(::recv(pair.peer, &byte, 1, MSG_DONTWAIT) == 0);
}

// A close with unread input discards bytes that the system still delays, so that Nagle's algorithm must be
// off.
TEST_CASE("small writes of a stream are not delayed, accepted or connected", "[streams]") {
  net::Loop loop;
  RecordingHandler handler;
  const int listening = bound_socket(SOCK_STREAM);
  REQUIRE(::listen(listening, 1) == 0);
  const int expected_fd = ::dup(listening);  // the descriptor number that the stream's socket will get
  ::close(expected_fd);
  auto connecting = std::make_unique<Stream>(loop, handler);
  connecting->connect(loopback(port_of(listening)));
  REQUIRE(has_no_delay(expected_fd));

  const int accepted = ::accept(listening, nullptr, nullptr);
  REQUIRE_FALSE(has_no_delay(accepted));
  auto adopted = std::make_unique<Stream>(loop, handler);
  adopted->adopt(net::Fd(accepted));
  REQUIRE(has_no_delay(accepted));

  Stream::drop(std::move(connecting));
  Stream::drop(std::move(adopted));
  ::close(listening);
}

}  // namespace marblehub::test
