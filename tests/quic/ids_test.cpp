// Connection ids and packets of both versions. Vectors are those of the documents named beside them.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- Connection ids --------------------------------------------------------------------------------

TEST_CASE("four passes give the ids of the draft's examples") {
  struct Example {
    const char *key, *server_id, *nonce, *id;
  };
  for (const Example& e :
       {Example{"8f95f09245765f80256934e50c66207f", "ed793a", "ee080dbf", "0720b1d07b359d3c"},
        {"fdf726a9893ec05c0632d3956680baf0", "31441a", "9c69c275", "0767947d29be054a"}}) {
    IdConfig config{0, 3, 4, bytes(e.key)};
    IdCodec codec({config});
    CHECK(hex(codec.encode(0, bytes(e.server_id), bytes(e.nonce))) == e.id);
    std::string id = bytes(e.id);
    auto decoded = codec.decode(id, true);
    REQUIRE(decoded.has_value());
    CHECK(hex(decoded->server_id) == e.server_id);
    CHECK(hex(codec.nonce_of(*decoded)) == e.nonce);
  }
}

TEST_CASE("ids of every length come back, and show neither server id nor a twin's octets") {
  std::mt19937 random(7);
  auto octets = [&](std::size_t n) {
    std::string out(n, '\0');
    for (char& c : out) c = static_cast<char>(random());
    return out;
  };
  int lengths = 0;
  for (std::size_t server = 1; server <= 15; ++server)
    for (std::size_t nonce = 4; server + nonce <= 19; ++nonce, ++lengths) {
      INFO(server << " and " << nonce);
      unsigned rotation = static_cast<unsigned>(lengths % 7);
      IdCodec codec({{rotation, server, nonce, octets(16)}});
      std::string server_id = octets(server), first_nonce = octets(nonce), second_nonce = first_nonce;
      second_nonce.back() = static_cast<char>(second_nonce.back() ^ 1);
      std::string id = codec.encode(rotation, server_id, first_nonce);
      std::string twin = codec.encode(rotation, server_id, second_nonce);
      CHECK(id.size() == 1 + server + nonce);
      std::string packet = id + "payload";
      auto decoded = codec.decode(packet, false);
      REQUIRE(decoded.has_value());
      CHECK(decoded->server_id == server_id);
      CHECK(codec.nonce_of(*decoded) == first_nonce);
      CHECK(decoded->id == id);
      // One bit of the nonce changes the whole of what is sealed: no part of it stands there in the clear.
      int same = 0;
      for (std::size_t i = 1; i < id.size(); ++i) same += id[i] == twin[i];
      CHECK(same <= 2);
    }
  CHECK(lengths == 120);
}

TEST_CASE("an id whose first octet tells no length is taken by its rotation alone") {
  IdConfig config{1, 4, 6, std::string(16, 'k'), false};
  IdCodec codec({config});
  std::set<char> firsts;
  for (int i = 0; i < 64; ++i) {
    std::string id = codec.encode(1, "WXYZ", "nonce!");
    firsts.insert(id[0]);
    CHECK(codec.decode(id, true)->server_id == "WXYZ");
  }
  CHECK(firsts.size() > 8);  // the five bits are random
}

TEST_CASE("configs are retired, come back, and never share a rotation with other contents") {
  IdConfig a{0, 4, 6, ""}, b{1, 4, 6, std::string(16, 'k')}, other{0, 4, 6, std::string(16, 'x')};
  IdConfigs configs({a});
  CHECK(configs.conflict({a, b}).empty());
  CHECK(configs.conflict({other}).find("rotation 0 is in force") != std::string::npos);
  configs.replace({a, b}, kStart, 10 * kSecond);  // learnt before workers use it
  configs.replace({b}, kStart, 10 * kSecond);
  std::string old_id = IdCodec({a}).encode(0, "WXYZ", "nonce!");
  CHECK(configs.retiring() == 1);
  CHECK(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).find("rotation 0 is still being retired") != std::string::npos);
  CHECK(configs.conflict({b, a}).empty());  // the same contents may come back
  CHECK_FALSE(configs.expire(kStart + 9 * kSecond));
  CHECK(configs.expire(kStart + 10 * kSecond));
  CHECK_FALSE(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).empty());
}

