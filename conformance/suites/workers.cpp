// Workers that drain, refuse connections, crash and restart.

#include "quic/stateless_reset.h"
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void workers(Report& report) {
  report.suite("workers");
  for (bool proxy : {true, false}) {
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    Testbed testbed({"g-1", "g-2"}, default_options(proxy));
    for (int i = 0; i < 12; ++i) testbed.client();
    testbed.run(4500, [&] { return testbed.all_connected() && testbed.registry.has_watch(); });
    Worker &leaving = testbed.worker(0), &staying = testbed.worker(1);
    report.check("DESIGN, pick", "new connections spread over the workers" + suffix,
                 testbed.all_connected() && leaving.accepted >= 2 && staying.accepted >= 2);
    testbed.set_status(leaving, "draining");
    testbed.run(250);
    int before = leaving.initials;
    for (int i = 0; i < 8; ++i) testbed.client();
    // Existing clients may be moved at once; requests sent before that are still answered.
    testbed.run(2500, [&] { return testbed.all_connected(); });
    report.check("PROTOCOL, drains", "nothing new goes to a draining worker after 250 ms" + suffix,
                 leaving.initials == before);
    for (auto& c : testbed.clients) c->rebind();  // some may already be moving
    report.check("PROTOCOL, moves", "its clients are asked to move, whatever their address by then" + suffix,
                 testbed.run(4000, [&] {
                   return leaving.moves.size() >= static_cast<std::size_t>(leaving.accepted);
                 }));
    report.check("PROTOCOL, moves", "and are gone from it" + suffix,
                 testbed.run(1000, [&] { return leaving.connections() == 0; }));
  }
  {
    Testbed testbed({"g-1", "g-2"}, default_options());
    testbed.worker(0).options.busy = true;
    for (int i = 0; i < 8; ++i) testbed.client();
    testbed.run(3000, [&] { return testbed.all_connected(); });
    report.check("docs/quic.md, BUSY", "a call that a worker turns away goes to another",
                 testbed.all_connected());
  }
  {
    Testbed testbed({"g-1", "g-2"}, default_options());
    testbed.worker(0).options.refuse = true;
    for (int i = 0; i < 8; ++i) testbed.client();
    testbed.run(3000, [&] { return testbed.all_connected(); });
    report.check("RFC 9000, 20.1", "so does one that it closes with CONNECTION_REFUSED",
                 testbed.all_connected());
    report.check("PROTOCOL, outcomes", "and the module hears that the worker was full",
                 testbed.counter("marblehub_attempt_results_total{outcome=\"full\"}") > 0);
  }
  for (bool proxy : {true, false}) {
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    Testbed testbed({"g-1", "g-2"}, default_options(proxy));
    std::vector<Client*> all;
    all.reserve(8);
    for (int i = 0; i < 8; ++i) all.push_back(&testbed.client());
    testbed.run(3000, [&] { return testbed.all_connected(); });
    std::size_t connections_before = testbed.worker(0).connections();
    testbed.worker(0).kill();
    std::int64_t started_at = now_us();
    for (Client* c : all) c->request("after");
    auto reset = [&] {
      return static_cast<std::size_t>(
          std::count_if(all.begin(), all.end(), [](Client* c) { return c->was_reset(); }));
    };
    testbed.run(1000, [&] { return reset() >= connections_before; });
    report.check(
        "RFC 9000, 10.3", "clients of a dead worker are reset within a second" + suffix,
        connections_before > 0 && reset() == connections_before && now_us() - started_at <= 1'050'000);
    std::size_t answered = 0;
    testbed.run(1500, [&] {
      answered = static_cast<std::size_t>(
          std::count_if(all.begin(), all.end(), [](Client* c) { return c->all_answered_once(); }));
      return answered == all.size() - connections_before;
    });
    report.check("RFC 9000, 10.3", "and nobody else is" + suffix,
                 answered == all.size() - connections_before && reset() == connections_before);
    testbed.run(300);
    report.check(
        "DESIGN, mapping", "the module counts them no more" + suffix,
        testbed.counter("marblehub_connections") == static_cast<double>(all.size() - connections_before));
    testbed.worker(0).restart();
    testbed.run(4500, [&] { return testbed.registry.has_watch(); });
    testbed.publish_address(testbed.worker(0));
    testbed.run(400);
    int accepted = testbed.worker(0).accepted;
    for (int i = 0; i < 12; ++i) testbed.client();
    testbed.run(3000, [&] { return testbed.worker(0).accepted > accepted; });
    report.check("PROTOCOL, registry", "a worker that restarts at another address is found there" + suffix,
                 testbed.worker(0).accepted > accepted);
  }
  {
    Testbed testbed({"g-1", "g-2"}, default_options());
    testbed.run(4500, [&] { return testbed.registry.has_watch(); });
    IdCodec codec({testbed.options.worker.ids});
    std::string id = codec.encode(2, testbed.worker(0).server_id, "nonce!");
    Probe probe(testbed);
    probe.send("\x40" + id + std::string(80, 'x'));
    report.check("RFC 9000, 10.3", "the router sends no stateless reset for a worker that runs",
                 !probe.answer(300) && testbed.counter("marblehub_quic_stateless_resets_total") == 0);
    testbed.set_status(testbed.worker(0), "draining");
    testbed.run(300);
    probe.send("\x40" + id + std::string(80, 'x'));
    report.check("RFC 9000, 10.3", "nor for one that drains", !probe.answer(300));
    testbed.set_status(testbed.worker(0), "gone");
    testbed.run(300);
    probe.send("\x40" + id + std::string(80, 'x'));
    auto packet = probe.answer();
    report.check("RFC 9000, 10.3", "for one that the registry calls gone it does",
                 packet && packet->ends_with(stateless_reset_token(kResetKey, id)));
    report.check("RFC 9000, 10.3.3", "shorter than what came", packet && packet->size() < 92);
    probe.send("\x40" + id + std::string(9, 'x'));
    report.check("RFC 9000, 10.3.3", "and none where it could not be", !probe.answer(300));
  }
}

}  // namespace marblehub::conformance
