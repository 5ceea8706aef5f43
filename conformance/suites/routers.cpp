// Restarts of the router, and several routers.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void routers(Report& report) {
  report.suite("routers");
  for (bool proxy : {true, false}) {
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    Testbed testbed({"g-1", "g-2"}, default_options(proxy));
    for (int i = 0; i < 10; ++i) testbed.client();
    testbed.run(3000, [&] { return testbed.all_connected(); });
    testbed.run(300);  // clients must not change address before the handshake is confirmed (RFC 9000, 9)
    testbed.restart_router();
    bool ok = testbed.all_connected();
    for (auto& c : testbed.clients) c->request("after");
    testbed.run(3000, [&] { return testbed.all_answered(); });
    report.check("quic-load-balancers, 4", "a router that starts anew routes every connection" + suffix,
                 ok && testbed.all_answered());
    for (int i = 0; i < 3; ++i) {
      for (auto& c : testbed.clients) c->request("more " + std::to_string(i));
      testbed.run(300);
    }
    testbed.run(300);
    report.check("DESIGN, mapping", "and the module counts them again" + suffix,
                 testbed.counter("marblehub_connections") == static_cast<double>(testbed.clients.size()));
  }
  // Two routers with the same settings: after an address change each client reaches the other one.
  Testbed testbed({"g-1", "g-2"}, default_options());
  for (int i = 0; i < 10; ++i) testbed.client();
  testbed.run(3000, [&] { return testbed.all_connected(); });
  testbed.run(300);
  Endpoint other = testbed.second_router();
  for (auto& c : testbed.clients) {
    c->request("at the first");
    c->rebind();
    c->use_router(other);
  }
  bool ok = testbed.run(3000, [&] { return testbed.all_answered(); });
  report.check("brief", "a client whose new address leads to another router keeps its connection", ok);
  for (int i = 0; i < 3; ++i) {
    for (auto& c : testbed.clients) c->request("at the second " + std::to_string(i));
    testbed.run(150);
  }
  testbed.run(400);
  report.check("brief", "with one answer to every request",
               testbed.run(2000, [&] { return testbed.all_answered(); }));
  report.check("DESIGN, mapping", "the module of the new router counts it",
               testbed.counter("marblehub_connections", true) == 10);
  report.check("DESIGN, mapping", "and that of the old one no more",
               testbed.counter("marblehub_connections") == 0);
}

}  // namespace marblehub::conformance
