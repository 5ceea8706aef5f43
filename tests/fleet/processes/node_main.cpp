// fleet_node: a member of the fleet without fronts, to test the fleet alone as processes. SIGUSR1 prints the
// counters, SIGTERM leaves the fleet and ends the process; exit code 3 means a name conflict.
#include <csignal>
#include <iostream>

#include "config/json.h"
#include "fleet/net/driver.h"
#include "log/log.h"

namespace marblehub {
namespace {

constexpr fleet::Time kLeaveDelay = 200'000;  // microseconds, to send the leave message

int serve(const std::string& file) {
  fleet::NodeOptions options;
  options.settings = fleet::settings_from(config::load_options(file), "n0");
  net::Loop loop;
  metrics::Registry metrics;
  options.incarnation = fleet::new_incarnation(options.settings.data, fleet::fleet_clock(loop));
  options.seed = options.incarnation;
  fleet::EnvelopeSealer sealer(options.settings.fleet, fleet::read_key_file(options.settings.key_file));
  bool name_conflict = false;
  fleet::NodeDriver driver(loop, std::move(options), std::move(sealer), metrics);
  driver.on_name_conflict([&](const std::string&) {
    name_conflict = true;
    loop.stop();
  });
  net::TimerWatch leave_timer(loop, [&] { loop.stop(); });
  net::SignalWatch term(loop, SIGTERM, [&] {
    driver.leave();
    leave_timer.start(kLeaveDelay);
  });
  auto print = [&] { std::cerr << metrics::exposition(metrics) << std::flush; };
  net::SignalWatch usr1(loop, SIGUSR1, print);
  loop.run();
  print();
  return name_conflict ? 3 : 0;
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
