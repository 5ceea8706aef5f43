// What begins a connection, and coalesced packets.
#include <algorithm>

#include "quic/validation.h"
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void initials(Report& report) {
  report.suite("initials");
  TestbedOptions options = usual();
  options.deadline_ms = 1500;
  Testbed testbed({"g-1", "g-2"}, options);
  Probe probe(testbed);
  auto calls = [&] {
    testbed.run(120);
    return testbed.counter("marblehub_calls_total");
  };
  for (auto& w : testbed.workers) w->options.mute = true;
  probe.send(bare_initial(fresh_id(), "source", kVersion1, "", 1199));
  report.check("RFC 9000, 14.1", "an Initial in under 1,200 octets is dropped", calls() == 0);
  probe.send(bare_initial(fresh_id(7), "source"));
  report.check("RFC 9000, 7.2", "an Initial whose id has under 8 octets is dropped", calls() == 0);
  std::string wrong = bare_initial(fresh_id(), "source");
  wrong[5] = 21;
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an id of over 20 octets is dropped in version 1", calls() == 0);
  wrong = bare_initial(fresh_id(), "source");
  wrong[0] = static_cast<char>(wrong[0] & ~0x40);
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an Initial that begins a connection without the fixed bit is dropped",
               calls() == 0);
  probe.send(bare_initial(fresh_id(), "source").substr(0, 600));
  report.check("RFC 9000, 17.2", "an Initial whose length goes past the datagram is dropped", calls() == 0);
  probe.send(retry_packet(kVersion1, fresh_id(), "source", std::string(1200, 't'), "original"));
  report.check("RFC 9000, 17.2.5", "a Retry from a client is dropped", calls() == 0);

  std::string id = fresh_id(), initial = bare_initial(id, "source");
  probe.send(initial);
  probe.send(initial);
  report.check("RFC 9000, 17.2.2", "a repeated Initial is the same call", calls() == 1);
  std::optional<std::string> closed;
  std::int64_t began = now_us();
  testbed.run(3000, [&] {
    while (auto came = probe.udp.receive()) closed = came->bytes;
    return closed.has_value();
  });
  report.check("PROTOCOL, answers", "a call without a reply is answered before its time is up",
               closed && now_us() - began < 1'550'000);
  report.check("RFC 9000, 10.2.3", "by a CONNECTION_CLOSE in an Initial the client can open",
               closes_with(closed, id, kConnectionRefused));
  report.check("RFC 9000, 7.2", "to the client's own id", closed && parse(*closed)->destination == "source");
  probe.send(initial);
  auto again = probe.answer();
  report.check("RFC 9000, 10.2.1", "a late repetition gets the same answer", again && again == closed);
  report.check("RFC 9000, 8.1", "no answer is over three times what came in",
               closed && closed->size() < 3 * initial.size());
  report.check("PROTOCOL, answers", "and there is one answer only", probe.answers(300).empty());

  handshakes(report);
}

void handshakes(Report& report) {
  Testbed testbed({"g-1", "g-2"}, usual());
  Client& normal = testbed.client();
  report.check("RFC 9000, 7", "a handshake passes", up(testbed, normal));
  report.check("RFC 9000, 2", "requests and answers pass", asks(testbed, normal, "one"));
  ClientOptions none;
  none.id_length = 0;
  Client& zero = testbed.client(none);
  report.check("RFC 9000, 5.1", "a client with ids of no octets is served",
               up(testbed, zero) && asks(testbed, zero, "two"));
  ClientOptions large;
  large.padding = 2600;
  Client& several = testbed.client(large);
  report.check("RFC 9001, 4.3", "a ClientHello over several Initials is one call",
               up(testbed, several) && asks(testbed, several, "three"));
  Client& turned = testbed.client(large);
  std::vector<std::string> held;
  turned.hop.tamper = [&held](std::string bytes) {
    held.push_back(bytes);
    if (held.size() < 2) return std::vector<std::string>{};
    std::vector<std::string> out(held.rbegin(), held.rend());
    held.clear();
    return out;
  };
  turned.step();
  turned.hop.tamper = nullptr;
  report.check("RFC 9000, 13", "its Initials in the wrong order are served", up(testbed, turned));
  Client& twice = testbed.client();
  twice.hop.tamper = [](std::string bytes) { return std::vector<std::string>{bytes, bytes}; };
  int accepted = testbed.worker(0).accepted + testbed.worker(1).accepted;
  bool good = up(testbed, twice) && asks(testbed, twice, "four");
  report.check("RFC 9000, 12.3", "with every datagram sent twice there is one connection and one answer",
               good && testbed.worker(0).accepted + testbed.worker(1).accepted == accepted + 1);

  // Coalesced packets: what stands behind the first with another id must not reach the worker.
  Udp sink;
  std::string coalesced = bare_initial(fresh_id(), "source", kVersion1, "", 1200);
  std::string foreign = bare_initial(fresh_id(), "source", kVersion1, "", 300);
  Testbed silent({"g-1"}, [] {
    TestbedOptions o = usual();
    o.worker.mute = true;
    return o;
  }());
  Probe second(silent);
  take_places(silent, {{"g-1", &sink}});
  auto seen_with = [&](const std::string& datagram) {
    silent.run(300);
    while (sink.receive()) {
    }
    second.send(datagram);
    std::size_t most = 0;
    silent.run(250, [&] {
      while (auto came = sink.receive()) {
        std::string_view bytes = came->bytes;
        if (consume_proxy_header(bytes)) most = std::max(most, bytes.size());
      }
      return most > 0;
    });
    return most;
  };
  report.check("RFC 9000, 12.2", "a later coalesced packet with another id is dropped",
               seen_with(coalesced + foreign) == coalesced.size());
  std::string same_id = fresh_id(), first = bare_initial(same_id, "source");
  std::string then = bare_initial(same_id, "source", kVersion1, "", 300);
  report.check("RFC 9000, 12.2", "coalesced packets with the same id are passed on whole",
               seen_with(first + then) == first.size() + then.size());
}

}  // namespace marblehub::conformance