// ---- Packets ---------------------------------------------------------------------------------------

TEST_CASE("version 2 has the keys of RFC 9369, appendix A") {
  InitialKeys client = initial_keys(bytes("8394c8f03e515708"), false, kVersion2);
  CHECK(hex(client.key) == "8b1a0bc121284290a29e0971b5cd045d");
  CHECK(hex(client.iv) == "91f73e2351d8fa91660e909f");
  CHECK(hex(client.hp) == "45b95e15235d6f45a6b19cbcb0294ba9");
  InitialKeys server = initial_keys(bytes("8394c8f03e515708"), true, kVersion2);
  CHECK(hex(server.key) == "82db637861d55e1d011f19ea71d5d2a7");
  CHECK(hex(server.iv) == "dd13c276499c0249d3310652");
  CHECK(hex(server.hp) == "edf6d05c83121201b436e16877593c3a");
  std::string sealed = seal_initial(client, "destination", "source", 3, "frames of some length", kVersion2);
  CHECK(parse(sealed)->type == PacketType::initial);
  CHECK((static_cast<unsigned char>(sealed[0]) >> 4 & 3) == 1);  // 3.2: its type is 0b01
  CHECK(open_initial(client, sealed) == "frames of some length");
  CHECK_FALSE(open_initial(initial_keys(bytes("8394c8f03e515708"), false, kVersion1), sealed).has_value());
}

TEST_CASE("a Retry has the tag of RFC 9001, A.4, and of RFC 9369, A.4") {
  std::string original = bytes("8394c8f03e515708"), source = bytes("f067a5502a4262b5");
  // The first octet's low bits are unused and differ there: the tag covers them.
  std::string v1 = bytes("ff000000010008f067a5502a4262b5746f6b656e04a265ba2eff4d829058fb3f0f2496ba");
  std::string v2 = bytes("cf6b3343cf0008f067a5502a4262b5746f6b656ec8646ce8bfe33952d955543665dcc7b6");
  for (const std::string& packet : {v1, v2}) {
    CHECK(retry_is_authentic(packet, original));
    CHECK_FALSE(retry_is_authentic(packet, bytes("8394c8f03e515709")));
    std::string changed = packet;
    changed[16] = static_cast<char>(changed[16] ^ 1);
    CHECK_FALSE(retry_is_authentic(changed, original));
  }
  for (std::uint32_t version : {kVersion1, kVersion2}) {
    std::string made = retry_packet(version, "", source, "token", original);
    CHECK(parse(made)->type == PacketType::retry);
    CHECK(parse(made)->source == source);
    CHECK(retry_is_authentic(made, original));
  }
}

TEST_CASE("packets coalesced behind another's are cut off, the rest is passed on") {
  InitialKeys keys = initial_keys("destination", false);
  std::string one = seal_initial(keys, "destination", "source", 0, std::string(300, '\0'));
  std::string two = seal_initial(keys, "destination", "source", 1, std::string(300, '\0'));
  std::string foreign = seal_initial(keys, "another one", "source", 1, std::string(300, '\0'));
  auto sound = [&](const std::string& datagram) {
    return same_connection_length(datagram, *parse(datagram));
  };
  CHECK(sound(one) == one.size());
  CHECK(sound(one + two) == one.size() + two.size());
  CHECK(sound(one + foreign) == one.size());
  CHECK(sound(one + foreign + two) == one.size());
  CHECK(sound(one + two + foreign) == one.size() + two.size());
  CHECK(sound(one + "\x40" + "destination" + std::string(30, 'x')) == one.size() + 42);
  CHECK(sound(one + "\x40" + "another one" + std::string(30, 'x')) == one.size());
  CHECK(sound(one + std::string(50, '\0')) == one.size() + 50);  // padding outside of packets
  std::string second = seal_initial(keys, "destination", "source", 1, std::string(300, '\0'), kVersion2);
  CHECK(sound(one + second) == one.size());
}

}  // namespace marblehub::test
