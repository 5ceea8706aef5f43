// The second front: its parts against public test vectors, and the whole path with stand-in QUIC peers that
// change their addresses under load while a worker drains.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "quic/initial.h"
#include "quic/settings.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

using namespace quic;

// ---- Stand-ins -------------------------------------------------------------------------------------

struct Udp {
  Udp() : fd(bound(SOCK_DGRAM | SOCK_NONBLOCK)) {}
  Udp(const Udp&) = delete;
  ~Udp() { ::close(fd); }
  void send(const std::string& bytes, const sockaddr_in& to) const {
    ::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  std::optional<std::string> receive(sockaddr_in* from = nullptr) const {
    char buffer[2048];
    sockaddr_in a{};
    socklen_t size = sizeof a;
    ssize_t n = ::recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&a), &size);
    if (n < 0) return std::nullopt;
    if (from) *from = a;
    return std::string(buffer, static_cast<std::size_t>(n));
  }
  int fd;
};

const std::vector<IdConfig> kIds = {{2, 4, 6, ""}};

// A worker that answers Initials and, on short headers, each numbered request once, at its client's latest
// address. LOCK is answered only after a while, as a lock takes a while to close.
struct Worker {
  explicit Worker(std::string n) : name(std::move(n)), server_id(default_server_id(name, 4)) {}

  void serve() {
    sockaddr_in from{};
    while (auto bytes = udp.receive(&from)) {
      if (bytes->starts_with("\x04MARBLE1 ")) {
        std::string words = bytes->substr(9);
        if (words.starts_with("MOVE ")) {
          moves.insert(words.substr(5));
          udp.send("\x04MARBLE1 END " + words.substr(5), from);
        }
        continue;
      }
      auto header = parse(*bytes);
      if (!header) continue;
      if (header->kind == Kind::initial) {
        initials += 1;
        if (mute) continue;
        std::string first(header->destination);
        if (busy) {
          udp.send("\x04MARBLE1 BUSY " + hex(first), from);
          continue;
        }
        if (!open_initial(initial_keys(first, false), *bytes)) continue;
        std::string id = make_id();
        clients[id] = {std::string(header->source), from};
        udp.send(seal_initial(initial_keys(first, true), header->source, id, 0, std::string(40, '\1')), from);
        continue;
      }
      std::string id(header->destination.substr(0, 11)), request(header->destination.substr(11));
      if (!clients.count(id)) continue;
      clients[id].second = from;
      if (request.starts_with("LOCK")) {
        locks.push_back({now_ms() + 80, id, request});
      } else if (!request.starts_with("TOUCH")) {
        answer(id, request);
      }
    }
    for (auto it = locks.begin(); it != locks.end();) {
      if (it->at > now_ms()) {
        ++it;
        continue;
      }
      answer(it->id, it->request);
      it = locks.erase(it);
    }
  }
  std::string make_id() { return IdCodec(kIds).encode(2, server_id, fmt::format("{:06}", ++made)); }
  // Each answer carries a fresh id of the same worker, as NEW_CONNECTION_ID would.
  void answer(const std::string& id, const std::string& request) {
    std::string next = make_id();
    clients[next] = clients[id];
    auto& [client, to] = clients[id];
    answers += 1;
    udp.send("\x40" + client + next + request, to);
  }

  struct Lock {
    std::int64_t at;
    std::string id, request;
  };
  Udp udp;
  std::string name, server_id;
  bool mute = false, busy = false;
  int initials = 0, answers = 0, made = 0;
  std::map<std::string, std::pair<std::string, sockaddr_in>> clients;  // by id: the client's own id, address
  std::vector<Lock> locks;
  std::set<std::string> moves;
};

