// The QUIC front in both forwarding modes, with ngtcp2 clients and workers.
#include <catch2/catch.hpp>

#include "quic/stateless_reset.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

using namespace peers;

// Options with stateless resets, for forwarding proxy-v2 or socket.
TestbedOptions forwarding_options(bool proxy) {
  TestbedOptions options;
  options.proxy = proxy;
  options.worker.reset_key = std::string(16, 'r');
  return options;
}

}  // namespace

TEST_CASE("a real handshake, requests, both ways of migration and a key update", "[peers]") {
  bool proxy = GENERATE(false, true);
  INFO("proxy " << proxy);
  Testbed testbed({"g-1", "g-2"}, forwarding_options(proxy));
  Client& c = testbed.client();
  CHECK(testbed.run(2000, [&] { return c.handshaken(); }));
  c.request("REQ 1");
  CHECK(testbed.run(1000, [&] { return c.all_answered_once(); }));
  c.rebind();
  c.request("REQ 2");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  testbed.run(200);  // ngtcp2 closes a connection whose ids change twice in short succession
  CHECK(c.migrate());
  c.request("REQ 3");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  testbed.run(200);  // path validation completes before the key update
  CHECK(c.update_key());
  c.request("REQ 4");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  CHECK_FALSE(c.closed());
  CHECK(testbed.counter("marblehub_quic_unknown_ids_total") == 0);
  // The gauges are updated every 200 ms, or less often under load.
  CHECK(testbed.run(3000, [&] { return testbed.counter("marblehub_connections") == 1; }));
  CHECK(testbed.counter("marblehub_quic_sockets") <= (proxy ? 1 : 3));
}

// Guards against new connections to removed workers until discovery's first answer.
TEST_CASE("a restarted QUIC front sends no new connection to a worker that its old list alone names",
          "[peers]") {
  Testbed testbed({"g-1", "g-2"});
  REQUIRE(testbed.run(2000, [&] { return testbed.registry.has_watch(); }));
  testbed.set_status(testbed.worker(0), "gone");
  testbed.registry.set_answer_delay(500'000);
  testbed.program->restart();
  for (int i = 0; i < 10; ++i) testbed.client();
  CHECK(testbed.run(4000, [&] { return testbed.all_connected(); }));
  CHECK(testbed.worker(0).initials == 0);
}

TEST_CASE(
    "200 connections change address three times each while workers drain and die and the router restarts",
    "[peers]") {
  TestbedOptions options = forwarding_options(true);
  options.deadline_ms = 3000;
  Testbed testbed({"g-1", "g-2", "g-3", "g-4", "g-5"}, options);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ClientOptions client;
    client.faults = {.loss = 0.01, .duplication = 0.02, .delay = 0.02, .delay_us = 5000, .seed = seed};
    testbed.client(client);
    if (seed % 10 == 0) testbed.run(30);
  }
  REQUIRE(testbed.run(8000, [&] { return testbed.all_connected() && testbed.registry.has_watch(); }));
  Worker &killed = testbed.worker(0), &draining = testbed.worker(1);
  std::set<std::string> of_dying;
  std::vector<Client*> clients_of_killed;
  quic::IdCodec codec({options.worker.ids});
  auto worker_of = [&](Client& c) {
    std::string id = c.current_id();
    return std::string(codec.decode(id, true)->server_id);
  };
  for (auto& c : testbed.clients)
    if (worker_of(*c) == killed.server_id) clients_of_killed.push_back(c.get());
  REQUIRE(clients_of_killed.size() >= 5);
  auto request_from_all = [&](const std::string& what) {
    int n = 0;
    for (auto& c : testbed.clients)
      if (!c->closed()) c->request(what + " of " + std::to_string(n++));
  };
  auto rebind_all = [&] {
    for (auto& c : testbed.clients) c->rebind();
  };

  // Clients change address with requests in flight: before, during and after a restart of the router.
  request_from_all("first");
  rebind_all();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  request_from_all("second");
  testbed.restart_router();
  rebind_all();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  request_from_all("third");
  rebind_all();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  CHECK(std::none_of(testbed.clients.begin(), testbed.clients.end(),
                     [](const auto& c) { return c->closed(); }));

  // One worker crashes: its connections, and no others, are reset within a second.
  killed.kill();
  std::int64_t killed_at = now_us();
  request_from_all("after the death");
  testbed.run(1000, [&] {
    return std::all_of(clients_of_killed.begin(), clients_of_killed.end(),
                       [](Client* c) { return c->closed(); });
  });
  CHECK(now_us() - killed_at <= 1'050'000);
  for (Client* c : clients_of_killed) CHECK(c->was_reset());
  for (auto& c : testbed.clients)
    if (std::find(clients_of_killed.begin(), clients_of_killed.end(), c.get()) == clients_of_killed.end())
      CHECK_FALSE(c->closed());
  // New clients connect to other workers.
  std::vector<Client*> reconnected;
  for (std::size_t i = 0; i < clients_of_killed.size(); ++i) reconnected.push_back(&testbed.client());
  for (Client* c : reconnected) c->request("again");
  CHECK(testbed.run(3000, [&] {
    return std::all_of(reconnected.begin(), reconnected.end(),
                       [](Client* c) { return c->all_answered_once(); });
  }));

  // One worker drains: after 250 ms it gets no new connections, and its clients are moved.
  testbed.run(5000, [&] { return testbed.registry.has_watch(); });
  int accepted_before = draining.accepted;
  CHECK(accepted_before > 0);
  testbed.set_status(draining, "draining");
  testbed.run(250);
  int initials_after_250ms = draining.initials;
  std::vector<Client*> new_clients;
  for (int i = 0; i < 20; ++i) new_clients.push_back(&testbed.client());
  for (Client* c : new_clients) c->request("fresh");
  CHECK(testbed.run(3000, [&] {
    return std::all_of(new_clients.begin(), new_clients.end(),
                       [](Client* c) { return c->all_answered_once(); });
  }));
  CHECK(draining.initials == initials_after_250ms);
  CHECK(testbed.run(5000, [&] { return draining.connections() == 0; }));
  // Every client whose connection was not moved or reset has exactly one answer to each request.
  testbed.run(500);
  for (auto& c : testbed.clients) {
    for (auto& [text, times] : c->answers()) CHECK(times == 1);
    if (!c->closed()) CHECK(c->all_answered_once());
  }
  for (auto& w : testbed.workers)
    for (auto& [text, times] : w->executed) {
      INFO(text);
      CHECK(times >= 1);
    }
}

