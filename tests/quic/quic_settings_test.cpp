// The PROXY header, the settings of the QUIC front and its table of workers.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- The PROXY header ------------------------------------------------------------------------------

TEST_CASE("the PROXY header has the specified bytes and parses to the same fields") {
  std::array<char, kMaxProxyHeaderSize> out;
  std::size_t size = write_proxy_header(out, {false, at("10.1.2.3:4000"), at("127.0.0.1:7443"), {}, {}});
  CHECK(hex(std::string_view(out.data(), size)) ==
        "0d0a0d0a000d0a515549540a"  // the signature
        "2112000c"                  // version 2, PROXY; AF_INET, DGRAM; 12 bytes
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

TEST_CASE("errors in quic.json name the setting and never contain a secret key") {
  CHECK(settings_error(quic_json_with("")).empty());
  auto check_error = [](std::string_view more, std::string_view key, std::string_view expected) {
    std::string message = settings_error(quic_json_with(more));
    INFO(more << " -> " << message);
    CHECK(message.find("setting " + std::string(key) + ": expected ") != std::string::npos);
    CHECK(message.find(expected) != std::string::npos);
  };
  check_error(R"(, "forwarding": "proxy")", "forwarding", "socket, proxy-v2");
  check_error(R"(, "versions": ["1", "3"])", "versions", "1 and 2");
  check_error(R"(, "retire_ms": 0)", "retire_ms", "1 or more");
  check_error(R"(, "retry": {"mode": "sometimes"})", "retry.mode", "never, always, from_rate");
  check_error(R"(, "retry": {"from_rate": 0})", "retry.from_rate", "1");
  check_error(R"(, "retry": {"token_ms": 5000, "key_ms": 4000})", "retry.key_ms", "retry.token_ms");
  check_error(R"(, "retry": {"key": "c0ffee"})", "retry.key", "32 hexadecimal digits");
  check_error(R"(, "reset": {"key": "c0ffee"})", "reset.key", "32 hexadecimal digits");
  check_error(R"(, "reset": {"key": "no hex at all"})", "reset.key", "hexadecimal digits");
  check_error(R"(, "reset": {"per_second": 0})", "reset.per_second", "1");
  check_error(R"(, "workers": [{"name": "g-1", "address": "somewhere"}])", "workers.0.address", "port");
  check_error(R"(, "workers": [{"name": "g-1", "server_id": "01"}, {"name": "g-2", "server_id": "01"}])",
              "workers.1.server_id", "g-1");
  check_error(R"(, "reset": {"key_file": "/nonexistent"})", "reset.key_file", "a file that can be read");
  std::string secret = "00112233445566778899aabbccddeeff";
  std::string world_readable = temporary_file(secret + "\n", 0644),
              private_file = temporary_file(secret + "\n", 0600),
              not_hex = temporary_file("secret words", 0600);
  check_error(fmt::format(R"(, "reset": {{"key_file": "{}"}})", world_readable), "reset.key_file",
              "chmod 600");
  check_error(fmt::format(R"(, "reset": {{"key_file": "{}"}})", not_hex), "reset.key_file",
              "hexadecimal digits");
  check_error(fmt::format(R"(, "reset": {{"key": "{}", "key_file": "{}"}})", secret, private_file),
              "reset.key_file", "no reset.key beside it");
  CHECK(settings_error(quic_json_with(fmt::format(R"(, "reset": {{"key": "{}", "key_file": "{}"}})", secret,
                                                  private_file)))
            .find(secret) == std::string::npos);
  config::Options options =
      config::flatten(quic_json_with(fmt::format(R"(, "reset": {{"key_file": "{}"}})", private_file)), "");
  CHECK(hex(quic_settings_from(options).reset_key) == secret);
  CHECK(options.unread().empty());
  for (const std::string& path : {world_readable, private_file, not_hex}) std::remove(path.c_str());
}

TEST_CASE("conflicting server ids are found before a file is loaded") {
  QuicSettings settings;
  settings.ids = {{0, 1, 4, ""}};
  std::vector<std::string> names;
  for (int i = 0; i < 257; ++i) names.push_back(fmt::format("g-{}", i));
  REQUIRE(server_id_conflicts(settings, names).size() == 1);
  CHECK(server_id_conflicts(settings, names)[0].find("256 workers") != std::string::npos);
  names.resize(40);  // 40 of 256 values: two workers have the same one
  auto conflicts = server_id_conflicts(settings, names);
  REQUIRE_FALSE(conflicts.empty());
  CHECK(conflicts[0].starts_with("ids.0.server_id_length: g-"));
  settings.ids = {{0, 4, 6, ""}};
  CHECK(server_id_conflicts(settings, names).empty());
  settings.workers["g-7"] = {default_server_id("g-8", 4), ""};
  CHECK(server_id_conflicts(settings, names).size() == 1);

  // The check of a sample configuration together with its quic.json finds the conflict.
  char folder[] = "/tmp/marblehub-conflict-XXXXXX";
  REQUIRE(mkdtemp(folder));
  std::string path = std::string(folder) + "/quic.json";
  std::ofstream(path) << quic_json_with(R"(, "workers": [{"name": "g-1", "server_id": ")" +
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

TEST_CASE("the balancer answers for a worker only if it certainly does not run") {
  QuicSettings settings;
  settings.ids = {{0, 4, 6, ""}};
  IdCodec codec(settings.ids);
  using marblehub::policy::Health;
  std::unordered_map<std::string, core::Dispatcher::Worker> list;
  list["g-1"] = {"127.0.0.1:1001", Health::serving, 0};
  list["g-2"] = {"127.0.0.1:1002", Health::draining, 0};
  WorkerTable table;
  table.refresh(list, settings, settings.ids);
  auto worker_of = [&](const char* name) {
    std::string id = codec.encode(0, default_server_id(name, 4), "nonce!");
    return table.find_by_id(*codec.decode(id, true));
  };
  CHECK(worker_of("g-3") == nullptr);  // never listed by the registry: it may run
  WorkerTable::Worker* worker = worker_of("g-1");
  REQUIRE(worker);
  REQUIRE(worker_of("g-2"));
  CHECK_FALSE(table.is_unreachable(*worker));
  CHECK_FALSE(table.is_unreachable(*worker_of("g-2")));  // a draining worker is still reachable
  table.mark_port_closed(*worker, kStart);
  CHECK(table.is_unreachable(*worker));
  CHECK_FALSE(table.may_send(*worker, kStart + kSecond / 10));
  CHECK(table.may_send(*worker, kStart + kSecond / 2));  // one datagram, to detect that it runs again
  CHECK_FALSE(table.may_send(*worker, kStart + kSecond / 2));
  table.mark_port_open(*worker);
  CHECK_FALSE(table.is_unreachable(*worker));
  list["g-1"].health = Health::deleted;
  table.refresh(list, settings, settings.ids);
  CHECK(worker_of("g-1") == worker);
  CHECK(table.is_unreachable(*worker));
  // Listed again at another address: refresh() returns it, so that the front reopens its sockets.
  list["g-1"] = {"127.0.0.1:2001", Health::serving, 0};
  CHECK(table.refresh(list, settings, settings.ids) == std::vector<WorkerTable::Worker*>{worker});
  CHECK_FALSE(table.is_unreachable(*worker));
  // A server id of a deleted worker goes to its replacement; an id of two running workers names neither.
  list["g-1"].health = Health::deleted;
  list["g-4"] = {"127.0.0.1:1004", Health::serving, 0};
  settings.workers["g-4"] = {default_server_id("g-1", 4), ""};
  table.refresh(list, settings, settings.ids);
  REQUIRE(worker_of("g-1"));
  CHECK(worker_of("g-1")->name == "g-4");
  list["g-1"].health = Health::serving;
  table.refresh(list, settings, settings.ids);
  CHECK(worker_of("g-1") == nullptr);
}

}  // namespace marblehub::test
