// Remote write against a stub receiver, the alert rules, marblehub-config, and enabling rebalancing.
#include <fmt/format.h>
#include <snappy.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <regex>
#include <set>

#include "application.h"
#include "remote_write/remote_write.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string run_shell(const std::string& command, int* code) {
  FILE* pipe = popen((command + " 2>&1").c_str(), "r");
  std::string out;
  char buffer[512];
  while (std::size_t n = fread(buffer, 1, sizeof buffer, pipe)) out.append(buffer, n);
  *code = WEXITSTATUS(pclose(pipe));
  return out;
}

// A remote write receiver that answers each request with the next status of a list and repeats the last one.
struct Receiver {
  Receiver() : fd(bound_socket(SOCK_STREAM | SOCK_NONBLOCK)) { ::listen(fd, 8); }
  ~Receiver() {
    ::close(fd);
    if (conn >= 0) ::close(conn);
  }
  // Serves for `ms` milliseconds or until it has received `max_requests` in all.
  void serve(int ms, std::size_t max_requests) {
    for (std::int64_t end = now_ms() + ms; now_ms() < end && bodies.size() < max_requests; usleep(1000)) {
      int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0) {
        if (conn >= 0) ::close(conn);
        conn = accepted;
        received.clear();
      }
      char buffer[65536];
      ssize_t n = conn >= 0 ? ::recv(conn, buffer, sizeof buffer, 0) : -1;
      if (n > 0) received.append(buffer, static_cast<std::size_t>(n));
      std::size_t header_end = received.find("\r\n\r\n");
      std::size_t length_at = received.find("Content-Length: ");
      if (header_end == std::string::npos || length_at == std::string::npos) continue;
      auto length = static_cast<std::size_t>(std::stoi(received.substr(length_at + 16)));
      if (received.size() < header_end + 4 + length) continue;
      head = received.substr(0, header_end);
      bodies.push_back(received.substr(header_end + 4, length));
      times.push_back(now_ms());
      received.clear();
      int status = statuses.size() > 1 ? statuses.front() : statuses.back();
      if (statuses.size() > 1) statuses.erase(statuses.begin());
      std::string answer = "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 0\r\n\r\n";
      ::send(conn, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
  }
  int fd, conn = -1;
  std::vector<int> statuses = {204};
  std::string received, head;
  std::vector<std::string> bodies;
  std::vector<std::int64_t> times;
};

// A balancer that writes its metrics to a receiver and serves QUIC.
struct RemoteWriteFixture {
  explicit RemoteWriteFixture(int interval_ms, std::size_t queue = 40)
      : registry_port(free_port(SOCK_STREAM)) {
    char path[] = "/tmp/marblehub-write-XXXXXX";
    ::close(mkstemp(path));
    file = path;
    std::ofstream(file) << json{
        {"enabled", true},
        {"url", "http://" + loopback_address_text(port_of(receiver.fd)) + "/api/v1/write"},
        {"interval_ms", interval_ms},
        {"queue", queue},
        {"labels", {{"job", "test"}}}};
    quic = file + ".quic";
    std::ofstream(quic) << json{
        {"enabled", true},
        {"listen", loopback_address_text(free_port(SOCK_DGRAM))},
        {"class", "telemetry"},
        {"deadline_ms", 1000},
        {"idle_ms", 30000},
        {"calls", 8},
        {"paths", 8},
        {"ids", json::array({{{"rotation", 0}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}}})}};
    program = std::make_unique<Program>(json::array(), settings(), registry_port, quic, file);
  }
  ~RemoteWriteFixture() {
    std::remove(file.c_str());
    std::remove(quic.c_str());
  }
  Receiver receiver;
  int registry_port;
  std::string file, quic;
  std::unique_ptr<Program> program;
};

}  // namespace

