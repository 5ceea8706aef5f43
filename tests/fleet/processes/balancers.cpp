#include "fleet/processes/balancers.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <stdexcept>

#include "support/program.h"

namespace marblehub::test {
namespace {

using Names = std::vector<std::string>;

constexpr int kPort = 7946, kFront = 7000;
const char* const kLastMetric = "marblehub_fleet_clock_off";  // of the print

}  // namespace

Balancers::Balancers(const Fleet& fleet, const std::string& program)
    : fleet_(fleet), program_(program), links_(std::make_unique<Links>(fleet.seed)), began_(now_ms()) {
  ::signal(SIGUSR1, SIG_IGN);  // inherited, so that one that does not watch for it yet lives on
  ::signal(SIGXFSZ, SIG_IGN);  // inherited: at a full disk a write fails, as it does in service
  char folder[] = "/tmp/marblehub-fleet-XXXXXX";
  if (!mkdtemp(folder)) throw std::runtime_error("no temporary folder");
  folder_ = folder;
  std::ofstream(folder_ + "/key") << std::string(64, '5') << '\n';
  std::filesystem::permissions(folder_ + "/key", std::filesystem::perms::owner_read);
  for (int i = 0; i < fleet.members; ++i) {
    names_.push_back("b" + std::to_string(i + 1));
    One& one = ones_[names_.back()];
    one.name = names_.back();
    one.address = process_address(i, kPort);
    one.folder = folder_ + "/" + one.name;
    std::filesystem::create_directories(one.folder + "/data");
  }
  for (const std::string& from : names_)
    for (const std::string& to : names_)
      if (from != to) via_[from][to] = links_->add(from, to, at(to).address);
  links_->start();
  if (fleet.workers > 0) stand_ins_ = std::make_unique<StandIns>(fleet.workers, began_);
}

Balancers::~Balancers() {
  for (auto& [name, one] : ones_) {
    if (one.pid > 0) {
      ::kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
    }
    if (one.out >= 0) ::close(one.out);
  }
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

void Balancers::write_files(One& one) {
  json file = {{"enabled", true},
               {"fleet", "test"},
               {"name", one.name},
               {"listen", one.address},
               {"key_file", folder_ + "/key"},
               {"data", one.folder + "/data"},
               {"via", via_[one.name]}};
  json seeds = json::array(), voters = json::array();
  for (int i = 0; i < std::min(3, fleet_.members); ++i)
    if (names_[static_cast<std::size_t>(i)] != one.name)
      seeds.push_back(via_[one.name][names_[static_cast<std::size_t>(i)]]);
  for (int i = 0; i < fleet_.voters; ++i) voters.push_back(names_[static_cast<std::size_t>(i)]);
  file["seeds"] = seeds;
  file["voters"] = voters;
  std::string more = fleet_.settings;
  for (std::size_t at; (at = more.find("FOLDER")) != std::string::npos;) more.replace(at, 6, one.folder);
  file.merge_patch(json::parse(more));
  std::ofstream(one.folder + "/fleet.json") << file.dump(1);
  if (!stand_ins_) return;
  json own = test::settings();
  own["balancers"] = fleet_.members;
  own["me"] = std::stoi(one.name.substr(1)) - 1;
  json whole = {
      {"name", one.name},
      {"listen", front(one.name)},
      {"discovery", loopback_address_text(stand_ins_->registry_port())},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"sockets", 1024}}},
      {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", json::parse(stand_ins_->known())}}},
      {"settings", own},
      {"fleet", one.folder + "/fleet.json"},
      {"rebalance", one.folder + "/rebalance.json"}};  // off unless a scenario writes it
  for (const char* off : {"quic", "remote_write"}) whole[off] = "/nonexistent";
  const char* log = std::getenv("MARBLEHUB_LOG");  // a log file of one's own, to trace a call
  whole["log"] = log ? log : "/nonexistent";
  std::ofstream(one.folder + "/config.json") << whole.dump(1);
}

