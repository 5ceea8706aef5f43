// Both forwarding ways with real QUIC peers.
#include <catch2/catch.hpp>

#include "quic/stateless_reset.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

using namespace peers;

TestbedOptions forwarding(bool proxy) {
  TestbedOptions options;
  options.proxy = proxy;
  options.worker.reset_key = std::string(16, 'r');
  return options;
}

}  // namespace

TEST_CASE("a real handshake, requests, both ways of migration and a key update", "[peers]") {
  bool proxy = GENERATE(false, true);
  INFO("proxy " << proxy);
  Testbed testbed({"g-1", "g-2"}, forwarding(proxy));
  Client& c = testbed.client();
  CHECK(testbed.run(2000, [&] { return c.handshaken(); }));
  c.request("REQ 1");
  CHECK(testbed.run(1000, [&] { return c.all_answered_once(); }));
  c.rebind();
  c.request("REQ 2");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  testbed.run(200);  // this library gives up a connection whose ids change twice at once
  CHECK(c.migrate());
  c.request("REQ 3");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  testbed.run(200);  // the path is validated before the keys change
  CHECK(c.update_key());
  c.request("REQ 4");
  CHECK(testbed.run(1500, [&] { return c.all_answered_once(); }));
  CHECK_FALSE(c.over());
  CHECK(testbed.counter("marblehub_quic_unknown_ids_total") == 0);
  // The gauges are set five times a second, and later on a loaded machine.
  CHECK(testbed.run(3000, [&] { return testbed.counter("marblehub_connections") == 1; }));
  CHECK(testbed.counter("marblehub_quic_sockets") <= (proxy ? 1 : 3));
}

TEST_CASE(
    "200 connections change address three times each while workers drain and die and the router restarts",
    "[peers]") {
  TestbedOptions options = forwarding(true);
  options.deadline_ms = 3000;
  Testbed testbed({"g-1", "g-2", "g-3", "g-4", "g-5"}, options);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ClientOptions client;
    client.faults = {.lose = 0.01, .repeat = 0.02, .delay = 0.02, .delay_us = 5000, .seed = seed};
    testbed.client(client);
    if (seed % 10 == 0) testbed.run(30);
  }
  REQUIRE(testbed.run(8000, [&] { return testbed.all_up() && testbed.registry.watched(); }));
  Worker &dying = testbed.worker(0), &leaving = testbed.worker(1);
  std::set<std::string> of_dying;
  std::vector<Client*> at_dying;
  quic::IdCodec codec({options.worker.ids});
  auto worker_of = [&](Client& c) {
    std::string id = c.current_id();
    return std::string(codec.decode(id, true)->server_id);
  };
  for (auto& c : testbed.clients)
    if (worker_of(*c) == dying.server_id) at_dying.push_back(c.get());
  REQUIRE(at_dying.size() >= 5);
  auto all_ask = [&](const std::string& what) {
    int n = 0;
    for (auto& c : testbed.clients)
      if (!c->over()) c->request(what + " of " + std::to_string(n++));
  };
  auto all_rebind = [&] {
    for (auto& c : testbed.clients) c->rebind();
  };

  // Addresses change with requests under way; then the router is killed and starts anew; then again.
  all_ask("first");
  all_rebind();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  all_ask("second");
  testbed.restart_router();
  all_rebind();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  all_ask("third");
  all_rebind();
  CHECK(testbed.run(4000, [&] { return testbed.all_answered(); }));
  CHECK(
      std::none_of(testbed.clients.begin(), testbed.clients.end(), [](const auto& c) { return c->over(); }));

  // One worker dies: what was there is reset within a second, nothing else is.
  dying.die();
  std::int64_t died = now_us();
  all_ask("after the death");
  testbed.run(1000, [&] {
    return std::all_of(at_dying.begin(), at_dying.end(), [](Client* c) { return c->over(); });
  });
  CHECK(now_us() - died <= 1'050'000);
  for (Client* c : at_dying) CHECK(c->was_reset());
  for (auto& c : testbed.clients)
    if (std::find(at_dying.begin(), at_dying.end(), c.get()) == at_dying.end()) CHECK_FALSE(c->over());
  // They come again, elsewhere.
  std::vector<Client*> again;
  for (std::size_t i = 0; i < at_dying.size(); ++i) again.push_back(&testbed.client());
  for (Client* c : again) c->request("again");
  CHECK(testbed.run(3000, [&] {
    return std::all_of(again.begin(), again.end(), [](Client* c) { return c->all_answered_once(); });
  }));

  // One drains: 250 ms after that it gets nothing new, and its clients are moved.
  testbed.run(5000, [&] { return testbed.registry.watched(); });
  int before_drain = leaving.accepted;
  CHECK(before_drain > 0);
  testbed.status(leaving, "draining");
  testbed.run(250);
  int at_250 = leaving.initials;
  std::vector<Client*> fresh;
  for (int i = 0; i < 20; ++i) fresh.push_back(&testbed.client());
  for (Client* c : fresh) c->request("fresh");
  CHECK(testbed.run(3000, [&] {
    return std::all_of(fresh.begin(), fresh.end(), [](Client* c) { return c->all_answered_once(); });
  }));
  CHECK(leaving.initials == at_250);
  CHECK(testbed.run(5000, [&] { return leaving.connections() == 0; }));
  // Whoever was not told to move or reset still has exactly one answer to everything.
  testbed.run(500);
  for (auto& c : testbed.clients) {
    for (auto& [text, times] : c->answers()) CHECK(times == 1);
    if (!c->over()) CHECK(c->all_answered_once());
  }
  for (auto& w : testbed.workers)
    for (auto& [text, times] : w->executed) {
      INFO(text);
      CHECK(times >= 1);
    }
}

TEST_CASE("a flood of 50,000 spoofed Initials keeps no real client out", "[peers]") {
  TestbedOptions options = forwarding(true);
  options.deadline_ms = 3000;
  options.files = 256;
  options.quic = {{"retry", {{"mode", "from_rate"}, {"from_rate", 100}}}, {"calls", 1000}, {"paths", 1000}};
  Testbed testbed({"g-1", "g-2", "g-3"}, options);
  std::vector<std::unique_ptr<Udp>> sources;
  for (int i = 0; i < 50; ++i) sources.push_back(std::make_unique<Udp>());
  std::size_t sent = 0, octets_in = 0, octets_out = 0;
  auto flood = [&](int count) {
    for (int i = 0; i < count; ++i, ++sent) {
      // What an attacker sends is no sealed Initial: the router does not open it.
      std::string id = "\xe0" + std::to_string(100000000 + sent), source = "spoof";
      std::string packet = std::string("\xc0\0\0\0\1", 5) + static_cast<char>(id.size()) + id +
                           static_cast<char>(source.size()) + source + std::string(1, '\0');
      std::size_t rest = 1200 - packet.size() - 2;
      packet += static_cast<char>(0x40 | rest >> 8);
      packet += static_cast<char>(rest);
      packet += std::string(rest, 'x');
      sources[sent % sources.size()]->send(packet, testbed.router());
      octets_in += packet.size();
    }
    for (auto& source : sources)
      while (auto came = source->receive()) octets_out += came->bytes.size();
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
  CHECK(octets_out < 3 * octets_in);
  CHECK(testbed.program->descriptors() < 64);
#ifndef __SANITIZE_ADDRESS__
  CHECK(testbed.program->resident_kb() < 32 * 1024);
#endif
  CHECK(testbed.counter("marblehub_quic_retries_total") > 10000);
}

}  // namespace marblehub::test
