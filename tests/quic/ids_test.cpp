// Connection ids and packets of both QUIC versions, against the test vectors of the RFCs and of QUIC-LB.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- Connection ids --------------------------------------------------------------------------------

TEST_CASE("four-pass encryption gives the connection ids of the QUIC-LB draft's examples") {
  struct Example {
    const char *key, *server_id, *nonce, *id;
  };
  for (const Example& e :
       {Example{"8f95f09245765f80256934e50c66207f", "ed793a", "ee080dbf", "0720b1d07b359d3c"},
        {"fdf726a9893ec05c0632d3956680baf0", "31441a", "9c69c275", "0767947d29be054a"}}) {
    IdConfig config{0, 3, 4, from_hex(e.key)};
    IdCodec codec({config});
    CHECK(hex(codec.encode(0, from_hex(e.server_id), from_hex(e.nonce))) == e.id);
    std::string id = from_hex(e.id);
    auto decoded = codec.decode(id, true);
    REQUIRE(decoded.has_value());
    CHECK(hex(decoded->server_id) == e.server_id);
    CHECK(hex(codec.nonce_of(*decoded)) == e.nonce);
  }
}

TEST_CASE("ids of every length decode to their parts, and one bit of the nonce changes all encrypted bytes") {
  std::mt19937 rng(7);
  auto draw_bytes = [&](std::size_t n) {
    std::string out(n, '\0');
    for (char& c : out) c = static_cast<char>(rng());
    return out;
  };
  int length_count = 0;
  for (std::size_t server = 1; server <= 15; ++server)
    for (std::size_t nonce = 4; server + nonce <= 19; ++nonce, ++length_count) {
      INFO(server << " and " << nonce);
      unsigned rotation = static_cast<unsigned>(length_count % 7);
      IdCodec codec({{rotation, server, nonce, draw_bytes(16)}});
      std::string server_id = draw_bytes(server), first_nonce = draw_bytes(nonce), second_nonce = first_nonce;
      second_nonce.back() = static_cast<char>(second_nonce.back() ^ 1);
      std::string id = codec.encode(rotation, server_id, first_nonce);
      std::string other_id = codec.encode(rotation, server_id, second_nonce);
      CHECK(id.size() == 1 + server + nonce);
      std::string packet = id + "payload";
      auto decoded = codec.decode(packet, false);
      REQUIRE(decoded.has_value());
      CHECK(decoded->server_id == server_id);
      CHECK(codec.nonce_of(*decoded) == first_nonce);
      CHECK(decoded->id == id);
      // One changed bit of the nonce changes all encrypted bytes, up to two that are equal by coincidence.
      int same = 0;
      for (std::size_t i = 1; i < id.size(); ++i) same += id[i] == other_id[i];
      CHECK(same <= 2);
    }
  CHECK(length_count == 120);
}

TEST_CASE("an id whose first byte does not encode the length is decoded by its rotation alone") {
  IdConfig config{1, 4, 6, std::string(16, 'k'), false};
  IdCodec codec({config});
  std::set<char> first_bytes;
  for (int i = 0; i < 64; ++i) {
    std::string id = codec.encode(1, "WXYZ", "nonce!");
    first_bytes.insert(id[0]);
    CHECK(codec.decode(id, true)->server_id == "WXYZ");
  }
  CHECK(first_bytes.size() > 8);  // the five bits are random
}

TEST_CASE("a removed config still decodes until it expires, and blocks other configs with its rotation") {
  IdConfig a{0, 4, 6, ""}, b{1, 4, 6, std::string(16, 'k')}, other{0, 4, 6, std::string(16, 'x')};
  IdConfigs configs({a});
  CHECK(configs.conflict({a, b}).empty());
  CHECK(configs.conflict({other}).find("rotation 0 is in force") != std::string::npos);
  configs.replace({a, b}, kStart, 10 * kSecond);  // added before workers use it
  configs.replace({b}, kStart, 10 * kSecond);
  std::string old_id = IdCodec({a}).encode(0, "WXYZ", "nonce!");
  CHECK(configs.retiring() == 1);
  CHECK(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).find("rotation 0 is still being retired") != std::string::npos);
  CHECK(configs.conflict({b, a}).empty());  // the same config may be added again
  CHECK_FALSE(configs.expire(kStart + 9 * kSecond));
  CHECK(configs.expire(kStart + 10 * kSecond));
  CHECK_FALSE(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).empty());
}

