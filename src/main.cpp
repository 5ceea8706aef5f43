// The marblehub program: connects the core with its fronts, the registry and the optional services, and runs
// them.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <optional>
#include <vector>

#include "check/check.h"
#include "core/dispatcher.h"
#include "fleet/service/service.h"
#include "log/log.h"
#include "log/settings.h"
#include "metrics/registry.h"
#include "net/client_side.h"
#include "net/loop.h"
#include "net/registry_watch.h"
#include "net/worker_side.h"
#include "quic/front.h"
#include "rebalance/driver.h"
#include "remote_write/remote_write.h"

namespace marblehub {
namespace {

using core::Time;

constexpr Time kPlanInterval = 1'000'000;
constexpr Time kRetireTick = 50'000;  // between two steps of a shutdown
// Delay before a failed watch of a pushed list is repeated; sends to a leaving worker must stop within 250
// ms.
constexpr Time kAgentRetryDelay = 50'000;

// Signals that are blocked while they have no watcher, since each of them would end the process by default.
const std::vector<int> kHandledSignals = {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2};

// The schedule of a shutdown, in microseconds from SIGTERM. SIGKILL follows no sooner than 0.7 s after the
// longest deadline, which is at most 3 s.
struct RestartPlan {
  explicit RestartPlan(Time longest_deadline)
      : move_period(longest_deadline / 2),
        final_move_time(accept_period + move_period),
        final_answer_time(std::max(longest_deadline + 300'000, final_move_time)),
        exit_deadline(longest_deadline + 500'000) {}

  const Time accept_period = 450'000;  // the front sends new clients for 0.4 s
  const Time move_period;              // established clients are moved, spread over this time
  // From then on clients without a request are closed, and newly established ones are moved at once.
  const Time final_move_time;
  const Time final_answer_time;  // remaining calls are answered and all clients moved
  const Time exit_deadline;      // the exit waits at most until then for the last lines to be read
};

// All parts of the running program, and the handling of its signals.
class Program {
 public:
  Program(std::string path, config::LoadedStartup loaded)
      : path_(std::move(path)),
        startup_(std::move(loaded.startup)),
        values_(std::move(loaded.values)),
        plan_(startup_.longest_deadline),
        descriptors_(startup_.sockets),
        probes_(loop_, startup_.settings.connect_timeout_us),
        registry_(loop_, startup_.registry, startup_.known, first_watch_delay(startup_.settings)),
        agent_retry_timer_(loop_, [this] { registry_.watch_endpoints(); }),
        dispatcher_(startup_, loop_, probes_, registry_, metrics_),
        workers_(loop_, startup_.settings.connect_timeout_us, metrics_),
        listener_(loop_, dispatcher_, workers_, address(), descriptors_, metrics_),
        quic_(quic_front()),
        remote_write_(remote_writer()),
        rebalance_counters_(metrics_),
        rebalance_(rebalance_driver()),
        plan_timer_(loop_, [this] { plan_moves(); }),
        retire_timer_(loop_, [this] { retire_step(); }),
        fleet_(fleet_service()),
        terminate_signal_(loop_, SIGTERM, [this] { retire(); }),
        interrupt_signal_(loop_, SIGINT, [this] { retire(); }),
        reload_signal_(loop_, SIGHUP, [this] { reload(); }),
        print_signal_(loop_, SIGUSR1, [this] { print_metrics(); }),
        pause_signal_(loop_, SIGUSR2, [this] { pause_moves(); }),
        reloads_(metrics_.counter("marblehub_reloads_total", "Reloads of the configuration, by their result",
                                  {{"result", "taken"}})),
        reloads_refused_(metrics_.counter("marblehub_reloads_total",
                                          "Reloads of the configuration, by their result",
                                          {{"result", "refused"}})) {
    probes_.on_result(
        [this](const std::string& worker, Time rtt, core::Outcome outcome, const core::LoadReport& report) {
          dispatcher_.probe_result(worker, rtt, outcome, report);
        });
    registry_.set_handler({[this](const config::WorkerList& list) { dispatcher_.list_received(list); },
                           [this](bool reachable) { on_list_failure(reachable); }});
  }

  void run() {
    loop_.before_wait([this] { return step(); });
    log::threshold = log_level(startup_);
    log::info("{} listens on {}", startup_.name, startup_.listen);
    net::UnblockedSignals signals(kHandledSignals);
    if (rebalance_) plan_timer_.start(kPlanInterval);
    if (list_is_pushed()) registry_.watch_endpoints();
    loop_.run();
    dispatcher_.end_all();  // nobody is left after a planned restart, but other ends come unannounced
    print_metrics();
  }

 private:
  // Runs due work; returns the time until more is due.
  Time step() {
    // After a stall of the process, sockets are read before timeouts are acted on.
    input_read_first_ = !input_read_first_ && loop_.now() - dispatcher_.next_due() > net::kStallThreshold;
    if (input_read_first_) return 0;
    dispatcher_.advance();
    dispatcher_.free_ended();
    dispatcher_.before_wait();
    if (!ready_ && dispatcher_.is_ready()) become_ready();
    return dispatcher_.next_due() - loop_.now();
  }

  void become_ready() {
    ready_ = true;
    const bool confirmed = dispatcher_.list_state() == policy::EndpointListState::confirmed;
    log::info("{} is ready after {} ms, the worker list is {}", startup_.name,
              (loop_.now() - started_at_) / 1000, confirmed ? "confirmed" : "the one known at the start");
    listener_.set_ready();
  }

  sockaddr_in address() const {
    return *net::parse_address(startup_.listen);  // validated by the decoder
  }

  // Whether the agent on this machine pushes lists. The policy requests none then, and a watch is always kept
  // open.
  bool list_is_pushed() const { return !startup_.settings.pull_endpoints; }

  // Where lists are pushed, the agent on this machine serves this balancer alone.
  static Time first_watch_delay(const policy::Settings& settings) {
    if (!settings.pull_endpoints) return 0;
    const Time spread = policy::first_call_spread(settings);
    return settings.must_ask_within_us > 0 ? std::min(spread, settings.must_ask_within_us / 2) : spread;
  }

  void on_list_failure(bool reachable) {
    dispatcher_.list_failed(reachable);
    if (list_is_pushed()) agent_retry_timer_.start(kAgentRetryDelay);
  }

  // Loads a file that may be absent, in which case the feature it configures is off.
  static std::optional<config::Options> optional_file(const std::string& path) {
    if (!std::filesystem::exists(path)) return std::nullopt;
    return config::load_options(path);
  }

  static log::Level log_level(const config::Startup& startup) {
    auto options = optional_file(startup.log_file);
    return options ? log::level_from(*options) : log::Level::info;
  }

  std::unique_ptr<metrics::RemoteWrite> remote_writer() {
    auto options = optional_file(startup_.remote_write_file);
    if (!options) return nullptr;
    metrics::RemoteWriteSettings settings = metrics::remote_write_settings_from(*options);
    if (!settings.enabled) return nullptr;
    log::info("metrics are written to {} every {} ms", settings.address, settings.interval / 1000);
    return std::make_unique<metrics::RemoteWrite>(loop_, std::move(settings), metrics_);
  }

  // The QUIC front's settings, checked against the list of workers; none if the file is absent or disables
  // it.
  static std::optional<quic::QuicSettings> quic_settings(const config::Startup& startup) {
    auto options = optional_file(startup.quic_file);
    if (!options) return std::nullopt;
    auto settings =
        quic::quic_settings_from(*options, std::filesystem::path(startup.quic_file).parent_path());
    if (!settings.enabled) return std::nullopt;
    for (const std::string& conflict : quic::server_id_conflicts(settings, startup.known.names()))
      throw config::DecodeError(startup.quic_file + ": " + conflict);
    return settings;
  }

  std::unique_ptr<quic::Front> quic_front() {
    auto decoded = quic_settings(startup_);
    if (!decoded) return nullptr;
    quic::QuicSettings settings = std::move(*decoded);
    log::info("QUIC connection ids are routed on {}", settings.listen);
    return std::make_unique<quic::Front>(loop_, dispatcher_, std::move(settings), descriptors_, metrics_);
  }

  static std::optional<rebalance::Settings> rebalance_settings(const config::Startup& startup) {
    auto options = optional_file(startup.rebalance_file);
    if (!options) return std::nullopt;
    rebalance::Settings settings = rebalance::settings_from(*options);
    return settings.enabled ? std::optional(std::move(settings)) : std::nullopt;
  }

  std::unique_ptr<rebalance::Driver> rebalance_driver() {
    auto settings = rebalance_settings(startup_);
    if (!settings) return nullptr;
    log::info("established connections are {}", settings->dry_run ? "rebalanced in a dry run" : "rebalanced");
    return std::make_unique<rebalance::Driver>(*settings, dispatcher_, startup_, rebalance_counters_);
  }

  static std::optional<fleet::FleetFiles> fleet_files(const config::Startup& startup) {
    auto options = optional_file(startup.fleet_file);
    if (!options) return std::nullopt;
    fleet::FleetFiles files = fleet::load_fleet_files(*options, startup);
    return files.settings.enabled ? std::optional(std::move(files)) : std::nullopt;
  }

  // The state shared among balancers; none if its file is absent or disables it.
  std::unique_ptr<fleet::FleetService> fleet_service() {
    auto files = fleet_files(startup_);
    if (!files) return nullptr;
    auto service = std::make_unique<fleet::FleetService>(loop_, std::move(*files), startup_, metrics_,
                                                         [this] { loop_.stop(); });
    dispatcher_.set_gate(*service);
    return service;
  }

  void plan_moves() {
    const std::string& file = rebalance_->settings().pause_file;
    std::error_code error;
    rebalance_->set_paused(paused_ || (!file.empty() && std::filesystem::exists(file, error)));
    if (retiring_since_ == 0) rebalance_->step();
    plan_timer_.start(kPlanInterval);
  }

  // SIGUSR2 pauses rebalancing; the next one resumes it.
  void pause_moves() {
    if (!rebalance_) return log::warning("rebalancing is off; there is nothing to pause");
    paused_ = !paused_;
    log::info("rebalancing: {} by signal", paused_ ? "paused" : "resumed");
  }

  // SIGHUP. The configuration is applied as a whole or not at all; connections and calls are not affected.
  void reload() {
    try {
      config::LoadedStartup loaded = config::load_startup(path_);
      config::check_reload(values_, loaded, path_);
      // Everything that may be rejected is checked before anything is applied.
      auto quic = quic_settings(loaded.startup);
      auto rebalance = rebalance_settings(loaded.startup);
      auto fleet = fleet_files(loaded.startup);
      log::Level level = log_level(loaded.startup);
      if (fleet_ && fleet) fleet_->check_reload(*fleet);
      if (quic_ && quic) {
        try {
          for (const std::string& key : quic_->reload(std::move(*quic)))
            log::warning("quic: {} has changed, which takes a restart to follow", key);
        } catch (const std::exception& error) {
          throw std::runtime_error(startup_.quic_file + ": " + error.what());
        }
      } else if (quic || quic_) {
        log::warning("quic: enabled has changed, which takes a restart to follow");
      }
      if (rebalance && rebalance_)
        rebalance_->update_settings(*rebalance);
      else if (rebalance || rebalance_)
        log::warning("rebalance: enabled has changed, which takes a restart to follow");
      for (const std::string& key : config::needs_restart(values_, loaded.values))
        log::warning("{} has changed, which takes a restart to follow", key);
      if (fleet_ && fleet) {
        for (const std::string& key : fleet_->reload(std::move(*fleet)))
          log::warning("fleet: {} has changed, which takes a restart to follow", key);
      } else if (fleet || fleet_) {
        log::warning("fleet: enabled has changed, which takes a restart to follow");
      }
      registry_.change_address(loaded.startup.registry);
      descriptors_.set_limit(loaded.startup.sockets);
      log::threshold = level;
      reloads_.add();
      log::info("configuration reloaded, the registry is {}", loaded.startup.registry);
    } catch (const std::exception& error) {
      reloads_refused_.add();
      log::error("configuration not reloaded, the old one stays in force: {}", error.what());
    }
  }

  void print_metrics() { std::cerr << metrics::exposition(metrics_) << std::flush; }

  void retire() {
    if (retiring_since_ > 0) return;
    log::info("{} retires with {} connections", startup_.name, dispatcher_.established_count());
    if (fleet_) fleet_->return_wallets();
    retiring_since_ = loop_.now();
    retire_timer_.start(kRetireTick);
  }

  void retire_step() {
    Time since = loop_.now() - retiring_since_;
    if (since >= plan_.accept_period) stop_accepting();
    if (since >= plan_.final_move_time) {
      listener_.close_silent_clients();
      dispatcher_.retire(0);  // those established since
    }
    if (since >= plan_.final_answer_time) dispatcher_.end_all();
    if (is_idle() && idle_since_ == 0) {
      idle_since_ = since;
      if (fleet_) fleet_->leave();
    }
    bool done = is_idle() && since - idle_since_ > 2 * kRetireTick && !loop_.has_awaited();
    if (done || since >= plan_.exit_deadline) return loop_.stop();
    retire_timer_.start(kRetireTick);
  }

  void stop_accepting() {
    listener_.close();
    if (moves_started_) return;
    moves_started_ = true;
    if (quic_) quic_->close();
    dispatcher_.retire(plan_.move_period);
  }

  // Whether no client is left and none will be accepted.
  bool is_idle() const {
    return listener_.closed() && listener_.pending_requests() == 0 && dispatcher_.established_count() == 0 &&
           dispatcher_.unanswered() == 0;
  }

  const std::string path_;
  const config::Startup startup_;
  const config::Values values_;  // of the configuration at start
  const RestartPlan plan_;
  metrics::Registry metrics_;
  net::Loop loop_;
  net::DescriptorBudget descriptors_;
  net::Probes probes_;
  net::RegistryWatch registry_;
  net::TimerWatch agent_retry_timer_;
  core::Dispatcher dispatcher_;
  net::WorkerSide workers_;
  net::Listener listener_;
  std::unique_ptr<quic::Front> quic_;  // null unless its file enables it
  std::unique_ptr<metrics::RemoteWrite> remote_write_;
  rebalance::Counters rebalance_counters_;
  std::unique_ptr<rebalance::Driver> rebalance_;  // null unless its file enables it
  net::TimerWatch plan_timer_, retire_timer_;
  std::unique_ptr<fleet::FleetService> fleet_;  // null unless its file enables it
  net::SignalWatch terminate_signal_, interrupt_signal_, reload_signal_, print_signal_, pause_signal_;
  metrics::Metric &reloads_, &reloads_refused_;
  const Time started_at_ = loop_.now();
  Time retiring_since_ = 0, idle_since_ = 0;
  bool ready_ = false;  // see Dispatcher::is_ready
  bool moves_started_ = false, paused_ = false, input_read_first_ = false;
};

// Violated invariants are logged and the service goes on. In test builds they throw, which ends the process.
void log_violations() {
#ifndef MARBLEHUB_CHECKS
  check::on_violation = [](const char* component, const std::string& what) {
    log::error("{}: an invariant was violated: {}", component, what);
  };
#endif
}

}  // namespace
}  // namespace marblehub

int main(int argc, char** argv) {
  std::string_view argument = argc > 1 ? argv[1] : "";
  if (argument == "--help" || argc > 2 || (argc == 2 && argument.starts_with("-"))) {
    std::cerr
        << "usage: marblehub [FILE]\n\nRuns with the configuration in FILE, or in the file named by "
           "BALANCER_CONFIG.\n"
           "See marblehub-config --help for how to write and check one. SIGUSR1 prints the metrics; SIGTERM\n"
           "moves all clients and exits; SIGHUP reloads the file; SIGUSR2 pauses and resumes rebalancing.\n";
    return argument == "--help" ? 0 : 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Signals stay pending until their watchers exist, and are not delivered while the program exits.
  marblehub::net::UnblockedSignals::block(marblehub::kHandledSignals);
  marblehub::log_violations();
  try {
    const char* path = argc > 1 ? argv[1] : std::getenv("BALANCER_CONFIG");
    if (!path) throw std::runtime_error("BALANCER_CONFIG is not set");
    marblehub::Program(path, marblehub::config::load_startup(path)).run();
  } catch (const std::exception& error) {
    std::cerr << "marblehub: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