TEST_CASE("remote write sends requests as version 1.0 requires") {
  RemoteWriteFixture w(200);
  w.receiver.serve(3000, 2);
  REQUIRE(w.receiver.bodies.size() == 2);
  for (const char* line :
       {"POST /api/v1/write HTTP/1.1", "Content-Encoding: snappy", "Content-Type: application/x-protobuf",
        "X-Prometheus-Remote-Write-Version: 0.1.0"})
    CHECK(w.receiver.head.find(line) != std::string::npos);
  std::string uncompressed;
  REQUIRE(snappy::Uncompress(w.receiver.bodies[0].data(), w.receiver.bodies[0].size(), &uncompressed));
  CHECK(uncompressed.find("\x08__name__\x12\x15marblehub_calls_total") != std::string::npos);
  CHECK(uncompressed.find("\x03job\x12\x04test") != std::string::npos);
}

TEST_CASE("the protobuf of one sample, byte by byte") {
  metrics::Registry registry;
  registry.counter("up", "help", {{"zone", "a"}}).add(1);
  std::string expected = std::string("\x0a\x2f") + std::string("\x0a\x0e\x0a\x08__name__\x12\x02up", 16) +
                         std::string(
                             "\x0a\x09\x0a\x04zone\x12\x01"
                             "a",
                             11) +
                         std::string("\x12\x10\x09\0\0\0\0\0\0\xf0\x3f\x10\x80\x89\xfa\xe6\xf6\x31", 18);
  std::string actual = metrics::write_request(registry, {}, 1715000000000 + 640);
  INFO(json(actual.size()));
  CHECK(actual.substr(2, 27) == expected.substr(2, 27));
  CHECK(actual.substr(29, 11) == expected.substr(29, 11));
  CHECK(static_cast<std::size_t>(actual[1]) == actual.size() - 2);
}

TEST_CASE("remote write retries the same samples after 5xx and drops them after 4xx") {
  RemoteWriteFixture w(100);
  w.receiver.statuses = {503, 400, 204};
  w.receiver.serve(4000, 3);
  REQUIRE(w.receiver.bodies.size() == 3);
  CHECK(w.receiver.bodies[0] == w.receiver.bodies[1]);  // retried after 503
  CHECK(w.receiver.times[1] - w.receiver.times[0] >= 400);
  CHECK(w.receiver.bodies[2] != w.receiver.bodies[1]);  // 400: dropped
  w.receiver.serve(200, 99);
  w.program->signal(SIGUSR1);
  w.receiver.serve(100, 99);
  CHECK(w.program->counter("marblehub_remote_writes_total{result=\"refused\"}") == 1);
  CHECK(w.program->counter("marblehub_remote_writes_total{result=\"retried\"}") == 1);
}

TEST_CASE("an unreachable receiver uses bounded memory and does not block the balancer") {
  RemoteWriteFixture w(100, 3);
  ::close(w.receiver.fd);
  w.receiver.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  usleep(900000);
  int fd = connected_socket(w.program->port);
  REQUIRE(::send(fd, "PING\r\n", 6, 0) == 6);
  char answer[6];
  CHECK(::recv(fd, answer, 6, MSG_WAITALL) == 6);
  ::close(fd);
  w.program->signal(SIGUSR1);
  usleep(100000);
  CHECK(w.program->counter("marblehub_remote_writes_total{result=\"overflowed\"}") >= 3);
}

