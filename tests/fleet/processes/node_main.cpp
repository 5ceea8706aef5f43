// A node of the fleet without fronts, so that the fleet can be tried on processes by itself. SIGUSR1 prints
// the counters, SIGTERM leaves.
#include <csignal>
#include <iostream>

#include "config/json.h"
#include "fleet/net/driver.h"
#include "log/log.h"

namespace marblehub {
namespace {

constexpr fleet::Time kLastWords = 200'000;

int serve(const std::string& file) {
  fleet::NodeOptions parts;
  parts.settings = fleet::settings_from(config::load_options(file), "n0");
  net::Loop loop;
  metrics::Registry metrics;
  parts.incarnation = fleet::new_incarnation(parts.settings.data, fleet::fleet_clock(loop));
  parts.seed = parts.incarnation;
  fleet::EnvelopeSealer sealer(parts.settings.fleet, fleet::read_key_file(parts.settings.key_file));
  bool refused = false;
  fleet::NodeDriver driver(loop, std::move(parts), std::move(sealer), metrics);
  driver.on_name_conflict([&](const std::string&) {
    refused = true;
    loop.stop();
  });
  net::TimerWatch last_words(loop, [&] { loop.stop(); });
  net::SignalWatch term(loop, SIGTERM, [&] {
    driver.leave();
    last_words.start(kLastWords);
  });
  auto print = [&] { std::cerr << metrics::exposition(metrics) << std::flush; };
  net::SignalWatch usr1(loop, SIGUSR1, print);
  loop.run();
  print();
  return refused ? 3 : 0;
}

}  // namespace
}  // namespace marblehub

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return marblehub::serve(argc > 1 ? argv[1] : "deploy/fleet.json");
  } catch (const std::exception& error) {
    std::cerr << "fleet_node: " << error.what() << '\n';
    return 1;
  }
}
