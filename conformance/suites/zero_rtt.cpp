// 0-RTT packets before, after, coalesced with and without the Initial of their connection.
#include <algorithm>

#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void zero_rtt(Report& report) {
  report.suite("0-rtt");
  Testbed testbed({"g-1"}, default_options());
  Client& first = testbed.client();
  bool ok = connects(testbed, first) && request_succeeds(testbed, first, "first") &&
            testbed.run(1000, [&] { return first.resumption().has_value(); });
  report.check("RFC 9001, 4.6.1", "a session ticket passes", ok);
  if (!ok) return;
  Resumption ticket = *first.resumption();
  ClientOptions options;
  options.resume = &ticket;
  // Opens a connection with early data. Its first flight is sent as the datagrams that `rearrange` makes of
  // it.
  auto run_case = [&](const char* section, const char* description,
                      std::function<std::vector<std::string>(std::vector<std::string>)> rearrange) {
    Client& c = testbed.client(options);
    std::string text = std::string("early ") + description;
    c.request(text);
    std::vector<std::string> flight;
    c.hop.tamper = [&](std::string bytes) {
      flight.push_back(std::move(bytes));
      return std::vector<std::string>{};
    };
    c.step();
    std::vector<std::string> datagrams = rearrange(flight);
    c.hop.tamper = [&](std::string) { return datagrams; };
    // The hop replaces the empty datagram by the rearranged flight.
    c.hop.send("", testbed.router());
    c.hop.tamper = nullptr;
    bool served = testbed.run(2500, [&] { return c.all_answered_once() && c.handshaken(); });
    report.check(section, description, served && testbed.worker(0).executed[text] == 1);
  };
  // ngtcp2 sends one datagram with an Initial and 0-RTT; this splits them into separate datagrams.
  auto split_flight = [](const std::vector<std::string>& flight) {
    std::string initial, early_data;
    for (const std::string& datagram : flight) {
      std::string_view rest = datagram;
      while (!rest.empty()) {
        auto header = parse(rest);
        if (!header || header->type == PacketType::short_header) break;
        (header->type == PacketType::initial ? initial : early_data) += header->packet;
        rest.remove_prefix(header->packet.size());
      }
    }
    // A datagram with an Initial has at least 1200 bytes (RFC 9000, 14.1).
    initial.resize(std::max<std::size_t>(initial.size(), 1200), '\0');
    return std::pair(initial, early_data);
  };
  run_case("RFC 9000, 17.2.3", "0-RTT coalesced with its Initial is served once",
           [](std::vector<std::string> flight) { return flight; });
  run_case("RFC 9000, 17.2.3", "0-RTT after its Initial is served once",
           [&](std::vector<std::string> flight) {
             auto [initial, early_data] = split_flight(flight);
             return std::vector<std::string>{initial, early_data};
           });
  run_case("RFC 9000, 5.2.2", "0-RTT before its Initial is kept for it and served once",
           [&](std::vector<std::string> flight) {
             auto [initial, early_data] = split_flight(flight);
             return std::vector<std::string>{early_data, initial};
           });
  double calls = testbed.counter("marblehub_calls_total");
  Probe probe(testbed);
  std::string early_data = bare_initial(unroutable_id(), "source");
  // Sets the packet type in the first byte to 0-RTT.
  early_data[0] = static_cast<char>((early_data[0] & 0xcf) | 0x10);
  // Removes the token length, which 0-RTT packets lack. It follows the first byte and version (5), and two
  // ids of 10 and 6 bytes with their lengths.
  early_data.erase(5 + 1 + 10 + 1 + 6, 1);
  probe.send(early_data);
  report.check("RFC 9000, 5.2.2", "0-RTT without an Initial is no call and gets no answer",
               !probe.answer(700) && testbed.counter("marblehub_calls_total") == calls);
}

}  // namespace marblehub::conformance