TEST_CASE("every metric named by an alert rule is exported") {
  RemoteWriteFixture w(10000);
  const std::string key = w.file + ".key", fleet = w.file + ".fleet";
  std::ofstream(key) << std::string(64, 'a');
  ::chmod(key.c_str(), 0600);
  std::ofstream(fleet) << json{{"enabled", true},
                               {"fleet", "f"},
                               {"listen", loopback_address_text(free_port(SOCK_STREAM))},
                               {"key_file", key}};
  w.program.reset();  // frees its ports for the next one
  w.program = std::make_unique<Program>(json::array(), settings(), w.registry_port, w.quic, w.file, 1024,
                                        "/nonexistent", 1, fleet);
  w.program->signal(SIGUSR1);
  usleep(200000);
  std::remove(key.c_str());
  std::remove(fleet.c_str());
  std::string rules = read_file(MARBLEHUB_SOURCE "/deploy/alerts.yml"), exported = w.program->log();
  std::regex name("marblehub_[a-z_]+");
  std::set<std::string> names;
  for (std::sregex_iterator it(rules.begin(), rules.end(), name), end; it != end; ++it)
    names.insert(it->str());
  REQUIRE(names.size() >= 8);
  for (const std::string& n : names) {
    INFO(n);
    CHECK(exported.find("\n# TYPE " + n + " ") != std::string::npos);
  }
  // Every label value that a rule matches must be exported too.
  std::regex label_match(R"re((marblehub_[a-z_]+)\{([a-z]+)=~?"([a-z_|]+)"\})re"), value("[a-z_]+");
  int values = 0;
  for (std::sregex_iterator it(rules.begin(), rules.end(), label_match), end; it != end; ++it) {
    const std::string all = (*it)[3];
    for (std::sregex_iterator v(all.begin(), all.end(), value); v != end; ++v, ++values) {
      const std::string series = fmt::format("\n{}{{{}=\"{}\"}} ", (*it)[1].str(), (*it)[2].str(), v->str());
      INFO(series);
      CHECK(exported.find(series) != std::string::npos);
    }
  }
  CHECK(values >= 10);
}

TEST_CASE("marblehub-config writes valid files and reports the key of an invalid setting") {
  std::string tool = MARBLEHUB_CONFIG, file = "/tmp/marblehub-tool-" + std::to_string(getpid()) + ".json";
  int code = 0;
  CHECK(run_shell(tool + " --help", &code).find("usage:") == 0);
  CHECK(code == 0);
  run_shell(tool, &code);
  CHECK(code == 2);
  for (const auto& application : config::applications()) {
    std::remove(file.c_str());
    run_shell(tool + " write " + application.name + " " + file, &code);
    REQUIRE(code == 0);
    CHECK(read_file(file).find("// ") != std::string::npos);
    INFO(run_shell(tool + " check " + file, &code));
    CHECK(code == 0);
  }
  run_shell(tool + " write scooters " + file, &code);  // does not overwrite
  CHECK(code == 1);
  std::string valid = read_file(file);
  auto check_with = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    REQUIRE(text.find(from) != std::string::npos);
    std::ofstream(file) << text.replace(text.find(from), from.size(), to);
    return run_shell(tool + " check " + file, &code);
  };
  CHECK(check_with("\"max_attempts\": 4", "\"max_attempts\": 0")
            .find("limits.max_attempts: expected a number") != std::string::npos);
  CHECK(code == 1);
  CHECK(check_with("\"repeat\": \"safe\"", "\"repeat\": \"sure\"")
            .find("repeat: expected one of safe, keyed") != std::string::npos);
  CHECK(code == 1);
  CHECK(check_with("127.0.0.1:7070", "localhost").find("listen: expected a.b.c.d:port") != std::string::npos);
  CHECK(code == 1);
  CHECK(check_with("\"known\": {", "\"known\": [").find("expected a JSON object") != std::string::npos);
  CHECK(code == 1);
  CHECK(check_with("\"zone\": \"a\",", "\"zone\": \"a\", \"zome\": 1,").find("warning: settings.zome") !=
        std::string::npos);
  CHECK(code == 0);
  CHECK(
      check_with("\"me\": 0", "\"me\": 1").find("settings.me: expected a number below settings.balancers") !=
      std::string::npos);
  CHECK(code == 1);
  CHECK(check_with("\"balancers\": 1", "\"balancers\": 0").find("balancers: expected a number, 1 or more") !=
        std::string::npos);
  CHECK(code == 1);
  for (const char* arguments :
       {"--log " MARBLEHUB_SOURCE "/deploy/log.json", "--quic " MARBLEHUB_SOURCE "/deploy/quic.json",
        "--remote-write " MARBLEHUB_SOURCE "/deploy/remote_write.json",
        "--rebalance " MARBLEHUB_SOURCE "/deploy/rebalance.json",
        "--fleet " MARBLEHUB_SOURCE "/deploy/fleet.json", "--routes " MARBLEHUB_SOURCE "/deploy/routes.json",
        "--wallet " MARBLEHUB_SOURCE "/deploy/wallet.json"}) {
    INFO(run_shell(tool + " check " + arguments, &code));
    CHECK(code == 0);
  }
  std::ofstream(file) << R"({"enabled": true, "gap": 3})";
  CHECK(run_shell(tool + " check --rebalance " + file, &code).find("gap: expected a share") !=
        std::string::npos);
  CHECK(code == 1);
  std::ofstream(file) << R"({"patience_s": 60})";
  CHECK(run_shell(tool + " check --rebalance " + file, &code)
            .find("warning: patience_s: a former name; use progress_timeout_s") != std::string::npos);
  CHECK(code == 0);
  std::ofstream(file) << R"({"patience_s": 60, "progress_timeout_s": 60})";
  CHECK(run_shell(tool + " check --rebalance " + file, &code)
            .find("patience_s: expected only progress_timeout_s") != std::string::npos);
  CHECK(code == 1);
  std::remove(file.c_str());
}

