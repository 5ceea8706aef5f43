// Detection and convergence times of fleets on the simulated network, over fixed seeds.
#include <algorithm>
#include <catch2/catch.hpp>

#include "network.h"

using namespace marblehub::fleet;
using namespace marblehub::fleet::virtual_net;

namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 5, 8, 13, 21, 34};

std::vector<std::size_t> without(std::vector<std::size_t> all, std::size_t one) {
  std::erase(all, one);
  return all;
}

/// Counts, after every step of a run, how often a live member has another live member as dead.
struct FalseDeaths {
  std::size_t count = 0;
  explicit FalseDeaths(Network& net, std::vector<std::size_t> live) {
    net.on_step = [this, &net, live](std::size_t i) {
      for (std::size_t j : live)
        if (auto it = net[i].view->members().find(net[j].name);
            it != net[i].view->members().end() && it->second.status == MemberStatus::dead)
          ++count;
    };
  }
};

MemberStatus status(Network& net, std::size_t of, std::size_t at) {
  return net[at].view->members().at(net[of].name).status;
}

}  // namespace

TEST_CASE("all members know each other within 2 s of the last start") {
  for (std::uint64_t seed : kSeeds)
    for (std::size_t count : {2, 9, 30})
      for (Time spread : {Time{0}, 3 * kSecond}) {
        Network net(seed);
        auto all = start_fleet(net, count, spread);
        CHECK(net.time_until([&] { return net.views_equal(all); }, 10 * kSecond) <= 2 * kSecond);
      }
}

TEST_CASE("half the fleet starting at once is known to all within 2 s") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 15, kSecond);
    net.run(10 * kSecond);
    for (std::size_t i = 0; i < 15; ++i) all.push_back(net.add_process("new-" + std::to_string(i)));
    for (std::size_t i = 15; i < 30; ++i) net.start(all[i]);
    CHECK(net.time_until([&] { return net.views_equal(all); }, 10 * kSecond) <= 2 * kSecond);
  }
}

TEST_CASE("a crashed member is removed from every view within 5 s and known again 2 s after its restart") {
  for (std::uint64_t seed : kSeeds)
    for (std::size_t count : {3, 5, 9}) {
      Network net(seed);
      auto all = start_fleet(net, count, kSecond);
      net.run(10 * kSecond + static_cast<Time>(seed) * 37 * kMillisecond);
      std::size_t dead = seed % count;  // seeds among them
      net.kill(dead);
      auto rest = without(all, dead);
      CHECK(net.time_until([&] { return net.views_equal(rest); }, 20 * kSecond) <= 5 * kSecond);
      net.run(5 * kSecond);
      net.start(dead);
      CHECK(net.time_until([&] { return net.views_equal(all); }, 10 * kSecond) <= 2 * kSecond);
      net.kill(dead);  // a quick restart with a lower incarnation must be known again too
      net.run(kSecond);
      net.start(dead, 1);
      CHECK(net.time_until([&] { return net.views_equal(all); }, 10 * kSecond) <= 2 * kSecond);
    }
}

TEST_CASE("in a fleet of a hundred a crashed member is removed in 4.5 s at the median") {
  Network net(7);
  auto rest = start_fleet(net, 100, kSecond);
  net.run(10 * kSecond);
  std::vector<Time> took;
  for (std::size_t dead = 3; took.size() < 5; dead += 17) {
    net.kill(dead);
    rest = without(rest, dead);
    took.push_back(net.time_until([&] { return net.views_equal(rest); }, 20 * kSecond));
    net.run(3 * kSecond + static_cast<Time>(dead) * 7 * kMillisecond);
  }
  std::sort(took.begin(), took.end());
  CAPTURE(took);
  CHECK(took[2] <= 4500 * kMillisecond);
}

TEST_CASE("with 20% loss for 60 s no live member is declared dead") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    FalseDeaths false_deaths(net, all);
    net.loss = 0.2;
    net.duplication = 0.05;
    net.max_delay = 40 * kMillisecond;
    net.run(60 * kSecond);
    CHECK(false_deaths.count == 0);
  }
}

TEST_CASE("a paused member causes no false deaths and is known again within 5 s") {
  for (std::uint64_t seed : kSeeds)
    for (Time span : {kSecond, 4 * kSecond, 30 * kSecond}) {
      Network net(seed);
      auto all = start_fleet(net, 9, kSecond);
      net.run(5 * kSecond);
      FalseDeaths false_deaths(net, without(all, 4));
      net.pause(4, span);
      net.run(span + 100 * kMillisecond);
      CHECK(net[4].view->local_health() > 0);  // it noticed the pause
      CHECK(net.time_until([&] { return net.views_equal(all); }, 20 * kSecond) <= 5 * kSecond);
      net.run(10 * kSecond);
      CHECK(false_deaths.count == 0);
    }
}