// ---- Packets ---------------------------------------------------------------------------------------

TEST_CASE("version 2 has the keys of RFC 9369, appendix A") {
  InitialKeys client = initial_keys(from_hex("8394c8f03e515708"), false, kVersion2);
  CHECK(hex(client.key) == "8b1a0bc121284290a29e0971b5cd045d");
  CHECK(hex(client.iv) == "91f73e2351d8fa91660e909f");
  CHECK(hex(client.hp) == "45b95e15235d6f45a6b19cbcb0294ba9");
  InitialKeys server = initial_keys(from_hex("8394c8f03e515708"), true, kVersion2);
  CHECK(hex(server.key) == "82db637861d55e1d011f19ea71d5d2a7");
  CHECK(hex(server.iv) == "dd13c276499c0249d3310652");
  CHECK(hex(server.hp) == "edf6d05c83121201b436e16877593c3a");
  std::string sealed = seal_initial(client, "destination", "source", 3, "frames of some length", kVersion2);
  CHECK(parse(sealed)->type == PacketType::initial);
  CHECK((static_cast<unsigned char>(sealed[0]) >> 4 & 3) == 1);  // 3.2: its type is 0b01
  CHECK(open_initial(client, sealed) == "frames of some length");
  CHECK_FALSE(open_initial(initial_keys(from_hex("8394c8f03e515708"), false, kVersion1), sealed).has_value());
}

TEST_CASE("a Retry has the tag of RFC 9001, A.4, and of RFC 9369, A.4") {
  std::string original = from_hex("8394c8f03e515708"), source = from_hex("f067a5502a4262b5");
  // The unused low bits of the first byte differ in the two examples; the tag covers them.
  std::string v1 = from_hex("ff000000010008f067a5502a4262b5746f6b656e04a265ba2eff4d829058fb3f0f2496ba");
  std::string v2 = from_hex("cf6b3343cf0008f067a5502a4262b5746f6b656ec8646ce8bfe33952d955543665dcc7b6");
  for (const std::string& packet : {v1, v2}) {
    CHECK(retry_is_authentic(packet, original));
    CHECK_FALSE(retry_is_authentic(packet, from_hex("8394c8f03e515709")));
    std::string changed = packet;
    changed[16] = static_cast<char>(changed[16] ^ 1);
    CHECK_FALSE(retry_is_authentic(changed, original));
  }
  for (std::uint32_t version : {kVersion1, kVersion2}) {
    std::string retry_bytes = retry_packet(version, "", source, "token", original);
    CHECK(parse(retry_bytes)->type == PacketType::retry);
    CHECK(parse(retry_bytes)->source == source);
    CHECK(retry_is_authentic(retry_bytes, original));
  }
}

TEST_CASE("coalesced packets of another connection are cut off together with all that follows") {
  InitialKeys keys = initial_keys("destination", false);
  std::string first = seal_initial(keys, "destination", "source", 0, std::string(300, '\0'));
  std::string second = seal_initial(keys, "destination", "source", 1, std::string(300, '\0'));
  std::string other_connection = seal_initial(keys, "another one", "source", 1, std::string(300, '\0'));
  auto prefix_length = [&](const std::string& datagram) {
    return same_connection_length(datagram, *parse(datagram));
  };
  CHECK(prefix_length(first) == first.size());
  CHECK(prefix_length(first + second) == first.size() + second.size());
  CHECK(prefix_length(first + other_connection) == first.size());
  CHECK(prefix_length(first + other_connection + second) == first.size());
  CHECK(prefix_length(first + second + other_connection) == first.size() + second.size());
  CHECK(prefix_length(first + "\x40" + "destination" + std::string(30, 'x')) == first.size() + 42);
  CHECK(prefix_length(first + "\x40" + "another one" + std::string(30, 'x')) == first.size());
  CHECK(prefix_length(first + std::string(50, '\0')) == first.size() + 50);  // padding outside of packets
  std::string version2_packet =
      seal_initial(keys, "destination", "source", 1, std::string(300, '\0'), kVersion2);
  CHECK(prefix_length(first + version2_packet) == first.size());
}

}  // namespace marblehub::test
