// Activations among many balancers on a simulated clock: named failure cases, then random faults by seeds.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "routes_network.h"

namespace marblehub::fleet::test {
namespace {

// Nine balancers with version 1 in force everywhere.
struct ActivatedNetwork : RoutesNetwork {
  explicit ActivatedNetwork(std::uint64_t seed = 1, std::function<void(Settings&)> change = {})
      : RoutesNetwork(9, seed, change) {
    run(kSecond);
    offer("m4", table(1));
    run(2 * kSecond);
    REQUIRE(all_place_by(1));
  }
  const RouteState& routes() const { return record.ledger.routes; }
  void until(const std::function<bool()>& reached, Time max_wait = 5 * kSecond) {
    for (Time end = record.now + max_wait; !reached() && record.now < end;) run(5 * kMillisecond);
    REQUIRE(reached());
  }
  void check_overlap() const { CHECK(overlap() <= record.settings.clock_bound); }
};

}  // namespace

TEST_CASE("an undisturbed activation switches all within a second, at one time") {
  ActivatedNetwork w;
  const Time offered = w.record.now;
  w.offer("m5", table(2, "south"));
  w.run(2 * kSecond, kMillisecond);
  CHECK(w.all_place_by(2));
  w.check_overlap();
  Time newest = 0, oldest = offered + kSecond * 9;
  for (auto& [name, at] : w.first_at[2]) newest = std::max(newest, at), oldest = std::min(oldest, at);
  CHECK(newest - offered < kSecond);
  CHECK(newest - oldest < 20 * kMillisecond);
  for (auto& [name, b] : w.members) CHECK(b.routes->route(w.clock(b), "", "", "7").pool == 2);
}

TEST_CASE("a proposer killed between the phases leaves an activation that is aborted at the time-out") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.until([&] { return w.routes().staged == 2; });
  w.kill("m5");
  w.run(5 * kSecond);
  CHECK(w.all_place_by(1));
  CHECK(w.routes().staged == 0);
  CHECK(w.members.at("m1").routes->last_refusal().find("version 2 aborted") == 0);
  w.offer("m6", table(2));  // the same version again, at another member
  w.run(2 * kSecond);
  CHECK(w.all_place_by(2));
  w.check_overlap();
}

TEST_CASE("a proposer killed at the recorded activation time changes nothing") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.until([&] { return w.routes().next == 2; });
  w.until([&] { return w.record.now >= w.routes().activation_time - 5 * kMillisecond; });
  w.kill("m5");
  w.run(2 * kSecond);
  CHECK(w.all_place_by(2));
  w.check_overlap();
}

TEST_CASE("a leader killed in either phase, or at the activation time, leaves all on one version") {
  for (int phase = 0; phase < 3; ++phase)
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(phase, seed);
      ActivatedNetwork w(seed);
      w.offer("m5", table(2));
      w.until([&] { return phase == 0 ? w.routes().staged == 2 : w.routes().next == 2; });
      if (phase == 2) w.until([&] { return w.record.now >= w.routes().activation_time - 5 * kMillisecond; });
      w.kill(w.record.leader);
      w.run(8 * kSecond);
      CHECK(w.all_place_by(w.routes().in_force));
      if (phase > 0) CHECK(w.routes().in_force == 2);
      w.check_overlap();
    }
}

TEST_CASE("a member suspended across the activation time is fenced, then places by the new version") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.until([&] { return w.routes().staged == 2 && !w.routes().waited_for.count("m7"); });
  w.sleep("m7", 2500 * kMillisecond);
  w.run(2490 * kMillisecond);
  CHECK(w.last.count(2) == 1);
  auto& slept = w.members.at("m7");
  const std::uint64_t placed = slept.placed;
  slept.asleep_until = 0;
  CHECK(slept.routes->placement_mode(w.clock(slept)) == PlacementMode::fenced);
  CHECK(std::string(slept.routes->why_fenced()) == "the lease is over");
  w.run(500 * kMillisecond);
  CHECK(slept.placed > placed);
  CHECK(w.all_place_by(2));
  w.check_overlap();
}