TEST_CASE("a flood of 50,000 spoofed Initials keeps no real client out", "[peers]") {
  TestbedOptions options = forwarding_options(true);
  options.deadline_ms = 3000;
  options.file_limit = 256;
  options.quic = {{"retry", {{"mode", "from_rate"}, {"from_rate", 100}}}, {"calls", 1000}, {"paths", 1000}};
  Testbed testbed({"g-1", "g-2", "g-3"}, options);
  std::vector<std::unique_ptr<Udp>> sources;
  for (int i = 0; i < 50; ++i) sources.push_back(std::make_unique<Udp>());
  std::size_t sent = 0, bytes_in = 0, bytes_out = 0;
  auto flood = [&](int count) {
    for (int i = 0; i < count; ++i, ++sent) {
      // The spoofed Initials are not encrypted, since the router does not decrypt them.
      std::string id = "\xe0" + std::to_string(100000000 + sent), source = "spoof";
      std::string packet = std::string("\xc0\0\0\0\1", 5) + static_cast<char>(id.size()) + id +
                           static_cast<char>(source.size()) + source + std::string(1, '\0');
      std::size_t rest = 1200 - packet.size() - 2;
      packet += static_cast<char>(0x40 | rest >> 8);
      packet += static_cast<char>(rest);
      packet += std::string(rest, 'x');
      sources[sent % sources.size()]->send(packet, testbed.router());
      bytes_in += packet.size();
    }
    for (auto& source : sources)
      while (auto received = source->receive()) bytes_out += received->bytes.size();
  };
  for (int i = 0; i < 50; ++i) {
    Client& c = testbed.client();
    c.request("real");
    for (int part = 0; part < 10; ++part) {
      flood(100);
      testbed.run(2);
    }
  }
  CHECK(sent == 50000);
  CHECK(testbed.run(6000, [&] { return testbed.all_answered(); }));
  flood(0);
  CHECK(bytes_out < 3 * bytes_in);
  CHECK(testbed.program->descriptors() < 64);
#ifndef __SANITIZE_ADDRESS__
  CHECK(testbed.program->resident_kb() < 32 * 1024);
#endif
  CHECK(testbed.counter("marblehub_quic_retries_total") > 10000);
}

}  // namespace marblehub::test
