// Runs the balancers of a fleet as processes: their files, signals, clocks, disks and logs, and one timeline
// of all events.
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

/// Describes a fleet of balancers before its first start.
struct FleetSetup {
  int members = 5;
  int voters = 0;               // the first so many members vote; 0: no voters
  std::uint64_t seed = 1;       // of the random generator of the links' faults
  std::string settings = "{}";  // JSON merged over each member's fleet.json; FOLDER stands for its folder
  int workers = 0;  // above 0 the whole balancer is started with a fake environment, else fleet_node
};

/// Owns the balancer processes, the links between them and the fake environment. The destructor kills the
/// processes and removes their files. Members are named b1, b2, ...; times are seconds since the
/// construction. Throws std::runtime_error where a step does not fit the process's state.
class BalancerProcesses {
 public:
  BalancerProcesses(const FleetSetup& fleet, const std::string& program);
  ~BalancerProcesses();
  BalancerProcesses(const BalancerProcesses&) = delete;

  const std::vector<std::string>& names() const { return names_; }
  Links& links() { return *links_; }
  FakeEnvironment* fake_environment() { return fake_environment_.get(); }  // null without workers
  // See FakeEnvironment::set_call_rate.
  void set_call_rate(const std::string& name, double calls_per_second, const std::string& fields);
  // Replaces a file in the member's folder, to which settings may refer as FOLDER/NAME.
  void write_file(const std::string& name, const std::string& file, const std::string& text);

  void start(const std::string& name);
  void send_signal(const std::string& name, int number);  // after SIGKILL it waits for the process's end
  void wipe_disk(const std::string& name);                // removes its data; the process must be down
  void copy_disk(const std::string& name);                // keeps a copy of its data for `restore_disk`
  void restore_disk(const std::string& name);
  // Shifts the clock of the process by the file that MARBLEHUB_CLOCK_FILE names.
  void set_clock_offset(const std::string& name, std::int64_t offset_us);
  // Limits the file size of the running process, so that its writes fail; false removes the limit.
  void set_disk_full(const std::string& name, bool full);
  // Sets FleetSetup::settings for the processes that are started after this call.
  void set_settings(const std::string& extra_settings) { fleet_.settings = extra_settings; }
  bool running(const std::string& name) const;                                // neither ended nor stopped
  bool killed_during(const std::string& name, double from, double to) const;  // by SIGKILL, within [from, to]
  // Whether it ran throughout [from, to]: neither stopped, ended nor terminating.
  bool ran_throughout(const std::string& name, double from, double to) const;
  int exit_code(const std::string& name);  // -1 while it runs; 128 + number after a signal

  // Reads the processes' output for that long.
  void collect_output(double seconds);
  double now() const;  // seconds since the construction

  // Asks the members for their counters by SIGUSR1. Returns false if one does not answer within a second.
  bool refresh_counters(const std::vector<std::string>& members);
  double counter(const std::string& name, const std::string& metric) const;  // as last printed; -1 if absent
  const std::map<std::string, double>& last_counters(const std::string& name) const {
    return processes_.at(name).counters;
  }
  bool has_logged(const std::string& name, const std::string& text) const;  // since its last start
  // Adds an event to the timeline.
  void log_event(const std::string& who, const std::string& what);
  // All events, the processes' output, receipts, worker events and refusals, in the order of time.
  std::string timeline() const;

 private:
  // State of one balancer, over all its starts.
  struct Process {
    std::string name, address, folder, partial_line;
    pid_t pid = 0;
    int output_fd = -1, exit_code = -1, starts = 0, counter_prints = 0;
    bool stopped = false;
    std::vector<std::pair<double, double>> kill_windows;  // from SIGKILL until the process had ended
    std::map<std::string, double> counters;
    std::vector<std::string> lines;
    std::vector<std::pair<double, double>> downtimes;  // the last one may still be open
  };
  // Open and close a downtime, with a margin of a second on either side.
  void mark_down(Process& process);
  void mark_up(Process& process);
  // The address at which the balancer accepts clients.
  std::string front(const std::string& name) const;
  void write_config_files(Process& process);
  void read(Process& process);
  void handle_line(Process& process, const std::string& line);
  // Takes the exit status of a process that has ended.
  void collect_exit(Process& process);
  Process& at(const std::string& name) { return processes_.at(name); }

  FleetSetup fleet_;
  const std::string program_;
  std::string folder_;
  std::vector<std::string> names_;
  std::map<std::string, Process> processes_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<FakeEnvironment> fake_environment_;
  std::map<std::string, std::map<std::string, std::string>> link_addresses_;  // by sender and receiver
  std::int64_t started_ms_;
  // A line of the timeline.
  struct Event {
    double at;
    std::string who, what;
  };
  std::vector<Event> events_;
};

}  // namespace marblehub::test
