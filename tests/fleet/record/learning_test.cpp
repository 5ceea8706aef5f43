// How observers receive committed entries and grants.
#include <catch2/catch.hpp>

#include "cluster.h"
#include "deposits.h"

using namespace marblehub::fleet;

TEST_CASE("a member that is far behind receives a snapshot, a large one in chunks") {
  Cluster cluster(8, 3, 3);
  cluster.run(2 * kSecond);
  const std::string behind = cluster.leader() == "v0" ? "v1" : "v0";
  cluster.crash(behind);
  cluster.crash("o1");
  std::string table(200 * 1024, 't');
  for (std::uint64_t version = 1; version <= 3; ++version) {
    ProposeRoutes body;
    body.version = version;
    body.text = table + std::to_string(version);
    body.members = {"v2"};
    cluster.propose("v2", body);
  }
  for (int i = 0; i < 2000; ++i) {
    cluster.propose(cluster.leader(), deposit(1000000 + i));
    if (i % 50 == 0) cluster.run(20 * kMillisecond);
  }
  cluster.run(kSecond);
  cluster.start(behind);
  cluster.start("o1");
  CHECK(cluster.converged(2000, 5 * kSecond));
  CHECK(cluster.members[behind].disk->contents().snapshot_index > 1000);
  CHECK(cluster.members["o1"].record->ledger().routes.staged == 3);
}

TEST_CASE("fifty observers receive updates through each other") {
  Cluster cluster(9, 3, 50);
  cluster.run(4 * kSecond);
  const std::string leader = cluster.leader();
  cluster.sent.clear();
  cluster.run(kSecond);
  // 20 heartbeats per second to 2 voters and at most 8 learners, and replies.
  CHECK(cluster.sent[leader] < 400);
  const Time before = cluster.now;
  cluster.propose("o17", deposit(1));
  REQUIRE(cluster.converged(1, kSecond));
  CHECK(cluster.now - before <= 400 * kMillisecond);
  for (auto& [name, member] : cluster.members) {
    REQUIRE(member.record->grant());
    CHECK(member.record->grant()->until > cluster.now + 300 * kMillisecond);
  }
}

TEST_CASE("an idle observer receives a grant every 250 ms and little else") {
  Cluster cluster(13, 3, 50);
  cluster.run(4 * kSecond);
  cluster.sent.clear();
  cluster.sent_bytes.clear();
  cluster.datagrams = 0;
  cluster.run(10 * kSecond);
  std::uint64_t messages = 0, bytes = 0;
  for (auto& [name, member] : cluster.members)
    if (name[0] == 'o') messages += cluster.sent[name], bytes += cluster.sent_bytes[name];
  CHECK(messages < 50 * 10 * 6);  // 4 grants per second and a request every 2 s
  CHECK(bytes < 50 * 10 * 600);
  CHECK(cluster.datagrams > 50 * 10 * 3);  // grants do not wait behind a lost segment
  for (auto& [name, member] : cluster.members) CHECK(member.record->has_majority(cluster.now));
}

TEST_CASE("a lost grant is requested again before the previous one expires") {
  std::uint64_t checks = 0, fenced = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Cluster cluster(seed, 3, 30);
    cluster.run(4 * kSecond);
    cluster.datagram_loss = 0.05;
    for (int i = 0; i < 1000; ++i) {
      cluster.run(20 * kMillisecond);
      for (auto& [name, member] : cluster.members) {
        if (name[0] != 'o') continue;
        ++checks;
        fenced += member.record->grant()->until - member.settings.clock_bound <= cluster.now;
      }
    }
  }
  CAPTURE(checks, fenced);
  CHECK(fenced * 1000 < checks);
}

TEST_CASE("an isolated observer reports that it has no majority") {
  Cluster cluster(14, 3, 2);
  cluster.run(2 * kSecond);
  REQUIRE(cluster.members["o0"].record->has_majority(cluster.now));
  cluster.partition({"o0"});
  cluster.run(2 * kSecond);
  CHECK_FALSE(cluster.members["o0"].record->has_majority(cluster.now));
  cluster.blocked.clear();
  cluster.run(kSecond);
  CHECK(cluster.members["o0"].record->has_majority(cluster.now));
}
