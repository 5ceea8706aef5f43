#include "fleet/processes/fake_environment.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>

#include "config/json.h"
#include "support/program.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

constexpr double kClientTimeout = 4;  // seconds a client waits for its answer
constexpr double kEach = 0.5;         // seconds between two of its lines
constexpr double kSilent = 7;         // that a connection may bring nothing back

void send_line(int fd, const std::string& text) {
  std::string line = text + "\r\n";
  ::send(fd, line.data(), line.size(), MSG_NOSIGNAL);
}

}  // namespace

struct StandIns::Registry {
  peers::StubRegistry stand_in;
};

struct StandIns::Worker {
  std::string name;
  int fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  struct Conn {
    int fd = -1;
    std::string in;
  };
  std::vector<Conn> conns;
  bool silent = false;
  double stalled_until = 0;
  explicit Worker(std::string n) : name(std::move(n)) { ::listen(fd, 256); }
  ~Worker() { end(); }
  void end() {
    const linger at_once{1, 0};  // as the system does it for a process that has died with octets unread
    for (Conn& c : conns) {
      setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      ::close(c.fd);
    }
    conns.clear();
    if (fd >= 0) ::close(std::exchange(fd, -1));
  }
};

struct StandIns::Client {
  int fd = -1;
  Answer answer;
  std::string line, in;
  bool sent = false, stands = false;
  Ending ending;  // once it stands
  double spoke = 0, heard = 0, until = 0;
  ~Client() {
    if (fd >= 0) ::close(fd);
  }
};

StandIns::StandIns(int workers, std::int64_t began_ms)
    : began_(began_ms), registry_(std::make_unique<Registry>()) {
  for (int i = 1; i <= workers; ++i) {
    workers_.push_back(std::make_unique<Worker>("w" + std::to_string(i)));
    registry_->stand_in.set(workers_.back()->name, loopback_address_text(port_of(workers_.back()->fd)),
                            "ready");
  }
  thread_ = std::thread([this] { run(); });
}

StandIns::~StandIns() {
  stop_ = true;
  thread_.join();
}

int StandIns::registry_port() const { return registry_->stand_in.port(); }

std::string StandIns::known() const {
  std::lock_guard lock(mutex_);
  return registry_->stand_in.list().dump();
}

double StandIns::now() const {
  using namespace std::chrono;
  auto us = duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
  return static_cast<double>(us - began_ * 1000) / 1e6;
}

void StandIns::calls(const std::string& balancer, const std::string& address, double a_second,
                     const std::string& fields) {
  std::lock_guard lock(mutex_);
  sources_[{balancer, fields}] = {address, a_second, now()};
}

void StandIns::obey() {
  std::lock_guard lock(mutex_);
  obey_ = true;
}

void StandIns::silent(const std::string& worker, bool on) {
  std::lock_guard lock(mutex_);
  for (auto& w : workers_)
    if (w->name == worker) w->silent = on;
}

void StandIns::stall(const std::string& worker, double seconds) {
  std::lock_guard lock(mutex_);
  for (auto& w : workers_)
    if (w->name == worker) w->stalled_until = now() + seconds;
}

void StandIns::stall(double seconds) {
  std::lock_guard lock(mutex_);
  stalled_until_ = now() + seconds;
}

void StandIns::stay(double seconds) {
  std::lock_guard lock(mutex_);
  stay_ = seconds;
}

int StandIns::moved() const {
  std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(endings_.begin(), endings_.end(),
                                        [](const Ending& e) { return e.how == Ending::moved; }));
}

std::vector<Ending> StandIns::endings() const {
  std::lock_guard lock(mutex_);
  return endings_;
}

std::vector<Told> StandIns::told() const {
  std::lock_guard lock(mutex_);
  return told_;
}

