// Random load over fixed seeds: joins, crashes, pauses, cuts, loss, repeats, leaves. The invariants inside
// the view throw; outside, no incarnation goes back, and once it is quiet all views are equal.
#include <catch2/catch.hpp>
#include <map>

#include "fleet/view/gossip.h"
#include "network.h"

using namespace marblehub::fleet;
using namespace marblehub::fleet::virtual_net;

namespace {

void random_run(std::uint64_t seed) {
  Network net(seed);
  std::size_t count = 3 + net.draw(12);
  fleet(net, count, static_cast<Time>(net.draw(3)) * kSecond);
  std::vector<std::map<std::string, std::uint64_t>> highest(count);
  std::vector<bool> hidden(count, false);
  std::vector<const View*> same(count, nullptr);
  net.stepped = [&](std::size_t i) {
    const View& view = *net[i].view;
    if (same[i] != &view) highest[i].clear(), same[i] = &view;
    for (const auto& [name, member] : view.members()) {
      std::uint64_t& before = highest[i][name];
      if (member.incarnation < before) FAIL("an incarnation goes back");
      before = member.incarnation;
    }
    if (view.members().at(net[i].name).status == MemberStatus::dead) FAIL("holds itself gone");
  };
  for (int step = 0; step < 40; ++step) {
    std::size_t i = net.draw(count);
    switch (net.draw(8)) {
      case 0:
        net.kill(i), same[i] = nullptr;
        break;
      case 1:
        if (!net[i].view) net.start(i);
        break;
      case 2:
        if (net[i].view) net.pause(i, static_cast<Time>(net.draw(6000)) * kMillisecond);
        break;
      case 3: {
        std::uint64_t kind = net.draw(3), at = net.draw(count);
        net.cut = [kind, at](std::size_t a, std::size_t b) {
          return kind == 0 ? (a < at) != (b < at) : kind == 1 ? a < at && b >= at : a % 3 != b % 3;
        };
        break;
      }
      case 4:
        net.cut = nullptr;
        break;
      case 5:
        net.loss = static_cast<double>(net.draw(5)) / 10;
        break;
      case 6:
        net.repeats = 0.3, net.most_delay = static_cast<Time>(3 + net.draw(300)) * kMillisecond;
        break;
      default:
        if (net[i].view && net.draw(3) == 0)
          net.leave(i), net.run(kMillisecond), net.kill(i), same[i] = nullptr;
    }
    net.run(static_cast<Time>(net.draw(4000)) * kMillisecond);
  }
  net.cut = nullptr;
  net.loss = net.repeats = 0;
  net.most_delay = 2 * kMillisecond;
  for (std::size_t i = 0; i < count; ++i)
    if (!net[i].view) net.start(i);
  auto all = net.running();
  REQUIRE(all.size() == count);
  net.run(6 * kSecond);  // the last pause is over
  Time took = net.time_until([&] { return net.equal(all); }, 60 * kSecond);
  CAPTURE(seed, took);
  CHECK(took <= 15 * kSecond);
}

}  // namespace

TEST_CASE("random load ends in equal views") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) random_run(seed);
}

TEST_CASE("random load, many seeds", "[.]") {
  for (std::uint64_t seed = 1000; seed < 4000; ++seed) random_run(seed);
}

TEST_CASE("each news is told its bound of times at most, the newest of the least told first") {
  view::Gossip gossip;
  for (int i = 0; i < 40; ++i) {
    std::string name = "m";
    name += std::to_string(i);
    gossip.add({name, "10.0.0.1:1", 1, MemberStatus::alive, 1, {}, 0});
  }
  std::map<std::string, int> told;
  auto first = gossip.take(40, 1000, "m39");
  REQUIRE(first.size() > 5);
  CHECK(first[0].name == "m38");  // m39 is the newest, and the addressee
  for (const auto& update : first) ++told[update.name];
  auto second = gossip.take(40, 1000, "");
  CHECK(second[0].name == "m39");
  for (const auto& update : second) CHECK(told.count(update.name) == 0);
  for (const auto& update : second) ++told[update.name];
  while (gossip.size())
    for (const auto& update : gossip.take(40, 1000, "")) ++told[update.name];
  for (const auto& [name, transmissions] : told) CHECK(transmissions == view::Gossip::max_transmissions(40));
  CHECK(view::Gossip::max_transmissions(40) == 6);
}
