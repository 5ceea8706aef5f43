// The processes of a fleet: their files, starts, signals, clocks and logs, and one timeline of it all.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/processes/fake_environment.h"
#include "fleet/processes/links.h"

namespace marblehub::test {

// What the whole fleet has in common: FLEET.json's keys laid over the usual ones, as JSON text.
struct FleetSetup {
  int members = 5;
  int voters = 0;  // the first of them; 0: none
  std::uint64_t seed = 1;
  std::string settings = "{}";
  int workers = 0;  // with some the whole program is started, with its fronts; else fleet_node
};

class BalancerProcesses {
 public:
  BalancerProcesses(const FleetSetup& fleet, const std::string& program);
  ~BalancerProcesses();
  BalancerProcesses(const BalancerProcesses&) = delete;

  const std::vector<std::string>& names() const { return names_; }
  Links& links() { return *links_; }
  FakeEnvironment* fake_environment() { return fake_environment_.get(); }  // null without workers
  void set_call_rate(const std::string& name, double calls_per_second, const std::string& fields);
  // A file of the operator's in the member's folder, to which settings may point as FOLDER/NAME.
  void write_file(const std::string& name, const std::string& file, const std::string& text);

  void start(const std::string& name);
  void send_signal(const std::string& name, int number);  // SIGSTOP and SIGCONT are remembered
  void wipe_disk(const std::string& name);                // its disk is lost; while it is down
  void copy_disk(const std::string& name);                // a copy of its disk, for `restore`
  void restore_disk(const std::string& name);
  void set_clock_offset(const std::string& name, std::int64_t offset_us);
  void set_disk_full(const std::string& name, bool full);  // no file of it takes an octet more, while it runs
  void set_settings(const std::string& extra_settings) {
    fleet_.settings = extra_settings;
  }                                                                           // of those started from now on
  bool running(const std::string& name) const;                                // and not stopped
  bool killed_during(const std::string& name, double from, double to) const;  // at a time between the two
  // Whether it ran from then to then, neither stopped, ended nor told to end.
  bool ran_throughout(const std::string& name, double from, double to) const;
  int exit_code(const std::string& name);  // -1: it has not ended

  // Reads what they say, for so long.
  void collect_output(double seconds);
  double now() const;  // seconds since the start of the harness

  // The counters as they are now; asked for by SIGUSR1. False: it did not answer within a second.
  bool refresh_counters(const std::vector<std::string>& members);
  double counter(const std::string& name, const std::string& metric) const;  // as last printed; -1: none
  const std::map<std::string, double>& last_counters(const std::string& name) const {
    return processes_.at(name).counters;
  }
  bool has_logged(const std::string& name, const std::string& text) const;  // since its last start
  void log_event(const std::string& who, const std::string& what);
  std::string timeline() const;

 private:
  struct Process {
    std::string name, address, folder, partial_line;
    pid_t pid = 0;
    int output_fd = -1, exit_code = -1, starts = 0, counter_prints = 0;
    bool stopped = false;
    std::vector<std::pair<double, double>> kill_windows;  // from the signal until it was seen gone
    std::map<std::string, double> counters;
    std::vector<std::string> lines;
    std::vector<std::pair<double, double>> downtimes;  // when it did not run; the last may not be over
  };
  void mark_down(Process& process);
  void mark_up(Process& process);
  std::string front(const std::string& name) const;
  void write_config_files(Process& process);
  void read(Process& process);
  void handle_line(Process& process, const std::string& line);
  void collect_exit(Process& process);
  Process& at(const std::string& name) { return processes_.at(name); }

  FleetSetup fleet_;
  const std::string program_;
  std::string folder_;
  std::vector<std::string> names_;
  std::map<std::string, Process> processes_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<FakeEnvironment> fake_environment_;
  std::map<std::string, std::map<std::string, std::string>> link_addresses_;
  std::int64_t started_ms_;
  struct Event {
    double at;
    std::string who, what;
  };
  std::vector<Event> events_;
};

}  // namespace marblehub::test
