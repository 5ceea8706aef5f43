// Address changes, key updates, ECN and IPv6.
#include <algorithm>

#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void migration(Report& report) {
  report.suite("migration");
  for (bool proxy : {true, false}) {
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    Testbed testbed({"g-1", "g-2"}, default_options(proxy));
    Client& c = testbed.client();
    bool ok = connects(testbed, c) && request_succeeds(testbed, c, "one");
    c.rebind();
    report.check("RFC 9000, 9.3", "a rebinding keeps the connection" + suffix,
                 ok && request_succeeds(testbed, c, "two"));
    testbed.run(150);
    ok = c.migrate();
    report.check("RFC 9000, 9.5", "a migration with a fresh id keeps it" + suffix,
                 ok && request_succeeds(testbed, c, "three"));
    c.request("LOCK 1");
    testbed.run(20);
    c.rebind();
    report.check("brief", "an address change during a lock command: one answer" + suffix,
                 testbed.run(3000, [&] { return c.all_answered_once(); }));
    report.check("brief", "and the command ran once" + suffix,
                 testbed.worker(0).executed["LOCK 1"] + testbed.worker(1).executed["LOCK 1"] == 1);
    testbed.run(300);
    report.check(
        "DESIGN, mapping", "it is one connection for the module throughout" + suffix,
        testbed.counter("marblehub_connections") == 1 && testbed.counter("marblehub_calls_total") == 1);
    testbed.run(150);
    c.update_key();
    report.check("RFC 9001, 6", "a key update passes" + suffix, request_succeeds(testbed, c, "four"));
    std::size_t seen = 0;
    for (auto& w : testbed.workers) seen = std::max(seen, w->client_addresses.size());
    report.check("RFC 9000, 9.3", "the worker sees every address its client has had" + suffix, seen >= 4);
    c.hop.socket().set_ecn(2);
    for (auto& w : testbed.workers) w->ecn_marked = 0;
    request_succeeds(testbed, c, "five");
    report.check("RFC 9000, 13.4", "ECN marks of clients reach the worker" + suffix,
                 testbed.worker(0).ecn_marked + testbed.worker(1).ecn_marked > 0);
  }
  ClientOptions zero_id_options;
  zero_id_options.id_length = 0;
  Testbed testbed({"g-1"}, default_options());
  std::vector<Client*> all;
  all.reserve(4);
  for (int i = 0; i < 4; ++i) all.push_back(&testbed.client(zero_id_options));
  testbed.run(2500, [&] { return testbed.all_connected(); });
  bool ok = testbed.all_connected();
  for (Client* c : all)
    ok = ok && request_succeeds(testbed, *c, "x" + std::to_string(reinterpret_cast<std::uintptr_t>(c)));
  report.check("RFC 9000, 5.2", "several connections to one worker are kept apart", ok);
  TestbedOptions options6 = default_options();
  options6.family = AF_INET6;
  Testbed testbed6({"g-1"}, options6);
  Client& c6 = testbed6.client();
  ok = connects(testbed6, c6) && request_succeeds(testbed6, c6, "one");
  c6.rebind();
  report.check("IPv6", "handshake, request and rebinding over IPv6",
               ok && request_succeeds(testbed6, c6, "two"));
}

}  // namespace marblehub::conformance
