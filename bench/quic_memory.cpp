// Measures the memory and descriptors of a router with many connections, each from its own client address,
// with forwarding proxy-v2.
//   build-test/quic_memory_bench [CONNECTIONS]
#include <fmt/format.h>
#include <sys/resource.h>

#include "peers/client.h"
#include "peers/worker.h"
#include "quic/initial.h"
#include "quic/proxy_header.h"
#include "router.h"

using namespace marblehub;
using namespace marblehub::quic;

int main(int argc, char** argv) {
  std::size_t target = argc > 1 ? std::stoul(argv[1]) : 20000;
  rlimit files{target + 1000, target + 1000};
  if (setrlimit(RLIMIT_NOFILE, &files) != 0) {
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    target = std::min<std::size_t>(target, files.rlim_max - 200);
  }
  peers::Udp worker;
  bench::Router router_process = bench::start_router(worker.local().text(), "proxy-v2", 256);
  test::Program& router = *router_process.program;
  IdCodec codec({bench::ids()});
  Endpoint to = *Endpoint::parse(test::loopback_address_text(router_process.port));
  long empty_kb = router.resident_kb();

  std::vector<std::unique_ptr<peers::Udp>> clients;
  std::size_t established = 0;
  for (std::size_t i = 0; i < target; ++i) {
    clients.push_back(std::make_unique<peers::Udp>());
    std::string first = "\xe0" + fmt::format("{:09}", i), source = fmt::format("{:08}", i);
    clients.back()->send(seal_initial(initial_keys(first, false), first, source, 0, std::string(1160, '\0')),
                         to);
    for (int wait = 0; wait < 2000; ++wait) {
      if (auto received = worker.receive()) {
        std::string_view bytes = received->bytes;
        auto header = consume_proxy_header(bytes);
        auto initial = parse(bytes);
        if (!header || !initial) continue;
        std::array<char, kMaxProxyHeaderSize> out;
        std::size_t size = write_proxy_header(out, {false, header->destination, header->source, {}, {}});
        std::string id = codec.encode(2, default_server_id("g-1", 4), random_bytes(6));
        std::string dst(initial->destination);
        worker.send(std::string(out.data(), size) +
                        seal_initial(initial_keys(dst, true), initial->source, id, 0, std::string(40, '\1')),
                    received->from);
      }
      if (clients.back()->receive()) {
        established += 1;
        break;
      }
      ::usleep(50);
    }
  }
  long full_kb = router.resident_kb();
  fmt::print(
      "{} connections up of {} client addresses; {} descriptors; resident {} kB, {} kB before; {} bytes per "
      "connection\n",
      established, target, router.descriptors(), full_kb, empty_kb,
      (full_kb - empty_kb) * 1024 / static_cast<long>(std::max<std::size_t>(established, 1)));
}
