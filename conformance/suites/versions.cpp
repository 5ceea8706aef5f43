// QUIC versions 1 and 2, and version negotiation.
#include <algorithm>
#include <set>

#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void versions(Report& report) {
  report.suite("versions");
  Testbed testbed({"g-1"}, default_options());
  Probe probe(testbed);
  std::string id = unroutable_id(), unknown = bare_initial(id, "source");
  unknown[1] = '\x1a', unknown[2] = '\x2a', unknown[3] = '\x3a', unknown[4] = '\x4a';
  probe.send(unknown);
  auto answer = probe.answer();
  auto header = answer ? parse(*answer) : std::nullopt;
  bool negotiates = header && header->type == PacketType::version_negotiation;
  report.check("RFC 9000, 6.1", "an unknown version is answered with Version Negotiation", negotiates);
  report.check("RFC 9000, 17.2.1", "its ids are the client's, the other way round",
               negotiates && header->destination == "source" && header->source == id);
  std::set<std::string> offers;
  if (negotiates)
    for (std::size_t i = answer->size() - 12; i < answer->size(); i += 4) offers.insert(answer->substr(i, 4));
  report.check("RFC 9000, 6.1", "version 1 is among the offers", offers.contains(std::string("\0\0\0\1", 4)));
  report.check("RFC 9369, 4", "version 2 is among the offers", offers.contains("\x6b\x33\x43\xcf"));
  report.check("RFC 9000, 6.3", "a reserved version is among the offers",
               std::any_of(offers.begin(), offers.end(), [](const std::string& v) {
                 return std::all_of(v.begin(), v.end(), [](char c) { return (c & 0x0f) == 0x0a; });
               }));
  report.check("RFC 9000, 6.1", "the version that was refused is not", !offers.contains("\x1a\x2a\x3a\x4a"));
  report.check("RFC 9000, 8.1", "the answer is shorter than what came",
               negotiates && answer->size() < unknown.size());
  probe.send(unknown.substr(0, 1199));
  report.check("RFC 9000, 6.1", "a datagram under 1,200 octets of an unknown version is not answered",
               !probe.answer());
  std::string longest_ids = unknown.substr(0, 5) + '\xff' + std::string(255, 'd') + '\xff' +
                            std::string(255, 's') + std::string(800, 'x');
  probe.send(longest_ids);
  answer = probe.answer();
  header = answer ? parse(*answer) : std::nullopt;
  report.check(
      "RFC 8999, 5.1", "ids of up to 255 octets are handled in unknown versions",
      header && header->type == PacketType::version_negotiation && header->source == std::string(255, 'd'));
  probe.send(*answer);
  report.check("RFC 9000, 6.1", "Version Negotiation is never answered", !probe.answer());
  testbed.worker(0).options.unresponsive = true;
  std::string second = bare_initial(unroutable_id(), "source", kVersion2);
  probe.send(second);
  testbed.run(150);
  report.check("RFC 9369, 3.2", "an Initial of version 2 (type 0b01) is a call",
               testbed.counter("marblehub_calls_total") == 1 && testbed.worker(0).datagrams > 0);
  id = parse(second)->destination;
  std::optional<std::string> closed;
  testbed.run(2500, [&] {
    while (auto received = probe.udp.receive()) closed = received->bytes;
    return closed.has_value();
  });
  report.check("RFC 9369, 3.3.1", "its CONNECTION_CLOSE is under the keys of version 2",
               is_close_with(closed, id, kConnectionRefused, kVersion2));
  report.check("RFC 9369, 3.1", "and carries version 2 in its header",
               closed && parse(*closed)->version == kVersion2);
  probe.send(std::string(1, '\xf0') + second.substr(1));  // in version 2 a Retry is 0b00, 0b11 a Handshake
  report.check("RFC 9369, 3.2", "types of version 2 are not read as those of version 1",
               !probe.answer() && testbed.counter("marblehub_calls_total") == 1);
}

}  // namespace marblehub::conformance
