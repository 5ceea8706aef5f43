// Invalid configuration files of the fleet: marblehub-config, a starting program and a reload at SIGHUP
// refuse them with the same message, and a running program keeps its configuration.
#include <sys/stat.h>

#include <catch2/catch.hpp>

#include "support/program.h"

namespace marblehub::test {
namespace {

// The exit code of a command and its output, standard error included.
struct CommandResult {
  int code = 0;
  std::string text;
};

// Runs a shell command for at most 10 s.
CommandResult run_command(const std::string& command) {
  CommandResult result;
  FILE* pipe = popen(("timeout 10 " + command + " 2>&1").c_str(), "r");
  char buffer[512];
  while (std::size_t n = fread(buffer, 1, sizeof buffer, pipe)) result.text.append(buffer, n);
  result.code = WEXITSTATUS(pclose(pipe));
  return result;
}

// A valid start file and fleet files in a temporary folder, which the destructor removes.
struct TemporaryFleetFiles {
  TemporaryFleetFiles() {
    char name[] = "/tmp/marblehub-files-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("no temporary folder");
    folder = name;
    std::filesystem::create_directory(folder + "/data");
    write("key", std::string(64, 'a') + "\n");
    write("open", std::string(64, 'a') + "\n");
    ::chmod((folder + "/key").c_str(), 0600);
    ::chmod((folder + "/open").c_str(), 0644);
    valid["fleet"] = {{"enabled", true},
                      {"fleet", "f"},
                      {"name", "b1"},
                      {"listen", process_address(0, 7946)},
                      {"key_file", folder + "/key"},
                      {"voters", {"b1", "b2", "b3"}},
                      {"data", folder + "/data"},
                      {"routes_file", folder + "/routes.json"},
                      {"wallet_file", folder + "/wallet.json"}};
    valid["routes"] = {{"version", 1},
                       {"pools", json::array({{{"name", "near"}, {"zones", {"a"}}}, {{"name", "all"}}})},
                       {"rules", json::array({{{"area", "7"}, {"pool", "near"}, {"fallback", "all"}}})},
                       {"otherwise", "all"}};
    valid["wallet"] = {{"prices", json::array({{{"class", "telemetry"}, {"units", 2}}})},
                       {"deposits", json::array({{{"wallet", "acme"}, {"id", "1"}, {"units", 100}}})}};
    restore();
    start = {{"name", "n0"},
             {"listen", process_address(0, 7000)},
             {"discovery", loopback_address_text(free_port(SOCK_STREAM))},
             {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", known()}}},
             {"settings", settings()},
             {"fleet", file("fleet")}};
    for (const char* other : {"quic", "remote_write", "rebalance", "log"})
      start[other] = std::string(MARBLEHUB_SOURCE "/deploy/").append(other).append(".json");
    write("start.json", start.dump(1));
  }
  ~TemporaryFleetFiles() { std::filesystem::remove_all(folder); }

  static json known() {
    return json::array({{{"name", "w1"},
                         {"status", "ready"},
                         {"zone", "a"},
                         {"address", loopback_address_text(free_port(SOCK_STREAM))}}});
  }
  std::string file(const std::string& kind) const { return folder + "/" + kind + ".json"; }
  void write(const std::string& name, const std::string& text) const {
    std::ofstream(folder + "/" + name) << text;
  }
  // Writes all valid files again.
  void restore() const {
    for (const auto& [kind, document] : valid) write(kind + ".json", document.dump(1));
  }
  // Writes the valid file with `patch` merged into it; a patch that is a string replaces the whole text.
  void break_file(const std::string& kind, const json& patch) const {
    if (patch.is_string()) return write(kind + ".json", patch.get<std::string>());
    json document = valid.at(kind);
    document.merge_patch(patch);
    write(kind + ".json", document.dump(1));
  }

  std::string folder;
  json start;
  std::map<std::string, json> valid;
};

// A change that makes a file invalid, and the error that it must cause: the setting's key and a part of the
// text.
struct InvalidFile {
  const char* kind;
  json patch;
  std::string key, expected;
  bool single_file = true;  // also detected when the file is checked alone
};

json list(std::initializer_list<json> items) { return json::array_t(items); }

std::vector<InvalidFile> invalid_files(const TemporaryFleetFiles& files) {
  const json area = {{"area", "7"}, {"pool", "near"}};
  const json deposit = {{"wallet", "p"}, {"id", "1"}, {"units", 1}};
  return {
      {"fleet", {{"probes_ms", 500}}, "probes_ms", "no such key"},
      {"fleet", {{"probe_ms", "500ms"}}, "probe_ms", "milliseconds"},
      {"fleet", {{"probe_ms", 0.5}}, "probe_ms", "from 100 to 10000"},
      {"fleet", {{"name", "@b1"}}, "name", "do not begin with @"},
      {"fleet", {{"listen", "localhost:7946"}}, "listen", "a.b.c.d:port"},
      {"fleet", {{"listen", "203.0.113.9:7946"}}, "listen", "an address of this machine"},
      {"fleet", {{"voters", {"b1", "b2"}}}, "voters", "3 or 5"},
      {"fleet", {{"voters", {"b1", "b2", "b3", "b4"}}}, "voters", "3 or 5"},
      {"fleet", {{"voters", {"b1", "b2", "b2"}}}, "voters", "twice"},
      {"fleet", {{"members", {"b1", "b2", "b4"}}}, "voters", "b3 is none"},
      {"fleet", {{"members", {"b1", "b1"}}}, "members", "twice"},
      {"fleet", {{"seeds", {"127.0.0.1:1", "127.0.0.1:1"}}}, "seeds", "twice"},
      {"fleet", {{"key_file", files.folder + "/open"}}, "key_file", "others than its owner"},
      {"fleet", {{"key_file", files.folder + "/absent"}}, "key_file", "No such file"},
      {"fleet", {{"data", files.folder + "/absent"}}, "data", "can be written"},
      {"fleet", {{"clock_bound_ms", 300}}, "clock_bound_ms", "half of lease_ms"},
      {"fleet", {{"when_alone", "go on"}}, "when_alone", "stop, keep"},
      {"fleet", {{"enabled", "yes"}}, "enabled", "true or false"},
      {"fleet", R"({"enabled": true)", "", "a JSON object"},
      {"routes", {{"verison", 2}}, "verison", "no such key"},
      {"routes", {{"version", "two"}}, "version", "a number"},
      {"routes", {{"otherwise", "far"}}, "otherwise", "one of the pools"},
      {"routes", {{"rules", list({{{"area", "7"}, {"pool", "far"}}})}}, "rules.0.pool", "one of the pools"},
      {"routes", {{"rules", list({area, area})}}, "rules.1.area", "no earlier rule"},
      {"routes", {{"pools", list({{{"name", "all"}}, {{"name", "all"}}})}}, "pools.1.name", "another pool"},
      {"routes", {{"pools", "all"}}, "pools", "a list of objects"},
      {"routes", std::string(262'145, ' '), "", "at most 262144 octets"},
      {"routes",
       {{"rules", list({{{"class", "fly"}, {"pool", "near"}}})}},
       "rules.0.class",
       "a known class",
       false},
      {"routes",
       {{"pools", list({{{"name", "near"}, {"zones", {"a"}}}, {{"name", "all"}, {"zones", {"q"}}}})}},
       "pools.1",
       "a listed worker",
       false},
      {"wallet", {{"term", 5}}, "term", "no such key"},
      {"wallet", {{"term_s", "5s"}}, "term_s", "a number"},
      {"wallet", {{"pause_ms", 60'001}}, "pause_ms", "60000 at most"},
      {"wallet", {{"deposits", list({deposit, deposit})}}, "deposits.1.id", "each id once"},
      {"wallet", {{"deposits", {{"acme", 5}}}}, "deposits.acme", "no such key"},
      {"wallet", {{"prices", list({{{"class", "telemetry"}, {"units", 0.5}}})}}, "prices.0.units", "whole"},
      {"wallet",
       {{"prices", list({{{"class", "telemtry"}, {"units", 1}}})}},
       "prices.0.class",
       "a class of the start file, not \"telemtry\"",
       false},
      {"wallet", "{\"prices\": " + std::string(40, '[') + "1" + std::string(40, ']') + "}", "", "too deep"},
  };
}

// Whether the program logs `text` within 5 s, at position `from` of its log or later.
bool appears_in_log(const Program& program, const std::string& text, std::size_t from) {
  for (int i = 0; i < 500 && program.log().find(text, from) == std::string::npos; ++i) usleep(10000);
  return program.log().find(text, from) != std::string::npos;
}

}  // namespace

TEST_CASE("an invalid file of the fleet is refused by the tool and by the program with the same message") {
  TemporaryFleetFiles files;
  const std::string tool = MARBLEHUB_CONFIG " check ", start = files.folder + "/start.json";
  const CommandResult tool_on_valid = run_command(tool + start);
  CAPTURE(tool_on_valid.text);
  REQUIRE(tool_on_valid.code == 0);
  auto running =
      std::make_unique<Program>(TemporaryFleetFiles::known(), settings(), free_port(SOCK_STREAM),
                                "/nonexistent", "/nonexistent", 1024, "/nonexistent", 1, files.file("fleet"));
  REQUIRE(running->log().find("fleet: b1 of f on ") != std::string::npos);
  const std::vector<InvalidFile> cases = invalid_files(files);
  for (const InvalidFile& invalid : cases) {
    files.break_file(invalid.kind, invalid.patch);
    CommandResult result = run_command(tool + start);
    CAPTURE(invalid.kind, invalid.key, result.text);
    REQUIRE(result.code == 1);
    REQUIRE(result.text.find('\n') + 1 == result.text.size());  // a single line
    const std::string line = result.text.substr(0, result.text.size() - 1);
    REQUIRE(line.starts_with(start + ": "));
    const std::string message = line.substr(start.size() + 2), location = files.file(invalid.kind) + ": ";
    CHECK(message.starts_with(location +
                              (invalid.key.empty() ? "" : "setting " + invalid.key + ": expected ")));
    CHECK(message.find(invalid.expected) != std::string::npos);

    const CommandResult single_file =
        run_command(tool + "--" + invalid.kind + " " + files.file(invalid.kind));
    CAPTURE(single_file.text);
    CHECK(single_file.code == (invalid.single_file ? 1 : 0));
    if (invalid.single_file) CHECK(single_file.text == message + "\n");

    const CommandResult program = run_command(MARBLEHUB_PROGRAM " " + start);
    CAPTURE(program.text);
    CHECK(program.code == 1);
    CHECK(program.text.ends_with("marblehub: " + message + "\n"));

    const std::size_t from = running->log().size();
    running->signal(SIGHUP);
    CHECK(appears_in_log(*running, "the old one stays in force: " + message + "\n", from));
    files.restore();
  }
  const std::size_t from = running->log().size();
  running->signal(SIGHUP);
  CHECK(appears_in_log(*running, "configuration reloaded", from));
  running->signal(SIGUSR1);
  CHECK(appears_in_log(*running, "marblehub_reloads_total{result=\"taken\"} 1\n", from));
  CHECK(running->counter("marblehub_reloads_total{result=\"refused\"}") == static_cast<double>(cases.size()));
  CHECK(running->exit_code() == -1);
}

TEST_CASE("a reload with one invalid file of the fleet applies no other file") {
  TemporaryFleetFiles files;
  json quic = {{"enabled", true},
               {"listen", loopback_address_text(free_port(SOCK_DGRAM))},
               {"class", "telemetry"},
               {"deadline_ms", 1000},
               {"idle_ms", 30000},
               {"calls", 8},
               {"paths", 8},
               {"ids", list({{{"rotation", 0}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}}})}};
  files.write("quic.json", quic.dump());
  Program program(TemporaryFleetFiles::known(), settings(), free_port(SOCK_STREAM), files.file("quic"),
                  "/nonexistent", 1024, "/nonexistent", 1, files.file("fleet"));
  REQUIRE(program.log().find("fleet: b1 of f on ") != std::string::npos);
  quic["listen"] = loopback_address_text(free_port(SOCK_DGRAM));
  files.write("quic.json", quic.dump());
  for (const char* kind : {"fleet", "routes", "wallet"}) {
    files.break_file(kind, {{"no_such", 1}});
    const std::size_t from = program.log().size();
    program.signal(SIGHUP);
    CAPTURE(kind);
    CHECK(appears_in_log(program, "setting no_such: expected no such key", from));
    CHECK(program.log().find("quic: listen has changed") == std::string::npos);
    files.restore();
  }
  files.break_file("fleet", {{"probe_ms", 400}});
  program.signal(SIGHUP);
  CHECK(appears_in_log(program, "configuration reloaded", 0));
  CHECK(program.log().find("quic: listen has changed") != std::string::npos);
  CHECK(program.log().find("fleet: probe_ms has changed, which takes a restart to follow") !=
        std::string::npos);
}

TEST_CASE("a balancer without known workers starts with a route table") {
  TemporaryFleetFiles files;
  Program program(json::array(), settings(), free_port(SOCK_STREAM), "/nonexistent", "/nonexistent", 1024,
                  "/nonexistent", 0, files.file("fleet"));
  CAPTURE(program.log());
  CHECK(program.exit_code() == -1);
  CHECK(program.log().find("listens on") != std::string::npos);
}

}  // namespace marblehub::test
