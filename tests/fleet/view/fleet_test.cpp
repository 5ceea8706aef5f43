// Fleets of five to thirty on the virtual network: what the view promises, in figures, over fixed seeds.
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

// Live ones given up by live ones, over a run. Looked at after every step: a short moment counts too.
struct Wronged {
  std::size_t count = 0;
  explicit Wronged(Network& net, std::vector<std::size_t> live) {
    net.stepped = [this, &net, live](std::size_t i) {
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

TEST_CASE("all see all within 2 s of the last start") {
  for (std::uint64_t seed : kSeeds)
    for (std::size_t count : {2, 9, 30})
      for (Time spread : {Time{0}, 3 * kSecond}) {
        Network net(seed);
        auto all = fleet(net, count, spread);
        CHECK(net.time_until([&] { return net.equal(all); }, 10 * kSecond) <= 2 * kSecond);
      }
}

TEST_CASE("half the fleet starts at once with an empty view") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 15, kSecond);
    net.run(10 * kSecond);
    for (std::size_t i = 0; i < 15; ++i) all.push_back(net.place("new-" + std::to_string(i)));
    for (std::size_t i = 15; i < 30; ++i) net.start(all[i]);
    CHECK(net.time_until([&] { return net.equal(all); }, 10 * kSecond) <= 2 * kSecond);
  }
}

TEST_CASE("a killed one is out of every view within 5 s, and back at once after its restart") {
  for (std::uint64_t seed : kSeeds)
    for (std::size_t count : {3, 5, 9}) {
      Network net(seed);
      auto all = fleet(net, count, kSecond);
      net.run(10 * kSecond + static_cast<Time>(seed) * 37 * kMillisecond);
      std::size_t dead = seed % count;  // seeds among them
      net.kill(dead);
      auto rest = without(all, dead);
      CHECK(net.time_until([&] { return net.equal(rest); }, 20 * kSecond) <= 5 * kSecond);
      net.run(5 * kSecond);
      net.start(dead);
      CHECK(net.time_until([&] { return net.equal(all); }, 10 * kSecond) <= 2 * kSecond);
      net.kill(dead);  // and a quick one, whose clock went back: it must still be heard
      net.run(kSecond);
      net.start(dead, 1);
      CHECK(net.time_until([&] { return net.equal(all); }, 10 * kSecond) <= 2 * kSecond);
    }
}

TEST_CASE("a killed one of a hundred is out of every view in 4.5 s at the median") {
  Network net(7);
  auto rest = fleet(net, 100, kSecond);
  net.run(10 * kSecond);
  std::vector<Time> took;
  for (std::size_t dead = 3; took.size() < 5; dead += 17) {
    net.kill(dead);
    rest = without(rest, dead);
    took.push_back(net.time_until([&] { return net.equal(rest); }, 20 * kSecond));
    net.run(3 * kSecond + static_cast<Time>(dead) * 7 * kMillisecond);
  }
  std::sort(took.begin(), took.end());
  CAPTURE(took);
  CHECK(took[2] <= 4500 * kMillisecond);
}

TEST_CASE("with 20% loss for 60 s no live one is given up") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    Wronged wronged(net, all);
    net.loss = 0.2;
    net.repeats = 0.05;
    net.most_delay = 40 * kMillisecond;
    net.run(60 * kSecond);
    CHECK(wronged.count == 0);
  }
}

TEST_CASE("a member that slept accuses nobody, and is known again soon") {
  for (std::uint64_t seed : kSeeds)
    for (Time span : {kSecond, 4 * kSecond, 30 * kSecond}) {
      Network net(seed);
      auto all = fleet(net, 9, kSecond);
      net.run(5 * kSecond);
      Wronged wronged(net, without(all, 4));
      net.pause(4, span);
      net.run(span + 100 * kMillisecond);
      CHECK(net[4].view->local_health() > 0);  // it doubts itself
      CHECK(net.time_until([&] { return net.equal(all); }, 20 * kSecond) <= 5 * kSecond);
      net.run(10 * kSecond);
      CHECK(wronged.count == 0);
    }
}

