// Tests the fleet's streams over sockets: frames arrive whole and in order, and a frame or a stream beyond a
// limit closes that stream only.
#include <catch2/catch.hpp>

#include "fleet/net/peer_streams.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

using namespace fleet;

/// One end: its address, the frames that it received and its counts of drops by reason.
struct Side {
  explicit Side(net::Loop& loop) {
    at = loopback(free_port(SOCK_STREAM));
    peers =
        std::make_unique<PeerStreams>(loop, at,
                                      PeerStreams::Callbacks{[this](std::string_view bytes) {
                                                               frames.emplace_back(bytes);
                                                               return bytes != "forged";
                                                             },
                                                             [this](const char* why) { dropped[why] += 1; }});
  }
  sockaddr_in at{};
  std::vector<std::string> frames;
  std::map<std::string, int> dropped;
  std::unique_ptr<PeerStreams> peers;
};

void run(net::Loop& loop, Time max_duration, const std::function<bool()>& done) {
  Time until = loop.now() + max_duration;
  loop.before_wait([&] {
    if (done() || loop.now() > until) loop.stop();
    return Time{2000};
  });
  loop.run();
  loop.before_wait(nullptr);
}

void write(int fd, const std::string& bytes) { ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

}  // namespace

TEST_CASE("frames of a stream arrive whole and in order, over one stream") {
  net::Loop loop;
  Side a(loop), b(loop);
  std::vector<std::string> sent;
  for (std::size_t size :
       {std::size_t{0}, std::size_t{1}, std::size_t{70'000}, kMaxStreamMessageBytes, std::size_t{5}})
    sent.push_back(std::string(size, static_cast<char>('a' + sent.size())));
  for (const std::string& s : sent) a.peers->send(b.at, s);
  run(loop, 3 * kSecond, [&] { return b.frames.size() == sent.size(); });
  CHECK(b.frames == sent);
  CHECK(a.peers->outgoing() == 1);
  CHECK(b.peers->incoming() == 1);
}

TEST_CASE("an unreachable peer and one that does not read do not block others") {
  net::Loop loop;
  Side a(loop), b(loop);
  a.peers->send(loopback(free_port(SOCK_STREAM)), "x");
  run(loop, kSecond, [&] { return a.dropped["unreachable"] > 0; });
  CHECK(a.dropped["unreachable"] == 1);
  int not_reading = bound_socket(SOCK_STREAM);
  ::listen(not_reading, 1);
  for (int i = 0; i < 8; ++i)
    a.peers->send(loopback(port_of(not_reading)), std::string(kMaxStreamMessageBytes / 2, 'x'));
  run(loop, 100 * kMillisecond, [] { return false; });
  for (int i = 0; i < 40; ++i)
    a.peers->send(loopback(port_of(not_reading)), std::string(kMaxStreamMessageBytes / 2, 'x'));
  CHECK(a.dropped["queue"] > 0);
  a.peers->send(b.at, "others");
  run(loop, kSecond, [&] { return !b.frames.empty(); });
  CHECK(b.frames == std::vector<std::string>{"others"});
  ::close(not_reading);
}

TEST_CASE("unverified streams are closed, and their number is limited") {
  net::Loop loop;
  Side a(loop);
  int forger = connected_socket(ntohs(a.at.sin_port)), oversized = connected_socket(ntohs(a.at.sin_port));
  write(forger, std::string("\0\0\0\6forged\0\0\0\1x", 15));
  write(oversized, std::string("\0\x20\0\0", 4));
  run(loop, kSecond,
      [&] { return a.dropped["too_long"] > 0 && !a.frames.empty() && a.peers->incoming() == 0; });
  CHECK(a.frames == std::vector<std::string>{"forged"});  // frames after a forged one are not read
  CHECK(a.dropped["too_long"] == 1);
  CHECK(a.peers->incoming() == 0);
  std::vector<int> unverified;
  for (std::size_t i = 0; i < kMaxUnverifiedStreams + 8; ++i)
    unverified.push_back(connected_socket(ntohs(a.at.sin_port)));
  run(loop, kSecond, [&] { return a.dropped["streams"] == 8; });
  CHECK(a.dropped["streams"] == 8);
  CHECK(a.peers->incoming() == kMaxUnverifiedStreams);
  for (int fd : unverified) ::close(fd);
  run(loop, kSecond, [&] { return a.peers->incoming() == 0; });
  CHECK(a.peers->incoming() == 0);
  ::close(forger);
  ::close(oversized);
}

}  // namespace marblehub::test
