// Address validation by the router and by workers.

#include "quic/validation.h"
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void retry(Report& report) {
  report.suite("retry");
  for (bool proxy : {true, false}) {
    TestbedOptions options = default_options(proxy);
    options.quic = {{"retry", {{"mode", "always"}, {"token_ms", 1000}}}};
    Testbed testbed({"g-1"}, options);
    Client& c = testbed.client();
    bool ok = connects(testbed, c) && request_succeeds(testbed, c, "one");
    std::string suffix = proxy ? " (proxy-v2)" : " (socket)";
    report.check("RFC 9000, 8.1.2", "a client that is asked for a Retry is served" + suffix,
                 ok && c.retried());
    report.check("RFC 9000, 7.3", "its worker has learnt the original and the retry id" + suffix,
                 testbed.worker(0).last_retry &&
                     testbed.worker(0).last_retry->first != testbed.worker(0).last_retry->second);
    if (!proxy) continue;
    Probe probe(testbed), other(testbed);
    std::string id = unroutable_id(), initial = bare_initial(id, "source");
    double calls = testbed.counter("marblehub_calls_total");
    probe.send(initial);
    auto answer = probe.answer();
    auto header = answer ? parse(*answer) : std::nullopt;
    bool is_retry = header && header->type == PacketType::retry;
    report.check("RFC 9000, 17.2.5", "the answer to an Initial without a token is a Retry", is_retry);
    if (!is_retry) continue;
    report.check("RFC 9001, 5.8", "its integrity tag is that of the Initial's id",
                 retry_is_authentic(*answer, id));
    report.check("RFC 9000, 17.2.5", "its destination is the client's id", header->destination == "source");
    report.check("RFC 9000, 17.2.5.1", "its source differs from the Initial's destination",
                 header->source != id);
    report.check("RFC 9000, 8.1.2", "no call is made of it",
                 testbed.counter("marblehub_calls_total") == calls);
    report.check("RFC 9000, 8.1", "it is shorter than the Initial", answer->size() < initial.size());
    std::string token = token_of(*answer), retry_id(header->source);
    std::string second = bare_initial(retry_id, "source", kVersion1, token);
    other.send(second);
    report.check("RFC 9000, 8.1.4", "a token shown from another address is refused with INVALID_TOKEN",
                 is_close_with(other.answer(), retry_id, kInvalidToken));
    probe.send(bare_initial(unroutable_id(), "source", kVersion1, token));
    auto refused = probe.answers();
    report.check("RFC 9000, 8.1.2", "a token with another id than its Retry's is refused",
                 refused.size() == 1 && parse(refused[0])->type == PacketType::initial);
    testbed.worker(0).options.unresponsive = true;
    probe.send(second);
    testbed.run(150);
    report.check("RFC 9000, 8.1.2", "a good token is taken",
                 testbed.counter("marblehub_calls_total") == calls + 1);
    probe.send(bare_initial(retry_id, "elsewh", kVersion1, token));
    report.check("RFC 9000, 8.1.4", "a replayed token is refused",
                 is_close_with(probe.answer(), retry_id, kInvalidToken));
    std::string expired_id = unroutable_id();
    other.send(bare_initial(expired_id, "source"));
    auto expired = other.answer();
    testbed.run(1200);
    std::string expired_retry_id(expired ? parse(*expired)->source : std::string_view("none"));
    other.send(bare_initial(expired_retry_id, "source", kVersion1, expired ? token_of(*expired) : ""));
    report.check("RFC 9000, 8.1.3", "a late token is refused",
                 is_close_with(other.answer(), expired_retry_id, kInvalidToken));
    other.send(bare_initial(unroutable_id(), "source", kVersion1, "a token that a worker gave out"));
    auto foreign = other.answer();
    report.check("RFC 9000, 8.1.3",
                 "a token that is not the router's counts as none: it is asked for a Retry",
                 foreign && parse(*foreign)->type == PacketType::retry);
    other.send(bare_initial(unroutable_id(), "source", kVersion2));
    auto retry_v2 = other.answer();
    report.check(
        "RFC 9369, 3.3.3", "a Retry of version 2 has that version's type and tag",
        retry_v2 && parse(*retry_v2)->type == PacketType::retry && parse(*retry_v2)->version == kVersion2);
  }
  // A Retry that the worker sends.
  TestbedOptions options = default_options();
  options.worker.retry = true;
  Testbed testbed({"g-1"}, options);
  Client& c = testbed.client();
  bool ok = connects(testbed, c) && request_succeeds(testbed, c, "one");
  report.check("RFC 9000, 17.2.5", "a worker's own Retry is passed on, and its client is served",
               ok && c.retried());
  report.check("PROTOCOL, attempts", "on the same call", testbed.counter("marblehub_calls_total") == 1);
  report.check("PROTOCOL, attempts", "at the worker that asked",
               testbed.counter("marblehub_attempts_total") == 1);
  // Retry above a rate of Initials.
  options = default_options();
  options.quic = {{"retry", {{"mode", "from_rate"}, {"from_rate", 50}}}};
  options.worker.unresponsive = true;
  Testbed flooded({"g-1"}, options);
  Probe probe(flooded);
  std::size_t retries = 0;
  for (int i = 0; i < 200; ++i) probe.send(bare_initial(unroutable_id(), "source"));
  for (const std::string& packet : probe.answers(600, 1000)) {
    auto header = parse(packet);
    retries += header && header->type == PacketType::retry;
  }
  report.check("RFC 9000, 8.1.2", "above the stated rate of unvalidated Initials a Retry is asked for",
               retries > 100);
  report.check("RFC 9000, 8.1.2", "below it none was", retries < 200);
}

}  // namespace marblehub::conformance
