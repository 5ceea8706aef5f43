// Addresses that change, keys, ECN, IPv6.
#include <algorithm>

#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void migration(Report& report) {
  report.suite("migration");
  for (bool proxy : {true, false}) {
    std::string way = proxy ? " (proxy-v2)" : " (socket)";
    Testbed testbed({"g-1", "g-2"}, usual(proxy));
    Client& c = testbed.client();
    bool good = up(testbed, c) && asks(testbed, c, "one");
    c.rebind();
    report.check("RFC 9000, 9.3", "a rebinding keeps the connection" + way, good && asks(testbed, c, "two"));
    testbed.run(150);
    good = c.migrate();
    report.check("RFC 9000, 9.5", "a migration with a fresh id keeps it" + way,
                 good && asks(testbed, c, "three"));
    c.request("LOCK 1");
    testbed.run(20);
    c.rebind();
    report.check("brief", "an address change during a lock command: one answer" + way,
                 testbed.run(3000, [&] { return c.all_answered_once(); }));
    report.check("brief", "and the command ran once" + way,
                 testbed.worker(0).executed["LOCK 1"] + testbed.worker(1).executed["LOCK 1"] == 1);
    testbed.run(300);
    report.check(
        "DESIGN, mapping", "it is one connection for the module throughout" + way,
        testbed.counter("marblehub_connections") == 1 && testbed.counter("marblehub_calls_total") == 1);
    testbed.run(150);
    c.update_key();
    report.check("RFC 9001, 6", "a key update passes" + way, asks(testbed, c, "four"));
    std::size_t seen = 0;
    for (auto& w : testbed.workers) seen = std::max(seen, w->clients_seen.size());
    report.check("RFC 9000, 9.3", "the worker sees every address its client has had" + way, seen >= 4);
    c.hop.socket().mark(2);
    for (auto& w : testbed.workers) w->with_ecn = 0;
    asks(testbed, c, "five");
    report.check("RFC 9000, 13.4", "ECN marks of clients reach the worker" + way,
                 testbed.worker(0).with_ecn + testbed.worker(1).with_ecn > 0);
  }
  ClientOptions none;
  none.id_length = 0;
  Testbed testbed({"g-1"}, usual());
  std::vector<Client*> all;
  all.reserve(4);
  for (int i = 0; i < 4; ++i) all.push_back(&testbed.client(none));
  testbed.run(2500, [&] { return testbed.all_up(); });
  bool good = testbed.all_up();
  for (Client* c : all)
    good = good && asks(testbed, *c, "x" + std::to_string(reinterpret_cast<std::uintptr_t>(c)));
  report.check("RFC 9000, 5.2", "several connections to one worker are kept apart", good);
  TestbedOptions six = usual();
  six.family = AF_INET6;
  Testbed stage6({"g-1"}, six);
  Client& c6 = stage6.client();
  good = up(stage6, c6) && asks(stage6, c6, "one");
  c6.rebind();
  report.check("IPv6", "handshake, request and rebinding over IPv6", good && asks(stage6, c6, "two"));
}

}  // namespace marblehub::conformance
