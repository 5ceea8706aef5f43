// marblehub: wires the core, its fronts and its watchers together and runs them.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <optional>
#include <vector>

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

constexpr Time kPlanEvery = 1'000'000;
constexpr Time kTick = 50'000;  // between two steps of a planned restart
// To an agent that pushes lists; sends to a worker that leaves must end within 250 ms, watched or not.
constexpr Time kAgentAgain = 50'000;

// Signals that have a watcher. Before it stands and after it has gone, each of them would end the process.
const std::vector<int> kWatchedSignals = {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2};

// The moments of a planned restart, counted from SIGTERM. SIGKILL comes no sooner than the longest deadline,
// at most 3 s, and 0.7 s more.
struct RestartPlan {
  explicit RestartPlan(Time longest_deadline)
      : move_span(longest_deadline / 2),
        all_asked_and_moved(still_coming + move_span),
        last_moment(std::max(longest_deadline + 300'000, all_asked_and_moved)),
        exit_by(longest_deadline + 500'000) {}

  const Time still_coming = 450'000;  // new clients come for 0.4 s
  const Time move_span;               // from then on standing clients are told to move, spread over so long
  // From then on who has sent no whole line is let go, and who is set up is told to move at once.
  const Time all_asked_and_moved;
  const Time last_moment;  // every call is answered, and every client that stands is told to move
  const Time exit_by;      // until then the exit waits for the last lines to be read
};

class Program {
 public:
  Program(std::string path, config::LoadedStartup loaded)
      : path_(std::move(path)),
        startup_(std::move(loaded.startup)),
        values_(std::move(loaded.values)),
        plan_(startup_.longest_deadline),
        descriptors_(startup_.sockets),
        probes_(loop_, startup_.settings.connect_timeout_us),
        registry_(loop_, startup_.registry, startup_.known),
        agent_again_(loop_, [this] { registry_.watch_endpoints(); }),
        dispatcher_(startup_, loop_, probes_, registry_, metrics_),
        workers_(loop_, startup_.settings.connect_timeout_us, metrics_),
        listener_(loop_, dispatcher_, workers_, address(), descriptors_, metrics_),
        quic_(quic_front()),
        remote_write_(remote_writer()),
        rebalance_counters_(metrics_),
        rebalance_(planner_of_moves()),
        plan_tick_(loop_, [this] { plan_moves(); }),
        retire_tick_(loop_, [this] { retire_step(); }),
        fleet_(fleet_service()),
        term_(loop_, SIGTERM, [this] { retire(); }),
        interrupt_(loop_, SIGINT, [this] { retire(); }),
        hangup_(loop_, SIGHUP, [this] { reload(); }),
        print_(loop_, SIGUSR1, [this] { print(); }),
        pause_(loop_, SIGUSR2, [this] { pause_moves(); }),
        reloads_(metrics_.counter("marblehub_reloads_total", "Reloads of the configuration, by their result",
                                  {{"result", "taken"}})),
        reloads_refused_(metrics_.counter("marblehub_reloads_total",
                                          "Reloads of the configuration, by their result",
                                          {{"result", "refused"}})) {
    probes_.on_result(
        [this](const std::string& worker, Time rtt, core::Outcome outcome, const core::LoadReport& report) {
          dispatcher_.probe_result(worker, rtt, outcome, report);
        });
    registry_.on_news({[this](const config::WorkerList& list) { dispatcher_.list_received(list); },
                       [this] { list_refused(); }});
  }

  void run() {
    loop_.before_wait([this] { return step(); });
    log::threshold = log_level(startup_);
    log::info("{} listens on {}", startup_.name, startup_.listen);
    net::SignalGate signals(kWatchedSignals);
    if (rebalance_) plan_tick_.start(kPlanEvery);
    if (list_is_pushed()) registry_.watch_endpoints();
    loop_.run();
    print();
  }

 private:
  // What is due. Returns how long nothing more is.
  Time step() {
    // After the process was held up, what has come meanwhile is read before anything is judged by its time.
    read_first_ = !read_first_ && loop_.now() - dispatcher_.next_due() > net::kHeldUp;
    if (read_first_) return 0;
    dispatcher_.advance();
    dispatcher_.free_ended();
    dispatcher_.before_wait();
    return dispatcher_.next_due() - loop_.now();
  }

  sockaddr_in address() const {
    return *net::parse_address(startup_.listen);  // checked when it was decoded
  }

  // Where lists are pushed, the module asks for none: what the agent of this machine has counts as told, so a
  // watch is held open all the time.
  bool list_is_pushed() const { return !startup_.settings.pull_endpoints; }

  void list_refused() {
    dispatcher_.list_failed();
    if (list_is_pushed()) agent_again_.start(kAgentAgain);
  }

  // A file that may be absent: then what it would turn on is off.
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

  // The second front's file, checked against the list of workers; none where there is no file or it is off.
  static std::optional<quic::QuicSettings> quic_settings(const config::Startup& startup) {
    auto options = optional_file(startup.quic_file);
    if (!options) return std::nullopt;
    auto settings =
        quic::quic_settings_from(*options, std::filesystem::path(startup.quic_file).parent_path());
    if (!settings.enabled) return std::nullopt;
    for (const std::string& finding : quic::server_id_conflicts(settings, startup.known.names()))
      throw config::DecodeError(startup.quic_file + ": " + finding);
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

  std::unique_ptr<rebalance::Driver> planner_of_moves() {
    auto settings = rebalance_settings(startup_);
    if (!settings) return nullptr;
    log::info("standing connections are {}", settings->dry_run ? "rebalanced in a dry run" : "rebalanced");
    return std::make_unique<rebalance::Driver>(*settings, dispatcher_, startup_, rebalance_counters_);
  }

  static std::optional<fleet::FleetFiles> fleet_files(const config::Startup& startup) {
    auto options = optional_file(startup.fleet_file);
    if (!options) return std::nullopt;
    fleet::FleetFiles files = fleet::load_fleet_files(*options, startup);
    return files.settings.enabled ? std::optional(std::move(files)) : std::nullopt;
  }

  // What balancers keep together; none where its file is absent or it is off.
  std::unique_ptr<fleet::FleetService> fleet_service() {
    auto files = fleet_files(startup_);
    if (!files) return nullptr;
    auto made = std::make_unique<fleet::FleetService>(loop_, std::move(*files), startup_, metrics_,
                                                      [this] { loop_.stop(); });
    dispatcher_.set_gate(*made);
    return made;
  }

  void plan_moves() {
    const std::string& file = rebalance_->settings().pause_file;
    std::error_code error;
    rebalance_->set_paused(paused_ || (!file.empty() && std::filesystem::exists(file, error)));
    if (retiring_since_ == 0) rebalance_->step();
    plan_tick_.start(kPlanEvery);
  }

  // SIGUSR2: paused, and on the next one resumed.
  void pause_moves() {
    if (!rebalance_) return log::warning("rebalancing is off; there is nothing to pause");
    paused_ = !paused_;
    log::info("rebalancing: {} by signal", paused_ ? "paused" : "resumed");
  }

  // SIGHUP. The file is taken whole or not at all, and no connection or call is touched.
  void reload() {
    try {
      config::LoadedStartup loaded = config::load_startup(path_);
      // All files are taken or none: what may be refused comes before anything is followed.
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
      registry_.follow(loaded.startup.registry);
      descriptors_.set_limit(loaded.startup.sockets);
      log::threshold = level;
      reloads_.add();
      log::info("configuration reloaded, the registry is {}", loaded.startup.registry);
    } catch (const std::exception& error) {
      reloads_refused_.add();
      log::error("configuration not reloaded, the old one stays in force: {}", error.what());
    }
  }

  void print() { std::cerr << metrics::exposition(metrics_) << std::flush; }

  void retire() {
    if (retiring_since_ > 0) return;
    log::info("{} retires with {} connections", startup_.name, dispatcher_.established_count());
    if (fleet_) fleet_->return_wallets();
    retiring_since_ = loop_.now();
    retire_tick_.start(kTick);
  }

  void retire_step() {
    Time since = loop_.now() - retiring_since_;
    if (since >= plan_.still_coming) take_no_more();
    if (since >= plan_.all_asked_and_moved) {
      listener_.turn_away_silent();
      dispatcher_.retire(0);  // those that were set up since
    }
    if (since >= plan_.last_moment) dispatcher_.end_all();
    if (empty() && last_seen_empty_ == 0) {
      last_seen_empty_ = since;
      if (fleet_) fleet_->leave();
    }
    bool done = empty() && since - last_seen_empty_ > 2 * kTick && !loop_.awaits();
    if (done || since >= plan_.exit_by) return loop_.stop();
    retire_tick_.start(kTick);
  }

  void take_no_more() {
    listener_.close();
    if (moving_) return;
    moving_ = true;
    if (quic_) quic_->close();
    dispatcher_.retire(plan_.move_span);
  }

  // Nobody is here any more, and nobody will come.
  bool empty() const {
    return listener_.closed() && listener_.not_asked_yet() == 0 && dispatcher_.established_count() == 0 &&
           dispatcher_.unanswered() == 0;
  }

  const std::string path_;
  const config::Startup startup_;
  const config::Values values_;  // of the file it was started with
  const RestartPlan plan_;
  metrics::Registry metrics_;
  net::Loop loop_;
  net::DescriptorBudget descriptors_;
  net::Probes probes_;
  net::RegistryWatch registry_;
  net::TimerWatch agent_again_;
  core::Dispatcher dispatcher_;
  net::WorkerSide workers_;
  net::Listener listener_;
  std::unique_ptr<quic::Front> quic_;  // none unless its file enables it
  std::unique_ptr<metrics::RemoteWrite> remote_write_;
  rebalance::Counters rebalance_counters_;
  std::unique_ptr<rebalance::Driver> rebalance_;  // none unless its file enables it
  net::TimerWatch plan_tick_, retire_tick_;
  std::unique_ptr<fleet::FleetService> fleet_;  // none unless its file enables it
  net::SignalWatch term_, interrupt_, hangup_, print_, pause_;
  metrics::Metric &reloads_, &reloads_refused_;
  Time retiring_since_ = 0, last_seen_empty_ = 0;
  bool moving_ = false, paused_ = false, read_first_ = false;
};

}  // namespace
}  // namespace marblehub

int main(int argc, char** argv) {
  std::string_view word = argc > 1 ? argv[1] : "";
  if (word == "--help" || argc > 2 || (argc == 2 && word.starts_with("-"))) {
    std::cerr
        << "usage: marblehub [FILE]\n\nServes as FILE, or the file named by BALANCER_CONFIG, says. See\n"
           "marblehub-config --help for how to write and check one. SIGUSR1 prints the counters; SIGTERM\n"
           "moves all clients and exits; SIGHUP reloads the file; SIGUSR2 pauses and resumes rebalancing.\n";
    return word == "--help" ? 0 : 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Until their watchers stand they wait, and one that comes while the program exits is never delivered.
  marblehub::net::SignalGate::shut(marblehub::kWatchedSignals);
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
