// Bad files of the fleet: the tool refuses them, the program does at its start and at SIGHUP, all three in
// the same words, and a running program loses nothing by them.
#include <sys/stat.h>

#include <catch2/catch.hpp>

#include "support/program.h"

namespace marblehub::test {
namespace {

struct Said {
  int code = 0;
  std::string text;
};

Said shell(const std::string& command) {
  Said said;
  FILE* pipe = popen(("timeout 10 " + command + " 2>&1").c_str(), "r");
  char buffer[512];
  while (std::size_t n = fread(buffer, 1, sizeof buffer, pipe)) said.text.append(buffer, n);
  said.code = WEXITSTATUS(pclose(pipe));
  return said;
}

struct Files {
  Files() {
    char name[] = "/tmp/marblehub-files-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("no temporary folder");
    folder = name;
    std::filesystem::create_directory(folder + "/data");
    write("key", std::string(64, 'a') + "\n");
    write("open", std::string(64, 'a') + "\n");
    ::chmod((folder + "/key").c_str(), 0600);
    ::chmod((folder + "/open").c_str(), 0644);
    good["fleet"] = {{"enabled", true},
                     {"fleet", "f"},
                     {"name", "b1"},
                     {"listen", process_address(0, 7946)},
                     {"key_file", folder + "/key"},
                     {"voters", {"b1", "b2", "b3"}},
                     {"data", folder + "/data"},
                     {"routes_file", folder + "/routes.json"},
                     {"wallet_file", folder + "/wallet.json"}};
    good["routes"] = {{"version", 1},
                      {"pools", json::array({{{"name", "near"}, {"zones", {"a"}}}, {{"name", "all"}}})},
                      {"rules", json::array({{{"area", "7"}, {"pool", "near"}, {"fallback", "all"}}})},
                      {"otherwise", "all"}};
    good["wallet"] = {{"prices", json::array({{{"class", "telemetry"}, {"units", 2}}})},
                      {"deposits", json::array({{{"wallet", "acme"}, {"id", "1"}, {"units", 100}}})}};
    mend();
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
  ~Files() { std::filesystem::remove_all(folder); }

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
  void mend() const {
    for (const auto& [kind, document] : good) write(kind + ".json", document.dump(1));
  }
  // The good file with `patch` laid over it, or text that is no patch as it stands.
  void spoil(const std::string& kind, const json& patch) const {
    if (patch.is_string()) return write(kind + ".json", patch.get<std::string>());
    json document = good.at(kind);
    document.merge_patch(patch);
    write(kind + ".json", document.dump(1));
  }

  std::string folder;
  json start;
  std::map<std::string, json> good;
};

struct Bad {
  const char* kind;
  json patch;
  std::string key, expected;
  bool alone = true;  // known from this one file
};

json list(std::initializer_list<json> items) { return json::array_t(items); }

std::vector<Bad> bad_files(const Files& files) {
  const json area = {{"area", "7"}, {"pool", "near"}};
  const json paid = {{"wallet", "p"}, {"id", "1"}, {"units", 1}};
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
      {"wallet", {{"deposits", list({paid, paid})}}, "deposits.1.id", "each id once"},
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

bool comes(const Program& program, const std::string& text, std::size_t from) {
  for (int i = 0; i < 500 && program.log().find(text, from) == std::string::npos; ++i) usleep(10000);
  return program.log().find(text, from) != std::string::npos;
}

}  // namespace

TEST_CASE("a bad file of the fleet is refused by the tool and by the program in the same words") {
  Files files;
  const std::string tool = MARBLEHUB_CONFIG " check ", start = files.folder + "/start.json";
  const Said sound = shell(tool + start);
  CAPTURE(sound.text);
  REQUIRE(sound.code == 0);
  auto running = std::make_unique<Program>(Files::known(), settings(), free_port(SOCK_STREAM), "/nonexistent",
                                           "/nonexistent", 1024, "/nonexistent", 1, files.file("fleet"));
  REQUIRE(running->log().find("fleet: b1 of f on ") != std::string::npos);
  const std::vector<Bad> cases = bad_files(files);
  for (const Bad& bad : cases) {
    files.spoil(bad.kind, bad.patch);
    Said said = shell(tool + start);
    CAPTURE(bad.kind, bad.key, said.text);
    REQUIRE(said.code == 1);
    REQUIRE(said.text.find('\n') + 1 == said.text.size());  // one plain line
    const std::string line = said.text.substr(0, said.text.size() - 1);
    REQUIRE(line.starts_with(start + ": "));
    const std::string words = line.substr(start.size() + 2), place = files.file(bad.kind) + ": ";
    CHECK(words.starts_with(place + (bad.key.empty() ? "" : "setting " + bad.key + ": expected ")));
    CHECK(words.find(bad.expected) != std::string::npos);

    const Said alone = shell(tool + "--" + bad.kind + " " + files.file(bad.kind));
    CAPTURE(alone.text);
    CHECK(alone.code == (bad.alone ? 1 : 0));
    if (bad.alone) CHECK(alone.text == words + "\n");

    const Said program = shell(MARBLEHUB_PROGRAM " " + start);
    CAPTURE(program.text);
    CHECK(program.code == 1);
    CHECK(program.text.ends_with("marblehub: " + words + "\n"));

    const std::size_t from = running->log().size();
    running->signal(SIGHUP);
    CHECK(comes(*running, "the old one stays in force: " + words + "\n", from));
    files.mend();
  }
  const std::size_t from = running->log().size();
  running->signal(SIGHUP);
  CHECK(comes(*running, "configuration reloaded", from));
  running->signal(SIGUSR1);
  CHECK(comes(*running, "marblehub_reloads_total{result=\"taken\"} 1\n", from));
  CHECK(running->counter("marblehub_reloads_total{result=\"refused\"}") == static_cast<double>(cases.size()));
  CHECK(running->exit_code() == -1);
}

TEST_CASE("a reload with one bad file of the fleet follows no other file") {
  Files files;
  json quic = {{"enabled", true},
               {"listen", loopback_address_text(free_port(SOCK_DGRAM))},
               {"class", "telemetry"},
               {"deadline_ms", 1000},
               {"idle_ms", 30000},
               {"calls", 8},
               {"paths", 8},
               {"ids", list({{{"rotation", 0}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}}})}};
  files.write("quic.json", quic.dump());
  Program program(Files::known(), settings(), free_port(SOCK_STREAM), files.file("quic"), "/nonexistent",
                  1024, "/nonexistent", 1, files.file("fleet"));
  REQUIRE(program.log().find("fleet: b1 of f on ") != std::string::npos);
  quic["listen"] = loopback_address_text(free_port(SOCK_DGRAM));
  files.write("quic.json", quic.dump());
  for (const char* kind : {"fleet", "routes", "wallet"}) {
    files.spoil(kind, {{"no_such", 1}});
    const std::size_t from = program.log().size();
    program.signal(SIGHUP);
    CAPTURE(kind);
    CHECK(comes(program, "setting no_such: expected no such key", from));
    CHECK(program.log().find("quic: listen has changed") == std::string::npos);
    files.mend();
  }
  files.spoil("fleet", {{"probe_ms", 400}});
  program.signal(SIGHUP);
  CHECK(comes(program, "configuration reloaded", 0));
  CHECK(program.log().find("quic: listen has changed") != std::string::npos);
  CHECK(program.log().find("fleet: probe_ms has changed, which takes a restart to follow") !=
        std::string::npos);
}

TEST_CASE("a balancer that knows no workers yet starts with a table of routes") {
  Files files;
  Program program(json::array(), settings(), free_port(SOCK_STREAM), "/nonexistent", "/nonexistent", 1024,
                  "/nonexistent", 0, files.file("fleet"));
  CAPTURE(program.log());
  CHECK(program.exit_code() == -1);
  CHECK(program.log().find("listens on") != std::string::npos);
}

}  // namespace marblehub::test