// A probe asked again so late that its next step was over: the tick would be due again at the same moment.
TEST_CASE("members slow by less than an answer's time spin on nothing and accuse nobody") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    Wronged wronged(net, all);
    Time until[3] = {};
    for (Time end = net.now() + 20 * kSecond; net.now() < end; net.run(10 * kMillisecond))
      for (std::size_t i = 0; i < 3; ++i)
        if (net.now() >= until[i]) {
          const Time span = 75 * kMillisecond + static_cast<Time>(net.draw(150)) * kMillisecond;
          net.pause(i, span);
          until[i] = net.now() + span + 20 * kMillisecond;
        }
    CHECK(wronged.count == 0);
  }
}

TEST_CASE("views are equal within 5 s of a heal") {
  using Cut = std::function<bool(std::size_t, std::size_t)>;
  const std::pair<const char*, Cut> cuts[] = {
      {"halves", [](std::size_t a, std::size_t b) { return (a < 4) != (b < 4); }},
      {"thirds", [](std::size_t a, std::size_t b) { return a / 3 != b / 3; }},
      {"one way", [](std::size_t a, std::size_t b) { return a < 4 && b >= 4; }},
      {"one cut off", [](std::size_t a, std::size_t b) { return (a == 0) != (b == 0); }},
      {"one hears nobody", [](std::size_t, std::size_t b) { return b == 8; }}};
  for (const auto& [what, cut] : cuts)
    for (std::uint64_t seed : kSeeds)
      for (Time span : {3 * kSecond, 12 * kSecond, 120 * kSecond}) {
        CAPTURE(what, seed, span);
        Network net(seed);
        auto all = fleet(net, 9, kSecond);
        net.run(5 * kSecond);
        net.cut = cut;
        net.run(span);
        net.cut = nullptr;
        CHECK(net.time_until([&] { return net.equal(all); }, 30 * kSecond) <= 5 * kSecond);
      }
}

// Each failed probe makes the next at most a period longer, and a suspect whom nobody else accuses has six
// times the least term: the period under way, m silent ones and between them the r that answer, then 12 s.
TEST_CASE("parts of nine give the others up within what their periods and terms add up to") {
  for (std::size_t size : {5, 3, 2, 1})
    for (std::uint64_t seed : kSeeds) {
      Network net(seed);
      auto all = fleet(net, 9, kSecond);
      net.run(5 * kSecond + static_cast<Time>(seed) * 37 * kMillisecond);
      net.cut = [&](std::size_t a, std::size_t b) { return a / size != b / size; };
      auto apart = [&] {
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
      bound += 6 * 4 * net.settings.probe + 2 * net.settings.probe / 5;  // and a step of gossip
      CAPTURE(size, seed, bound);
      const Time took = net.time_until(apart, 90 * kSecond);
      CHECK(took <= bound);
      if (size == 3) CHECK(took <= 20 * kSecond);
    }
}

TEST_CASE("halves of a partition know each their own, and the budget is held") {
  Network net(11);
  auto all = fleet(net, 10, kSecond);
  net.run(5 * kSecond);
  net.cut = [](std::size_t a, std::size_t b) { return (a % 10 < 5) != (b % 10 < 5); };
  net.run(60 * kSecond);
  auto budget = [&](std::size_t i) { return net[i].view->budget_members(net.now()); };
  for (std::size_t i : all) {
    REQUIRE(net[i].view->live_count() == 5);
    CHECK(net[i].view->converged(net.now()));
    CHECK(budget(i) == 10);
  }
  std::size_t late = net.place("late");  // begins in one half: it counts those lost before it came
  net.start(late);
  net.run(2 * kSecond);
  CHECK(net[late].view->live_count() == 6);
  CHECK(budget(late) == 11);
  net.kill(late);
  net.run(kBudgetHold);  // the first are over their hold, and fade
  CHECK(budget(7) > 5);
  CHECK(budget(7) < 10);
  net.run(2 * kBudgetHold);
  for (std::size_t i : all) CHECK(budget(i) == 5);
  net.cut = nullptr;
  net.run(5 * kSecond);
  for (std::size_t i : all) CHECK(budget(i) == 10);
}

TEST_CASE("flapping every 2 s ends in equal views") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 9, kSecond);
    net.run(5 * kSecond);
    for (int flap = 0; flap < 15; ++flap) {
      net.cut = [](std::size_t a, std::size_t b) { return (a < 5) != (b < 5); };
      net.run(2 * kSecond);
      net.cut = nullptr;
      net.run(2 * kSecond);
    }
    CHECK(net.time_until([&] { return net.equal(all); }, 30 * kSecond) <= 5 * kSecond);
  }
}

