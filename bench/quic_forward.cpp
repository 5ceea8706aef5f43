// Measures the datagrams per second and the CPU time per datagram of the router in both forwarding modes, and
// of a bare forwarder (recvmmsg, then sendmmsg, without parsing) for comparison. All sockets are on loopback.
//   build-test/quic_forward_bench [SECONDS] [FLOWS...]
#include <fmt/format.h>
#include <pthread.h>
#include <sys/resource.h>

#include <atomic>
#include <ctime>
#include <thread>
#include <vector>

#include "peers/client.h"
#include "peers/worker.h"
#include "quic/packet.h"
#include "quic/proxy_header.h"
#include "router.h"

namespace {

using namespace marblehub;
using namespace marblehub::quic;

constexpr std::size_t kSize = 1200, kBatch = 64;

// A loopback socket with large buffers.
int socket_on_loopback() {
  int fd = test::bound_socket(SOCK_DGRAM);
  int large = 8 << 20;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &large, sizeof large);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &large, sizeof large);
  return fd;
}

// Sends bursts of each flow in turn, as fast as possible; datagrams that overflow socket buffers are lost.
void send_load(const std::vector<int>& sockets, const std::vector<std::string>& packets, sockaddr_in to,
               const std::atomic<bool>& stop) {
  std::vector<mmsghdr> messages(kBatch);
  std::vector<iovec> parts(kBatch);
  for (std::size_t flow = 0; !stop; flow = (flow + 1) % sockets.size()) {
    std::size_t burst = sockets.size() == 1 ? kBatch : 4;
    for (std::size_t i = 0; i < burst; ++i) {
      parts[i] = {const_cast<char*>(packets[flow].data()), packets[flow].size()};
      messages[i].msg_hdr = {};
      messages[i].msg_hdr.msg_iov = &parts[i];
      messages[i].msg_hdr.msg_iovlen = 1;
      messages[i].msg_hdr.msg_name = &to;
      messages[i].msg_hdr.msg_namelen = sizeof to;
    }
    ::sendmmsg(sockets[flow], messages.data(), static_cast<unsigned>(burst), 0);
  }
}

// Receives batches from a socket and passes them to `each`, until `stop` is set.
template <class Each>
void receive_all(int fd, const std::atomic<bool>& stop, Each each) {
  std::vector<char> buffers(kBatch * 2048);
  std::vector<mmsghdr> messages(kBatch);
  std::vector<iovec> parts(kBatch);
  timeval wait{0, 50000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  while (!stop) {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = {buffers.data() + i * 2048, 2048};
      messages[i].msg_hdr = {};
      messages[i].msg_hdr.msg_iov = &parts[i];
      messages[i].msg_hdr.msg_iovlen = 1;
    }
    int n = ::recvmmsg(fd, messages.data(), kBatch, MSG_WAITFORONE, nullptr);
    if (n > 0) each(messages, parts, static_cast<std::size_t>(n));
  }
}

// Counts the datagrams that arrive.
void count_received(int fd, std::atomic<std::size_t>& count, const std::atomic<bool>& stop) {
  receive_all(fd, stop, [&](auto&, auto&, std::size_t n) { count += n; });
}

// The CPU time of a thread in microseconds.
std::int64_t cpu_of(pthread_t thread) {
  clockid_t clock;
  timespec t{};
  if (pthread_getcpuclockid(thread, &clock) == 0) clock_gettime(clock, &t);
  return t.tv_sec * std::int64_t{1000000} + t.tv_nsec / 1000;
}

// Forwards each datagram from `in` to the peer of `out`, without parsing it.
void forward_bare(int in, int out, const std::atomic<bool>& stop) {
  receive_all(in, stop, [out](std::vector<mmsghdr>& messages, std::vector<iovec>& parts, std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) parts[i].iov_len = messages[i].msg_len;
    ::sendmmsg(out, messages.data(), static_cast<unsigned>(n), 0);
  });
}

