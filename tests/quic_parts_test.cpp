// The second front's parts, free of sockets: ids, packets of both versions, Retry and tokens, resets, the
// PROXY header, settings, the table of workers. Vectors are those of the documents named beside them.
#include <fmt/format.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>

#include "application.h"
#include "config/json.h"
#include "quic/initial.h"
#include "quic/proxy_header.h"
#include "quic/settings.h"
#include "quic/stateless_reset.h"
#include "quic/validation.h"
#include "quic/worker_table.h"

namespace marblehub::test {
namespace {

using namespace quic;

constexpr std::int64_t kSecond = 1'000'000, kStart = 1'700'000'000 * kSecond;

std::string bytes(std::string_view text) { return *unhex(text); }

Endpoint at(const char* text) { return *Endpoint::parse(text); }

Header initial_of(std::string_view destination, std::string_view token = "",
                  std::uint32_t version = kVersion1) {
  Header header;
  header.kind = Kind::initial;
  header.version = version;
  header.destination = destination;
  header.source = "client";
  header.token = token;
  return header;
}

// The Retry that a client gets, taken apart as a client would.
struct Retried {
  Retried(AddressValidation& validation, const Header& initial, const Endpoint& from, std::int64_t now)
      : packet(validation.retry(initial, from, now)) {
    auto header = parse(packet);
    REQUIRE(header.has_value());
    REQUIRE(header->kind == Kind::retry);
    id = header->source;
    std::size_t token_at = 7 + header->destination.size() + header->source.size();
    token = packet.substr(token_at, packet.size() - token_at - 16);
  }
  std::string packet, id, token;
};

std::string temporary(const std::string& text, mode_t mode) {
  char path[] = "/tmp/marblehub-key-XXXXXX";
  ::close(mkstemp(path));
  std::ofstream(path) << text;
  ::chmod(path, mode);
  return path;
}

constexpr std::string_view kFile = R"({"enabled": true, "listen": "127.0.0.1:7443", "class": "telemetry",
  "deadline_ms": 3000, "idle_ms": 30000, "calls": 512, "paths": 512,
  "ids": [{"rotation": 0, "server_id_length": 4, "nonce_length": 6, "key": ""}]%s})";

std::string file_with(std::string_view more) {
  std::string text(kFile);
  return text.replace(text.find("%s"), 2, more);
}

std::string refusal_of(const std::string& text) {
  config::Options options = config::flatten(text, "quic.json: ");
  try {
    quic_settings_from(options);
  } catch (const config::DecodeError& error) {
    return error.what();
  }
  return "";
}

}  // namespace

// ---- Connection ids --------------------------------------------------------------------------------

TEST_CASE("four passes give the ids of the draft's examples") {
  struct Example {
    const char *key, *server_id, *nonce, *id;
  };
  for (const Example& e :
       {Example{"8f95f09245765f80256934e50c66207f", "ed793a", "ee080dbf", "0720b1d07b359d3c"},
        {"fdf726a9893ec05c0632d3956680baf0", "31441a", "9c69c275", "0767947d29be054a"}}) {
    IdConfig config{0, 3, 4, bytes(e.key)};
    IdCodec codec({config});
    CHECK(hex(codec.encode(0, bytes(e.server_id), bytes(e.nonce))) == e.id);
    std::string id = bytes(e.id);
    auto decoded = codec.decode(id, true);
    REQUIRE(decoded.has_value());
    CHECK(hex(decoded->server_id) == e.server_id);
    CHECK(hex(codec.nonce_of(*decoded)) == e.nonce);
  }
}

TEST_CASE("ids of every length come back, and show neither server id nor a twin's octets") {
  std::mt19937 random(7);
  auto octets = [&](std::size_t n) {
    std::string out(n, '\0');
    for (char& c : out) c = static_cast<char>(random());
    return out;
  };
  int lengths = 0;
  for (std::size_t server = 1; server <= 15; ++server)
    for (std::size_t nonce = 4; server + nonce <= 19; ++nonce, ++lengths) {
      INFO(server << " and " << nonce);
      unsigned rotation = static_cast<unsigned>(lengths % 7);
      IdCodec codec({{rotation, server, nonce, octets(16)}});
      std::string server_id = octets(server), first_nonce = octets(nonce), second_nonce = first_nonce;
      second_nonce.back() = static_cast<char>(second_nonce.back() ^ 1);
      std::string id = codec.encode(rotation, server_id, first_nonce);
      std::string twin = codec.encode(rotation, server_id, second_nonce);
      CHECK(id.size() == 1 + server + nonce);
      std::string packet = id + "payload";
      auto decoded = codec.decode(packet, false);
      REQUIRE(decoded.has_value());
      CHECK(decoded->server_id == server_id);
      CHECK(codec.nonce_of(*decoded) == first_nonce);
      CHECK(decoded->id == id);
      // One bit of the nonce changes the whole of what is sealed: no part of it stands there in the clear.
      int same = 0;
      for (std::size_t i = 1; i < id.size(); ++i) same += id[i] == twin[i];
      CHECK(same <= 2);
    }
  CHECK(lengths == 120);
}