void StandIns::worker(const std::string& name, const std::string& what) {
  std::lock_guard lock(mutex_);
  auto it = std::find_if(workers_.begin(), workers_.end(), [&](auto& w) { return w->name == name; });
  if (it == workers_.end()) throw std::runtime_error("no such worker: " + name);
  Worker& worker = **it;
  if (what == "drain") {
    registry_->stand_in.set(name, loopback_address_text(port_of(worker.fd)), "draining");
    told_.push_back({now(), name, "draining"});
  } else if (what == "kill") {
    worker.end();
    told_.push_back({now(), name, "killed"});
  } else if (what == "start") {
    worker.end();
    worker.fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(worker.fd, 256);
    auto unix_ms = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    registry_->stand_in.set(name, loopback_address_text(port_of(worker.fd)), "ready", unix_ms);
    told_.push_back({now(), name, "started"});
  } else {
    throw std::runtime_error("drain, kill or start expected, not " + what);
  }
}

std::vector<Receipt> StandIns::receipts() const {
  std::lock_guard lock(mutex_);
  return receipts_;
}

std::vector<Answer> StandIns::answers() const {
  std::lock_guard lock(mutex_);
  return answers_;
}

void StandIns::run() {
  while (!stop_) {
    {
      std::lock_guard lock(mutex_);
      if (now() >= stalled_until_) step();
    }
    ::usleep(500);
  }
}

void StandIns::step() {
  registry_->stand_in.step();
  for (auto& worker : workers_)
    if (now() >= worker->stalled_until) step(*worker);
  ask();
  auto ended = std::stable_partition(clients_.begin(), clients_.end(),
                                     [&](auto& c) { return c->stands ? stand(*c) : step(*c); });
  std::vector<std::unique_ptr<Client>> over(std::make_move_iterator(ended),
                                            std::make_move_iterator(clients_.end()));
  clients_.erase(ended, clients_.end());
  for (auto& client : over)
    if (const Answer& a = client->answer; client->stands && client->ending.how == Ending::moved)
      ask(a.balancer, a.fields, sources_.at({a.balancer, a.fields}).address, ",again=1");
}

