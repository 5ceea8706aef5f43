// The encoding of the view's messages: round trips, limits, older and newer schemas, corrupted messages.
#include "fleet/view/message.h"

#include <flatbuffers/flatbuffers.h>

#include <catch2/catch.hpp>

#include "fleet/wire/envelope.h"
#include "message_generated.h"
#include "network.h"

using namespace marblehub::fleet;
using namespace marblehub::fleet::view;
using namespace marblehub::fleet::virtual_net;

namespace {

ViewMessage sample() {
  ViewMessage message;
  message.kind = MessageKind::ping_request;
  message.sequence = 0xfeedface12345678;
  message.start_incarnation = 7;
  message.incarnation = 9;
  message.address = "10.0.0.1:7946";
  message.target = "alva";
  message.target_address = "10.0.0.2:7946";
  message.digest = 42;
  message.updates.push_back(
      {"boris", "10.0.0.3:7946", 3, MemberStatus::suspect, 1, {"alva", "celia"}, 5 * kSecond});
  message.updates.push_back({std::string(128, 'n'), std::string(64, 'a'), 1, MemberStatus::left, 1, {}, 0});
  return message;
}

}  // namespace

TEST_CASE("a decoded message equals the encoded one") {
  auto out = decode(encode(sample()));
  REQUIRE(out);
  CHECK(out->kind == MessageKind::ping_request);
  CHECK(out->sequence == 0xfeedface12345678);
  CHECK(out->start_incarnation == 7);
  CHECK(out->incarnation == 9);
  CHECK(out->target == "alva");
  CHECK(out->target_address == "10.0.0.2:7946");
  CHECK(out->digest == 42);
  REQUIRE(out->updates.size() == 2);
  CHECK(out->updates[0].accusers == std::vector<std::string>{"alva", "celia"});
  CHECK(out->updates[0].age == 5 * kSecond);
  CHECK(out->updates[1].status == MemberStatus::left);
}

TEST_CASE("a message with a field out of its limits is not decoded") {
  auto refused = [](auto&& mutate) {
    ViewMessage message = sample();
    mutate(message);
    return !decode(encode(message));
  };
  CHECK(refused([](ViewMessage& s) { s.kind = static_cast<MessageKind>(0); }));
  CHECK(refused([](ViewMessage& s) { s.kind = static_cast<MessageKind>(9); }));
  CHECK(refused([](ViewMessage& s) { s.incarnation = kMaxIncarnation + 1; }));
  CHECK(refused([](ViewMessage& s) { s.address.clear(); }));
  CHECK(refused([](ViewMessage& s) { s.address = std::string(65, 'a'); }));
  CHECK(refused([](ViewMessage& s) { s.status = static_cast<MemberStatus>(4); }));
  CHECK(refused([](ViewMessage& s) { s.updates[0].name.clear(); }));
  CHECK(refused([](ViewMessage& s) { s.updates[0].name = std::string(129, 'n'); }));
  CHECK(refused([](ViewMessage& s) { s.updates[0].incarnation = ~std::uint64_t{0}; }));
  CHECK(refused([](ViewMessage& s) { s.updates[0].status = static_cast<MemberStatus>(9); }));
  CHECK_FALSE(refused([](ViewMessage&) {}));
}

TEST_CASE("the size of an encoded update is not underestimated") {
  ViewMessage message = sample();
  message.updates.clear();
  CHECK(encode(message).size() <= encoded_header_size(message));
  for (std::size_t length : {1, 2, 3, 4, 64, 128}) {
    MemberUpdate update{std::string(length, 'n'),
                        std::string(std::min<std::size_t>(length, 64), 'a'),
                        5,
                        MemberStatus::suspect,
                        2,
                        {std::string(length, 'x'), std::string(length, 'y')},
                        7 * kSecond};
    std::size_t before = encode(message).size();
    message.updates.push_back(update);
    CHECK(encode(message).size() - before <= encoded_size(update));
  }
}

TEST_CASE("unknown fields of a newer member are ignored, missing fields of an older one have defaults") {
  flatbuffers::FlatBufferBuilder newer;
  auto address = newer.CreateString("10.0.0.9:1");
  auto unknown = newer.CreateString("a field of schema 2");
  auto table = newer.StartTable();
  newer.AddElement<std::uint8_t>(wire::ViewMessage::VT_KIND, 1, 0);
  newer.AddElement<std::uint64_t>(wire::ViewMessage::VT_INCARNATION, 12, 0);
  newer.AddOffset(wire::ViewMessage::VT_ADDRESS, address);
  newer.AddElement<std::uint8_t>(wire::ViewMessage::VT_SCHEMA, 2, 1);
  newer.AddOffset(wire::ViewMessage::VT_UPDATES + 2, unknown);
  newer.AddElement<std::uint64_t>(wire::ViewMessage::VT_UPDATES + 4, 77, 0);
  newer.Finish(flatbuffers::Offset<wire::ViewMessage>(newer.EndTable(table)));
  auto message = decode({reinterpret_cast<const char*>(newer.GetBufferPointer()), newer.GetSize()});
  REQUIRE(message);
  CHECK(message->incarnation == 12);
  CHECK(message->schema == 2);

  flatbuffers::FlatBufferBuilder older;  // only kind and address
  address = older.CreateString("10.0.0.9:1");
  table = older.StartTable();
  older.AddElement<std::uint8_t>(wire::ViewMessage::VT_KIND, 1, 0);
  older.AddOffset(wire::ViewMessage::VT_ADDRESS, address);
  older.Finish(flatbuffers::Offset<wire::ViewMessage>(older.EndTable(table)));
  message = decode({reinterpret_cast<const char*>(older.GetBufferPointer()), older.GetSize()});
  REQUIRE(message);
  CHECK(message->schema == 1);
  CHECK(message->status == MemberStatus::alive);
  CHECK(message->updates.empty());
  Network net(1);  // such a message is answered
  auto all = start_fleet(net, 3, 0);
  net.run(3 * kSecond);
  Outbox out;
  net[0].view->received(net.now(), "veteran",
                        {reinterpret_cast<const char*>(older.GetBufferPointer()), older.GetSize()},
                        Transport::datagram, out);
  CHECK(net[0].view->members().count("veteran") == 1);
  CHECK_FALSE(out.empty());
}

