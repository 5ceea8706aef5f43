// Random faults over fixed seeds: joins, crashes, pauses, partitions, loss, duplicates, leaves. The view's
// own invariants throw; the tests check that no incarnation decreases and that all views converge after the
// faults.
#include <catch2/catch.hpp>
#include <map>

#include "fleet/view/gossip.h"
#include "network.h"

using namespace marblehub::fleet;
using namespace marblehub::fleet::virtual_net;

namespace {

/// One run of random faults.
void random_run(std::uint64_t seed) {
  Network net(seed);
  std::size_t count = 3 + net.random_below(12);
  start_fleet(net, count, static_cast<Time>(net.random_below(3)) * kSecond);
  std::vector<std::map<std::string, std::uint64_t>> incarnations(count);
  std::vector<bool> hidden(count, false);
  std::vector<const View*> known_view(count, nullptr);
  net.on_step = [&](std::size_t i) {
    const View& view = *net[i].view;
    if (known_view[i] != &view) incarnations[i].clear(), known_view[i] = &view;
    for (const auto& [name, member] : view.members()) {
      std::uint64_t& before = incarnations[i][name];
      if (member.incarnation < before) FAIL("an incarnation decreased");
      before = member.incarnation;
    }
    if (view.members().at(net[i].name).status == MemberStatus::dead) FAIL("a member has itself as dead");
  };
  for (int step = 0; step < 40; ++step) {
    std::size_t i = net.random_below(count);
    switch (net.random_below(8)) {
      case 0:
        net.kill(i), known_view[i] = nullptr;
        break;
      case 1:
        if (!net[i].view) net.start(i);
        break;
      case 2:
        if (net[i].view) net.pause(i, static_cast<Time>(net.random_below(6000)) * kMillisecond);
        break;
      case 3: {
        std::uint64_t kind = net.random_below(3), at = net.random_below(count);
        net.partition = [kind, at](std::size_t a, std::size_t b) {
          return kind == 0 ? (a < at) != (b < at) : kind == 1 ? a < at && b >= at : a % 3 != b % 3;
        };
        break;
      }
      case 4:
        net.partition = nullptr;
        break;
      case 5:
        net.loss = static_cast<double>(net.random_below(5)) / 10;
        break;
      case 6:
        net.duplication = 0.3, net.max_delay = static_cast<Time>(3 + net.random_below(300)) * kMillisecond;
        break;
      default:
        if (net[i].view && net.random_below(3) == 0)
          net.leave(i), net.run(kMillisecond), net.kill(i), known_view[i] = nullptr;
    }
    net.run(static_cast<Time>(net.random_below(4000)) * kMillisecond);
  }
  net.partition = nullptr;
  net.loss = net.duplication = 0;
  net.max_delay = 2 * kMillisecond;
  for (std::size_t i = 0; i < count; ++i)
    if (!net[i].view) net.start(i);
  auto all = net.running();
  REQUIRE(all.size() == count);
  net.run(6 * kSecond);  // longer than any pause
  Time took = net.time_until([&] { return net.views_equal(all); }, 60 * kSecond);
  CAPTURE(seed, took);
  CHECK(took <= 15 * kSecond);
}

}  // namespace

TEST_CASE("views are equal after random faults") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) random_run(seed);
}

TEST_CASE("views are equal after random faults, many seeds", "[.]") {
  for (std::uint64_t seed = 1000; seed < 4000; ++seed) random_run(seed);
}

TEST_CASE(
    "each update is sent up to its limit, those with the fewest transmissions and then the newest first") {
  view::Gossip gossip;
  for (int i = 0; i < 40; ++i) {
    std::string name = "m";
    name += std::to_string(i);
    gossip.add({name, "10.0.0.1:1", 1, MemberStatus::alive, 1, {}, 0});
  }
  std::map<std::string, int> transmissions;
  auto first = gossip.take(40, 1000, "m39");
  REQUIRE(first.size() > 5);
  CHECK(first[0].name == "m38");  // m39 is the newest, and the addressee
  for (const auto& update : first) ++transmissions[update.name];
  auto second = gossip.take(40, 1000, "");
  CHECK(second[0].name == "m39");
  for (const auto& update : second) CHECK(transmissions.count(update.name) == 0);
  for (const auto& update : second) ++transmissions[update.name];
  while (gossip.size())
    for (const auto& update : gossip.take(40, 1000, "")) ++transmissions[update.name];
  for (const auto& [name, count] : transmissions) CHECK(count == view::Gossip::max_transmissions(40));
  CHECK(view::Gossip::max_transmissions(40) == 6);
}