void StandIns::step(Worker& worker) {
  for (int c;
       worker.fd >= 0 && (c = ::accept4(worker.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
    worker.conns.push_back({c, ""});
  for (Worker::Conn& conn : worker.conns) {
    char buffer[4096];
    ssize_t n = ::recv(conn.fd, buffer, sizeof buffer, 0);
    if (n > 0) conn.in.append(buffer, static_cast<std::size_t>(n));
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
      ::close(std::exchange(conn.fd, -1));
      continue;
    }
    for (std::size_t end; (end = conn.in.find("\r\n")) != std::string::npos; conn.in.erase(0, end + 2)) {
      if (worker.silent) continue;
      std::string line = conn.in.substr(0, end);
      if (line.starts_with("STATS")) send_line(conn.fd, "PONG latency_ms=2,util=0.1");
      if (line.starts_with("say ")) send_line(conn.fd, line);
      if (!line.starts_with("OPEN ")) continue;
      // OPEN CALL KEY FIELDS; the call's name ends with the balancer that it was asked at
      std::string call = line.substr(5, line.find(' ', 5) - 5);
      receipts_.push_back(
          {now(), worker.name, call, call.substr(call.find('-') + 1), line.substr(line.rfind(' ') + 1)});
      send_line(conn.fd, "UP " + worker.name);
    }
  }
  std::erase_if(worker.conns, [](const Worker::Conn& conn) { return conn.fd < 0; });
}

void StandIns::ask() {
  for (auto& [key, source] : sources_)
    for (; source.a_second > 0 && source.next <= now(); source.next += 1 / source.a_second)
      ask(key.first, key.second, source.address);
  for (; !later_.empty() && later_.begin()->first <= now(); later_.erase(later_.begin())) {
    const auto& key = later_.begin()->second;
    ask(key.first, key.second, sources_.at(key).address);
  }
}

void StandIns::ask(const std::string& balancer, const std::string& fields, const std::string& address,
                   const std::string& more) {
  auto client = std::make_unique<Client>();
  client->answer = {now(), 0, std::to_string(++calls_) + "-" + balancer, balancer, fields, ""};
  client->line = "OPEN " + client->answer.call + " " + std::to_string(calls_) + " c=telemetry,d=2900" +
                 (fields.empty() ? "" : "," + fields) + more;
  client->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to = *config::parse_address(address);
  ::connect(client->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  clients_.push_back(std::move(client));
}

bool StandIns::step(Client& client) {
  auto over = [&](const std::string& text) {
    client.answer.at = now();
    client.answer.text = text;
    answers_.push_back(client.answer);
    if (obey_ && text.starts_with("BUSY "))
      later_.emplace(now() + std::atof(text.c_str() + 5) / 1000,
                     std::pair(client.answer.balancer, client.answer.fields));
    return false;
  };
  pollfd ready{client.fd, static_cast<short>(client.sent ? POLLIN : POLLOUT), 0};
  if (::poll(&ready, 1, 0) <= 0) return now() - client.answer.asked < kClientTimeout || over("none");
  if (!client.sent) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(client.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return over("not there");  // nobody has taken the call
    send_line(client.fd, client.line);
    client.sent = true;
    return true;
  }
  char buffer[512];
  ssize_t n = ::recv(client.fd, buffer, sizeof buffer, 0);
  if (n <= 0) return over("closed");
  client.in.append(buffer, static_cast<std::size_t>(n));
  std::size_t end = client.in.find("\r\n");
  if (end == std::string::npos) return true;
  over(client.in.substr(0, end));
  client.in.erase(0, end + 2);
  client.stands = stay_ > 0 && client.answer.text.starts_with("UP ");
  if (!client.stands) return false;
  const std::string worker = client.answer.text.substr(3);
  client.ending = {now(), 0, Ending::own, client.answer.call, client.answer.balancer, worker, ""};
  client.until = now() + stay_;
  client.spoke = client.heard = now();
  return true;
}

bool StandIns::stand(Client& client) {
  auto over = [&](Ending::How how, const std::string& line = "") {
    client.ending.at = now();
    client.ending.how = how;
    client.ending.line = line;
    endings_.push_back(client.ending);
    return false;
  };
  char buffer[512];
  ssize_t n = ::recv(client.fd, buffer, sizeof buffer, 0);
  if (n > 0) client.in.append(buffer, static_cast<std::size_t>(n));
  for (std::size_t end; (end = client.in.find("\r\n")) != std::string::npos; client.in.erase(0, end + 2)) {
    std::string line = client.in.substr(0, end);
    if (line == "MOVE") return over(Ending::moved);
    if (!line.starts_with("say ")) return over(Ending::stray, line);
    client.heard = now();
  }
  if (n == 0 || (n < 0 && errno != EAGAIN)) return over(Ending::cut);
  if (now() >= client.until) return over(Ending::own);
  if (now() - client.heard > kSilent) return over(Ending::silent);
  if (now() - client.spoke > kEach) {
    client.spoke = now();
    send_line(client.fd, "say " + client.answer.call);
  }
  return true;
}

std::string in_order(const std::vector<Receipt>& receipts,
                     const std::map<std::uint64_t, std::vector<std::string>>& pools, double bound) {
  std::map<std::uint64_t, double> first;  // receipt by that version
  auto version = [&](const Receipt& r) -> std::uint64_t {
    for (const auto& [number, workers] : pools)
      if (std::find(workers.begin(), workers.end(), r.worker) != workers.end()) return number;
    return 0;
  };
  for (const Receipt& r : receipts)
    if (auto v = version(r)) {
      auto entry = first.emplace(v, r.at).first;
      entry->second = std::min(entry->second, r.at);
    }
  for (const Receipt& r : receipts) {
    auto v = version(r);
    for (auto later = first.upper_bound(v); v > 0 && later != first.end(); ++later)
      if (r.at > later->second + bound)
        return "call " + r.call + " came to " + r.worker + " by version " + std::to_string(v) + " " +
               std::to_string(r.at - later->second) + " s after the first by version " +
               std::to_string(later->first);
  }
  return "";
}

}  // namespace marblehub::test