TEST_CASE("truncated, mutated, random and oversized messages change nothing behind the envelope") {
  Network net(24);
  auto all = start_fleet(net, 5, 0);
  net.run(5 * kSecond);
  const std::uint64_t digest = net[0].view->digest(), generation = net[0].view->generation();
  EnvelopeSealer sealer("tartu", {std::string(32, 'k')});
  std::mt19937_64 random(24);
  ViewMessage message = sample();
  const std::string body = encode(message), sealed = sealer.seal({1, "boris", 1, 0, Component::view, body});
  std::size_t opened = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string corrupted = sealed;
    switch (round % 4) {
      case 0:
        corrupted.resize(random() % corrupted.size());
        break;
      case 1:
        corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
        break;
      case 2:
        corrupted.insert(random() % corrupted.size(), 1 + random() % 40, static_cast<char>(random()));
        break;
      default:
        corrupted.resize(round % 1000 == 3 ? 65536 : random() % 1500);
        for (char& c : corrupted) c = static_cast<char>(random());
    }
    DropReason why{};
    auto envelope = sealer.open(corrupted, why, round % 2 ? Transport::datagram : Transport::stream);
    if (envelope) ++opened, net.deliver(0, envelope->sender, envelope->body, Transport::datagram);
  }
  CHECK(opened == 0);
  // From a faulty member that has the key: oversized, truncated and with the wrong transport.
  for (Transport transport : {Transport::datagram, Transport::stream}) {
    net.deliver(0, "boris", std::string(65536, '\0'), transport);
    net.deliver(0, "boris", body.substr(0, body.size() / 2), transport);
    net.deliver(0, "", body, transport);
    net.deliver(0, std::string(129, 'x'), body, transport);
  }
  net.deliver(0, "boris", body, Transport::stream);
  net.deliver(0, "boris", body + std::string(65536, 'x'), Transport::datagram);
  CHECK(net[0].view->digest() == digest);
  CHECK(net[0].view->generation() == generation);
}

TEST_CASE("a duplicated message changes nothing") {
  Network net(9);
  auto all = start_fleet(net, 5, 0);
  net.run(5 * kSecond);
  Outbox sent;
  net.on_send = [&](std::size_t from, const Outgoing& one) {
    if (from == 1) sent.push_back(one);
  };
  net.run(10 * kSecond);
  net.on_send = nullptr;
  REQUIRE_FALSE(sent.empty());
  const std::uint64_t generation = net[0].view->generation();
  for (int again = 0; again < 50; ++again)
    for (const Outgoing& one : sent) net.deliver(0, net[1].name, one.body, one.transport);
  CHECK(net[0].view->generation() == generation);
}

TEST_CASE("mutated messages of a faulty member violate no limit and no invariant") {
  Network net(25);
  start_fleet(net, 5, 0);
  net.run(5 * kSecond);
  std::mt19937_64 random(25);
  std::vector<std::string> bodies;
  for (int kind = 1; kind <= 8; ++kind) {
    ViewMessage message = sample();
    message.kind = static_cast<MessageKind>(kind);
    message.target = kind == 3 ? "boris" : "";
    message.updates.push_back(
        {"balancer-0", net[0].address, 5'000'000'000, MemberStatus::suspect, 1, {"x"}, 0});
    bodies.push_back(encode(message));
  }
  std::size_t decoded = 0;
  for (int round = 0; round < 30000; ++round) {
    std::string body = bodies[random() % bodies.size()];
    for (std::uint64_t changes = random() % 4; changes > 0; --changes)
      body[random() % body.size()] = static_cast<char>(random());
    if (random() % 8 == 0) body.resize(random() % body.size());
    decoded += decode(body).has_value();
    net.deliver(0, random() % 3 ? "boris" : "balancer-" + std::to_string(random() % 5), body,
                random() % 2 ? Transport::datagram : Transport::stream);
    if (round % 500 == 0) net.run(kSecond);
  }
  CHECK(decoded > 1000);  // some decode to wrong contents, and no invariant may fail on them
  CHECK(net[0].view->members().size() <= kMaxMembers);
  CHECK(net[0].view->members().at("balancer-0").status == MemberStatus::alive);
}
