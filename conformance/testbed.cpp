#include "testbed.h"

#include <fmt/format.h>

#include <algorithm>

#include "quic/packet.h"

namespace marblehub::peers {
namespace {

constexpr std::int64_t kMaxWatchTime = 5'000'000;
constexpr int kListenQueue = 512;  // many balancers may start together

std::string temporary_path() {
  char path[] = "/tmp/marblehub-quic-XXXXXX";
  ::close(mkstemp(path));
  return path;
}

Endpoint free_endpoint(int family) { return Udp(family).local(); }

}  // namespace

StubRegistry::StubRegistry()
    : fd_(test::bound_socket(SOCK_STREAM | SOCK_NONBLOCK)), port_(test::port_of(fd_)) {
  ::listen(fd_, kListenQueue);
}

StubRegistry::~StubRegistry() {
  for (Conn& conn : conns_) ::close(conn.fd);
  if (fd_ >= 0) ::close(fd_);
}

void StubRegistry::set(const std::string& name, const std::string& address, const std::string& status,
                       std::int64_t since_ms) {
  entries_[name] = {{"name", name}, {"address", address}, {"zone", "a"},   {"type", "m"},
                    {"group", 0},   {"status", status},   {"weight", 1.0}, {"since_ms", since_ms}};
  changed_[name] = ++index_;
}

bool StubRegistry::has_watch() const {
  return std::any_of(conns_.begin(), conns_.end(),
                     [](const Conn& conn) { return conn.called_at > 0 && conn.hold > 0; });
}

void StubRegistry::down() {
  ::close(std::exchange(fd_, -1));
  for (Conn& conn : conns_) {
    linger hard{1, 0};
    setsockopt(conn.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(conn.fd);
  }
  conns_.clear();
}

void StubRegistry::up() {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = test::loopback(port_);
  if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("the registry's port is taken");
  ::listen(fd_, kListenQueue);
}

json StubRegistry::list() const {
  json all = json::array();
  for (auto& [name, entry] : entries_)
    if (entry["status"] != "gone") all.push_back(entry);
  return all;
}

void StubRegistry::answer(Conn& conn) {
  const bool full_list = conn.from < 0;
  conn.called_at = 0;
  if (fault_ == RegistryFault::refuses) {
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    ::send(conn.fd, refusal.data(), refusal.size(), MSG_NOSIGNAL);
    return;
  }
  json entries = full_list ? list() : json::array();
  if (!full_list)
    for (auto& [name, entry] : entries_)
      if (changed_[name] > conn.from) entries.push_back(entry);
  std::string body = json{{"index", index_}, {"snapshot", full_list}, {"endpoints", entries}}.dump();
  std::string text = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
  const bool half = fault_ == RegistryFault::half_answers;
  ::send(conn.fd, text.data(), half ? text.size() - body.size() / 2 : text.size(), MSG_NOSIGNAL);
  if (half) close(conn);
}

void StubRegistry::close(Conn& conn) { ::close(std::exchange(conn.fd, -1)); }

void StubRegistry::accept_connections() {
  if (fd_ < 0) return;
  for (int fd; (fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
    conns_.push_back({fd, "", 0, 0, -1});
}

void StubRegistry::read_call(Conn& conn) {
  char buffer[4096];
  ssize_t n = ::recv(conn.fd, buffer, sizeof buffer, 0);
  if (n > 0) conn.in.append(buffer, static_cast<std::size_t>(n));
  if (n == 0) return close(conn);
  std::size_t end = conn.in.find("\r\n\r\n");
  if (end == std::string::npos) return;
  const std::string head = conn.in.substr(0, end);
  conn.in.erase(0, end + 4);
  const std::size_t from = head.find("from="), hold = head.find("hold_ms=");
  conn.from = from == std::string::npos ? -1 : std::atoll(head.c_str() + from + 5);
  conn.hold = from == std::string::npos ? 0
              : hold == std::string::npos
                  ? kMaxWatchTime
                  : std::min<std::int64_t>(kMaxWatchTime, 1000 * std::atoll(head.c_str() + hold + 8));
  conn.called_at = now_us();
  call_times_.push_back(conn.called_at);
}

void StubRegistry::answer_if_due(Conn& conn) {
  const std::int64_t waited = now_us() - conn.called_at;
  if (fault_ == RegistryFault::silent || waited < answer_delay_) return;
  const bool news = conn.from < index_ || fault_ == RegistryFault::refuses;
  if (news || waited >= conn.hold) answer(conn);
}

void StubRegistry::step() {
  accept_connections();
  for (Conn& conn : conns_) {
    read_call(conn);
    if (conn.fd >= 0 && conn.called_at > 0) answer_if_due(conn);
  }
  std::erase_if(conns_, [](const Conn& conn) { return conn.fd < 0; });
}

Testbed::Testbed(const std::vector<std::string>& names, TestbedOptions o)
    : options(std::move(o)),
      quic_path_(temporary_path()),
      second_path_(temporary_path()),
      overrides_(options.quic),
      router_(free_endpoint(options.family)) {
  options.worker.family = options.family;
  options.worker.proxy = options.proxy;
  for (const std::string& name : names) {
    workers.push_back(std::make_unique<Worker>(name, options.worker));
    registry.set(name, workers.back()->address().text(), "ready");
  }
  std::ofstream(quic_path_) << quic_settings(router_).dump();
  program = start(quic_path_);
}

Testbed::~Testbed() {
  clients.clear();
  program.reset();
  second.reset();
  std::remove(quic_path_.c_str());
  std::remove(second_path_.c_str());
}

json Testbed::quic_settings(const Endpoint& listen) const {
  const quic::IdConfig& id = options.worker.ids;
  json file = {{"enabled", true},
               {"listen", listen.text()},
               {"class", "telemetry"},
               {"deadline_ms", options.deadline_ms},
               {"idle_ms", 30000},
               {"calls", 2000},
               {"paths", 4000},
               {"forwarding", options.proxy ? "proxy-v2" : "socket"},
               {"ids", json::array({{{"rotation", id.rotation},
                                     {"server_id_length", id.server_id_length},
                                     {"nonce_length", id.nonce_length},
                                     {"key", quic::hex(id.key)},
                                     {"length_in_id", id.length_in_id}}})}};
  if (!options.worker.reset_key.empty()) file["reset"] = {{"key", quic::hex(options.worker.reset_key)}};
  file.update(overrides_);
  return file;
}

std::unique_ptr<test::Program> Testbed::start(const std::string& file) {
  json settings = test::settings();
  settings["limits"]["probes"] = false;  // these workers speak QUIC only
  return std::make_unique<test::Program>(registry.list(), settings, registry.port(), file, "/nonexistent",
                                         options.file_limit);
}

Client& Testbed::client(ClientOptions o) {
  o.family = options.family;
  clients.push_back(std::make_unique<Client>(router_, o));
  return *clients.back();
}

bool Testbed::run(int ms, const std::function<bool()>& done) {
  for (std::int64_t end = now_us() + ms * std::int64_t{1000}; now_us() < end; ::usleep(300)) {
    registry.step();
    for (auto& w : workers) w->step();
    for (auto& c : clients) c->step();
    if (done()) return true;
  }
  return done();
}

bool Testbed::all_connected() {
  return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->handshaken(); });
}

bool Testbed::all_answered() {
  return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->all_answered_once(); });
}

void Testbed::set_status(Worker& worker, const std::string& status) {
  std::string address = worker.dead() ? "127.0.0.1:1" : worker.address().text();
  registry.set(worker.name, address, status);
}

void Testbed::publish_address(Worker& worker) { set_status(worker, "ready"); }

void Testbed::restart_router() {
  program.reset();
  program = start(quic_path_);
}

Endpoint Testbed::second_router() {
  Endpoint at = free_endpoint(options.family);
  std::ofstream(second_path_) << quic_settings(at).dump();
  second = start(second_path_);
  return at;
}

void Testbed::write_quic(const json& overrides) {
  overrides_.update(overrides);
  std::ofstream(quic_path_) << quic_settings(router_).dump();
}

void Testbed::reload() {
  program->signal(SIGHUP);
  run(200);
}

std::string Testbed::metric_text(bool of_second) {
  test::Program& at = of_second ? *second : *program;
  at.signal(SIGUSR1);
  run(150);
  return at.log();
}

double Testbed::counter(const std::string& name, bool of_second) {
  metric_text(of_second);
  return (of_second ? *second : *program).counter(name);
}

}  // namespace marblehub::peers
