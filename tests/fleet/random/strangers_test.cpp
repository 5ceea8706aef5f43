// A node's driver on real sockets: invalid messages change nothing, and each is counted once by the reason
// for which it was dropped.

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "fleet/net/driver.h"
#include "fleet/view/message.h"
#include "mutator.h"
#include "support/sockets.h"

namespace marblehub::fleet::fuzzing {
namespace {

const std::string kKey(32, 'k');

std::uint16_t free_port() { return static_cast<std::uint16_t>(test::free_port(SOCK_STREAM)); }

// The metric's labels of DropReason, in the order of its values.
const char* const kReasonLabels[] = {"too_long", "cut", "other_fleet", "forged", "schema"};

// The driver of member alva on an event loop of its own.
struct DriverFixture {
  DriverFixture() : port(free_port()) {
    NodeOptions parts;
    Settings& s = parts.settings;
    s.enabled = true;
    s.fleet = "tartu";
    s.name = "alva";
    s.listen = s.advertise = "127.0.0.1:" + std::to_string(port);
    s.members = {"alva", "boris", "celia"};
    driver = std::make_unique<NodeDriver>(loop, std::move(parts), EnvelopeSealer("tartu", {kKey}), metrics);
  }
  std::map<std::string, int> dropped() const {
    std::map<std::string, int> all;
    for (const metrics::Metric& each : metrics.all())
      if (each.name == "marblehub_fleet_messages_dropped_total" && each.value != 0)
        all[each.labels.at(0).second] = static_cast<int>(each.value);
    return all;
  }
  double received() const {
    for (const metrics::Metric& each : metrics.all())
      if (each.name == "marblehub_fleet_messages_received_total") return each.value;
    return -1;
  }
  // Runs the loop until `done` holds, for 20 s at most; returns whether it holds.
  bool run_until(const std::function<bool()>& done) {
    const Time end = loop.now() + 20 * kSecond;
    loop.before_wait([&] {
      if (done() || loop.now() > end) loop.stop();
      return Time{1000};
    });
    loop.run();
    loop.before_wait(nullptr);
    return done();
  }
  net::Loop loop;
  metrics::Registry metrics;
  std::uint16_t port;
  std::unique_ptr<NodeDriver> driver;
};

}  // namespace

TEST_CASE("invalid messages on the sockets change nothing and are counted by their reasons", "[mutation]") {
  DriverFixture alva;
  const EnvelopeSealer own_sealer("tartu", {kKey}), foreign_sealer("narva", {kKey}),
      forging_sealer("tartu", {std::string(32, 'f')});
  view::ViewMessage message;
  message.kind = view::MessageKind::ping;
  message.start_incarnation = message.incarnation = 1;
  message.address = "127.0.0.1:" + std::to_string(free_port());
  const auto envelope_from = [&](const char* sender, Time sent_at) {
    return Envelope{kNewestSchema, sender, 1, sent_at, Component::view, view::encode(message)};
  };
  const Time now = alva.driver->now();
  Envelope newer = envelope_from("boris", now);
  newer.schema = kNewestSchema + 1;
  const std::string valid = own_sealer.seal(envelope_from("boris", now));
  std::map<std::string, int> expected;
  std::vector<std::string> messages;
  const auto add = [&](const std::string& bytes, const std::string& reason) {
    messages.push_back(bytes);
    ++expected[reason];
  };
  for (int i = 0; i < 8; ++i) {
    add(own_sealer.seal(newer), "schema");
    add(foreign_sealer.seal(envelope_from("boris", now)), "other_fleet");
    add(forging_sealer.seal(envelope_from("boris", now)), "forged");
    add(own_sealer.seal(envelope_from("boris", now - 2 * kMaxFirstContactOffset)), "stale");
    add(own_sealer.seal(envelope_from("mallory", now)), "stranger");
  }
  Mutator mutator{std::mt19937_64(20261206)};
  while (messages.size() < 4000) {
    std::string mutated = valid;
    mutator.mutate(mutated);
    if (mutated == valid) continue;
    mutated.resize(std::min<std::size_t>(mutated.size(), 60'000));  // the limit of a datagram
    DropReason reason{};
    REQUIRE_FALSE(own_sealer.open(mutated, reason, Transport::datagram));
    add(mutated, kReasonLabels[static_cast<int>(reason)]);
  }
  const std::uint64_t digest = alva.driver->node().view().digest();
  const std::uint64_t generation = alva.driver->node().view().generation();
  const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in to = test::loopback(alva.port);
  const auto send = [&](const std::string& bytes) {
    REQUIRE(::sendto(udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to) ==
            static_cast<ssize_t>(bytes.size()));
  };
  const auto counted = [&] {
    std::size_t all = 0;
    for (const auto& [reason, count] : alva.dropped()) all += static_cast<std::size_t>(count);
    return all;
  };
  for (std::size_t at = 0;
       at < messages.size();) {  // small batches, so that its socket buffer does not overflow
    for (int i = 0; i < 8 && at < messages.size(); ++i) send(messages[at++]);
    REQUIRE(alva.run_until([&] { return counted() >= at; }));
  }
  for (int i = 0; i < 6; ++i) {  // one stream each: the first invalid frame closes it
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(tcp, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    const std::string& frame = messages[2];
    std::string bytes = {0, 0, static_cast<char>(frame.size() >> 8), static_cast<char>(frame.size())};
    bytes += frame + bytes + frame;
    REQUIRE(::send(tcp, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    ++expected["forged"];
    const std::size_t all = messages.size() + static_cast<std::size_t>(i) + 1;
    CHECK(alva.run_until([&] { return counted() >= all; }));
    ::close(tcp);
  }
  CHECK(alva.dropped() == expected);
  CHECK(expected.size() == 7);
  CHECK(alva.received() == 0);
  CHECK(alva.driver->node().view().digest() == digest);
  CHECK(alva.driver->node().view().generation() == generation);
  send(
      own_sealer.seal(envelope_from("boris", alva.driver->now())));  // messages of members are still received
  CHECK(alva.run_until([&] { return alva.received() == 1; }));
  CHECK(alva.driver->node().view().members().contains("boris"));
  ::close(udp);
}

}  // namespace marblehub::fleet::fuzzing
