// A network that loses, repeats and reorders.
#include "suites/suites.h"
#include "suites/support.h"

namespace marblehub::conformance {

void faults(Report& report) {
  report.suite("faults");
  struct Kind {
    const char* words;
    Faults faults;
  };
  for (const Kind& kind :
       {Kind{"one datagram in ten lost", {.lose = 0.1}},
        {"one in five repeated", {.repeat = 0.2}},
        {"one in five overtaken", {.delay = 0.2}},
        {"all of these and a new address with every request", {.lose = 0.05, .repeat = 0.1, .delay = 0.1}}}) {
    Testbed testbed({"g-1", "g-2"}, [] {
      TestbedOptions o = usual();
      o.deadline_ms = 3000;
      return o;
    }());
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ClientOptions options;
      options.faults = kind.faults;
      options.faults.seed = seed;
      testbed.client(options);
    }
    testbed.run(6000, [&] { return testbed.all_up(); });
    for (int i = 0; i < 5; ++i) {
      for (auto& c : testbed.clients) {
        c->request("r" + std::to_string(i));
        if (kind.faults.lose > 0 && kind.faults.repeat > 0) c->rebind();
      }
      testbed.run(120);
    }
    testbed.run(8000, [&] { return testbed.all_answered(); });
    report.check("brief", std::string("each request has one answer with ") + kind.words,
                 testbed.all_up() && testbed.all_answered());
  }
}

}  // namespace marblehub::conformance