TEST_CASE("rebalancing is off unless its file enables it, and operators can pause it") {
  std::string file = "/tmp/marblehub-moves-" + std::to_string(getpid()) + ".json", pause = file + ".pause";
  auto started = [&](const std::string& text) {
    std::ofstream(file) << text;
    return std::make_unique<Program>(json::array(), settings(), free_port(SOCK_STREAM), "/nonexistent",
                                     "/nonexistent", 1024, file);
  };
  auto metric_value = [](Program& program, const std::string& name) {
    program.signal(SIGUSR1);
    usleep(100000);
    return program.counter(name);
  };
  auto disabled = started(R"({"enabled": false})");
  disabled->signal(SIGUSR2);  // nothing to pause: ignored
  usleep(1200000);
  CHECK(metric_value(*disabled, "marblehub_rebalance_seconds_total{state=\"starting\"}") == 0);
  CHECK(disabled->log().find("rebalancing is off") != std::string::npos);

  auto enabled = started(R"({"enabled": true, "pause_file": ")" + pause + R"("})");
  CHECK(enabled->log().find("rebalanced in a dry run") != std::string::npos);
  usleep(1300000);
  CHECK(metric_value(*enabled, "marblehub_rebalance_seconds_total{state=\"starting\"}") >= 0.9);
  CHECK(metric_value(*enabled, "marblehub_rebalance_paused") == 0);
  enabled->signal(SIGUSR2);
  usleep(1300000);
  CHECK(metric_value(*enabled, "marblehub_rebalance_paused") == 1);
  CHECK(metric_value(*enabled, "marblehub_rebalance_seconds_total{state=\"paused\"}") >= 0.9);
  enabled->signal(SIGUSR2);
  usleep(1300000);
  CHECK(metric_value(*enabled, "marblehub_rebalance_paused") == 0);
  std::ofstream(pause) << "evening";
  usleep(1300000);
  CHECK(metric_value(*enabled, "marblehub_rebalance_paused") == 1);
  std::remove(pause.c_str());
  // Invalid settings on reload are rejected with their key.
  std::ofstream(file) << R"({"enabled": true, "gap": 3})";
  enabled->signal(SIGHUP);
  usleep(300000);
  CHECK(enabled->log().find("gap: expected a share") != std::string::npos);
  std::remove(file.c_str());
}

}  // namespace marblehub::test
