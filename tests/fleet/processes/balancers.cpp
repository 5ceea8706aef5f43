#include "fleet/processes/balancers.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>

#include "support/program.h"

namespace marblehub::test {
namespace {

using Names = std::vector<std::string>;

constexpr int kFleetPort = 7946, kFrontPort = 7000;
const char* const kLastMetric = "marblehub_fleet_clock_off";  // ends a print of the counters

}  // namespace

BalancerProcesses::BalancerProcesses(const FleetSetup& fleet, const std::string& program)
    : fleet_(fleet), program_(program), links_(std::make_unique<Links>(fleet.seed)), started_ms_(now_ms()) {
  // Both are inherited: a process without its handler yet survives SIGUSR1, and a write beyond the file size
  // limit fails instead of killing the process.
  ::signal(SIGUSR1, SIG_IGN);
  ::signal(SIGXFSZ, SIG_IGN);
  char folder[] = "/tmp/marblehub-fleet-XXXXXX";
  if (!mkdtemp(folder)) throw std::runtime_error("cannot create a temporary folder");
  folder_ = folder;
  std::ofstream(folder_ + "/key") << std::string(64, '5') << '\n';
  std::filesystem::permissions(folder_ + "/key", std::filesystem::perms::owner_read);
  for (int i = 0; i < fleet.members; ++i) {
    names_.push_back("b" + std::to_string(i + 1));
    Process& process = processes_[names_.back()];
    process.name = names_.back();
    process.address = process_address(i, kFleetPort);
    process.folder = folder_ + "/" + process.name;
    std::filesystem::create_directories(process.folder + "/data");
  }
  for (const std::string& from : names_)
    for (const std::string& to : names_)
      if (from != to) link_addresses_[from][to] = links_->add(from, to, at(to).address);
  links_->start();
  if (fleet.workers > 0) fake_environment_ = std::make_unique<FakeEnvironment>(fleet.workers, started_ms_);
}

BalancerProcesses::~BalancerProcesses() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      ::kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
    if (process.output_fd >= 0) ::close(process.output_fd);
  }
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

void BalancerProcesses::write_config_files(Process& process) {
  json file = {{"enabled", true},
               {"fleet", "test"},
               {"name", process.name},
               {"listen", process.address},
               {"key_file", folder_ + "/key"},
               {"data", process.folder + "/data"},
               {"via", link_addresses_[process.name]}};
  json seeds = json::array(), voters = json::array();
  for (int i = 0; i < std::min(3, fleet_.members); ++i)
    if (names_[static_cast<std::size_t>(i)] != process.name)
      seeds.push_back(link_addresses_[process.name][names_[static_cast<std::size_t>(i)]]);
  for (int i = 0; i < fleet_.voters; ++i) voters.push_back(names_[static_cast<std::size_t>(i)]);
  file["seeds"] = seeds;
  file["voters"] = voters;
  std::string extra_settings = fleet_.settings;
  for (std::size_t at; (at = extra_settings.find("FOLDER")) != std::string::npos;)
    extra_settings.replace(at, 6, process.folder);
  file.merge_patch(json::parse(extra_settings));
  std::ofstream(process.folder + "/fleet.json") << file.dump(1);
  if (!fake_environment_) return;
  json policy_settings = test::settings();
  policy_settings["balancers"] = fleet_.members;
  policy_settings["me"] = std::stoi(process.name.substr(1)) - 1;
  json balancer_config = {
      {"name", process.name},
      {"listen", front(process.name)},
      {"discovery", loopback_address_text(fake_environment_->registry_port())},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"sockets", 1024}}},
      {"known",
       {{"index", 1}, {"snapshot", true}, {"endpoints", json::parse(fake_environment_->worker_list_json())}}},
      {"settings", policy_settings},
      {"fleet", process.folder + "/fleet.json"},
      {"rebalance", process.folder + "/rebalance.json"}};  // disabled unless a scenario writes it
  for (const char* unused_file : {"quic", "remote_write"}) balancer_config[unused_file] = "/nonexistent";
  const char* log = std::getenv("MARBLEHUB_LOG");  // optional log file for tracing a call
  balancer_config["log"] = log ? log : "/nonexistent";
  std::ofstream(process.folder + "/config.json") << balancer_config.dump(1);
}

