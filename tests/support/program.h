// Starts the marblehub program as a child process, as the platform does, and observes it.
#pragma once

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>

#include "support/sockets.h"

namespace marblehub::test {

using nlohmann::json;

// Steady clock, in milliseconds.
inline std::int64_t now_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

// The policy settings that the tests use unless they change them.
inline json settings() {
  return {{"balancers", 1},
          {"me", 0},
          {"zone", "a"},
          {"registry_mode", "ask"},
          {"limits",
           {{"max_attempts", 4},
            {"probes", true},
            {"retry_after", true},
            {"max_retry_after_us", 1500000},
            {"connect_timeout_us", 250000}}},
          {"invariants", {{"cold_share", 0.13}, {"warm_within_us", 24000000}}},
          {"specifics", {{"message_aim_us", json::array({150000.0})}}},
          {"request_classes", json::array({{{"name", "telemetry"},
                                            {"slo_us", 500000},
                                            {"give_up_us", 3000000},
                                            {"repeat", "safe"},
                                            {"dedup_scope", "all"},
                                            {"window_us", 5000000},
                                            {"stream", true}}})}};
}

// The path of the program to start: the one built with the tests, unless a tool sets another.
inline std::string& program_path() {
  static std::string path = MARBLEHUB_PROGRAM;
  return path;
}

// How a program is started: waiting until it listens, without waiting, or blocked reading its configuration
// until release_config is called.
enum class Launch { awaited, at_once, held };

// A running program with its own temporary folder, configuration and log. Killed on destruction.
class Program {
 public:
  Program(json known, json settings, int registry_port, const std::string& quic_file = "/nonexistent",
          const std::string& remote_write_file = "/nonexistent", rlim_t files = 1024,
          const std::string& rebalance_file = "/nonexistent", std::int64_t version = 1,
          const std::string& fleet_file = "/nonexistent", Launch launch = Launch::awaited,
          const std::string& host = "127.0.0.1")
      : port(free_port(SOCK_STREAM)), files_(files) {
    char folder[] = "/tmp/marblehub-test-XXXXXX";
    if (!mkdtemp(folder)) throw std::runtime_error("no temporary folder");
    folder_ = folder;
    config_ = {{"name", "n0"},
               {"listen", host + ":" + std::to_string(port)},
               {"discovery", loopback_address_text(registry_port)},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"sockets", 1024}}},
               {"known", {{"index", version}, {"snapshot", true}, {"endpoints", std::move(known)}}},
               {"settings", std::move(settings)},
               {"quic", quic_file},
               {"remote_write", remote_write_file},
               {"rebalance", rebalance_file},
               {"fleet", fleet_file}};
    if (launch == Launch::held) {
      mkfifo(config_file().c_str(), 0600);
    } else {
      write(config_.dump());
    }
    this->launch();
    if (launch == Launch::awaited) wait_until_listening();
    if (launch == Launch::held) held_config_.open(config_file());  // returns once the program reads from it
  }
  // Starts the program again on the same port after it has ended.
  void relaunch() {
    std::remove((folder_ + "/log").c_str());  // else wait_until_listening would read the old log
    launch();
    wait_until_listening();
  }
  void release_config() {
    ::signal(SIGPIPE, SIG_IGN);  // a program that has ended must fail a later step, not kill the test process
    held_config_ << config_.dump();
    held_config_.close();
  }
  void kill_and_reap() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void launch() {
    pid_ = fork();
    if (pid_ == 0) {
      setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
      rlimit limit{files_, files_};
      setrlimit(RLIMIT_NOFILE, &limit);
      close_range(3, ~0U, 0);            // the same initial descriptors wherever the test runs
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // must not outlive a crashed test
      if (!freopen((folder_ + "/log").c_str(), "w", stderr) || !freopen("/dev/null", "w", stdout)) _exit(126);
      execl(program_path().c_str(), "marblehub", nullptr);
      _exit(127);
    }
  }
  void wait_until_listening() const {
    for (int i = 0; i < 400 && log().find("listens on") == std::string::npos; ++i) usleep(10000);
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::remove((folder_ + "/config.json").c_str());
    std::remove((folder_ + "/log").c_str());
    rmdir(folder_.c_str());
  }
  // Replaces the configuration file atomically.
  void write(const std::string& text) {
    std::ofstream(folder_ + "/next.json") << text;
    std::rename((folder_ + "/next.json").c_str(), (folder_ + "/config.json").c_str());
  }
  // Kills the process with SIGKILL and starts it again at once on the same port.
  void restart() {
    kill_and_reap();
    write(config_.dump());
    relaunch();
  }
  // Lowers RLIMIT_NOFILE of the running process; files already open stay open.
  void allow_files(rlim_t max_files) {
    rlimit limit{max_files, files_};
    prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
  }
  json& config() { return config_; }
  std::string config_file() const { return folder_ + "/config.json"; }
  void remove_config() { std::remove((folder_ + "/config.json").c_str()); }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);  // kill(0) would signal the test's own process group
  }
  // Stops the process; all input until SIGCONT is ready in its next event loop iteration.
  void freeze() {
    ::kill(pid_, SIGSTOP);
    int status = 0;
    if (waitpid(pid_, &status, WUNTRACED) != pid_ || !WIFSTOPPED(status))
      throw std::runtime_error("the program ended instead of stopping");
  }
  // The exit code; -1 while it runs, 128 plus the number of the signal that ended it.
  int exit_code() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return -1;
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  // Whether it has ended; does not consume its exit code.
  bool has_ended() const {
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid_;
  }
  std::string log() const {
    std::ifstream file(folder_ + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  // The number of its open files and sockets.
  std::size_t descriptors() const {
    std::error_code error;
    std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  // CPU time used, in microseconds.
  long long cpu_us() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
    long long ns = 0;
    file >> ns;
    return ns / 1000;
  }
  long resident_kb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    long all = 0, resident = 0;
    file >> all >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
  }
  // The last printed value of a counter; -1 if it was not printed.
  double counter(const std::string& name) const {
    std::string text = log();
    std::size_t at = text.rfind("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
  }

  const int port;

 private:
  const rlim_t files_;
  std::string folder_;
  json config_;
  std::ofstream held_config_;
  pid_t pid_ = 0;
};

}  // namespace marblehub::test
