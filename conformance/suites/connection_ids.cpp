// All forms of connection ids.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

// Packets with unroutable ids from one address all go to one worker.
static void address_affinity(Report& report) {
  // Two sockets replace the workers and answer every datagram.
  Testbed testbed({"g-1", "g-2"}, default_options());
  Udp sinks[2];
  replace_workers(testbed, {{"g-1", &sinks[0]}, {"g-2", &sinks[1]}});
  Probe probe(testbed);
  std::size_t counts[2] = {0, 0};
  for (int i = 0; i < 12; ++i) {
    probe.send("\x40\xe1" + std::string(60, static_cast<char>('a' + i)));
    testbed.run(30, [&] {
      for (int s : {0, 1})
        while (auto received = sinks[s].receive()) {
          std::string_view bytes = received->bytes;
          auto header = consume_proxy_header(bytes);
          if (!header) continue;
          counts[s] += 1;
          sinks[s].send(reply_header(*header) + "\x40" + std::string(40, 'y'), received->from);
        }
      return false;
    });
  }
  report.check("quic-load-balancers, 4.2",
               "further ones of the same address go to the same worker, whatever their octets",
               counts[0] + counts[1] == 12 && (counts[0] == 0 || counts[1] == 0));
  report.check("quic-load-balancers, 4.2", "and are no further calls",
               testbed.counter("marblehub_calls_total") == 1);
}

void connection_ids(Report& report) {
  report.suite("ids");
  const char* draft = "quic-load-balancers";
  auto at = [&](const char* section) { return std::string(draft) + ", " + section; };
  // An id configuration and the requirement that it checks.
  struct IdForm {
    IdConfig config;
    const char *section, *requirement;
  };
  for (const IdForm& form :
       {IdForm{{0, 1, 4, ""}, "5.2", "an id in the clear of the shortest parts is routed"},
        {{6, 15, 4, ""}, "5.2", "an id in the clear of the longest server id is routed"},
        {{1, 4, 12, std::string(16, 'a')}, "5.4.1", "an id of one pass (16 octets) is routed"},
        {{2, 3, 4, std::string(16, 'b')}, "5.4.2", "a four-pass id of 7 octets is routed"},
        {{3, 4, 6, std::string(16, 'c')}, "5.4.2", "a four-pass id of 10 octets is routed"},
        {{4, 8, 11, std::string(16, 'd')}, "5.4.2", "a four-pass id of 19 octets is routed"},
        {{5, 1, 4, std::string(16, 'e')}, "5.4.2", "a four-pass id of 5 octets is routed"},
        {{0, 4, 6, "", false}, "3", "an id whose first octet holds no length is routed"}}) {
    TestbedOptions options = default_options();
    options.worker.ids = form.config;
    Testbed testbed({"g-1", "g-2"}, options);
    Client& c = testbed.client();
    bool ok = connects(testbed, c) && request_succeeds(testbed, c, "one");
    c.rebind();
    report.check(at(form.section), form.requirement, ok && request_succeeds(testbed, c, "two"));
  }
  Testbed testbed({"g-1", "g-2"}, default_options());
  Probe probe(testbed);
  IdCodec codec({testbed.options.worker.ids});
  probe.send("\x40" + codec.encode(2, "none", "nonce!") + std::string(40, 'x'));
  report.check(at("4.1"), "an id that names no worker is dropped, not guessed at",
               !probe.answer() && testbed.counter("marblehub_quic_unknown_ids_total") == 1);
  std::string short_one = codec.encode(2, testbed.worker(0).server_id, "nonce!");
  short_one[0] = static_cast<char>(2 << 5 | 9);
  probe.send("\x40" + short_one + std::string(40, 'x'));
  report.check(at("3.2"), "an id whose length octet is wrong is dropped",
               !probe.answer() && testbed.counter("marblehub_quic_unknown_ids_total") == 2);
  probe.send("\x40" + std::string(1, '\x8a') + std::string(50, 'x'));
  report.check(at("3.1"), "an id of a rotation that is not configured is dropped",
               !probe.answer() && testbed.counter("marblehub_quic_unknown_ids_total") == 3);
  double calls = testbed.counter("marblehub_calls_total");
  probe.send("\x40\xe0" + std::string(60, 'x'));
  testbed.run(200);
  report.check(at("3.1"), "an id of the unroutable codepoint goes through the module as a call",
               testbed.counter("marblehub_calls_total") == calls + 1);
  address_affinity(report);
  // A client cannot select a worker by encoding its server id in the first Initial.
  std::string chosen = codec.encode(2, testbed.worker(0).server_id, "nonce!");
  calls = testbed.counter("marblehub_calls_total");
  probe.send(bare_initial(chosen, "source"));
  testbed.run(200);
  report.check(at("4.1"), "an Initial whose made-up id names a worker is placed by the module all the same",
               testbed.counter("marblehub_calls_total") == calls + 1);
}

}  // namespace marblehub::conformance
