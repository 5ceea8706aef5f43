// Initials that begin a connection, handshakes, and coalesced packets.
#include <algorithm>

#include "quic/validation.h"
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void initials(Report& report) {
  report.suite("initials");
  TestbedOptions options = default_options();
  options.deadline_ms = 1500;
  Testbed testbed({"g-1", "g-2"}, options);
  Probe probe(testbed);
  auto calls = [&] {
    testbed.run(120);
    return testbed.counter("marblehub_calls_total");
  };
  for (auto& w : testbed.workers) w->options.unresponsive = true;
  probe.send(bare_initial(unroutable_id(), "source", kVersion1, "", 1199));
  report.check("RFC 9000, 14.1", "an Initial in under 1,200 octets is dropped", calls() == 0);
  probe.send(bare_initial(unroutable_id(7), "source"));
  report.check("RFC 9000, 7.2", "an Initial whose id has under 8 octets is dropped", calls() == 0);
  std::string wrong = bare_initial(unroutable_id(), "source");
  wrong[5] = 21;
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an id of over 20 octets is dropped in version 1", calls() == 0);
  wrong = bare_initial(unroutable_id(), "source");
  wrong[0] = static_cast<char>(wrong[0] & ~0x40);
  probe.send(wrong);
  report.check("RFC 9000, 17.2", "an Initial that begins a connection without the fixed bit is dropped",
               calls() == 0);
  probe.send(bare_initial(unroutable_id(), "source").substr(0, 600));
  report.check("RFC 9000, 17.2", "an Initial whose length goes past the datagram is dropped", calls() == 0);
  probe.send(retry_packet(kVersion1, unroutable_id(), "source", std::string(1200, 't'), "original"));
  report.check("RFC 9000, 17.2.5", "a Retry from a client is dropped", calls() == 0);

  std::string id = unroutable_id(), initial = bare_initial(id, "source");
  probe.send(initial);
  probe.send(initial);
  report.check("RFC 9000, 17.2.2", "a repeated Initial is the same call", calls() == 1);
  std::optional<std::string> closed;
  std::int64_t started_at = now_us();
  testbed.run(3000, [&] {
    while (auto received = probe.udp.receive()) closed = received->bytes;
    return closed.has_value();
  });
  report.check("PROTOCOL, answers", "a call without a reply is answered before its time is up",
               closed && now_us() - started_at < 1'550'000);
  report.check("RFC 9000, 10.2.3", "by a CONNECTION_CLOSE in an Initial the client can open",
               is_close_with(closed, id, kConnectionRefused));
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
  Testbed testbed({"g-1", "g-2"}, default_options());
  Client& normal = testbed.client();
  report.check("RFC 9000, 7", "a handshake passes", connects(testbed, normal));
  report.check("RFC 9000, 2", "requests and answers pass", request_succeeds(testbed, normal, "one"));
  ClientOptions zero_id_options;
  zero_id_options.id_length = 0;
  Client& zero_id = testbed.client(zero_id_options);
  report.check("RFC 9000, 5.1", "a client with ids of no octets is served",
               connects(testbed, zero_id) && request_succeeds(testbed, zero_id, "two"));
  ClientOptions fragmented_options;
  fragmented_options.padding = 2600;
  Client& fragmented = testbed.client(fragmented_options);
  report.check("RFC 9001, 4.3", "a ClientHello over several Initials is one call",
               connects(testbed, fragmented) && request_succeeds(testbed, fragmented, "three"));
  Client& reordered = testbed.client(fragmented_options);
  std::vector<std::string> held_datagrams;
  reordered.hop.tamper = [&held_datagrams](std::string bytes) {
    held_datagrams.push_back(bytes);
    if (held_datagrams.size() < 2) return std::vector<std::string>{};
    std::vector<std::string> out(held_datagrams.rbegin(), held_datagrams.rend());
    held_datagrams.clear();
    return out;
  };
  reordered.step();
  reordered.hop.tamper = nullptr;
  report.check("RFC 9000, 13", "its Initials in the wrong order are served", connects(testbed, reordered));
  Client& duplicated = testbed.client();
  duplicated.hop.tamper = [](std::string bytes) { return std::vector<std::string>{bytes, bytes}; };
  int accepted = testbed.worker(0).accepted + testbed.worker(1).accepted;
  bool ok = connects(testbed, duplicated) && request_succeeds(testbed, duplicated, "four");
  report.check("RFC 9000, 12.3", "with every datagram sent twice there is one connection and one answer",
               ok && testbed.worker(0).accepted + testbed.worker(1).accepted == accepted + 1);

  // Coalesced packets with another destination id than the first must not reach the worker.
  Udp sink;
  std::string coalesced = bare_initial(unroutable_id(), "source", kVersion1, "", 1200);
  std::string other_id_packet = bare_initial(unroutable_id(), "source", kVersion1, "", 300);
  Testbed silent({"g-1"}, [] {
    TestbedOptions o = default_options();
    o.worker.unresponsive = true;
    return o;
  }());
  Probe second(silent);
  replace_workers(silent, {{"g-1", &sink}});
  auto seen_with = [&](const std::string& datagram) {
    silent.run(300);
    while (sink.receive()) {
    }
    second.send(datagram);
    std::size_t max_size = 0;
    silent.run(250, [&] {
      while (auto received = sink.receive()) {
        std::string_view bytes = received->bytes;
        if (consume_proxy_header(bytes)) max_size = std::max(max_size, bytes.size());
      }
      return max_size > 0;
    });
    return max_size;
  };
  report.check("RFC 9000, 12.2", "a later coalesced packet with another id is dropped",
               seen_with(coalesced + other_id_packet) == coalesced.size());
  std::string same_id = unroutable_id(), first = bare_initial(same_id, "source");
  std::string second_packet = bare_initial(same_id, "source", kVersion1, "", 300);
  report.check("RFC 9000, 12.2", "coalesced packets with the same id are passed on whole",
               seen_with(first + second_packet) == first.size() + second_packet.size());
}

}  // namespace marblehub::conformance