TEST_CASE("a clock 300 ms off takes part within a bound of 400 ms and is fenced beyond its bound") {
  for (Time sign : {1, -1}) {
    CAPTURE(sign);
    RoutesNetwork near(
        9, 3, [](Settings& s) { s.clock_bound = 400 * kMillisecond, s.lease = 1500 * kMillisecond; });
    near.members.at("m7").offset = sign * 300 * kMillisecond;
    near.run(kSecond);
    near.offer("m5", table(1));
    near.run(6 * kSecond);
    CHECK(near.all_place_by(1));
    CHECK(near.overlap() <= 400 * kMillisecond);
    CHECK(near.overlap() >= 200 * kMillisecond);  // the clock offset is visible

    RoutesNetwork far(9, 3);
    far.members.at("m7").offset = sign * 300 * kMillisecond;
    far.run(kSecond);
    far.offer("m5", table(1));
    far.run(4 * kSecond);
    CHECK(far.members.at("m7").placed == 0);
    CHECK(far.members.at("m7").routes->clock_off());
    CHECK(far.members.at("m5").version == 1);
    CHECK_FALSE(far.members.at("m5").routes->clock_off());
    CHECK(far.overlap() <= far.record.settings.clock_bound);
    far.members.at("m7").offset = 0;  // corrected: it recovers by itself
    far.run(4 * kSecond);
    CHECK(far.all_place_by(1));
  }
}

TEST_CASE("of two concurrent proposals the newer one comes into force") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    ActivatedNetwork w(seed);
    w.offer("m5", table(3));
    w.offer("m6", table(2));
    w.run(4 * kSecond);
    CHECK(w.all_place_by(3));
    w.check_overlap();
  }
}

TEST_CASE("a newer version replaces one whose activation is not complete, or follows it") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.until([&] { return w.routes().staged == 2; });
  w.offer("m6", table(3));
  w.run(3 * kSecond);
  CHECK(w.all_place_by(3));
  ActivatedNetwork after;  // or follows it after its activation time
  after.offer("m5", table(2));
  after.until([&] { return after.routes().next == 2; });
  after.offer("m6", table(3));
  after.run(3 * kSecond);
  CHECK(after.all_place_by(3));
  CHECK(after.last.count(2) == 1);
  after.check_overlap();
}

TEST_CASE("a refusal by one member aborts the activation and names member, pool and key") {
  ActivatedNetwork w;
  w.members.at("m7").routes->update_workers({{"w-1", "n", "t", "0"}});
  w.offer("m5", table(2));
  w.run(2 * kSecond);
  CHECK(w.all_place_by(1));
  const std::string& why = w.members.at("m3").routes->last_refusal();
  CAPTURE(why);
  CHECK(why.find("m7") != std::string::npos);
  CHECK(why.find("routes 2: setting pools.1") != std::string::npos);
}

TEST_CASE("a member that dies before it accepts is given up once the view has declared it dead") {
  ActivatedNetwork w;
  w.kill("m7");
  w.offer("m5", table(2));  // the member is still in the view
  w.run(500 * kMillisecond);
  CHECK(w.routes().waited_for == std::set<std::string>{"m7"});
  w.run(2500 * kMillisecond);
  CHECK(w.all_place_by(2));
  CHECK(w.routes().last_refusal.empty());
  w.check_overlap();
}

TEST_CASE("a version aborted and proposed again in the same update is answered again") {
  ActivatedNetwork w;
  auto propose = [&, number = std::uint64_t{0}](Body body) mutable {
    w.record.append({{"by-hand", 1, ++number}, std::move(body)});
  };
  propose(ProposeRoutes{2, table(2), {"m7", "ghost"}, w.record.now});
  w.until([&] { return w.routes().waited_for == std::set<std::string>{"ghost"}; });
  w.record.followers.erase("m7");
  propose(AbortRoutes{2, "by hand"});
  propose(ProposeRoutes{2, table(2), {"m7"}, w.record.now});
  w.until([&] { return w.routes().waited_for == std::set<std::string>{"m7"}; });
  w.record.followers.insert("m7");
  w.until([&] { return w.routes().staged == 2 && w.routes().waited_for.empty(); });
}

TEST_CASE("a text taken before is ignored, and not refused once its version is outdated") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.run(2 * kSecond);
  REQUIRE(w.all_place_by(2));
  CHECK_NOTHROW(w.offer("m4", table(1)));  // its unchanged file, read again by a reload
  CHECK_THROWS_WITH(w.offer("m6", table(1)), Catch::Contains("setting version: expected above 2"));
  w.run(2 * kSecond);
  CHECK(w.all_place_by(2));
}

