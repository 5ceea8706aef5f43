#include "fleet/processes/fake_environment.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>

#include "config/json.h"
#include "support/program.h"
#include "testbed.h"

namespace marblehub::test {
namespace {

constexpr double kAnswerTimeoutS = 4;      // a client's wait for its answer
constexpr double kMessageIntervalS = 0.5;  // between two lines of an established client
constexpr double kSilenceTimeoutS = 7;     // longest time without a line for an established client

void send_line(int fd, const std::string& text) {
  std::string line = text + "\r\n";
  ::send(fd, line.data(), line.size(), MSG_NOSIGNAL);
}

}  // namespace

/// Hides the registry's type from the header.
struct FakeEnvironment::Registry {
  peers::StubRegistry server;
};

/// A fake worker with its listener and connections; its destructor resets the connections.
struct FakeEnvironment::Worker {
  std::string name;
  int fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  // A connection and the bytes received that do not yet form a line.
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
    const linger at_once{1, 0};  // a reset, as for a process that died with unread bytes
    for (Conn& c : conns) {
      setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      ::close(c.fd);
    }
    conns.clear();
    if (fd >= 0) ::close(std::exchange(fd, -1));
  }
};

/// A client's call and, once it is answered UP, its established connection.
struct FakeEnvironment::Client {
  int fd = -1;
  Answer answer;
  std::string line, in;
  bool sent = false, established = false;
  ConnectionEnd ending;  // filled in once established
  double last_sent = 0, last_received = 0, end_time = 0;
  ~Client() {
    if (fd >= 0) ::close(fd);
  }
};

FakeEnvironment::FakeEnvironment(int workers, std::int64_t started_ms)
    : started_ms_(started_ms), registry_(std::make_unique<Registry>()) {
  for (int i = 1; i <= workers; ++i) {
    workers_.push_back(std::make_unique<Worker>("w" + std::to_string(i)));
    registry_->server.set(workers_.back()->name, loopback_address_text(port_of(workers_.back()->fd)),
                          "ready");
  }
  thread_ = std::thread([this] { run(); });
}

FakeEnvironment::~FakeEnvironment() {
  stop_ = true;
  thread_.join();
}

int FakeEnvironment::registry_port() const { return registry_->server.port(); }

std::string FakeEnvironment::worker_list_json() const {
  std::lock_guard lock(mutex_);
  return registry_->server.list().dump();
}

double FakeEnvironment::now() const {
  using namespace std::chrono;
  auto us = duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
  return static_cast<double>(us - started_ms_ * 1000) / 1e6;
}

void FakeEnvironment::set_call_rate(const std::string& balancer, const std::string& address,
                                    double calls_per_second, const std::string& fields) {
  std::lock_guard lock(mutex_);
  call_sources_[{balancer, fields}] = {address, calls_per_second, now()};
}

void FakeEnvironment::honor_retry_after() {
  std::lock_guard lock(mutex_);
  honor_retry_after_ = true;
}

void FakeEnvironment::set_silent(const std::string& worker, bool on) {
  std::lock_guard lock(mutex_);
  for (auto& w : workers_)
    if (w->name == worker) w->silent = on;
}

void FakeEnvironment::stall(const std::string& worker, double seconds) {
  std::lock_guard lock(mutex_);
  for (auto& w : workers_)
    if (w->name == worker) w->stalled_until = now() + seconds;
}

void FakeEnvironment::stall(double seconds) {
  std::lock_guard lock(mutex_);
  stalled_until_ = now() + seconds;
}

void FakeEnvironment::set_connection_duration(double seconds) {
  std::lock_guard lock(mutex_);
  connection_duration_ = seconds;
}

int FakeEnvironment::moved_count() const {
  std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::count_if(connection_ends_.begin(), connection_ends_.end(),
                    [](const ConnectionEnd& e) { return e.cause == ConnectionEnd::moved; }));
}

std::vector<ConnectionEnd> FakeEnvironment::connection_ends() const {
  std::lock_guard lock(mutex_);
  return connection_ends_;
}

std::vector<WorkerEvent> FakeEnvironment::worker_events() const {
  std::lock_guard lock(mutex_);
  return worker_events_;
}

void FakeEnvironment::change_worker(const std::string& name, const std::string& what) {
  std::lock_guard lock(mutex_);
  auto it = std::find_if(workers_.begin(), workers_.end(), [&](auto& w) { return w->name == name; });
  if (it == workers_.end()) throw std::runtime_error("unknown worker: " + name);
  Worker& worker = **it;
  if (what == "drain") {
    registry_->server.set(name, loopback_address_text(port_of(worker.fd)), "draining");
    worker_events_.push_back({now(), name, "draining"});
  } else if (what == "kill") {
    worker.end();
    worker_events_.push_back({now(), name, "killed"});
  } else if (what == "start") {
    worker.end();
    worker.fd = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(worker.fd, 256);
    auto unix_ms = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    registry_->server.set(name, loopback_address_text(port_of(worker.fd)), "ready", unix_ms);
    worker_events_.push_back({now(), name, "started"});
  } else {
    throw std::runtime_error("drain, kill or start expected, not " + what);
  }
}

std::vector<Receipt> FakeEnvironment::receipts() const {
  std::lock_guard lock(mutex_);
  return receipts_;
}

std::vector<Answer> FakeEnvironment::answers() const {
  std::lock_guard lock(mutex_);
  return answers_;
}

void FakeEnvironment::run() {
  while (!stop_) {
    {
      std::lock_guard lock(mutex_);
      if (now() >= stalled_until_) step();
    }
    ::usleep(500);
  }
}