// Guards against a round of ping requests sent so late that the next tick is due at the same time.
TEST_CASE("members with pauses around the ack timeout do not spin and declare no one dead") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    FalseDeaths false_deaths(net, all);
    Time until[3] = {};
    for (Time end = net.now() + 20 * kSecond; net.now() < end; net.run(10 * kMillisecond))
      for (std::size_t i = 0; i < 3; ++i)
        if (net.now() >= until[i]) {
          const Time span = 75 * kMillisecond + static_cast<Time>(net.random_below(150)) * kMillisecond;
          net.pause(i, span);
          until[i] = net.now() + span + 20 * kMillisecond;
        }
    CHECK(false_deaths.count == 0);
  }
}

TEST_CASE("views are equal within 5 s of the end of a partition") {
  using Partition = std::function<bool(std::size_t, std::size_t)>;
  const std::pair<const char*, Partition> partitions[] = {
      {"halves", [](std::size_t a, std::size_t b) { return (a < 4) != (b < 4); }},
      {"thirds", [](std::size_t a, std::size_t b) { return a / 3 != b / 3; }},
      {"one way", [](std::size_t a, std::size_t b) { return a < 4 && b >= 4; }},
      {"one isolated", [](std::size_t a, std::size_t b) { return (a == 0) != (b == 0); }},
      {"one receives nothing", [](std::size_t, std::size_t b) { return b == 8; }}};
  for (const auto& [what, partition] : partitions)
    for (std::uint64_t seed : kSeeds)
      for (Time span : {3 * kSecond, 12 * kSecond, 120 * kSecond}) {
        CAPTURE(what, seed, span);
        Network net(seed);
        auto all = start_fleet(net, 9, kSecond);
        net.run(5 * kSecond);
        net.partition = partition;
        net.run(span);
        net.partition = nullptr;
        CHECK(net.time_until([&] { return net.views_equal(all); }, 30 * kSecond) <= 5 * kSecond);
      }
}

// Each failed probe lengthens the next period by at most one, and a suspicion that no other member confirms
// has six times the minimum timeout. The bound is the current period, the probes of the m unreachable members
// with those of the r reachable ones in between, and that timeout.
TEST_CASE("the sides of a partition declare the others dead within the sum of periods and timeouts") {
  for (std::size_t size : {5, 3, 2, 1})
    for (std::uint64_t seed : kSeeds) {
      Network net(seed);
      auto all = start_fleet(net, 9, kSecond);
      net.run(5 * kSecond + static_cast<Time>(seed) * 37 * kMillisecond);
      net.partition = [&](std::size_t a, std::size_t b) { return a / size != b / size; };
      auto sides_separated = [&] {
        for (std::size_t i : all)
          for (std::size_t j : all)
            if (i / size != j / size && status(net, j, i) != MemberStatus::dead) return false;
        return true;
      };
      Time bound = 0;
      for (std::size_t i : all) {
        const auto near =
            static_cast<Time>(std::min<std::size_t>(9, (i / size + 1) * size) - i / size * size);
        const Time far = 9 - near;
        bound = std::max(bound, net.settings.probe * (1 + far * (far + 1) / 2 + (near - 1) * (far + 1)));
      }
      bound += 6 * 4 * net.settings.probe + 2 * net.settings.probe / 5;  // and one gossip step
      CAPTURE(size, seed, bound);
      const Time took = net.time_until(sides_separated, 90 * kSecond);
      CHECK(took <= bound);
      if (size == 3) CHECK(took <= 20 * kSecond);
    }
}

TEST_CASE("each half of a partition converges, and budget_members is held and then decays") {
  Network net(11);
  auto all = start_fleet(net, 10, kSecond);
  net.run(5 * kSecond);
  net.partition = [](std::size_t a, std::size_t b) { return (a % 10 < 5) != (b % 10 < 5); };
  net.run(60 * kSecond);
  auto budget = [&](std::size_t i) { return net[i].view->budget_members(net.now()); };
  for (std::size_t i : all) {
    REQUIRE(net[i].view->live_count() == 5);
    CHECK(net[i].view->converged(net.now()));
    CHECK(budget(i) == 10);
  }
  std::size_t late = net.add_process("late");  // joins one half and counts the members that died before
  net.start(late);
  net.run(2 * kSecond);
  CHECK(net[late].view->live_count() == 6);
  CHECK(budget(late) == 11);
  net.kill(late);
  net.run(kBudgetHold);  // the hold of the first ones has ended and they decay
  CHECK(budget(7) > 5);
  CHECK(budget(7) < 10);
  net.run(2 * kBudgetHold);
  for (std::size_t i : all) CHECK(budget(i) == 5);
  net.partition = nullptr;
  net.run(5 * kSecond);
  for (std::size_t i : all) CHECK(budget(i) == 10);
}