TEST_CASE("who leaves is off at once, without suspicion") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 30, kSecond);
    net.run(5 * kSecond);
    bool suspected = false;
    net.stepped = [&](std::size_t i) {
      MemberStatus s = status(net, 3, i);
      suspected |= s == MemberStatus::suspect || s == MemberStatus::dead;
    };
    net.leave(3);
    net.stepped(3);
    net.run(10 * kMillisecond);  // what it sent has left the machine
    net.kill(3);
    auto rest = without(all, 3);
    CHECK(net.time_until([&] { return net.equal(rest); }, 10 * kSecond) <= 2 * kSecond);
    CHECK(net[7].view->budget_members(net.now()) == 29);
    net.run(20 * kSecond);
    CHECK_FALSE(suspected);
    CHECK(status(net, 3, 0) == MemberStatus::left);
  }
}

TEST_CASE("of two processes under one name the later is refused") {
  for (std::uint64_t seed : kSeeds)
    for (double loss : {0.0, 0.2}) {
      Network net(seed);
      auto all = fleet(net, 9, kSecond);
      net.run(5 * kSecond);
      net.loss = loss;
      std::size_t twin = net.place(net[4].name);
      net.start(twin);
      CHECK(net.time_until([&] { return net[twin].view->name_conflict().has_value(); }, 20 * kSecond) <=
            5 * kSecond);
      CHECK(net[twin].view->name_conflict() == net[4].address);
      net.loss = 0;
      net.run(5 * kSecond);
      CHECK_FALSE(net[4].view->name_conflict());
      CHECK(net.equal(all));
      for (std::size_t i : all) CHECK(net[i].view->members().at(net[4].name).address == net[4].address);
    }
}

TEST_CASE("twins that start together at two seeds: one stays") {
  for (std::uint64_t seed : kSeeds) {
    Network net(seed);
    auto all = fleet(net, 5, 0);
    std::size_t twin = net.place(net[3].name);
    net.start(twin);
    net.run(20 * kSecond);
    CHECK(net[3].view->name_conflict().has_value() != net[twin].view->name_conflict().has_value());
    CHECK(net.equal(net.running()));
  }
}

TEST_CASE(
    "a process that comes back under its name at another address is taken in once the old one is given up") {
  Network net(5);
  auto all = fleet(net, 9, kSecond);
  net.run(5 * kSecond);
  net.kill(4);
  std::size_t again = net.place(net[4].name);
  net.start(again);
  all[4] = again;
  CHECK(net.time_until([&] { return net.equal(all); }, 30 * kSecond) <= 8 * kSecond);
  CHECK(net[0].view->members().at(net[again].name).address == net[again].address);
  CHECK_FALSE(net[again].view->name_conflict());
}

TEST_CASE("a message of an old generation after a restart changes nothing") {
  Network net(7);
  auto all = fleet(net, 5, kSecond);
  net.run(5 * kSecond);
  Outbox old;
  for (Time t = net.now(); old.empty(); t += kSecond) net[2].view->tick(t, old);
  net.kill(2);
  net.run(8 * kSecond);
  auto rest = without(all, 2);
  REQUIRE(net.equal(rest));
  for (std::size_t i : rest) net.hand(i, net[2].name, old[0].body, Transport::datagram);
  CHECK(net.equal(rest));
  net.start(2);
  net.run(3 * kSecond);
  REQUIRE(net.equal(all));
  std::uint64_t digest = net[0].view->digest();
  for (std::size_t i : all) net.hand(i, net[2].name, old[0].body, Transport::datagram);
  net.run(5 * kSecond);
  CHECK(net.equal(all));
  CHECK(net[0].view->digest() == digest);
  CHECK_FALSE(net[2].view->name_conflict());
}

TEST_CASE("digest and generation stand still in a settled fleet") {
  Network net(3);
  auto all = fleet(net, 9, kSecond);
  net.run(10 * kSecond);
  std::uint64_t digest = net[0].view->digest(), generation = net[0].view->generation();
  net.run(120 * kSecond);
  CHECK(net[0].view->digest() == digest);
  CHECK(net[0].view->generation() == generation);
  CHECK(net[0].view->converged(net.now()));
  CHECK(net[0].view->local_health() == 0);
}
