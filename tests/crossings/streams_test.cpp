// A stream at the moments that loopback sockets and a stopped process can't force: a write that fails while
// the peer's last bytes lie unread, and a backlog that a later write takes along. Both ends are held by the
// test.
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

constexpr int kTurns = 200;                // of the loop; far more than anything here takes
constexpr std::size_t kLine = 256;         // of a flood
constexpr std::size_t kFlood = 4'000'000;  // more than the system keeps for a pair of sockets

struct Heard final : Stream::Handler {
  void received(std::string_view bytes) override {
    text += bytes;
    if (holds_after_first) stream->set_reading(false);
  }
  void drained() override { drained_times += 1; }
  void ended(CloseKind how) override {
    ending = how;
    ended_times += 1;
    left = stream->backlog();
  }
  Stream* stream = nullptr;
  std::string text;
  CloseKind ending = CloseKind::orderly;
  int drained_times = 0, ended_times = 0;
  std::size_t left = 0;  // never taken by the system, as told at the end
  bool holds_after_first = false;
};

// A stream and the other end of its connection.
struct Pair {
  Pair() : stream(std::make_unique<Stream>(loop, heard)) {
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    heard.stream = stream.get();
    stream->adopt(net::Fd(ends[0]));
    peer = ends[1];
  }
  ~Pair() {
    Stream::drop(std::move(stream));
    close_peer();
  }
  void say(const std::string& text) { REQUIRE(::send(peer, text.data(), text.size(), 0) > 0); }
  void close_peer() {
    if (peer >= 0) ::close(std::exchange(peer, -1));
  }
  std::size_t peer_reads_all() {
    std::size_t all = 0;
    char buffer[65536];
    for (ssize_t n; (n = ::recv(peer, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;)
      all += static_cast<std::size_t>(n);
    return all;
  }
  void turns(int count = kTurns) {
    for (int i = 0; i < count; ++i) ev_run(loop.raw(), EVRUN_NOWAIT);
  }

  net::Loop loop;
  Heard heard;
  std::unique_ptr<Stream> stream;
  int peer = -1;
};

bool small_writes_at_once(int fd) {
  int on = 0;
  socklen_t size = sizeof on;
  REQUIRE(getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, &size) == 0);
  return on != 0;
}

}  // namespace

TEST_CASE("a write that fails lets the peer's last lines through before the end", "[streams]") {
  Pair pair;
  pair.say("BUSY\r\n");
  pair.close_peer();
  pair.stream->write("OPEN\r\n");
  pair.turns();
  REQUIRE(pair.heard.text == "BUSY\r\n");
  REQUIRE(pair.heard.ended_times == 1);
  REQUIRE(pair.heard.ending == CloseKind::aborted);
}

TEST_CASE("what a failed write never handed over is left as backlog", "[streams]") {
  Pair pair;
  pair.close_peer();
  pair.stream->write("OPEN\r\n");
  pair.turns();
  REQUIRE(pair.heard.ended_times == 1);
  REQUIRE(pair.heard.left == 6);
}

TEST_CASE("more than one read of last lines comes through after a failed write", "[streams]") {
  Pair pair;
  const std::string lines(100'000, 'x');
  pair.say(lines);
  pair.close_peer();
  pair.stream->write("line\r\n");
  pair.turns();
  REQUIRE(pair.heard.text == lines);
  REQUIRE(pair.heard.ended_times == 1);
}

TEST_CASE("a stream on hold whose write failed is read on when the hold is undone", "[streams]") {
  Pair pair;
  pair.heard.holds_after_first = true;
  pair.say(std::string(40'000, 'x'));
  pair.close_peer();
  pair.stream->write("line\r\n");
  pair.turns();
  REQUIRE(pair.heard.ended_times == 0);
  REQUIRE(pair.heard.text.size() < 40'000);
  pair.heard.holds_after_first = false;
  pair.stream->set_reading(true);
  pair.turns();
  REQUIRE(pair.heard.text.size() == 40'000);
  REQUIRE(pair.heard.ended_times == 1);
}

TEST_CASE("a backlog that a later write takes along is told as drained", "[streams]") {
  Pair pair;
  const std::string line(kLine, 'x');
  std::size_t written = 0;
  while (pair.stream->backlog() <= net::kMaxBacklogBytes) {
    REQUIRE(written < kFlood);
    pair.stream->write(line);
    written += kLine;
  }
  // The peer reads, and the next line goes out with all before it, in the writer's own call.
  std::size_t read = 0;
  while (pair.stream->backlog() > 0) {
    REQUIRE(read < kFlood);
    read += pair.peer_reads_all();
    pair.stream->write(line);
    written += kLine;
  }
  REQUIRE(pair.heard.drained_times == 0);
  read += pair.peer_reads_all();
  pair.turns();
  REQUIRE(pair.heard.drained_times == 1);
  REQUIRE(read == written);
}

TEST_CASE("a stream that ends in order with a backlog hands all of it over", "[streams]") {
  Pair pair;
  const std::string line(kLine, 'x');
  std::size_t written = 0;
  while (pair.stream->backlog() <= net::kMaxBacklogBytes) {
    pair.stream->write(line);
    written += kLine;
  }
  Stream::finish(std::move(pair.stream));
  std::size_t read = 0;
  for (int i = 0; i < kTurns; ++i) {
    read += pair.peer_reads_all();
    pair.turns(1);
  }
  REQUIRE(read == written);
  char byte;
  REQUIRE(::recv(pair.peer, &byte, 1, MSG_DONTWAIT) == 0);
}

// A close over unread bytes takes with it what the system still holds back, so that it must hold nothing
// back.
TEST_CASE("the system holds back no small write of a stream, accepted or connected", "[streams]") {
  net::Loop loop;
  Heard heard;
  const int listening = bound_socket(SOCK_STREAM);
  REQUIRE(::listen(listening, 1) == 0);
  const int next = ::dup(listening);  // the number that the stream's own socket gets
  ::close(next);
  auto connecting = std::make_unique<Stream>(loop, heard);
  connecting->connect(loopback(port_of(listening)));
  REQUIRE(small_writes_at_once(next));

  const int accepted = ::accept(listening, nullptr, nullptr);
  REQUIRE_FALSE(small_writes_at_once(accepted));
  auto adopted = std::make_unique<Stream>(loop, heard);
  adopted->adopt(net::Fd(accepted));
  REQUIRE(small_writes_at_once(accepted));

  Stream::drop(std::move(connecting));
  Stream::drop(std::move(adopted));
  ::close(listening);
}

}  // namespace marblehub::test