TEST_CASE("views are equal within 5 s of a partition that flapped every 2 s") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    for (int flap = 0; flap < 15; ++flap) {
      net.partition = [](std::size_t a, std::size_t b) { return (a < 5) != (b < 5); };
      net.run(2 * kSecond);
      net.partition = nullptr;
      net.run(2 * kSecond);
    }
    CHECK(net.time_until([&] { return net.views_equal(all); }, 30 * kSecond) <= 5 * kSecond);
  }
}

TEST_CASE("a member that leaves is removed at once, without suspicion") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 30, kSecond);
    net.run(5 * kSecond);
    bool suspected = false;
    net.on_step = [&](std::size_t i) {
      MemberStatus s = status(net, 3, i);
      suspected |= s == MemberStatus::suspect || s == MemberStatus::dead;
    };
    net.leave(3);
    net.on_step(3);
    net.run(10 * kMillisecond);  // its messages have been sent
    net.kill(3);
    auto rest = without(all, 3);
    CHECK(net.time_until([&] { return net.views_equal(rest); }, 10 * kSecond) <= 2 * kSecond);
    CHECK(net[7].view->budget_members(net.now()) == 29);
    net.run(20 * kSecond);
    CHECK_FALSE(suspected);
    CHECK(status(net, 3, 0) == MemberStatus::left);
  }
}

TEST_CASE("of two processes with one name the later one stops") {
  for (std::uint64_t seed : kSeeds)
    for (double loss : {0.0, 0.2}) {
      Network net(seed);
      auto all = start_fleet(net, 9, kSecond);
      net.run(5 * kSecond);
      net.loss = loss;
      std::size_t duplicate = net.add_process(net[4].name);
      net.start(duplicate);
      CHECK(net.time_until([&] { return net[duplicate].view->name_conflict().has_value(); }, 20 * kSecond) <=
            5 * kSecond);
      CHECK(net[duplicate].view->name_conflict() == net[4].address);
      net.loss = 0;
      net.run(5 * kSecond);
      CHECK_FALSE(net[4].view->name_conflict());
      CHECK(net.views_equal(all));
      for (std::size_t i : all) CHECK(net[i].view->members().at(net[4].name).address == net[4].address);
    }
}

TEST_CASE("of two processes with one name that start together one stops") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = start_fleet(net, 5, 0);
    std::size_t duplicate = net.add_process(net[3].name);
    net.start(duplicate);
    net.run(20 * kSecond);
    CHECK(net[3].view->name_conflict().has_value() != net[duplicate].view->name_conflict().has_value());
    CHECK(net.views_equal(net.running()));
  }
}

TEST_CASE("a process restarted at another address is accepted once the old one is dead") {
  Network net(5);
  auto all = start_fleet(net, 9, kSecond);
  net.run(5 * kSecond);
  net.kill(4);
  std::size_t restarted = net.add_process(net[4].name);
  net.start(restarted);
  all[4] = restarted;
  CHECK(net.time_until([&] { return net.views_equal(all); }, 30 * kSecond) <= 8 * kSecond);
  CHECK(net[0].view->members().at(net[restarted].name).address == net[restarted].address);
  CHECK_FALSE(net[restarted].view->name_conflict());
}

TEST_CASE("a message of an earlier process changes nothing after a restart") {
  Network net(7);
  auto all = start_fleet(net, 5, kSecond);
  net.run(5 * kSecond);
  Outbox old;
  for (Time t = net.now(); old.empty(); t += kSecond) net[2].view->tick(t, old);
  net.kill(2);
  net.run(8 * kSecond);
  auto rest = without(all, 2);
  REQUIRE(net.views_equal(rest));
  for (std::size_t i : rest) net.deliver(i, net[2].name, old[0].body, Transport::datagram);
  CHECK(net.views_equal(rest));
  net.start(2);
  net.run(3 * kSecond);
  REQUIRE(net.views_equal(all));
  std::uint64_t digest = net[0].view->digest();
  for (std::size_t i : all) net.deliver(i, net[2].name, old[0].body, Transport::datagram);
  net.run(5 * kSecond);
  CHECK(net.views_equal(all));
  CHECK(net[0].view->digest() == digest);
  CHECK_FALSE(net[2].view->name_conflict());
}

TEST_CASE("digest and generation stay constant in a converged fleet") {
  Network net(3);
  auto all = start_fleet(net, 9, kSecond);
  net.run(10 * kSecond);
  std::uint64_t digest = net[0].view->digest(), generation = net[0].view->generation();
  net.run(120 * kSecond);
  CHECK(net[0].view->digest() == digest);
  CHECK(net[0].view->generation() == generation);
  CHECK(net[0].view->converged(net.now()));
  CHECK(net[0].view->local_health() == 0);
}