TEST_CASE("an older version, or the same one with another text, is refused where it is offered") {
  ActivatedNetwork w;
  CHECK_NOTHROW(w.offer("m5", table(1)));  // unchanged
  CHECK_THROWS_WITH(w.offer("m5", table(1, "south")), Catch::Contains("routes.json: setting version"));
  w.offer("m5", table(4));
  w.run(3 * kSecond);
  CHECK_THROWS_WITH(w.offer("m6", table(3)), Catch::Contains("setting version: expected above 4"));
  CHECK_THROWS_WITH(w.offer("m6", "{"), Catch::Contains("routes.json: expected a JSON object"));
  w.restart("m6");  // its record is still empty: refused once it is up to date
  w.offer("m6", table(3));
  w.run(kSecond);
  CHECK(w.all_place_by(4));
  CHECK(w.members.at("m6").routes->last_refusal().find("expected above 4") != std::string::npos);
}

TEST_CASE("a recorded table that cannot be decoded fences all until a valid one follows") {
  ActivatedNetwork w;
  w.record.append({{"by-hand", 1, 1}, ProposeRoutes{2, "not a table", {"ghost"}, w.record.now}});
  w.record.append({{"by-hand", 1, 2}, AnswerRoutes{2, "ghost", "", true}});
  w.record.append({{"by-hand", 1, 3}, ActivateRoutes{2, 0}});
  w.run(2 * kSecond);
  for (auto& [name, b] : w.members) CHECK(b.mode == PlacementMode::fenced);
  CHECK(std::string(w.members.at("m5").routes->why_fenced()) == "does not hold the version in force yet");
  w.offer("m5", table(3));
  w.run(2 * kSecond);
  CHECK(w.all_place_by(3));
}

TEST_CASE("the loss of a majority of the voters fences all and aborts a staged activation") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.until([&] { return w.routes().staged == 2; });
  w.kill("m1");
  w.kill("m2");
  w.run(4 * kSecond);
  for (auto& [name, b] : w.members)
    if (b.up) CHECK(b.mode == PlacementMode::fenced);
  CHECK(w.routes().next == 0);
  w.restart("m1");
  w.restart("m2");
  w.run(6 * kSecond);
  CHECK(w.routes().staged == 0);
  CHECK(w.all_place_by(w.routes().in_force));
  w.check_overlap();
}

TEST_CASE("a proposal recorded after its time-out is aborted by its proposer at once") {
  ActivatedNetwork w;
  w.offer("m5", table(2));
  w.members.at("m5").side = 1;  // its proposal is not delivered
  w.run(w.record.settings.stage + kSecond);
  CHECK(w.routes().max_proposed == 1);
  w.members.at("m5").side = 0;
  w.until([&] { return w.routes().max_proposed == 2; });
  w.until([&] { return w.routes().staged == 0; }, kSecond);
  CHECK(w.routes().last_refusal.find("recorded after its time only") != std::string::npos);
  w.run(100 * kMillisecond);  // until all have the update
  w.offer("m6", table(2));
  w.run(2 * kSecond);
  CHECK(w.all_place_by(2));
  w.check_overlap();
}

TEST_CASE("in a partition the side with the voters continues, the other is fenced until it heals") {
  ActivatedNetwork w;
  for (const char* m : {"m6", "m7", "m8"}) w.members.at(m).side = 1;
  w.run(2 * kSecond);
  w.offer("m5", table(2));
  w.run(2 * kSecond);
  CHECK(w.members.at("m5").version == 2);
  for (const char* m : {"m6", "m7", "m8"}) {
    CHECK(w.members.at(m).mode == PlacementMode::fenced);
    CHECK(w.members.at(m).routes->retry_after(0) >= w.record.settings.lease);
    CHECK(w.members.at(m).routes->retry_after(0) <= 2 * w.record.settings.lease);
  }
  for (auto& [name, b] : w.members) b.side = 0;
  w.run(kSecond);
  CHECK(w.all_place_by(2));
  w.check_overlap();
}