void BalancerProcesses::start(const std::string& name) {
  Process& process = at(name);
  if (process.pid > 0) throw std::runtime_error(name + " is already running");
  write_config_files(process);
  int pipe_fds[2];
  if (::pipe2(pipe_fds, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
  // The links' thread is running, so nothing may be allocated between fork and exec.
  const std::string file = process.folder + (fake_environment_ ? "/config.json" : "/fleet.json"),
                    clock = "MARBLEHUB_CLOCK_FILE=" + process.folder + "/clock";
  std::string program = program_;
  char* const arguments[] = {program.data(), const_cast<char*>(file.c_str()), nullptr};
  char* const environment[] = {const_cast<char*>(clock.c_str()), nullptr};
  log_event(name, "-- start");
  process.pid = fork();
  if (process.pid == 0) {
    dup2(pipe_fds[1], 2);
    dup2(pipe_fds[1], 1);
    close_range(3, ~0U, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  ::close(pipe_fds[1]);
  ::fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
  if (process.output_fd >= 0) ::close(process.output_fd);
  process.output_fd = pipe_fds[0];
  process.exit_code = -1;
  process.starts += 1;
  process.stopped = false;
  mark_up(process);
  process.partial_line.clear();
  process.lines.clear();
  process.counters.clear();
}

std::string BalancerProcesses::front(const std::string& name) const {
  return process_address(std::stoi(name.substr(1)) - 1, kFrontPort);
}

void BalancerProcesses::set_call_rate(const std::string& name, double calls_per_second,
                                      const std::string& fields) {
  fake_environment_->set_call_rate(name, front(name), calls_per_second, fields);
}

void BalancerProcesses::write_file(const std::string& name, const std::string& file,
                                   const std::string& text) {
  log_event(name, "-- " + file + " written");
  const std::string path = at(name).folder + "/" + file;
  std::ofstream(path + ".next") << text;
  std::filesystem::rename(path + ".next", path);
}

void BalancerProcesses::send_signal(const std::string& name, int number) {
  Process& process = at(name);
  if (process.pid <= 0) throw std::runtime_error(name + " is not running");
  if (number != SIGUSR1) log_event(name, std::string("-- ") + strsignal(number));
  const double before = now();
  ::kill(process.pid, number);
  if (number == SIGSTOP) process.stopped = true;
  if (number == SIGCONT) process.stopped = false;
  if (number == SIGCONT) mark_up(process);
  if (number == SIGSTOP || number == SIGKILL || number == SIGTERM) mark_down(process);
  if (number == SIGKILL) {  // reaped at once, so that it can be started again
    int status = 0;
    waitpid(process.pid, &status, 0);
    read(process);
    process.pid = 0;
    process.exit_code = 128 + SIGKILL;
    process.kill_windows.emplace_back(before, now());
  }
}

void BalancerProcesses::wipe_disk(const std::string& name) {
  log_event(name, "-- disk wiped");
  std::filesystem::remove_all(at(name).folder + "/data");
  std::filesystem::create_directories(at(name).folder + "/data");
}

void BalancerProcesses::copy_disk(const std::string& name) {
  log_event(name, "-- disk copied");
  std::filesystem::remove_all(at(name).folder + "/old");
  std::filesystem::copy(at(name).folder + "/data", at(name).folder + "/old",
                        std::filesystem::copy_options::recursive);
}

void BalancerProcesses::restore_disk(const std::string& name) {
  log_event(name, "-- disk restored from its copy");
  std::filesystem::remove_all(at(name).folder + "/data");
  std::filesystem::copy(at(name).folder + "/old", at(name).folder + "/data",
                        std::filesystem::copy_options::recursive);
}

void BalancerProcesses::set_clock_offset(const std::string& name, std::int64_t offset_us) {
  log_event(name, "-- clock offset " + std::to_string(offset_us) + " us");
  std::ofstream(at(name).folder + "/clock.next") << offset_us << '\n';
  std::filesystem::rename(at(name).folder + "/clock.next", at(name).folder + "/clock");
}

void BalancerProcesses::set_disk_full(const std::string& name, bool full) {
  log_event(name, full ? "-- disk full" : "-- disk writable");
  rlimit limit{full ? 4096 : RLIM_INFINITY, RLIM_INFINITY};  // one page, which LMDB needs to open its file
  if (prlimit(at(name).pid, RLIMIT_FSIZE, &limit, nullptr) != 0)
    throw std::runtime_error("cannot set the file size limit");
}

// A second on either side covers calls in progress at the end and calls queued during a pause.
void BalancerProcesses::mark_down(Process& process) { process.downtimes.emplace_back(now() - 1, 1e9); }
void BalancerProcesses::mark_up(Process& process) {
  if (!process.downtimes.empty()) process.downtimes.back().second = now() + 1;
}

bool BalancerProcesses::ran_throughout(const std::string& name, double from, double to) const {
  const auto& downtimes = processes_.at(name).downtimes;
  return std::none_of(downtimes.begin(), downtimes.end(),
                      [&](auto& a) { return a.first < to && a.second > from; });
}

bool BalancerProcesses::running(const std::string& name) const {
  const Process& process = processes_.at(name);
  return process.pid > 0 && !process.stopped;
}

bool BalancerProcesses::killed_during(const std::string& name, double from, double to) const {
  const auto& kill_windows = processes_.at(name).kill_windows;
  return std::any_of(kill_windows.begin(), kill_windows.end(),
                     [&](auto& kill) { return kill.second >= from && kill.first <= to; });
}

int BalancerProcesses::exit_code(const std::string& name) {
  collect_exit(at(name));
  return at(name).exit_code;
}

void BalancerProcesses::collect_exit(Process& process) {
  int status = 0;
  if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) return;
  read(process);
  process.pid = 0;
  process.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  log_event(process.name, "-- exited with " + std::to_string(process.exit_code));
}

double BalancerProcesses::now() const { return static_cast<double>(now_ms() - started_ms_) / 1000; }

void BalancerProcesses::collect_output(double seconds) {
  double until = now() + seconds;
  do {
    std::vector<pollfd> fds;
    for (auto& [name, process] : processes_)
      if (process.output_fd >= 0 && process.pid > 0) fds.push_back({process.output_fd, POLLIN, 0});
    ::poll(fds.data(), fds.size(), static_cast<int>(std::clamp((until - now()) * 1000, 0.0, 20.0)));
    for (auto& [name, process] : processes_) {
      read(process);
      collect_exit(process);
    }
  } while (now() < until);
}

void BalancerProcesses::read(Process& process) {
  char buffer[16384];
  for (ssize_t n; process.output_fd >= 0 && (n = ::read(process.output_fd, buffer, sizeof buffer)) > 0;)
    process.partial_line.append(buffer, static_cast<std::size_t>(n));
  for (std::size_t end; (end = process.partial_line.find('\n')) != std::string::npos;
       process.partial_line.erase(0, end + 1))
    handle_line(process, process.partial_line.substr(0, end));
}

void BalancerProcesses::handle_line(Process& process, const std::string& line) {
  if (line.starts_with("#")) return;
  std::size_t blank = line.rfind(' ');
  if (line.starts_with("marblehub_") && blank != std::string::npos) {
    process.counters[line.substr(0, blank)] = std::atof(line.c_str() + blank + 1);
    process.counter_prints += line.starts_with(kLastMetric);
    return;
  }
  process.lines.push_back(line);
  log_event(process.name, line);
}

bool BalancerProcesses::refresh_counters(const std::vector<std::string>& members) {
  std::map<std::string, int> before;
  for (const std::string& name : members) {
    if (!running(name)) return false;
    before[name] = at(name).counter_prints;
  }
  Names pending = members;
  for (double until = now() + 1, again = 0; now() < until; collect_output(0.002)) {
    std::erase_if(pending, [&](const auto& n) { return at(n).counter_prints > before[n] || at(n).pid <= 0; });
    if (pending.empty()) return true;
    if (now() < again) continue;
    for (const std::string& name : pending)
      send_signal(name, SIGUSR1);  // repeated: a starting process ignores it
    again = now() + 0.1;
  }
  return false;
}

double BalancerProcesses::counter(const std::string& name, const std::string& metric) const {
  const auto& counters = processes_.at(name).counters;
  auto it = counters.find(metric);
  return it == counters.end() ? -1 : it->second;
}

bool BalancerProcesses::has_logged(const std::string& name, const std::string& text) const {
  const auto& lines = processes_.at(name).lines;
  return std::any_of(lines.begin(), lines.end(),
                     [&](const std::string& line) { return line.find(text) != std::string::npos; });
}

void BalancerProcesses::log_event(const std::string& who, const std::string& what) {
  events_.push_back({now(), who, what});
}

std::string BalancerProcesses::timeline() const {
  std::vector<Event> events = events_;
  if (fake_environment_) {
    for (const Receipt& r : fake_environment_->receipts())
      events.push_back({r.at, r.worker, "received " + r.call + " " + r.fields});
    for (const WorkerEvent& t : fake_environment_->worker_events())
      events.push_back({t.at, t.worker, "-- " + t.what});
    for (const Answer& a : fake_environment_->answers())
      if (!a.text.starts_with("UP"))
        events.push_back({a.at, a.balancer, "answered " + a.call + ": " + a.text});
  }
  std::stable_sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
  std::string text = "timeline, seconds since the start:\n";
  for (const Event& e : events) {
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f  %-8s ", e.at, e.who.c_str());
    text += at + e.what + '\n';
  }
  return text;
}

}  // namespace marblehub::test
