// Connections whose clients change their address: what the router keeps of them must follow, and end with
// them.
#include "quic/testbed.h"

namespace marblehub::test {
namespace {

// A packet with an unroutable id begins a call only from this length on.
const std::string kPadding(40, '.');

// Opens a connection with ids of the unroutable rotation and leads it on from another address, so that the
// router keeps it by that address. Its later ids are routable.
StubClient& client_known_by_address(QuicTestbed& testbed, StubWorker& worker) {
  worker.has_id_config = false;
  StubClient& client = testbed.client();
  client.open();
  testbed.run(2000, [&] { return client.established_count == 1; });
  REQUIRE(unroutable(client.id));
  client.change_address();
  worker.has_id_config = true;
  client.request("BY ADDRESS" + kPadding);
  testbed.run(2000, [&] { return client.answers.size() == 1; });
  REQUIRE(client.answers.size() == 1);
  client.id = client.next_id;
  REQUIRE_FALSE(unroutable(client.id));
  return client;
}

void check_answered(QuicTestbed& testbed, StubClient& client, const std::string& request) {
  client.request(request);
  testbed.run(2000, [&] { return client.answers.count(request) > 0; });
  INFO(request);
  CHECK(client.answers[request] == 1);
}

}  // namespace

// Guards against a crash: the router looked for the flow under its client's new address, found none and
// erased it.
TEST_CASE("a connection routed by address can end after its client's address has changed") {
  const int idle_ms = 1000;
  QuicTestbed testbed({"g-1"}, 1500, 1024, {{"idle_ms", idle_ms}});
  StubWorker& worker = *testbed.workers[0];
  StubClient& client = client_known_by_address(testbed, worker);
  check_answered(testbed, client, "BY ID");
  client.change_address();
  check_answered(testbed, client, "FROM ANOTHER ADDRESS");
  SECTION("its worker says END") {
    worker.end(client.id);
    testbed.run(400);
  }
  SECTION("it becomes idle") { testbed.run(idle_ms + 400); }
  CHECK(testbed.program->exit_code() == -1);
  testbed.run(idle_ms + 400);
  CHECK(testbed.counter("marblehub_quic_flows") == 0);
  CHECK(testbed.counter("marblehub_connections") == 0);
  StubClient& other = testbed.client();
  other.open();
  testbed.run(2000, [&] { return other.established_count == 1; });
  CHECK(other.established_count == 1);
}

// Guards against the removal of another client's flow, whose call then referred to freed memory.
TEST_CASE("the end of a moved connection leaves that of the client at its new address alone") {
  QuicTestbed testbed({"g-1"});
  StubWorker& worker = *testbed.workers[0];
  StubClient& moving = client_known_by_address(testbed, worker);
  StubClient& staying = client_known_by_address(testbed, worker);
  const std::string moving_id = moving.id, staying_id = staying.id;
  check_answered(testbed, moving, "BY ID");
  check_answered(testbed, staying, "BY ID");
  std::swap(moving.udp, staying.udp);  // both go on from the other's address
  check_answered(testbed, moving, "FROM THE OTHER'S ADDRESS");
  worker.end(moving_id);
  testbed.run(400);
  check_answered(testbed, staying, "AFTER THE OTHER'S END");
  worker.end(staying_id);
  testbed.run(400);
  CHECK(testbed.program->exit_code() == -1);
  CHECK(testbed.counter("marblehub_quic_flows") == 2);  // the two that were begun by an Initial
}

// Guards against a pending attempt that is not found by its client's new address and outlives its call.
TEST_CASE("a short-header packet from another address leaves a call pending that a Retry has bound") {
  QuicTestbed testbed({"g-1"}, 700);
  StubWorker& worker = *testbed.workers[0];
  worker.sends_retry = true;
  StubClient& client = testbed.client();
  client.open();
  testbed.run(1000, [&] { return !worker.retry_id.empty(); });
  testbed.run(50);
  client.id = worker.retry_id;
  client.change_address();
  client.request("EARLY");
  testbed.run(400);
  CHECK(testbed.program->exit_code() == -1);
  testbed.run(4000);  // the deadline, and the lifetime of the CONNECTION_CLOSE
  CHECK(testbed.counter("marblehub_quic_closes_total") == 1);
  CHECK(testbed.counter("marblehub_quic_flows") == 0);
}

// Guards against packets that reach a worker which their id does not name: a path that one of two connections
// still used was taken for idle when the other ended, and its memory became another client's path.
TEST_CASE("of two connections on one socket the other goes on when one ends after a change of address") {
  const int max_paths = 8, idle_ms = 2000;
  QuicTestbed testbed({"g-1", "g-2"}, 1500, 1024, {{"paths", max_paths}, {"idle_ms", idle_ms}});
  StubClient &reports = testbed.client(), &commands = testbed.client();
  reports.share_socket(commands);
  auto up = [&] { return reports.established_count + commands.established_count == 2; };
  auto both_at_one_worker = [&] { return testbed.worker_of(reports) == testbed.worker_of(commands); };
  reports.open();
  testbed.run(2000, [&] { return reports.established_count == 1; });
  commands.open();
  testbed.run(2000, up);
  for (int tries = 0; tries < 20 && !both_at_one_worker();
       ++tries) {  // a connection at the other worker is left alone
    commands.renew(1000 + tries);
    commands.open();
    testbed.run(2000, up);
  }
  REQUIRE(both_at_one_worker());
  StubWorker& worker = *testbed.worker_of(commands);
  reports.change_address();
  check_answered(testbed, commands, "FROM THE NEW ADDRESS");
  check_answered(testbed, reports, "FROM THE NEW ADDRESS");
  SECTION("the one attached last ends") { worker.end(reports.id); }
  SECTION("the one attached first ends") {
    worker.end(commands.id);
    std::swap(reports.id, commands.id);
    std::swap(reports.source, commands.source);
  }
  testbed.run(400);
  // Others evict all paths that are idle, and get the memory of paths.
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < max_paths; ++i) testbed.client().open();
    testbed.run(300);
  }
  check_answered(testbed, commands, "AFTER THE OTHER'S END");
  testbed.run(idle_ms / 2);
  check_answered(testbed, commands, "AGAIN");
  CHECK(testbed.program->exit_code() == -1);
  CHECK(testbed.counter("marblehub_quic_unknown_ids_total") == 0);
}

}  // namespace marblehub::test