TEST_CASE("when_alone keep serves by the old table and counts such calls") {
  ActivatedNetwork w(1, [](Settings& s) { s.when_alone = WhenAlone::keep; });
  auto& cut = w.members.at("m7");
  cut.side = 1;
  w.run(2 * kSecond);
  w.offer("m5", table(2, "south"));
  w.run(2 * kSecond);
  CHECK(cut.mode == PlacementMode::alone);
  CHECK(cut.routes->counts().alone > 0);
  CHECK(cut.routes->route(w.clock(cut), "", "", "7").version == 1);
  w.restart("m7");  // a restarted balancer has no table to keep
  w.run(kSecond);
  CHECK(cut.mode == PlacementMode::fenced);
  cut.side = 0;
  w.run(kSecond);
  CHECK(w.all_place_by(2));
  // A grant may name a version whose table has not been received: the newest available one is used.
  current_record() = &w.record;
  deliver("m7", {0, Grant{900'000'000'000'000, 0, w.record.now + 500 * kMillisecond, 0}, 9, 1'000'000'000});
  Outbox out;
  cut.routes->step(w.clock(cut), *cut.record, {"m7"}, out);
  CHECK(cut.routes->placement_mode(w.clock(cut)) == PlacementMode::alone);
  CHECK(cut.routes->route(w.clock(cut), "", "", "7").version == 2);
}

TEST_CASE("a member that starts during an activation is fenced or places by the version in force") {
  for (int phase = 0; phase < 2; ++phase) {
    ActivatedNetwork w;
    w.kill("m8");
    w.run(2 * kSecond);
    w.offer("m5", table(2));
    w.until([&] { return phase ? w.routes().next == 2 : w.routes().staged == 2; });
    w.restart("m8");
    CHECK(w.members.at("m8").routes->placement_mode(w.clock(w.members.at("m8"))) == PlacementMode::fenced);
    w.run(3 * kSecond);
    CHECK(w.all_place_by(2));
    w.check_overlap();
  }
}

TEST_CASE("under random faults no call by an older version comes after one by a newer") {
  const char* seeds_text = std::getenv("FLEET_ROUTES_SEEDS");
  const std::uint64_t seeds = seeds_text ? std::strtoull(seeds_text, nullptr, 10) : 300;
  std::uint64_t placed = 0, fenced = 0, switched = 0, converged = 0;
  Time worst = -kSecond * 1000;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    RoutesNetwork w(9, seed);
    auto& r = w.record;
    auto any_member = [&] { return "m" + std::to_string(r.between(0, 8)); };
    for (auto& [name, b] : w.members) b.offset = r.between(-24, 24) * kMillisecond;
    r.loss = r.uniform() < 0.5 ? 0 : 0.2 * r.uniform();
    r.duplicate_rate = 0.1 * r.uniform();
    r.max_delay = r.between(2, 20) * kMillisecond;
    std::uint64_t version = 0;
    w.run(500 * kMillisecond);
    for (int i = 0; i < 24; ++i) {
      const std::string name = any_member();
      switch (r.between(0, 8)) {
        case 0:
          w.sleep(name, r.between(50, 2000) * kMillisecond);
          break;
        case 1:
          if (w.members.at(name).up) w.kill(name);
          break;
        case 2:
          w.sleep(r.leader, r.between(50, 2000) * kMillisecond);
          break;
        case 3:
          for (auto& [m, b] : w.members) b.side = static_cast<int>(r.between(0, 1));
          break;
        case 4:
          for (auto& [m, b] : w.members) b.side = 0;
          break;
        case 5:
          for (auto& [m, b] : w.members)
            if (!b.up) w.restart(m);
          break;
        default:
          try {
            w.offer(name, table(++version));
            if (r.uniform() < 0.2) w.offer(any_member(), table(version + 1));
          } catch (const config::DecodeError&) {
          }
      }
      w.run(r.between(10, 600) * kMillisecond);
      REQUIRE(w.overlap() <= r.settings.clock_bound);
    }
    for (auto& [m, b] : w.members) {
      b.side = 0;
      if (!b.up) w.restart(m);
    }
    r.loss = 0;
    w.run(6 * kSecond);
    CHECK(w.all_place_by(r.ledger.routes.in_force));  // not necessarily the newest offered version
    converged += w.all_place_by(r.ledger.routes.in_force);
    worst = std::max(worst, w.overlap());
    switched += w.first.size() - 1;
    for (auto& [m, b] : w.members) placed += b.placed, fenced += b.fenced;
  }
  std::printf(
      "%llu seeds: %llu switches, %llu calls placed, %llu fenced, overlap at most %.1f ms, converged %llu\n",
      static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(switched),
      static_cast<unsigned long long>(placed), static_cast<unsigned long long>(fenced),
      static_cast<double>(worst) / 1e3, static_cast<unsigned long long>(converged));
  CHECK(switched > seeds);  // the faults leave room for activations
}

}  // namespace marblehub::fleet::test
