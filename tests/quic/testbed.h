// Stand-in QUIC peers round the started program: workers, clients, a registry.
#pragma once

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

inline const std::vector<IdConfig> kIds = {{2, 4, 6, ""}};

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
      if (header->type == PacketType::initial) {
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
        if (header->type == PacketType::initial) {
          auto frames = open_initial(initial_keys(first, true), *bytes);
          if (!frames) continue;
          if ((*frames)[0] == '\x1c') {
            closes += 1;
            close_frames = *frames;
          } else {
            ups += 1;
            id = header->source;
          }
        } else if (header->type == PacketType::short_header) {
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

}  // namespace marblehub::test
