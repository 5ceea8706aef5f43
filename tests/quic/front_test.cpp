// The QUIC front: Initial keys and connection ids against known values, and the started program between stub
// clients and workers: address changes, drains, refusals, reloads and malformed datagrams.
#include "quic/testbed.h"

namespace marblehub::test {

TEST_CASE("Initial keys are those of RFC 9001, appendix A") {
  InitialKeys client = initial_keys(*unhex("8394c8f03e515708"), false);
  CHECK(hex(client.key) == "1f369613dd76d5467730efcbe3b1a22d");
  CHECK(hex(client.iv) == "fa044b2f42a3fd3b46fb255c");
  CHECK(hex(client.hp) == "9f50449e04a0e810283a1e9933adedd2");
  InitialKeys server = initial_keys(*unhex("8394c8f03e515708"), true);
  CHECK(hex(server.key) == "cf3a5331653c364c88f0f379b6067e37");
  CHECK(hex(server.iv) == "0ac1493ca1905853b0bba03e");
  CHECK(hex(server.hp) == "c206b8d9b9f0f37644430b490eeaa314");
  std::string sealed = seal_initial(server, "clientid", "serverid", 7, "frames of some length");
  CHECK(open_initial(server, sealed) == "frames of some length");
  sealed.back() ^= 1;
  CHECK_FALSE(open_initial(server, sealed).has_value());
}

TEST_CASE("connection ids carry rotation, length, server id and nonce") {
  IdCodec codec({{0, 2, 5, ""}, {3, 4, 12, std::string(16, 'k')}});
  std::string clear = codec.encode(0, "AB", "nonce"), sealed = codec.encode(3, "WXYZ", "twelve octet");
  CHECK(clear ==
        "\x07"
        "ABnonce");
  CHECK(static_cast<unsigned char>(sealed[0]) == (3 << 5 | 16));
  CHECK(sealed.find("WXYZ") == std::string::npos);
  CHECK(codec.decode(clear, true)->server_id == "AB");
  CHECK(codec.decode(sealed + "payload", false)->server_id == "WXYZ");
  CHECK(codec.decode(sealed + "payload", false)->id == sealed);
  CHECK_FALSE(codec.decode(clear + "x", true).has_value());
  CHECK_FALSE(codec.decode(clear.substr(0, 5), false).has_value());
  CHECK_FALSE(codec
                  .decode("\xe7"
                          "ABnonce",
                          true)
                  .has_value());
  CHECK(config_error({7, 4, 6, ""}).starts_with("rotation"));
  CHECK(config_error({0, 4, 6, std::string(15, 'k')}).starts_with("key"));
  CHECK(config_error({0, 10, 12, ""}).starts_with("nonce_length"));
}

TEST_CASE("addresses change under load while a worker drains, each request gets exactly one answer") {
  QuicTestbed testbed({"g-1", "g-2", "g-3"});
  for (int i = 0; i < 40; ++i) testbed.client().open();
  testbed.run(3000, [&] {
    for (auto& c : testbed.clients)
      if (c->established_count == 0) return false;
    return true;
  });
  StubWorker& draining = *testbed.workers[0];
  std::set<std::string> of_draining;
  for (auto& [id, client] : draining.clients) of_draining.insert(client.first);
  REQUIRE(of_draining.size() >= 2);  // placement spreads 40 clients over three workers
  testbed.run(4200);                 // the first registry call is sent within 4 s

  int initials_before = 0;
  for (int round = 0; round < 12; ++round) {
    for (auto& c : testbed.clients) {
      if (round == 5 && of_draining.count(c->source)) {  // on the draining worker
        c->request("LOCK " + std::to_string(round));
        c->change_address();
        c->request("TOUCH");  // the first packet from the new address, before the lock has answered
        continue;
      }
      if (round % 3 == 1) c->change_address();                        // the same id from another address
      if (round % 4 == 2 && !c->next_id.empty()) c->id = c->next_id;  // a new id as well
      c->request("REQ " + std::to_string(round));
    }
    if (round == 4) {
      initials_before = draining.initial_count;
      testbed.registry_update.push_back(QuicTestbed::entry(draining, "draining"));
      testbed.run(400);
      for (int i = 0; i < 10; ++i) testbed.client().open();
      testbed.run(300);
    }
    testbed.run(150);
  }
  testbed.run(1500);
  for (auto& c : testbed.clients) {
    INFO("client " << c->source);
    CHECK(c->established_count == 1);
    CHECK(c->close_count == 0);
    CHECK(static_cast<int>(c->answers.size()) == c->request_count);
    for (auto& [request, times] : c->answers) {
      INFO(request);
      CHECK(times == 1);
    }
  }
  CHECK(draining.initial_count == initials_before);    // no new client was sent to it
  CHECK(draining.moves.size() >= of_draining.size());  // it was asked to move each of its clients
  CHECK(testbed.counter("marblehub_quic_address_changes_total") > 100);
  CHECK(testbed.counter("marblehub_quic_unknown_ids_total") == 0);
}

TEST_CASE("a call that no worker accepts ends with a CONNECTION_CLOSE, once and in time") {
  QuicTestbed testbed({"g-1", "g-2"}, 700);
  SECTION("closed sockets") {
    testbed.workers.clear();
    StubClient& c = testbed.client();
    std::int64_t start = now_ms();
    c.open();
    testbed.run(2000, [&] { return c.close_count > 0; });
    CHECK(now_ms() - start < 750);
    testbed.run(200);
    CHECK(c.close_count == 1);
    CHECK(c.close_frames[1] == '\x02');  // CONNECTION_REFUSED
    CHECK(c.close_frames.find("come again after") != std::string::npos);
  }
  SECTION("silence until the deadline; a repeated Initial is the same call") {
    for (auto& w : testbed.workers) w->silent = true;
    StubClient& c = testbed.client();
    std::int64_t start = now_ms();
    c.open();
    testbed.run(250);
    c.open();
    testbed.run(2000, [&] { return c.close_count > 0; });
    CHECK(now_ms() - start < 750);
    CHECK(c.close_count == 1);
    CHECK(testbed.counter("marblehub_calls_total") == 1);
    CHECK(testbed.counter("marblehub_answers_total{answer=\"overload\"}") == 1);
  }
}

// Guards against handshakes that a worker holds being taken for new calls, after a restart or at another
// router: here an Initial that acknowledges the worker's, under the keys of an id that this router never saw.
TEST_CASE("an Initial of a handshake that a draining worker holds reaches it, a new one does not") {
  QuicTestbed testbed({"g-1", "g-2"});
  StubWorker& draining = *testbed.workers[0];
  testbed.run(4200);  // the first registry call is sent within 4 s
  testbed.registry_update.push_back(QuicTestbed::entry(draining, "draining"));
  testbed.run(600);
  const std::string held_id = IdCodec(kIds).encode(2, draining.server_id, "held-1");
  auto send_initial = [&](const std::string& keys_id) {
    UdpSocket().send(
        seal_initial(initial_keys(keys_id, false), held_id, "client-1", 1, std::string(1200, '\0')),
        loopback(testbed.port));
    testbed.run(300);
  };
  send_initial("another-");
  CHECK(draining.initial_count == 1);
  CHECK(testbed.counter("marblehub_calls_total") == 0);
  send_initial(held_id);
  CHECK(draining.initial_count == 1);
  CHECK(testbed.workers[1]->initial_count == 1);
  CHECK(testbed.counter("marblehub_calls_total") == 1);
}

// Each client takes one socket: running out of descriptors must not stop the program or count as worker
// failures.
TEST_CASE("without free descriptors further Initials are closed at once and no worker is marked as failed") {
  QuicTestbed testbed({"g-1"}, 1500, 24);
  for (int i = 0; i < 30; ++i) testbed.client().open();
  int established = 0, closed = 0;
  testbed.run(2500, [&] {
    established = closed = 0;
    for (auto& c : testbed.clients) established += c->established_count, closed += c->close_count;
    return established + closed == 30;
  });
  CHECK(established >= 5);
  CHECK(closed >= 5);
  CHECK(established + closed == 30);
  CHECK(testbed.counter("marblehub_attempt_results_total{outcome=\"not_sent\"}") > 0);
  CHECK(testbed.counter("marblehub_attempt_results_total{outcome=\"connect_failed\"}") == 0);
}

TEST_CASE("a reload keeps established QUIC connections") {
  QuicTestbed testbed({"g-1"});
  StubClient& client = testbed.client();
  client.open();
  testbed.run(2000, [&] { return client.established_count == 1; });
  for (int i = 0; i < 3; ++i) {
    testbed.program->signal(SIGHUP);
    client.request("R" + std::to_string(i));
    testbed.run(300);
  }
  CHECK(client.answers == std::map<std::string, int>{{"R0", 1}, {"R1", 1}, {"R2", 1}});
  CHECK(testbed.counter("marblehub_reloads_total{result=\"taken\"}") == 3);
}

TEST_CASE("a worker's refusal leads to another attempt") {
  QuicTestbed testbed({"g-1", "g-2"});
  testbed.workers[0]->busy = true;
  for (int i = 0; i < 10; ++i) testbed.client().open();
  testbed.run(2000);
  for (auto& c : testbed.clients) CHECK(c->established_count + c->close_count == 1);
  CHECK(testbed.workers[0]->initial_count > 0);
  CHECK(testbed.counter("marblehub_attempt_results_total{outcome=\"full\"}") ==
        testbed.workers[0]->initial_count);
}

TEST_CASE("malformed datagrams, unsupported versions and unknown connection ids are dropped and counted") {
  QuicTestbed testbed({"g-1"});
  UdpSocket udp;
  sockaddr_in balancer = loopback(testbed.port);
  StubClient& c = testbed.client();
  std::string initial =
      seal_initial(initial_keys(c.first, false), c.first, c.source, 0, std::string(1200, '\0'));
  for (std::size_t cut = 0; cut < 40; ++cut) udp.send(initial.substr(0, cut), balancer);
  std::string small = seal_initial(initial_keys(c.first, false), c.first, c.source, 0, "tiny");
  udp.send(small, balancer);                                          // under 1,200 bytes
  udp.send(std::string(1, '\x20') + std::string(50, 'x'), balancer);  // the fixed bit is not set
  std::string long_id = initial;
  long_id[5] = 21;
  udp.send(long_id, balancer);
  udp.send("\x40" + IdCodec(kIds).encode(2, "none", "nonce!") + "hello", balancer);
  udp.send("\x40" + std::string(30, '\xff'), balancer);
  std::string other = initial;
  other[4] = 9;
  udp.send(other, balancer);
  udp.send(other.substr(0, 300), balancer);
  testbed.run(300);
  auto answer = udp.receive();
  REQUIRE(answer.has_value());  // only Version Negotiation is sent, with the ids swapped
  auto header = parse(*answer);
  CHECK(header->type == PacketType::version_negotiation);
  CHECK(header->destination == c.source);
  CHECK(header->source == c.first);
  std::string offers = answer->substr(answer->size() - 12);
  CHECK(offers.substr(0, 8) == std::string("\0\0\0\1\x6b\x33\x43\xcf", 8));
  for (char c : offers.substr(8)) CHECK((c & 0x0f) == 0x0a);  // the reserved version
  CHECK_FALSE(udp.receive().has_value());
  CHECK(testbed.counter("marblehub_quic_malformed_total") >= 40);
  CHECK(testbed.counter("marblehub_quic_unknown_ids_total") == 3);
  CHECK(testbed.counter("marblehub_quic_unknown_versions_total") == 2);
  CHECK(testbed.counter("marblehub_calls_total") == 0);
  c.open();  // new clients are still accepted
  testbed.run(1000, [&] { return c.established_count > 0; });
  CHECK(c.established_count == 1);
}

}  // namespace marblehub::test
