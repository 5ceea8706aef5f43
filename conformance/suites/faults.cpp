// Networks that lose, duplicate and reorder datagrams.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void faults(Report& report) {
  report.suite("faults");
  // Network faults and their description in the requirement.
  struct FaultCase {
    const char* description;
    Faults faults;
  };
  for (const FaultCase& fault_case : {FaultCase{"one datagram in ten lost", {.loss = 0.1}},
                                      {"one in five repeated", {.duplication = 0.2}},
                                      {"one in five overtaken", {.delay = 0.2}},
                                      {"all of these and a new address with every request",
                                       {.loss = 0.05, .duplication = 0.1, .delay = 0.1}}}) {
    Testbed testbed({"g-1", "g-2"}, [] {
      TestbedOptions o = default_options();
      o.deadline_ms = 3000;
      return o;
    }());
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ClientOptions options;
      options.faults = fault_case.faults;
      options.faults.seed = seed;
      testbed.client(options);
    }
    testbed.run(6000, [&] { return testbed.all_connected(); });
    testbed.run(
        500);  // workers confirm the handshakes, before which no client may change its address (RFC 9000, 9)
    for (int i = 0; i < 5; ++i) {
      for (auto& c : testbed.clients) {
        c->request("r" + std::to_string(i));
        if (fault_case.faults.loss > 0 && fault_case.faults.duplication > 0) c->rebind();
      }
      testbed.run(120);
    }
    testbed.run(8000, [&] { return testbed.all_answered(); });
    report.check("brief", std::string("each request has one answer with ") + fault_case.description,
                 testbed.all_connected() && testbed.all_answered());
  }
}

}  // namespace marblehub::conformance
