// Starts the router for the QUIC benchmarks: one worker, four-pass encrypted ids, no probes.
#pragma once

#include <memory>
#include <string>

#include "quic/connection_id.h"
#include "quic/packet.h"
#include "support/program.h"

namespace marblehub::bench {

/// The id configuration of the router and its worker.
inline const quic::IdConfig& ids() {
  static const quic::IdConfig config{2, 4, 6, std::string(16, 'k')};
  return config;
}

/// A router process and its UDP port.
struct Router {
  std::unique_ptr<test::Program> program;
  int port;
};

/// Starts a router for the worker `g-1` at this address. `forwarding` as in quic.json; `files` limits
/// descriptors.
inline Router start_router(const std::string& worker_address, const std::string& forwarding, rlim_t files) {
  using test::json;
  json endpoints = json::array({{{"name", "g-1"},
                                 {"address", worker_address},
                                 {"zone", "a"},
                                 {"type", "m"},
                                 {"group", 0},
                                 {"status", "ready"},
                                 {"weight", 1.0},
                                 {"since_ms", 0}}});
  int port = test::free_port(SOCK_DGRAM);
  char path[] = "/tmp/marblehub-bench-XXXXXX";
  ::close(mkstemp(path));
  std::ofstream(path) << json{{"enabled", true},
                              {"listen", test::loopback_address_text(port)},
                              {"class", "telemetry"},
                              {"deadline_ms", 3000},
                              {"idle_ms", 600000},
                              {"calls", 65536},
                              {"paths", 65536},
                              {"forwarding", forwarding},
                              {"ids", json::array({{{"rotation", ids().rotation},
                                                    {"server_id_length", ids().server_id_length},
                                                    {"nonce_length", ids().nonce_length},
                                                    {"key", quic::hex(ids().key)}}})}}
                             .dump();
  json settings = test::settings();
  settings["limits"]["probes"] = false;
  Router router{std::make_unique<test::Program>(endpoints, settings, test::free_port(SOCK_STREAM), path,
                                                "/nonexistent", files),
                port};
  std::remove(path);
  return router;
}

}  // namespace marblehub::bench
