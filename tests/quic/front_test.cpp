// The second front: its parts against public test vectors, and the whole path with stand-in QUIC peers that
// change their addresses under load while a worker drains.
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

TEST_CASE("addresses change under load while a worker drains; each request gets exactly one answer") {
  Scene scene({"g-1", "g-2", "g-3"});
  for (int i = 0; i < 40; ++i) scene.client().open();
  scene.run(3000, [&] {
    for (auto& c : scene.clients)
      if (c->ups == 0) return false;
    return true;
  });
  Worker& leaving = *scene.workers[0];
  std::set<std::string> of_leaving;
  for (auto& [id, client] : leaving.clients) of_leaving.insert(client.first);
  REQUIRE(of_leaving.size() >= 2);  // the blend spreads 40 over three
  scene.run(4200);                  // the module's first list call goes out within 4 s

  int initials_before = 0;
  for (int round = 0; round < 12; ++round) {
    for (auto& c : scene.clients) {
      if (round == 5 && of_leaving.count(c->source)) {  // on the worker that is about to drain
        c->request("LOCK " + std::to_string(round));
        c->change_address();
        c->request("TOUCH");  // the first packet from the new address, before the lock has answered
        continue;
      }
      if (round % 3 == 1) c->change_address();                        // the same id from another address ...
      if (round % 4 == 2 && !c->next_id.empty()) c->id = c->next_id;  // ... and a fresh id as well
      c->request("REQ " + std::to_string(round));
    }
    if (round == 4) {
      initials_before = leaving.initials;
      scene.news.push_back(Scene::entry(leaving, "draining"));
      scene.run(400);
      for (int i = 0; i < 10; ++i) scene.client().open();
      scene.run(300);
    }
    scene.run(150);
  }
  scene.run(1500);
  for (auto& c : scene.clients) {
    INFO("client " << c->source);
    CHECK(c->ups == 1);
    CHECK(c->closes == 0);
    CHECK(static_cast<int>(c->answers.size()) == c->asked);
    for (auto& [request, times] : c->answers) {
      INFO(request);
      CHECK(times == 1);
    }
  }
  CHECK(leaving.initials == initials_before);        // nothing new to it
  CHECK(leaving.moves.size() >= of_leaving.size());  // and it was asked to move each of its clients
  CHECK(scene.counter("marblehub_quic_address_changes_total") > 100);
  CHECK(scene.counter("marblehub_quic_unknown_ids_total") == 0);
}

TEST_CASE("a call that no worker takes ends with a real CONNECTION_CLOSE, once and in time") {
  Scene scene({"g-1", "g-2"}, 700);
  SECTION("closed sockets") {
    scene.workers.clear();
    Client& c = scene.client();
    std::int64_t began = now_ms();
    c.open();
    scene.run(2000, [&] { return c.closes > 0; });
    CHECK(now_ms() - began < 750);
    scene.run(200);
    CHECK(c.closes == 1);
    CHECK(c.close_frames[1] == '\x02');  // CONNECTION_REFUSED
    CHECK(c.close_frames.find("come again after") != std::string::npos);
  }
  SECTION("silence until the deadline; a repeated Initial is the same call") {
    for (auto& w : scene.workers) w->mute = true;
    Client& c = scene.client();
    std::int64_t began = now_ms();
    c.open();
    scene.run(250);
    c.open();
    scene.run(2000, [&] { return c.closes > 0; });
    CHECK(now_ms() - began < 750);
    CHECK(c.closes == 1);
    CHECK(scene.counter("marblehub_calls_total") == 1);
    CHECK(scene.counter("marblehub_answers_total{answer=\"overload\"}") == 1);
  }
}

// One socket for each client: a crowd of Initials must neither end the program nor be held against workers.
TEST_CASE("out of descriptors, further Initials are closed at once and no worker is blamed") {
  Scene scene({"g-1"}, 1500, 24);
  for (int i = 0; i < 30; ++i) scene.client().open();
  int up = 0, closed = 0;
  scene.run(2500, [&] {
    up = closed = 0;
    for (auto& c : scene.clients) up += c->ups, closed += c->closes;
    return up + closed == 30;
  });
  CHECK(up >= 5);
  CHECK(closed >= 5);
  CHECK(up + closed == 30);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"not_sent\"}") > 0);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"connect_failed\"}") == 0);
}

TEST_CASE("a reload leaves QUIC connections as they are") {
  Scene scene({"g-1"});
  Client& client = scene.client();
  client.open();
  scene.run(2000, [&] { return client.ups == 1; });
  for (int i = 0; i < 3; ++i) {
    scene.program->signal(SIGHUP);
    client.request("R" + std::to_string(i));
    scene.run(300);
  }
  CHECK(client.answers == std::map<std::string, int>{{"R0", 1}, {"R1", 1}, {"R2", 1}});
  CHECK(scene.counter("marblehub_reloads_total{result=\"taken\"}") == 3);
}

TEST_CASE("a worker's refusal leads to another attempt") {
  Scene scene({"g-1", "g-2"});
  scene.workers[0]->busy = true;
  for (int i = 0; i < 10; ++i) scene.client().open();
  scene.run(2000);
  for (auto& c : scene.clients) CHECK(c->ups + c->closes == 1);
  CHECK(scene.workers[0]->initials > 0);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"full\"}") == scene.workers[0]->initials);
}

TEST_CASE("what is no QUIC, of another version or for nobody is dropped and counted") {
  Scene scene({"g-1"});
  Udp udp;
  sockaddr_in router = loopback(scene.port);
  Client& c = scene.client();
  std::string initial =
      seal_initial(initial_keys(c.first, false), c.first, c.source, 0, std::string(1200, '\0'));
  for (std::size_t cut = 0; cut < 40; ++cut) udp.send(initial.substr(0, cut), router);
  std::string small = seal_initial(initial_keys(c.first, false), c.first, c.source, 0, "tiny");
  udp.send(small, router);                                          // under 1,200 octets
  udp.send(std::string(1, '\x20') + std::string(50, 'x'), router);  // the fixed bit is not set
  std::string long_id = initial;
  long_id[5] = 21;
  udp.send(long_id, router);
  udp.send("\x40" + IdCodec(kIds).encode(2, "none", "nonce!") + "hello", router);
  udp.send("\x40" + std::string(30, '\xff'), router);
  std::string other = initial;
  other[4] = 9;
  udp.send(other, router);
  udp.send(other.substr(0, 300), router);
  scene.run(300);
  auto answer = udp.receive();
  REQUIRE(answer.has_value());  // version negotiation, the ids the other way round; nothing else is answered
  auto header = parse(*answer);
  CHECK(header->type == PacketType::version_negotiation);
  CHECK(header->destination == c.source);
  CHECK(header->source == c.first);
  std::string offers = answer->substr(answer->size() - 12);
  CHECK(offers.substr(0, 8) == std::string("\0\0\0\1\x6b\x33\x43\xcf", 8));
  for (char c : offers.substr(8)) CHECK((c & 0x0f) == 0x0a);  // one that is reserved
  CHECK_FALSE(udp.receive().has_value());
  CHECK(scene.counter("marblehub_quic_malformed_total") >= 40);
  CHECK(scene.counter("marblehub_quic_unknown_ids_total") == 3);
  CHECK(scene.counter("marblehub_quic_unknown_versions_total") == 2);
  CHECK(scene.counter("marblehub_calls_total") == 0);
  c.open();  // and it still serves
  scene.run(1000, [&] { return c.ups > 0; });
  CHECK(c.ups == 1);
}

}  // namespace marblehub::test