void Balancers::start(const std::string& name) {
  One& one = at(name);
  if (one.pid > 0) throw std::runtime_error(name + " runs already");
  write_files(one);
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  // The links' thread runs: between fork and exec nothing may be allocated.
  const std::string file = one.folder + (stand_ins_ ? "/config.json" : "/fleet.json"),
                    clock = "MARBLEHUB_CLOCK_FILE=" + one.folder + "/clock";
  std::string program = program_;
  char* const arguments[] = {program.data(), const_cast<char*>(file.c_str()), nullptr};
  char* const environment[] = {const_cast<char*>(clock.c_str()), nullptr};
  note(name, "-- start");
  one.pid = fork();
  if (one.pid == 0) {
    dup2(ends[1], 2);
    dup2(ends[1], 1);
    close_range(3, ~0U, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  ::close(ends[1]);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  if (one.out >= 0) ::close(one.out);
  one.out = ends[0];
  one.code = -1;
  one.starts += 1;
  one.stopped = false;
  back(one);
  one.partial.clear();
  one.lines.clear();
  one.counters.clear();
}

std::string Balancers::front(const std::string& name) const {
  return process_address(std::stoi(name.substr(1)) - 1, kFront);
}

void Balancers::calls(const std::string& name, double a_second, const std::string& fields) {
  stand_ins_->calls(name, front(name), a_second, fields);
}

void Balancers::file(const std::string& name, const std::string& file, const std::string& text) {
  note(name, "-- its " + file + " is written");
  const std::string path = at(name).folder + "/" + file;
  std::ofstream(path + ".next") << text;
  std::filesystem::rename(path + ".next", path);
}

void Balancers::signal(const std::string& name, int number) {
  One& one = at(name);
  if (one.pid <= 0) throw std::runtime_error(name + " does not run");
  if (number != SIGUSR1) note(name, std::string("-- ") + strsignal(number));
  const double before = now();
  ::kill(one.pid, number);
  if (number == SIGSTOP) one.stopped = true;
  if (number == SIGCONT) one.stopped = false;
  if (number == SIGCONT) back(one);
  if (number == SIGSTOP || number == SIGKILL || number == SIGTERM) gone(one);
  if (number == SIGKILL) {  // the harness must see it gone at once, to start it anew
    int status = 0;
    waitpid(one.pid, &status, 0);
    read(one);
    one.pid = 0;
    one.code = 128 + SIGKILL;
    one.kills.emplace_back(before, now());
  }
}

void Balancers::wipe(const std::string& name) {
  note(name, "-- its disk is lost");
  std::filesystem::remove_all(at(name).folder + "/data");
  std::filesystem::create_directories(at(name).folder + "/data");
}

void Balancers::keep_disk(const std::string& name) {
  note(name, "-- its disk is copied");
  std::filesystem::remove_all(at(name).folder + "/old");
  std::filesystem::copy(at(name).folder + "/data", at(name).folder + "/old",
                        std::filesystem::copy_options::recursive);
}

void Balancers::restore(const std::string& name) {
  note(name, "-- an old copy of its disk is put back");
  std::filesystem::remove_all(at(name).folder + "/data");
  std::filesystem::copy(at(name).folder + "/old", at(name).folder + "/data",
                        std::filesystem::copy_options::recursive);
}

void Balancers::clock(const std::string& name, std::int64_t off_us) {
  note(name, "-- its clock is off by " + std::to_string(off_us) + " us");
  std::ofstream(at(name).folder + "/clock.next") << off_us << '\n';
  std::filesystem::rename(at(name).folder + "/clock.next", at(name).folder + "/clock");
}

void Balancers::disk_full(const std::string& name, bool full) {
  note(name, full ? "-- its disk is full" : "-- its disk is writable");
  rlimit limit{full ? 4096 : RLIM_INFINITY, RLIM_INFINITY};  // a page: as LMDB opens its file
  if (prlimit(at(name).pid, RLIMIT_FSIZE, &limit, nullptr) != 0) throw std::runtime_error("no limit set");
}

// A second on either side: what was under way at a death, and what piled up behind a pause.
void Balancers::gone(One& one) { one.away.emplace_back(now() - 1, 1e9); }
void Balancers::back(One& one) {
  if (!one.away.empty()) one.away.back().second = now() + 1;
}

bool Balancers::ran(const std::string& name, double from, double to) const {
  const auto& away = ones_.at(name).away;
  return std::none_of(away.begin(), away.end(), [&](auto& a) { return a.first < to && a.second > from; });
}

bool Balancers::running(const std::string& name) const {
  const One& one = ones_.at(name);
  return one.pid > 0 && !one.stopped;
}

bool Balancers::killed(const std::string& name, double from, double to) const {
  const auto& kills = ones_.at(name).kills;
  return std::any_of(kills.begin(), kills.end(),
                     [&](auto& kill) { return kill.second >= from && kill.first <= to; });
}

int Balancers::exit_code(const std::string& name) {
  collect_exit(at(name));
  return at(name).code;
}

void Balancers::collect_exit(One& one) {
  int status = 0;
  if (one.pid <= 0 || waitpid(one.pid, &status, WNOHANG) != one.pid) return;
  read(one);
  one.pid = 0;
  one.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  note(one.name, "-- has ended with " + std::to_string(one.code));
}

double Balancers::now() const { return static_cast<double>(now_ms() - began_) / 1000; }

void Balancers::pump(double seconds) {
  double until = now() + seconds;
  do {
    std::vector<pollfd> fds;
    for (auto& [name, one] : ones_)
      if (one.out >= 0 && one.pid > 0) fds.push_back({one.out, POLLIN, 0});
    ::poll(fds.data(), fds.size(), static_cast<int>(std::clamp((until - now()) * 1000, 0.0, 20.0)));
    for (auto& [name, one] : ones_) {
      read(one);
      collect_exit(one);
    }
  } while (now() < until);
}

void Balancers::read(One& one) {
  char buffer[16384];
  for (ssize_t n; one.out >= 0 && (n = ::read(one.out, buffer, sizeof buffer)) > 0;)
    one.partial.append(buffer, static_cast<std::size_t>(n));
  for (std::size_t end; (end = one.partial.find('\n')) != std::string::npos; one.partial.erase(0, end + 1))
    take(one, one.partial.substr(0, end));
}

void Balancers::take(One& one, const std::string& line) {
  if (line.starts_with("#")) return;
  std::size_t blank = line.rfind(' ');
  if (line.starts_with("marblehub_") && blank != std::string::npos) {
    one.counters[line.substr(0, blank)] = std::atof(line.c_str() + blank + 1);
    one.prints += line.starts_with(kLastMetric);
    return;
  }
  one.lines.push_back(line);
  note(one.name, line);
}

bool Balancers::counters(const std::vector<std::string>& of) {
  std::map<std::string, int> before;
  for (const std::string& name : of) {
    if (!running(name)) return false;
    before[name] = at(name).prints;
  }
  Names waited = of;
  for (double until = now() + 1, again = 0; now() < until; pump(0.002)) {
    std::erase_if(waited, [&](const auto& n) { return at(n).prints > before[n] || at(n).pid <= 0; });
    if (waited.empty()) return true;
    if (now() < again) continue;
    for (const std::string& name : waited) signal(name, SIGUSR1);  // one that just starts does not hear it
    again = now() + 0.1;
  }
  return false;
}

double Balancers::counter(const std::string& name, const std::string& metric) const {
  const auto& counters = ones_.at(name).counters;
  auto it = counters.find(metric);
  return it == counters.end() ? -1 : it->second;
}

bool Balancers::said(const std::string& name, const std::string& text) const {
  const auto& lines = ones_.at(name).lines;
  return std::any_of(lines.begin(), lines.end(),
                     [&](const std::string& line) { return line.find(text) != std::string::npos; });
}

void Balancers::note(const std::string& who, const std::string& what) {
  events_.push_back({now(), who, what});
}

std::string Balancers::timeline() const {
  std::vector<Event> events = events_;
  if (stand_ins_) {
    for (const Receipt& r : stand_ins_->receipts())
      events.push_back({r.at, r.worker, "takes " + r.call + " " + r.fields});
    for (const Told& t : stand_ins_->told()) events.push_back({t.at, t.worker, "-- " + t.what});
    for (const Answer& a : stand_ins_->answers())
      if (!a.text.starts_with("UP"))
        events.push_back({a.at, a.balancer, "answers " + a.call + ": " + a.text});
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
