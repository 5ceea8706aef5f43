// The PROXY header, settings and the table of workers.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- The PROXY header ------------------------------------------------------------------------------

TEST_CASE("the PROXY header is that of the specification, and comes back") {
  std::array<char, kMaxProxyHeaderSize> out;
  std::size_t size = write_proxy_header(out, {false, at("10.1.2.3:4000"), at("127.0.0.1:7443"), {}, {}});
  CHECK(hex(std::string_view(out.data(), size)) ==
        "0d0a0d0a000d0a515549540a"  // the signature
        "2112000c"                  // version 2, PROXY; AF_INET, DGRAM; 12 octets
        "0a0102037f0000010fa01d13");
  size = write_proxy_header(out, {false, at("[2001:db8::1]:4000"), at("[::1]:7443"), "original", "retry"});
  std::string datagram = std::string(out.data(), size) + "payload";
  std::string_view rest = datagram;
  auto header = consume_proxy_header(rest);
  REQUIRE(header.has_value());
  CHECK(rest == "payload");
  CHECK(header->source == at("[2001:db8::1]:4000"));
  CHECK(header->destination == at("[::1]:7443"));
  CHECK(header->original_id == "original");
  CHECK(header->retry_id == "retry");
  for (std::size_t cut = 0; cut < size; ++cut) {
    std::string_view part = std::string_view(datagram).substr(0, cut);
    INFO(cut);
    CHECK_FALSE(consume_proxy_header(part).has_value());
  }
  size = write_proxy_header(out, {true, {}, {}, {}, {}});
  rest = std::string_view(out.data(), size);
  CHECK(consume_proxy_header(rest)->local);
}

// ---- Settings --------------------------------------------------------------------------------------

TEST_CASE("what is wrong in quic.json is said with its key, and no key is ever shown") {
  CHECK(refusal_of(file_with("")).empty());
  auto wrong = [](std::string_view more, std::string_view key, std::string_view expected) {
    std::string said = refusal_of(file_with(more));
    INFO(more << " -> " << said);
    CHECK(said.find("setting " + std::string(key) + ": expected ") != std::string::npos);
    CHECK(said.find(expected) != std::string::npos);
  };
  wrong(R"(, "forwarding": "proxy")", "forwarding", "socket, proxy-v2");
  wrong(R"(, "versions": ["1", "3"])", "versions", "1 and 2");
  wrong(R"(, "retire_ms": 0)", "retire_ms", "1 or more");
  wrong(R"(, "retry": {"mode": "sometimes"})", "retry.mode", "never, always, from_rate");
  wrong(R"(, "retry": {"from_rate": 0})", "retry.from_rate", "1");
  wrong(R"(, "retry": {"token_ms": 5000, "key_ms": 4000})", "retry.key_ms", "retry.token_ms");
  wrong(R"(, "retry": {"key": "c0ffee"})", "retry.key", "32 hexadecimal digits");
  wrong(R"(, "reset": {"key": "c0ffee"})", "reset.key", "32 hexadecimal digits");
  wrong(R"(, "reset": {"key": "no hex at all"})", "reset.key", "hexadecimal digits");
  wrong(R"(, "reset": {"per_second": 0})", "reset.per_second", "1");
  wrong(R"(, "workers": [{"name": "g-1", "address": "somewhere"}])", "workers.0.address", "port");
  wrong(R"(, "workers": [{"name": "g-1", "server_id": "01"}, {"name": "g-2", "server_id": "01"}])",
        "workers.1.server_id", "g-1");
  wrong(R"(, "reset": {"key_file": "/nonexistent"})", "reset.key_file", "a file that can be read");
  std::string secret = "00112233445566778899aabbccddeeff";
  std::string open_to_all = temporary(secret + "\n", 0644), own = temporary(secret + "\n", 0600),
              words = temporary("secret words", 0600);
  wrong(fmt::format(R"(, "reset": {{"key_file": "{}"}})", open_to_all), "reset.key_file", "chmod 600");
  wrong(fmt::format(R"(, "reset": {{"key_file": "{}"}})", words), "reset.key_file", "hexadecimal digits");
  wrong(fmt::format(R"(, "reset": {{"key": "{}", "key_file": "{}"}})", secret, own), "reset.key_file",
        "no reset.key beside it");
  CHECK(refusal_of(file_with(fmt::format(R"(, "reset": {{"key": "{}", "key_file": "{}"}})", secret, own)))
            .find(secret) == std::string::npos);
  config::Options options =
      config::flatten(file_with(fmt::format(R"(, "reset": {{"key_file": "{}"}})", own)), "");
  CHECK(hex(quic_settings_from(options).reset_key) == secret);
  CHECK(options.unread().empty());
  for (const std::string& path : {open_to_all, own, words}) std::remove(path.c_str());
}