void FakeEnvironment::step() {
  registry_->server.step();
  for (auto& worker : workers_)
    if (now() >= worker->stalled_until) serve_worker(*worker);
  place_due_calls();
  auto ended = std::stable_partition(clients_.begin(), clients_.end(), [&](auto& c) {
    return c->established ? serve_established(*c) : await_answer(*c);
  });
  std::vector<std::unique_ptr<Client>> finished(std::make_move_iterator(ended),
                                                std::make_move_iterator(clients_.end()));
  clients_.erase(ended, clients_.end());
  for (auto& client : finished)
    if (const Answer& a = client->answer; client->established && client->ending.cause == ConnectionEnd::moved)
      place_call(a.balancer, a.fields, call_sources_.at({a.balancer, a.fields}).address, ",again=1");
}

void FakeEnvironment::serve_worker(Worker& worker) {
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
      // OPEN CALL KEY FIELDS; CALL ends with the name of the balancer that the client called
      std::string call = line.substr(5, line.find(' ', 5) - 5);
      receipts_.push_back(
          {now(), worker.name, call, call.substr(call.find('-') + 1), line.substr(line.rfind(' ') + 1)});
      send_line(conn.fd, "UP " + worker.name);
    }
  }
  std::erase_if(worker.conns, [](const Worker::Conn& conn) { return conn.fd < 0; });
}

void FakeEnvironment::place_due_calls() {
  for (auto& [key, source] : call_sources_)
    for (; source.calls_per_second > 0 && source.next <= now(); source.next += 1 / source.calls_per_second)
      place_call(key.first, key.second, source.address);
  for (; !retries_.empty() && retries_.begin()->first <= now(); retries_.erase(retries_.begin())) {
    const auto& key = retries_.begin()->second;
    place_call(key.first, key.second, call_sources_.at(key).address);
  }
}

void FakeEnvironment::place_call(const std::string& balancer, const std::string& fields,
                                 const std::string& address, const std::string& extra_fields) {
  auto client = std::make_unique<Client>();
  client->answer = {now(), 0, std::to_string(++call_count_) + "-" + balancer, balancer, fields, ""};
  client->line = "OPEN " + client->answer.call + " " + std::to_string(call_count_) + " c=telemetry,d=2900" +
                 (fields.empty() ? "" : "," + fields) + extra_fields;
  client->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to = *config::parse_address(address);
  ::connect(client->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  clients_.push_back(std::move(client));
}

bool FakeEnvironment::await_answer(Client& client) {
  auto finish = [&](const std::string& text) {
    client.answer.at = now();
    client.answer.text = text;
    answers_.push_back(client.answer);
    if (honor_retry_after_ && text.starts_with("BUSY "))
      retries_.emplace(now() + std::atof(text.c_str() + 5) / 1000,
                       std::pair(client.answer.balancer, client.answer.fields));
    return false;
  };
  pollfd ready{client.fd, static_cast<short>(client.sent ? POLLIN : POLLOUT), 0};
  if (::poll(&ready, 1, 0) <= 0) return now() - client.answer.asked < kAnswerTimeoutS || finish("none");
  if (!client.sent) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(client.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return finish("not there");  // the connection was refused
    send_line(client.fd, client.line);
    client.sent = true;
    return true;
  }
  char buffer[512];
  ssize_t n = ::recv(client.fd, buffer, sizeof buffer, 0);
  if (n <= 0) return finish("closed");
  client.in.append(buffer, static_cast<std::size_t>(n));
  std::size_t end = client.in.find("\r\n");
  if (end == std::string::npos) return true;
  finish(client.in.substr(0, end));
  client.in.erase(0, end + 2);
  client.established = connection_duration_ > 0 && client.answer.text.starts_with("UP ");
  if (!client.established) return false;
  const std::string worker = client.answer.text.substr(3);
  client.ending = {now(),  0, ConnectionEnd::by_client, client.answer.call, client.answer.balancer,
                   worker, ""};
  client.end_time = now() + connection_duration_;
  client.last_sent = client.last_received = now();
  return true;
}

bool FakeEnvironment::serve_established(Client& client) {
  auto finish = [&](ConnectionEnd::Cause cause, const std::string& line = "") {
    client.ending.at = now();
    client.ending.cause = cause;
    client.ending.line = line;
    connection_ends_.push_back(client.ending);
    return false;
  };
  char buffer[512];
  ssize_t n = ::recv(client.fd, buffer, sizeof buffer, 0);
  if (n > 0) client.in.append(buffer, static_cast<std::size_t>(n));
  for (std::size_t end; (end = client.in.find("\r\n")) != std::string::npos; client.in.erase(0, end + 2)) {
    std::string line = client.in.substr(0, end);
    if (line == "MOVE") return finish(ConnectionEnd::moved);
    if (!line.starts_with("say ")) return finish(ConnectionEnd::unexpected_line, line);
    client.last_received = now();
  }
  if (n == 0 || (n < 0 && errno != EAGAIN)) return finish(ConnectionEnd::dropped);
  if (now() >= client.end_time) return finish(ConnectionEnd::by_client);
  if (now() - client.last_received > kSilenceTimeoutS) return finish(ConnectionEnd::silent);
  if (now() - client.last_sent > kMessageIntervalS) {
    client.last_sent = now();
    send_line(client.fd, "say " + client.answer.call);
  }
  return true;
}

std::string check_version_order(const std::vector<Receipt>& receipts,
                                const std::map<std::uint64_t, std::vector<std::string>>& pools,
                                double bound) {
  std::map<std::uint64_t, double> first;  // time of the first receipt by each version
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
