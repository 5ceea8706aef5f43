// The anti-amplification limit, and replies of workers to calls that have ended.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void amplification(Report& report) {
  report.suite("amplification");
  TestbedOptions options = default_options();
  Testbed testbed({"g-1"}, options);
  // A client that sends a single Initial receives at most three times its size.
  Client& c = testbed.client();
  bool sent = false;
  c.hop.tamper = [&](std::string bytes) {
    if (std::exchange(sent, true)) return std::vector<std::string>{};
    return std::vector<std::string>{std::move(bytes)};
  };
  testbed.run(2000);
  report.check("RFC 9000, 8.1", "an address that is not validated gets at most three times what it sent",
               c.hop.bytes_in > 0 && c.hop.bytes_in <= 3 * 1200);
  // The router enforces the limit on a worker that exceeds it.
  Udp sink;
  replace_workers(testbed, {{"g-1", &sink}});
  Probe probe(testbed);
  std::string id = unroutable_id();
  probe.send(bare_initial(id, "source"));
  std::optional<Udp::ReceivedDatagram> received;
  testbed.run(500, [&] { return (received = sink.receive()).has_value(); });
  std::size_t received_bytes = 0;
  if (received) {
    std::string_view bytes = received->bytes;
    auto header = consume_proxy_header(bytes);
    std::string worker_id =
        IdCodec({testbed.options.worker.ids}).encode(2, testbed.worker(0).server_id, "nonce!");
    for (std::uint32_t i = 0; i < 20; ++i)
      sink.send(reply_header(*header) +
                    seal_initial(initial_keys(id, true), "source", worker_id, i, std::string(1100, '\0')),
                received->from);
    for (const std::string& packet : probe.answers(300, 1000)) received_bytes += packet.size();
  }
  report.check("RFC 9000, 8.1", "also where its worker sends more",
               received && received_bytes > 0 && received_bytes <= 3 * 1200);
  report.check("alerts", "what was kept back is counted",
               testbed.counter("marblehub_quic_amplification_stops_total") > 0);
}

// A worker's reply to a call that has ended is not forwarded.
void late_replies(Report& report) {
  report.suite("late");
  for (bool proxy : {true, false}) {
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    TestbedOptions options = default_options(proxy);
    options.deadline_ms = 600;
    Testbed testbed({"g-1"}, options);
    Udp sink;
    replace_workers(testbed, {{"g-1", &sink}});
    Probe probe(testbed);
    std::string id = unroutable_id();
    probe.send(bare_initial(id, "source"));
    std::optional<Udp::ReceivedDatagram> received;
    std::vector<std::string> answers;
    testbed.run(900, [&] {
      if (auto one = sink.receive()) received = one;
      while (auto answer = probe.udp.receive()) answers.push_back(answer->bytes);
      return received && !answers.empty();
    });
    report.check("PROTOCOL, answers",
                 "a worker that says nothing leaves a call that is refused in time" + suffix,
                 received && answers.size() == 1 && is_close_with(answers[0], id, kConnectionRefused));
    if (!received) continue;
    std::string reply =
        seal_initial(initial_keys(id, true), "source",
                     IdCodec({options.worker.ids}).encode(2, testbed.worker(0).server_id, "nonce!"), 0,
                     std::string(100, '\0'));
    std::string_view bytes = received->bytes;
    std::string proxy_header;
    if (auto header = proxy ? consume_proxy_header(bytes) : std::nullopt)
      proxy_header = reply_header(*header);
    sink.send(proxy_header + reply, received->from);
    report.check("PROTOCOL, answers", "what it says after that reaches nobody" + suffix, !probe.answer(300));
  }
}

}  // namespace marblehub::conformance