TEST_CASE("an id whose first octet tells no length is taken by its rotation alone") {
  IdConfig config{1, 4, 6, std::string(16, 'k'), false};
  IdCodec codec({config});
  std::set<char> firsts;
  for (int i = 0; i < 64; ++i) {
    std::string id = codec.encode(1, "WXYZ", "nonce!");
    firsts.insert(id[0]);
    CHECK(codec.decode(id, true)->server_id == "WXYZ");
  }
  CHECK(firsts.size() > 8);  // the five bits are random
}

TEST_CASE("configs are retired, come back, and never share a rotation with other contents") {
  IdConfig a{0, 4, 6, ""}, b{1, 4, 6, std::string(16, 'k')}, other{0, 4, 6, std::string(16, 'x')};
  IdConfigs configs({a});
  CHECK(configs.conflict({a, b}).empty());
  CHECK(configs.conflict({other}).find("rotation 0 is in force") != std::string::npos);
  configs.replace({a, b}, kStart, 10 * kSecond);  // learnt before workers use it
  configs.replace({b}, kStart, 10 * kSecond);
  std::string old_id = IdCodec({a}).encode(0, "WXYZ", "nonce!");
  CHECK(configs.retiring() == 1);
  CHECK(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).find("rotation 0 is still being retired") != std::string::npos);
  CHECK(configs.conflict({b, a}).empty());  // the same contents may come back
  CHECK_FALSE(configs.expire(kStart + 9 * kSecond));
  CHECK(configs.expire(kStart + 10 * kSecond));
  CHECK_FALSE(configs.codec().decode(old_id, true).has_value());
  CHECK(configs.conflict({b, other}).empty());
}

// ---- Packets ---------------------------------------------------------------------------------------

TEST_CASE("version 2 has the keys of RFC 9369, appendix A") {
  InitialKeys client = initial_keys(bytes("8394c8f03e515708"), false, kVersion2);
  CHECK(hex(client.key) == "8b1a0bc121284290a29e0971b5cd045d");
  CHECK(hex(client.iv) == "91f73e2351d8fa91660e909f");
  CHECK(hex(client.hp) == "45b95e15235d6f45a6b19cbcb0294ba9");
  InitialKeys server = initial_keys(bytes("8394c8f03e515708"), true, kVersion2);
  CHECK(hex(server.key) == "82db637861d55e1d011f19ea71d5d2a7");
  CHECK(hex(server.iv) == "dd13c276499c0249d3310652");
  CHECK(hex(server.hp) == "edf6d05c83121201b436e16877593c3a");
  std::string sealed = seal_initial(client, "destination", "source", 3, "frames of some length", kVersion2);
  CHECK(parse(sealed)->kind == Kind::initial);
  CHECK((static_cast<unsigned char>(sealed[0]) >> 4 & 3) == 1);  // 3.2: its type is 0b01
  CHECK(open_initial(client, sealed) == "frames of some length");
  CHECK_FALSE(open_initial(initial_keys(bytes("8394c8f03e515708"), false, kVersion1), sealed).has_value());
}

TEST_CASE("a Retry has the tag of RFC 9001, A.4, and of RFC 9369, A.4") {
  std::string original = bytes("8394c8f03e515708"), source = bytes("f067a5502a4262b5");
  // The first octet's low bits are unused and differ there: the tag covers them.
  std::string v1 = bytes("ff000000010008f067a5502a4262b5746f6b656e04a265ba2eff4d829058fb3f0f2496ba");
  std::string v2 = bytes("cf6b3343cf0008f067a5502a4262b5746f6b656ec8646ce8bfe33952d955543665dcc7b6");
  for (const std::string& packet : {v1, v2}) {
    CHECK(retry_is_authentic(packet, original));
    CHECK_FALSE(retry_is_authentic(packet, bytes("8394c8f03e515709")));
    std::string changed = packet;
    changed[16] = static_cast<char>(changed[16] ^ 1);
    CHECK_FALSE(retry_is_authentic(changed, original));
  }
  for (std::uint32_t version : {kVersion1, kVersion2}) {
    std::string made = retry_packet(version, "", source, "token", original);
    CHECK(parse(made)->kind == Kind::retry);
    CHECK(parse(made)->source == source);
    CHECK(retry_is_authentic(made, original));
  }
}

