// Tests the decoding of fleet.json: each rule has a file that breaks it, whose error names the file and the
// key.
#include "fleet/settings/settings.h"

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "config/json.h"
#include "fleet/wire/envelope.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

using fleet::Settings;

/// A temporary folder with a valid key file, removed at the end.
struct Folder {
  Folder() {
    char name[] = "/tmp/marblehub-fleet-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("cannot create a temporary folder");
    path = name;
    write_key("key", std::string(64, 'a') + "\n" + std::string(64, 'b') + "\n", 0600);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string write_key(const std::string& name, const std::string& text, mode_t mode) {
    std::string file = path + "/" + name;
    std::ofstream(file) << text;
    ::chmod(file.c_str(), mode);
    return file;
  }
  json valid_settings() const {
    return {{"enabled", true},
            {"fleet", "f"},
            {"name", "b1"},
            {"listen", "127.0.0.1:7000"},
            {"key_file", path + "/key"},
            {"voters", json::array({"b1", "b2", "b3"})},
            {"data", path}};
  }
  std::string path;
};

Settings decode(const json& document) {
  return fleet::settings_from(config::flatten(document.dump(), "fleet.json: "), "n0");
}

std::string decode_error(json document, const json& patch) {
  document.merge_patch(patch);
  try {
    decode(document);
  } catch (const config::DecodeError& error) {
    return error.what();
  }
  return "accepted";
}

}  // namespace

TEST_CASE("fleet.json is decoded completely") {
  Folder folder;
  json document = folder.valid_settings();
  document.merge_patch({{"probe_ms", 250},
                        {"ack_ms", 100},
                        {"when_alone", "keep"},
                        {"seeds", json::array({"127.0.0.1:7001", "127.0.0.1:7002"})},
                        {"via", {{"b2", "127.0.0.1:9"}, {"b3.x", "127.0.0.1:10"}}}});
  Settings s = decode(document);
  CHECK(s.enabled);
  CHECK(s.name == "b1");
  CHECK(s.advertise == "127.0.0.1:7000");
  CHECK(s.probe == 250 * fleet::kMillisecond);
  CHECK(s.when_alone == fleet::WhenAlone::keep);
  CHECK(s.voters == std::vector<std::string>{"b1", "b2", "b3"});
  CHECK(s.seeds.size() == 2);
  CHECK(s.via.at("b2") == "127.0.0.1:9");
  CHECK(s.via.at("b3.x") == "127.0.0.1:10");
  std::vector<std::string> keys = fleet::read_key_file(s.key_file);
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] == std::string(32, '\xaa'));
}

TEST_CASE("the shipped fleet.json is valid and disabled") {
  Settings s = fleet::settings_from(config::load_options(MARBLEHUB_SOURCE "/deploy/fleet.json"), "n0");
  CHECK_FALSE(s.enabled);
  CHECK(s.name == "n0");
}

TEST_CASE("errors in fleet.json name the file and the key") {
  Folder folder;
  const std::string readable_key = folder.write_key("open", std::string(64, 'a'), 0644),
                    short_key = folder.write_key("short", std::string(62, 'a'), 0600),
                    no_hex = folder.write_key("no_hex", std::string(64, 'g'), 0600),
                    three = folder.write_key("three",
                                             std::string(64, 'a') + "\n" + std::string(64, 'b') + "\n" +
                                                 std::string(64, 'c') + "\n",
                                             0600),
                    none = folder.write_key("none", "\n", 0600);
  const std::vector<std::tuple<const char*, json, std::string>> cases = {
      {"probes_ms", {{"probes_ms", 500}}, "no such key"},
      {"probe_ms", {{"probe_ms", "500ms"}}, "a number of milliseconds"},
      {"probe_ms", {{"probe_ms", 99}}, "from 100 to 10000"},
      {"probe_ms", {{"probe_ms", 10001}}, "from 100 to 10000"},
      {"ack_ms", {{"ack_ms", 500}}, "less than probe_ms"},
      {"suspicion", {{"suspicion", 21}}, "from 1 to 20"},
      {"indirect", {{"indirect", 11}}, "from 0 to 10"},
      {"voters", {{"voters", json::array({"b1", "b2"})}}, "3 or 5"},
      {"voters", {{"voters", json::array({"b1", "b2", "b3", "b4"})}}, "3 or 5"},
      {"voters", {{"voters", json::array({"b1", "b2", "b2"})}}, "twice"},
      {"voters", {{"members", json::array({"b1", "b2", "b4"})}}, "b3 is none"},
      {"members", {{"members", json::array({"b1", "b1"})}}, "twice"},
      {"members", {{"members", json::array({"b4"})}, {"voters", nullptr}}, "this balancer"},
      {"name", {{"name", "@b"}}, "do not begin with @"},
      {"name", {{"name", std::string(65, 'x')}}, "1 to 64"},
      {"listen", {{"listen", nullptr}}, "a.b.c.d:port"},
      {"listen", {{"listen", "localhost:1"}}, "a.b.c.d:port"},
      {"listen", {{"listen", "127.0.0.1:0"}}, "a.b.c.d:port"},
      {"listen", {{"listen", "224.0.0.1:7"}}, "a.b.c.d:port"},
      {"listen", {{"listen", "203.0.113.9:7"}}, "an address of this machine"},
      {"advertise", {{"advertise", "x"}}, "a.b.c.d:port"},
      {"seeds", {{"seeds", json::array({"127.0.0.1"})}}, "a.b.c.d:port"},
      {"seeds", {{"seeds", json::array({"127.0.0.1:1", "127.0.0.1:1"})}}, "twice"},
      {"via.b2", {{"via", {{"b2", "x"}}}}, "a.b.c.d:port"},
      {"fleet", {{"fleet", nullptr}}, "1 to 64"},
      {"key_file", {{"key_file", nullptr}}, "the file of the fleet's key"},
      {"key_file", {{"key_file", folder.path + "/absent"}}, "No such file"},
      {"key_file", {{"key_file", readable_key}}, "others than its owner"},
      {"key_file", {{"key_file", short_key}}, "32 bytes or more"},
      {"key_file", {{"key_file", no_hex}}, "hex digits"},
      {"key_file", {{"key_file", three}}, "at most two keys"},
      {"key_file", {{"key_file", none}}, "it is empty"},
      {"data", {{"data", nullptr}}, "b1 is a voter"},
      {"data", {{"data", folder.path + "/absent"}}, "can be written"},
      {"lease_ms", {{"lease_ms", 99}}, "from 100 to 60000"},
      {"clock_bound_ms", {{"clock_bound_ms", 300}}, "half of lease_ms"},
      {"stage_ms", {{"stage_ms", -1}}, "from 100 to 60000"},
      {"when_alone", {{"when_alone", "serve"}}, "stop, keep"},
      {"enabled", {{"enabled", 1}}, "true or false"},
      {"routes_file", {{"routes_file", "r.json"}, {"voters", nullptr}}, "voters"},
      {"wallet_file", {{"wallet_file", "w.json"}, {"voters", nullptr}}, "voters"},
  };
  CHECK(decode_error(folder.valid_settings(), json::object()) == "accepted");
  for (const auto& [key, patch, expected] : cases) {
    std::string message = decode_error(folder.valid_settings(), patch);
    CAPTURE(patch.dump(), message);
    CHECK(message.starts_with("fleet.json: setting " + std::string(key) + ": expected "));
    CHECK(message.find(expected) != std::string::npos);
    CHECK(message.find(std::string(16, 'a')) == std::string::npos);  // messages never contain a secret key
  }
}

}  // namespace marblehub::test