struct Client {
  explicit Client(int number, int port) : router(loopback(port)) {
    source = fmt::format("c{:07}", number);
    first = fmt::format("\xe0{:07}", number);  // 0xe0: the rotation that names no worker
  }
  void open() {
    std::string frames = std::string("\x06\x00\x40\x05hello", 9) + std::string(1200, '\0');
    udp->send(seal_initial(initial_keys(first, false), first, source, 0, frames), router);
  }
  void change_address() {
    old.push_back(std::move(udp));  // kept: a late answer to it would be seen
    udp = std::make_unique<Udp>();
  }
  void request(const std::string& words) {
    udp->send("\x40" + id + words, router);
    asked += !words.starts_with("TOUCH");
  }
  void serve() {
    auto take = [this](const Udp& from) {
      while (auto bytes = from.receive()) {
        auto header = parse(*bytes);
        if (!header) continue;
        if (header->kind == Kind::initial) {
          auto frames = open_initial(initial_keys(first, true), *bytes);
          if (!frames) continue;
          if ((*frames)[0] == '\x1c') {
            closes += 1;
            close_frames = *frames;
          } else {
            ups += 1;
            id = header->source;
          }
        } else if (header->kind == Kind::short_header) {
          next_id = bytes->substr(9, 11);
          answers[bytes->substr(20)] += 1;
        }
      }
    };
    take(*udp);
    for (auto& socket : old) take(*socket);
  }
  sockaddr_in router;
  std::unique_ptr<Udp> udp = std::make_unique<Udp>();
  std::vector<std::unique_ptr<Udp>> old;
  std::string source, first, id, next_id, close_frames;
  int ups = 0, closes = 0, asked = 0;
  std::map<std::string, int> answers;
};

struct Scene {
  explicit Scene(std::vector<std::string> names, int deadline_ms = 1500, rlim_t files = 1024) {
    registry = bound(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(registry, 8);
    json known = json::array();
    for (auto& name : names) {
      workers.push_back(std::make_unique<Worker>(name));
      known.push_back(entry(*workers.back(), "ready"));
    }
    port = free_port(SOCK_DGRAM);
    char path[] = "/tmp/marblehub-quic-XXXXXX";
    ::close(mkstemp(path));
    file = path;
    std::ofstream(file) << json{
        {"enabled", true},
        {"listen", text_of(port)},
        {"class", "telemetry"},
        {"deadline_ms", deadline_ms},
        {"idle_ms", 30000},
        {"calls", 200},
        {"paths", 400},
        {"ids", json::array({{{"rotation", 2}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}}})}};
    json s = settings();
    s["limits"]["probes"] = false;  // these stand-ins speak QUIC only
    program = std::make_unique<Program>(known, s, port_of(registry), file, "/nonexistent", files);
  }
  ~Scene() {
    ::close(registry);
    if (call >= 0) ::close(call);
    std::remove(file.c_str());
  }
  static json entry(const Worker& w, const char* status) {
    return {{"name", w.name}, {"address", text_of(port_of(w.udp.fd))},
            {"zone", "a"},    {"type", "m"},
            {"group", 0},     {"status", status},
            {"weight", 1.0},  {"since_ms", 0}};
  }
  Client& client() {
    clients.push_back(std::make_unique<Client>(static_cast<int>(clients.size()) + 1, port));
    return *clients.back();
  }
  void run(
      int ms, const std::function<bool()>& done = [] { return false; }) {
    for (std::int64_t end = now_ms() + ms; now_ms() < end && !done(); usleep(500)) {
      for (auto& w : workers) w->serve();
      for (auto& c : clients) c->serve();
      int fd = ::accept4(registry, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd >= 0) call = fd;
      if (call >= 0 && !news.empty()) {
        std::string body =
            json{{"index", 9}, {"snapshot", false}, {"endpoints", std::exchange(news, {})}}.dump();
        std::string text =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        ::send(call, text.data(), text.size(), MSG_NOSIGNAL);
      }
    }
  }
  double counter(const std::string& name) {
    program->signal(SIGUSR1);
    run(100);
    return program->counter(name);
  }

  int registry, call = -1, port;
  json news = json::array();
  std::string file;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Client>> clients;
  std::unique_ptr<Program> program;
};

}  // namespace

TEST_CASE("Initial keys are those of RFC 9001, appendix A") {
  InitialKeys client = initial_keys(*unhex("8394c8f03e515708"), false);
  CHECK(hex(client.key) == "1f369613dd76d5467730efcbe3b1a22d");
  CHECK(hex(client.iv) == "fa044b2f42a3fd3b46fb255c");
  CHECK(hex(client.hp) == "9f50449e04a0e810283a1e9933adedd2");
  InitialKeys server = initial_keys(*unhex("8394c8f03e515708"), true);
  CHECK(hex(server.key) == "cf3a5331653c364c88f0f379b6067e37");
  CHECK(hex(server.iv) == "0ac1493ca1905853b0bba03e");
  CHECK(hex(server.hp) == "c206b8d9b9f0f37644430b490eeaa314");
  std::string sealed = seal_initial(server, "clientid", "serverid", 7, "frames of some length");
  CHECK(open_initial(server, sealed) == "frames of some length");
  sealed.back() ^= 1;
  CHECK_FALSE(open_initial(server, sealed).has_value());
}

