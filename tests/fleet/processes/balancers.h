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
struct Fleet {
  int members = 5;
  int voters = 0;  // the first of them; 0: none
  std::uint64_t seed = 1;
  std::string settings = "{}";
  int workers = 0;  // with some the whole program is started, with its fronts; else fleet_node
};

class Balancers {
 public:
  Balancers(const Fleet& fleet, const std::string& program);
  ~Balancers();
  Balancers(const Balancers&) = delete;

  const std::vector<std::string>& names() const { return names_; }
  Links& links() { return *links_; }
  StandIns* stand_ins() { return stand_ins_.get(); }  // null without workers
  void calls(const std::string& name, double a_second, const std::string& fields);
  // A file of the operator's in the member's folder, to which settings may point as FOLDER/NAME.
  void file(const std::string& name, const std::string& file, const std::string& text);

  void start(const std::string& name);
  void signal(const std::string& name, int number);  // SIGSTOP and SIGCONT are remembered
  void wipe(const std::string& name);                // its disk is lost; while it is down
  void keep_disk(const std::string& name);           // a copy of its disk, for `restore`
  void restore(const std::string& name);
  void clock(const std::string& name, std::int64_t off_us);
  void disk_full(const std::string& name, bool full);  // no file of it takes an octet more, while it runs
  void settings(const std::string& more) { fleet_.settings = more; }   // of those started from now on
  bool running(const std::string& name) const;                         // and not stopped
  bool killed(const std::string& name, double from, double to) const;  // at a time between the two
  // Whether it ran from then to then, neither stopped, ended nor told to end.
  bool ran(const std::string& name, double from, double to) const;
  int exit_code(const std::string& name);  // -1: it has not ended

  // Reads what they say, for so long.
  void pump(double seconds);
  double now() const;  // seconds since the start of the harness

  // The counters as they are now; asked for by SIGUSR1. False: it did not answer within a second.
  bool counters(const std::vector<std::string>& of);
  double counter(const std::string& name, const std::string& metric) const;  // as last printed; -1: none
  const std::map<std::string, double>& counters_of(const std::string& name) const {
    return ones_.at(name).counters;
  }
  bool said(const std::string& name, const std::string& text) const;  // since its last start
  void note(const std::string& who, const std::string& what);
  std::string timeline() const;

 private:
  struct One {
    std::string name, address, folder, partial;
    pid_t pid = 0;
    int out = -1, code = -1, starts = 0, prints = 0;
    bool stopped = false;
    std::vector<std::pair<double, double>> kills;  // from the signal until it was seen gone
    std::map<std::string, double> counters;
    std::vector<std::string> lines;
    std::vector<std::pair<double, double>> away;  // when it did not run; the last may not be over
  };
  void gone(One& one);
  void back(One& one);
  std::string front(const std::string& name) const;
  void write_files(One& one);
  void read(One& one);
  void take(One& one, const std::string& line);
  void collect_exit(One& one);
  One& at(const std::string& name) { return ones_.at(name); }

  Fleet fleet_;
  const std::string program_;
  std::string folder_;
  std::vector<std::string> names_;
  std::map<std::string, One> ones_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<StandIns> stand_ins_;
  std::map<std::string, std::map<std::string, std::string>> via_;
  std::int64_t began_;
  struct Event {
    double at;
    std::string who, what;
  };
  std::vector<Event> events_;
};

}  // namespace marblehub::test