TEST_CASE("server ids that cannot tell the workers apart are found before a file is loaded") {
  QuicSettings settings;
  settings.ids = {{0, 1, 4, ""}};
  std::vector<std::string> names;
  for (int i = 0; i < 257; ++i) names.push_back(fmt::format("g-{}", i));
  REQUIRE(server_id_conflicts(settings, names).size() == 1);
  CHECK(server_id_conflicts(settings, names)[0].find("256 workers") != std::string::npos);
  names.resize(40);  // 40 of 256: two of them come to the same by chance
  auto found = server_id_conflicts(settings, names);
  REQUIRE_FALSE(found.empty());
  CHECK(found[0].starts_with("ids.0.server_id_length: g-"));
  settings.ids = {{0, 4, 6, ""}};
  CHECK(server_id_conflicts(settings, names).empty());
  settings.workers["g-7"] = {default_server_id("g-8", 4), ""};
  CHECK(server_id_conflicts(settings, names).size() == 1);

  // The tool finds it in a starting file and its quic.json together.
  char folder[] = "/tmp/marblehub-conflict-XXXXXX";
  REQUIRE(mkdtemp(folder));
  std::string path = std::string(folder) + "/quic.json";
  std::ofstream(path) << file_with(R"(, "workers": [{"name": "g-1", "server_id": ")" +
                                   hex(default_server_id("g-2", 4)) + R"("}])");
  std::string start = config::sample_config(config::applications()[0]);
  auto replace = [&start](std::string_view what, const std::string& with) {
    start.replace(start.find(what), what.size(), with);
  };
  replace("deploy/quic.json", path);
  replace("\"endpoints\": []",
          R"("endpoints": [{"name": "g-1", "status": "ready"}, {"name": "g-2", "status": "ready"}])");
  config::Findings findings = config::check(start, config::FileKind::start, folder);
  REQUIRE(findings.errors.size() == 1);
  CHECK(findings.errors[0].find("have the same server id") != std::string::npos);
  std::filesystem::remove_all(folder);
}

// ---- The table of workers --------------------------------------------------------------------------

TEST_CASE("a worker is spoken for only once it certainly does not run") {
  QuicSettings settings;
  settings.ids = {{0, 4, 6, ""}};
  IdCodec codec(settings.ids);
  using marblehub::policy::Health;
  std::unordered_map<std::string, core::Dispatcher::Worker> list;
  list["g-1"] = {"127.0.0.1:1001", Health::serving, 0};
  list["g-2"] = {"127.0.0.1:1002", Health::draining, 0};
  WorkerTable table;
  table.refresh(list, settings, settings.ids);
  auto of = [&](const char* name) {
    std::string id = codec.encode(0, default_server_id(name, 4), "nonce!");
    return table.of(*codec.decode(id, true));
  };
  CHECK(of("g-3") == nullptr);  // one that was never named may run: nothing is said of it
  WorkerTable::Worker* one = of("g-1");
  REQUIRE(one);
  REQUIRE(of("g-2"));
  CHECK_FALSE(table.dead(*one));
  CHECK_FALSE(table.dead(*of("g-2")));  // it drains, and is still reached
  table.closed(*one, kStart);
  CHECK(table.dead(*one));
  CHECK_FALSE(table.may_send(*one, kStart + kSecond / 10));
  CHECK(table.may_send(*one, kStart + kSecond / 2));  // one datagram, to see it come back
  CHECK_FALSE(table.may_send(*one, kStart + kSecond / 2));
  table.heard(*one);
  CHECK_FALSE(table.dead(*one));
  list["g-1"].health = Health::deleted;
  table.refresh(list, settings, settings.ids);
  CHECK(of("g-1") == one);
  CHECK(table.dead(*one));
  // Back under its name at another address: the front has to open its sockets anew.
  list["g-1"] = {"127.0.0.1:2001", Health::serving, 0};
  CHECK(table.refresh(list, settings, settings.ids) == std::vector<WorkerTable::Worker*>{one});
  CHECK_FALSE(table.dead(*one));
  // A replacement that is given a gone worker's id has it; two that run with one id have none.
  list["g-1"].health = Health::deleted;
  list["g-4"] = {"127.0.0.1:1004", Health::serving, 0};
  settings.workers["g-4"] = {default_server_id("g-1", 4), ""};
  table.refresh(list, settings, settings.ids);
  REQUIRE(of("g-1"));
  CHECK(of("g-1")->name == "g-4");
  list["g-1"].health = Health::serving;
  table.refresh(list, settings, settings.ids);
  CHECK(of("g-1") == nullptr);
}

}  // namespace marblehub::test