TEST_CASE("connection ids carry rotation, length, server id and nonce") {
  IdCodec codec({{0, 2, 5, ""}, {3, 4, 12, std::string(16, 'k')}});
  std::string clear = codec.encode(0, "AB", "nonce"), sealed = codec.encode(3, "WXYZ", "twelve octet");
  CHECK(clear ==
        "\x07"
        "ABnonce");
  CHECK(static_cast<unsigned char>(sealed[0]) == (3 << 5 | 16));
  CHECK(sealed.find("WXYZ") == std::string::npos);
  CHECK(codec.decode(clear, true)->server_id == "AB");
  CHECK(codec.decode(sealed + "payload", false)->server_id == "WXYZ");
  CHECK(codec.decode(sealed + "payload", false)->id == sealed);
  CHECK_FALSE(codec.decode(clear + "x", true).has_value());
  CHECK_FALSE(codec.decode(clear.substr(0, 5), false).has_value());
  CHECK_FALSE(codec
                  .decode("\xe7"
                          "ABnonce",
                          true)
                  .has_value());
  CHECK(config_error({7, 4, 6, ""}).starts_with("rotation"));
  CHECK(config_error({0, 4, 6, std::string(15, 'k')}).starts_with("key"));
  CHECK(config_error({0, 10, 12, ""}).starts_with("nonce_length"));
}

TEST_CASE("addresses change under load while a worker drains; each request gets exactly one answer") {
  Scene scene({"g-1", "g-2", "g-3"});
  for (int i = 0; i < 40; ++i) scene.client().open();
  scene.run(3000, [&] {
    for (auto& c : scene.clients)
      if (c->ups == 0) return false;
    return true;
  });
  Worker& leaving = *scene.workers[0];
  std::set<std::string> of_leaving;
  for (auto& [id, client] : leaving.clients) of_leaving.insert(client.first);
  REQUIRE(of_leaving.size() >= 2);  // the blend spreads 40 over three
  scene.run(4200);                  // the module's first list call goes out within 4 s

  int initials_before = 0;
  for (int round = 0; round < 12; ++round) {
    for (auto& c : scene.clients) {
      if (round == 5 && of_leaving.count(c->source)) {  // on the worker that is about to drain
        c->request("LOCK " + std::to_string(round));
        c->change_address();
        c->request("TOUCH");  // the first packet from the new address, before the lock has answered
        continue;
      }
      if (round % 3 == 1) c->change_address();                        // the same id from another address ...
      if (round % 4 == 2 && !c->next_id.empty()) c->id = c->next_id;  // ... and a fresh id as well
      c->request("REQ " + std::to_string(round));
    }
    if (round == 4) {
      initials_before = leaving.initials;
      scene.news.push_back(Scene::entry(leaving, "draining"));
      scene.run(400);
      for (int i = 0; i < 10; ++i) scene.client().open();
      scene.run(300);
    }
    scene.run(150);
  }
  scene.run(1500);
  for (auto& c : scene.clients) {
    INFO("client " << c->source);
    CHECK(c->ups == 1);
    CHECK(c->closes == 0);
    CHECK(static_cast<int>(c->answers.size()) == c->asked);
    for (auto& [request, times] : c->answers) {
      INFO(request);
      CHECK(times == 1);
    }
  }
  CHECK(leaving.initials == initials_before);        // nothing new to it
  CHECK(leaving.moves.size() >= of_leaving.size());  // and it was asked to move each of its clients
  CHECK(scene.counter("marblehub_quic_address_changes_total") > 100);
  CHECK(scene.counter("marblehub_quic_unknown_ids_total") == 0);
}

TEST_CASE("a call that no worker takes ends with a real CONNECTION_CLOSE, once and in time") {
  Scene scene({"g-1", "g-2"}, 700);
  SECTION("closed sockets") {
    scene.workers.clear();
    Client& c = scene.client();
    std::int64_t began = now_ms();
    c.open();
    scene.run(2000, [&] { return c.closes > 0; });
    CHECK(now_ms() - began < 750);
    scene.run(200);
    CHECK(c.closes == 1);
    CHECK(c.close_frames[1] == '\x02');  // CONNECTION_REFUSED
    CHECK(c.close_frames.find("come again after") != std::string::npos);
  }
  SECTION("silence until the deadline; a repeated Initial is the same call") {
    for (auto& w : scene.workers) w->mute = true;
    Client& c = scene.client();
    std::int64_t began = now_ms();
    c.open();
    scene.run(250);
    c.open();
    scene.run(2000, [&] { return c.closes > 0; });
    CHECK(now_ms() - began < 750);
    CHECK(c.closes == 1);
    CHECK(scene.counter("marblehub_calls_total") == 1);
    CHECK(scene.counter("marblehub_answers_total{answer=\"overload\"}") == 1);
  }
}

