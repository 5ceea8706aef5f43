// A driver on its sockets: what strangers send it changes nothing, and each message counts once by its
// reason.

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "mutator.h"
#include "fleet/net/driver.h"
#include "fleet/view/message.h"
#include "support/sockets.h"

namespace marblehub::fleet::fuzzing {
namespace {

const std::string kKey(32, 'k');

std::uint16_t free_port() { return static_cast<std::uint16_t>(test::free_port(SOCK_STREAM)); }

const char* const kWords[] = {"too_long", "cut", "other_fleet", "forged", "schema"};

struct Alva {
  Alva() : port(free_port()) {
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
  bool until(const std::function<bool()>& done) {
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

TEST_CASE("strangers' messages on the sockets change nothing and count by their reasons", "[mutation]") {
  Alva alva;
  const EnvelopeSealer ours("tartu", {kKey}), theirs("narva", {kKey}),
      forger("tartu", {std::string(32, 'f')});
  view::ViewMessage message;
  message.kind = view::MessageKind::ping;
  message.start_incarnation = message.incarnation = 1;
  message.address = "127.0.0.1:" + std::to_string(free_port());
  const auto from = [&](const char* sender, Time sent_at) {
    return Envelope{kNewestSchema, sender, 1, sent_at, Component::view, view::encode(message)};
  };
  const Time now = alva.driver->now();
  Envelope newer = from("boris", now);
  newer.schema = kNewestSchema + 1;
  const std::string good = ours.seal(from("boris", now));
  std::map<std::string, int> expected;
  std::vector<std::string> messages;
  const auto add = [&](const std::string& octets, const std::string& reason) {
    messages.push_back(octets);
    ++expected[reason];
  };
  for (int i = 0; i < 8; ++i) {
    add(ours.seal(newer), "schema");
    add(theirs.seal(from("boris", now)), "other_fleet");
    add(forger.seal(from("boris", now)), "forged");
    add(ours.seal(from("boris", now - 2 * kMaxFirstContactOffset)), "stale");
    add(ours.seal(from("mallory", now)), "stranger");
  }
  Changer changer{std::mt19937_64(20261206)};
  while (messages.size() < 4000) {
    std::string bad = good;
    changer.change(bad);
    if (bad == good) continue;
    bad.resize(std::min<std::size_t>(bad.size(), 60'000));  // what one datagram takes
    DropReason why{};
    REQUIRE_FALSE(ours.open(bad, why, Transport::datagram));
    add(bad, kWords[static_cast<int>(why)]);
  }
  const std::uint64_t digest = alva.driver->node().view().digest();
  const std::uint64_t generation = alva.driver->node().view().generation();
  const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in to = test::loopback(alva.port);
  const auto send = [&](const std::string& octets) {
    REQUIRE(::sendto(udp, octets.data(), octets.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                     sizeof to) == static_cast<ssize_t>(octets.size()));
  };
  const auto counted = [&] {
    std::size_t all = 0;
    for (const auto& [reason, count] : alva.dropped()) all += static_cast<std::size_t>(count);
    return all;
  };
  for (std::size_t at = 0; at < messages.size();) {  // no more at once than its socket holds
    for (int i = 0; i < 8 && at < messages.size(); ++i) send(messages[at++]);
    REQUIRE(alva.until([&] { return counted() >= at; }));
  }
  for (int i = 0; i < 6; ++i) {  // a stream each: the first bad frame ends it
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(tcp, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    const std::string& frame = messages[2];
    std::string octets = {0, 0, static_cast<char>(frame.size() >> 8), static_cast<char>(frame.size())};
    octets += frame + octets + frame;
    REQUIRE(::send(tcp, octets.data(), octets.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(octets.size()));
    ++expected["forged"];
    const std::size_t all = messages.size() + static_cast<std::size_t>(i) + 1;
    CHECK(alva.until([&] { return counted() >= all; }));
    ::close(tcp);
  }
  CHECK(alva.dropped() == expected);
  CHECK(expected.size() == 7);
  CHECK(alva.received() == 0);
  CHECK(alva.driver->node().view().digest() == digest);
  CHECK(alva.driver->node().view().generation() == generation);
  send(ours.seal(from("boris", alva.driver->now())));  // a member's word is heard all the while
  CHECK(alva.until([&] { return alva.received() == 1; }));
  CHECK(alva.driver->node().view().members().contains("boris"));
  ::close(udp);
}

}  // namespace marblehub::fleet::fuzzing