// The delivered datagrams per second and the CPU time per datagram.
struct Measurement {
  double per_second = 0, cpu_us = 0;
};

// Measures for `seconds`, after a warm-up of half a second.
Measurement measure(double seconds, std::atomic<std::size_t>& count,
                    const std::function<std::int64_t()>& cpu) {
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  std::size_t first = count;
  std::int64_t cpu_first = cpu(), started_at = peers::now_us();
  std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
  std::size_t delivered = count - first;
  double elapsed_us = static_cast<double>(peers::now_us() - started_at);
  return {static_cast<double>(delivered) / elapsed_us * 1e6,
          static_cast<double>(cpu() - cpu_first) / static_cast<double>(std::max<std::size_t>(delivered, 1))};
}

}  // namespace

int main(int argc, char** argv) {
  double seconds = argc > 1 ? std::stod(argv[1]) : 2;
  std::vector<std::size_t> sizes;
  for (int i = 2; i < argc; ++i) sizes.push_back(std::stoul(argv[i]));
  if (sizes.empty()) sizes = {1, 400, 10000};
  rlimit files;
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);

  fmt::print("{:>6} {:<10} {:>12} {:>14} {:>8}\n", "flows", "way", "datagrams/s", "cpu us/datagram",
             "of bare");
  for (std::size_t flows : sizes) {
    std::vector<int> sockets;
    for (std::size_t i = 0; i < flows; ++i) sockets.push_back(test::bound_socket(SOCK_DGRAM));
    IdCodec codec({bench::ids()});
    std::vector<std::string> packets;
    for (std::size_t i = 0; i < flows; ++i)
      packets.push_back("\x40" + codec.encode(2, default_server_id("g-1", 4), fmt::format("{:06}", i)) +
                        std::string(kSize - 12, 'x'));
    double bare_rate = 0;
    for (std::string mode : {"bare", "proxy-v2", "socket"}) {
      if (mode == "socket" && flows > 900) continue;  // one descriptor per flow; the router's limit is 1024
      std::atomic<bool> stop = false;
      std::atomic<std::size_t> count = 0;
      int sink_fd = socket_on_loopback(), bare_in = -1, bare_out = -1;
      bench::Router router;
      std::thread forwarder;
      sockaddr_in to;
      if (mode == "bare") {
        bare_in = socket_on_loopback();
        bare_out = socket_on_loopback();
        sockaddr_in at = test::loopback(test::port_of(sink_fd));
        ::connect(bare_out, reinterpret_cast<sockaddr*>(&at), sizeof at);
        to = test::loopback(test::port_of(bare_in));
        forwarder = std::thread([&] { forward_bare(bare_in, bare_out, stop); });
      } else {
        router = bench::start_router(test::loopback_address_text(test::port_of(sink_fd)), mode, 1024);
        to = test::loopback(router.port);
      }
      std::thread drain([&] { count_received(sink_fd, count, stop); });
      std::thread load([&] { send_load(sockets, packets, to, stop); });
      Measurement measurement = measure(seconds, count, [&] {
        return router.program ? router.program->cpu_us() : cpu_of(forwarder.native_handle());
      });
      if (mode == "bare") bare_rate = measurement.per_second;
      fmt::print("{:>6} {:<10} {:>12.0f} {:>14.2f} {:>8.2f}{}\n", flows, mode, measurement.per_second,
                 measurement.cpu_us, measurement.per_second / bare_rate,
                 router.program ? fmt::format("   resident {} kB, {} descriptors",
                                              router.program->resident_kb(), router.program->descriptors())
                                : "");
      std::fflush(stdout);
      stop = true;
      load.join();
      drain.join();
      if (forwarder.joinable()) forwarder.join();
      for (int fd : {sink_fd, bare_in, bare_out})
        if (fd >= 0) ::close(fd);
    }
    for (int fd : sockets) ::close(fd);
  }
}