// One socket for each client: a crowd of Initials must neither end the program nor be held against workers.
TEST_CASE("out of descriptors, further Initials are closed at once and no worker is blamed") {
  Scene scene({"g-1"}, 1500, 24);
  for (int i = 0; i < 30; ++i) scene.client().open();
  int up = 0, closed = 0;
  scene.run(2500, [&] {
    up = closed = 0;
    for (auto& c : scene.clients) up += c->ups, closed += c->closes;
    return up + closed == 30;
  });
  CHECK(up >= 5);
  CHECK(closed >= 5);
  CHECK(up + closed == 30);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"not_sent\"}") > 0);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"connect_failed\"}") == 0);
}

TEST_CASE("a reload leaves QUIC connections as they are") {
  Scene scene({"g-1"});
  Client& client = scene.client();
  client.open();
  scene.run(2000, [&] { return client.ups == 1; });
  for (int i = 0; i < 3; ++i) {
    scene.program->signal(SIGHUP);
    client.request("R" + std::to_string(i));
    scene.run(300);
  }
  CHECK(client.answers == std::map<std::string, int>{{"R0", 1}, {"R1", 1}, {"R2", 1}});
  CHECK(scene.counter("marblehub_reloads_total{result=\"taken\"}") == 3);
}

TEST_CASE("a worker's refusal leads to another attempt") {
  Scene scene({"g-1", "g-2"});
  scene.workers[0]->busy = true;
  for (int i = 0; i < 10; ++i) scene.client().open();
  scene.run(2000);
  for (auto& c : scene.clients) CHECK(c->ups + c->closes == 1);
  CHECK(scene.workers[0]->initials > 0);
  CHECK(scene.counter("marblehub_attempt_results_total{outcome=\"full\"}") == scene.workers[0]->initials);
}

TEST_CASE("what is no QUIC, of another version or for nobody is dropped and counted") {
  Scene scene({"g-1"});
  Udp udp;
  sockaddr_in router = loopback(scene.port);
  Client& c = scene.client();
  std::string initial =
      seal_initial(initial_keys(c.first, false), c.first, c.source, 0, std::string(1200, '\0'));
  for (std::size_t cut = 0; cut < 40; ++cut) udp.send(initial.substr(0, cut), router);
  std::string small = seal_initial(initial_keys(c.first, false), c.first, c.source, 0, "tiny");
  udp.send(small, router);                                          // under 1,200 octets
  udp.send(std::string(1, '\x20') + std::string(50, 'x'), router);  // the fixed bit is not set
  std::string long_id = initial;
  long_id[5] = 21;
  udp.send(long_id, router);
  udp.send("\x40" + IdCodec(kIds).encode(2, "none", "nonce!") + "hello", router);
  udp.send("\x40" + std::string(30, '\xff'), router);
  std::string other = initial;
  other[4] = 9;
  udp.send(other, router);
  udp.send(other.substr(0, 300), router);
  scene.run(300);
  auto answer = udp.receive();
  REQUIRE(answer.has_value());  // version negotiation, the ids the other way round; nothing else is answered
  auto header = parse(*answer);
  CHECK(header->kind == Kind::negotiation);
  CHECK(header->destination == c.source);
  CHECK(header->source == c.first);
  std::string offers = answer->substr(answer->size() - 12);
  CHECK(offers.substr(0, 8) == std::string("\0\0\0\1\x6b\x33\x43\xcf", 8));
  for (char c : offers.substr(8)) CHECK((c & 0x0f) == 0x0a);  // one that is reserved
  CHECK_FALSE(udp.receive().has_value());
  CHECK(scene.counter("marblehub_quic_malformed_total") >= 40);
  CHECK(scene.counter("marblehub_quic_unknown_ids_total") == 3);
  CHECK(scene.counter("marblehub_quic_unknown_versions_total") == 2);
  CHECK(scene.counter("marblehub_calls_total") == 0);
  c.open();  // and it still serves
  scene.run(1000, [&] { return c.ups > 0; });
  CHECK(c.ups == 1);
}

}  // namespace marblehub::test