TEST_CASE("packets coalesced behind another's are cut off, the rest is passed on") {
  InitialKeys keys = initial_keys("destination", false);
  std::string one = seal_initial(keys, "destination", "source", 0, std::string(300, '\0'));
  std::string two = seal_initial(keys, "destination", "source", 1, std::string(300, '\0'));
  std::string foreign = seal_initial(keys, "another one", "source", 1, std::string(300, '\0'));
  auto sound = [&](const std::string& datagram) { return sound_length(datagram, *parse(datagram)); };
  CHECK(sound(one) == one.size());
  CHECK(sound(one + two) == one.size() + two.size());
  CHECK(sound(one + foreign) == one.size());
  CHECK(sound(one + foreign + two) == one.size());
  CHECK(sound(one + two + foreign) == one.size() + two.size());
  CHECK(sound(one + "\x40" + "destination" + std::string(30, 'x')) == one.size() + 42);
  CHECK(sound(one + "\x40" + "another one" + std::string(30, 'x')) == one.size());
  CHECK(sound(one + std::string(50, '\0')) == one.size() + 50);  // padding outside of packets
  std::string second = seal_initial(keys, "destination", "source", 1, std::string(300, '\0'), kVersion2);
  CHECK(sound(one + second) == one.size());
}

// ---- Address validation ----------------------------------------------------------------------------

TEST_CASE("a token counts once, in time, for its own address and id") {
  AddressValidation validation({.mode = RetryMode::always});
  using Verdict = AddressValidation::Verdict;
  Endpoint home = at("127.0.0.1:4000"), away = at("127.0.0.1:4001");
  Header first = initial_of("original id");
  CHECK(validation.judge(first, home, kStart).verdict == Verdict::ask);
  Retried retried(validation, first, home, kStart);
  CHECK(retry_is_authentic(retried.packet, "original id"));
  CHECK(unroutable(retried.id));
  Header second = initial_of(retried.id, retried.token);

  SECTION("taken, then replayed") {
    auto judged = validation.judge(second, home, kStart + kSecond);
    CHECK(judged.verdict == Verdict::take);
    REQUIRE(judged.token.has_value());
    CHECK(judged.token->original == "original id");
    CHECK(judged.token->retry == retried.id);
    CHECK(validation.judge(second, home, kStart + 2 * kSecond).verdict == Verdict::refuse);
  }
  SECTION("late") { CHECK(validation.judge(second, home, kStart + 11 * kSecond).verdict == Verdict::refuse); }
  SECTION("another address") {
    CHECK(validation.judge(second, away, kStart + kSecond).verdict == Verdict::refuse);
  }
  SECTION("another id") {
    CHECK(validation.judge(initial_of("another id", retried.token), home, kStart + kSecond).verdict ==
          Verdict::refuse);
  }
  SECTION("changed at any octet") {
    for (std::size_t i = 4; i < retried.token.size(); ++i) {
      std::string changed = retried.token;
      changed[i] = static_cast<char>(changed[i] ^ 0x20);
      INFO(i);
      CHECK(validation.judge(initial_of(retried.id, changed), home, kStart + kSecond).verdict ==
            Verdict::refuse);
    }
  }
  SECTION("a worker's own NEW_TOKEN counts as none") {
    CHECK(validation.judge(initial_of("original id", "a token of a worker's"), home, kStart).verdict ==
          Verdict::ask);
  }
}

TEST_CASE("tokens outlive one change of their key and hold at every router with the same secret") {
  ValidationSettings settings{.mode = RetryMode::always,
                              .token_life = 10 * kSecond,
                              .key_life = 20 * kSecond,
                              .secret = std::string(16, 's')};
  AddressValidation one(settings), other(settings);
  settings.secret = std::string(16, 't');
  AddressValidation foreign(settings);
  Endpoint home = at("[::1]:4000");
  std::int64_t before =
      (kStart / (20 * kSecond) + 1) * 20 * kSecond - kSecond;  // the key changes in a second
  Retried retried(one, initial_of("original id"), home, before);
  Header second = initial_of(retried.id, retried.token);
  using Verdict = AddressValidation::Verdict;
  CHECK(foreign.judge(second, home, before).verdict == Verdict::refuse);
  CHECK(other.judge(second, home, before + 2 * kSecond).verdict == Verdict::take);
  TokenSealer sealer(std::string(16, 's'), 20 * kSecond);
  CHECK(sealer.open(retried.token, home, before + 2 * kSecond).has_value());
  CHECK_FALSE(sealer.open(retried.token, home, before + 25 * kSecond).has_value());  // two keys later
}

TEST_CASE("Retry is asked for from a rate of unvalidated Initials on, and no longer below half of it") {
  AddressValidation validation({.mode = RetryMode::from_rate, .from_rate = 100});
  Endpoint home = at("127.0.0.1:4000");
  auto second_of = [&](int second, int initials) {
    int asked = 0;
    for (int i = 0; i < initials; ++i)
      asked += validation
                   .judge(initial_of("original id"), home, kStart + second * kSecond + i * kSecond / initials)
                   .verdict == AddressValidation::Verdict::ask;
    return asked;
  };
  CHECK(second_of(0, 80) == 0);
  CHECK(second_of(1, 90) == 0);
  CHECK(second_of(2, 400) > 250);
  CHECK(validation.asking());
  CHECK(second_of(3, 70) == 70);  // over half: it stays on
  second_of(4, 20);
  CHECK(second_of(5, 20) == 0);
  CHECK_FALSE(validation.asking());
  // Under never, no flood turns it on.
  AddressValidation never({.mode = RetryMode::never});
  for (int i = 0; i < 5000; ++i)
    CHECK(never.judge(initial_of("original id"), home, kStart).verdict == AddressValidation::Verdict::take);
}

// ---- Stateless resets ------------------------------------------------------------------------------

TEST_CASE("a stateless reset is shorter than what came, carries the token and is bounded in rate") {
  std::string key(16, 'r');
  StatelessReset reset(key, 5);
  for (std::size_t received : {22u, 30u, 44u, 1200u}) {
    auto packet = reset.answer("connection", received, kStart);
    REQUIRE(packet.has_value());
    CHECK(packet->size() >= 21);
    CHECK(packet->size() < received);
    CHECK((static_cast<unsigned char>((*packet)[0]) & 0xc0) == 0x40);
    CHECK(packet->substr(packet->size() - 16) == reset_token(key, "connection"));
  }
  CHECK_FALSE(reset.answer("connection", 21, kStart).has_value());
  CHECK(reset.answer("connection", 100, kStart).has_value());
  CHECK_FALSE(reset.answer("connection", 100, kStart).has_value());  // five were all
  CHECK(reset.answer("connection", 100, kStart + kSecond / 4).has_value());
  CHECK_FALSE(StatelessReset("", 5).answer("connection", 100, kStart).has_value());
  CHECK(reset_token(key, "a") != reset_token(key, "b"));
}

// ---- The PROXY header ------------------------------------------------------------------------------

TEST_CASE("the PROXY header is that of the specification, and comes back") {
  std::array<char, kLongestProxyHeader> out;
  std::size_t size = write_proxy_header(out, {false, at("10.1.2.3:4000"), at("127.0.0.1:7443"), {}, {}});
  CHECK(hex(std::string_view(out.data(), size)) ==
        "0d0a0d0a000d0a515549540a"  // the signature
        "2112000c"                  // version 2, PROXY; AF_INET, DGRAM; 12 octets
        "0a0102037f0000010fa01d13");
  size = write_proxy_header(out, {false, at("[2001:db8::1]:4000"), at("[::1]:7443"), "original", "retry"});
  std::string datagram = std::string(out.data(), size) + "payload";
  std::string_view rest = datagram;
  auto header = take_proxy_header(rest);
  REQUIRE(header.has_value());
  CHECK(rest == "payload");
  CHECK(header->source == at("[2001:db8::1]:4000"));
  CHECK(header->destination == at("[::1]:7443"));
  CHECK(header->original_id == "original");
  CHECK(header->retry_id == "retry");
  for (std::size_t cut = 0; cut < size; ++cut) {
    std::string_view part = std::string_view(datagram).substr(0, cut);
    INFO(cut);
    CHECK_FALSE(take_proxy_header(part).has_value());
  }
  size = write_proxy_header(out, {true, {}, {}, {}, {}});
  rest = std::string_view(out.data(), size);
  CHECK(take_proxy_header(rest)->local);
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
  std::string start = config::starting_file(config::applications()[0]);
  auto replace = [&start](std::string_view what, const std::string& with) {
    start.replace(start.find(what), what.size(), with);
  };
  replace("deploy/quic.json", path);
  replace("\"endpoints\": []",
          R"("endpoints": [{"name": "g-1", "status": "ready"}, {"name": "g-2", "status": "ready"}])");
  config::Findings findings = config::check(start, config::FileKind::start, folder);
  REQUIRE(findings.errors.size() == 1);
  CHECK(findings.errors[0].find("come to the same server id") != std::string::npos);
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
