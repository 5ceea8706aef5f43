// Stub QUIC workers and clients and a stub registry around the started program.
#pragma once

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "quic/initial.h"
#include "quic/proxy_header.h"
#include "quic/settings.h"
#include "quic/validation.h"
#include "support/program.h"

namespace marblehub::test {

using namespace quic;

// ---- Stub peers ------------------------------------------------------------------------------------

/// A nonblocking UDP socket on a loopback port of its own.
struct UdpSocket {
  UdpSocket() : fd(bound_socket(SOCK_DGRAM | SOCK_NONBLOCK)) {}
  UdpSocket(const UdpSocket&) = delete;
  ~UdpSocket() { ::close(fd); }
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

/// A worker that accepts Initials and answers each request in a short-header packet once, at its client's
/// latest address: LOCK after 80 ms, TOUCH never, others at once.
struct StubWorker {
  // Where a client is reached: by the router's socket, behind which the PROXY header names the client.
  struct Peer {
    sockaddr_in router{};
    std::optional<Endpoint> client;  // with proxy-v2 only
  };

  explicit StubWorker(std::string n) : name(std::move(n)), server_id(default_server_id(name, 4)) {}

  void process() {
    Peer from;
    while (auto datagram = udp.receive(&from.router)) {
      std::string_view bytes = *datagram;
      if (behind_proxy) {
        auto proxy = consume_proxy_header(bytes);
        if (!proxy) continue;
        from.client = proxy->source;
      }
      receive(std::string(bytes), from);
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
  void receive(const std::string& bytes, const Peer& from) {
    if (bytes.starts_with("\x04MARBLE1 ")) {
      std::string message = bytes.substr(9);
      if (!message.starts_with("MOVE ")) return;
      moves.insert(message.substr(5));
      return send("\x04MARBLE1 END " + message.substr(5), from);
    }
    auto header = parse(bytes);
    if (!header) return;
    if (header->type == PacketType::initial) return receive_initial(bytes, *header, from);
    if (header->type != PacketType::short_header) return;  // 0-RTT, which it has no keys for
    std::string id(header->destination.substr(0, 11)), request(header->destination.substr(11));
    if (!clients.count(id)) return;
    clients[id].second = from;
    if (request.starts_with("LOCK")) {
      locks.push_back({now_ms() + 80, id, request});
    } else if (!request.starts_with("TOUCH")) {
      answer(id, request);
    }
  }
  void receive_initial(const std::string& bytes, const Header& header, const Peer& from) {
    initial_count += 1;
    if (silent) return;
    std::string first(header.destination);
    if (busy) return send("\x04MARBLE1 BUSY " + hex(first), from);
    if (refuses) return send(connection_close_packet(header, kConnectionRefused, "busy"), from);
    if (sends_retry) {
      retry_id = make_id();
      return send(retry_packet(kVersion1, header.source, retry_id, "token", first), from);
    }
    if (!open_initial(initial_keys(first, false), bytes)) return;
    std::string id = make_id();
    clients[id] = {std::string(header.source), from};
    send(seal_initial(initial_keys(first, true), header.source, id, 0, std::string(40, '\1')), from);
  }
  void send(const std::string& bytes, const Peer& to) const {
    if (!to.client) return udp.send(bytes, to.router);
    std::array<char, kMaxProxyHeaderSize> header;
    std::size_t size =
        write_proxy_header(header, {false, *Endpoint::parse("127.0.0.1:1"), *to.client, {}, {}});
    udp.send(std::string(header.data(), size) + bytes, to.router);
  }
  std::string make_id() {
    std::string nonce = fmt::format("{:06}", ++issued_ids);
    if (!has_id_config) return "\xea" + name.substr(0, 3) + "-" + nonce;  // of the unroutable rotation
    return IdCodec(kIds).encode(2, server_id, nonce);
  }
  // Reports the end of the connection with this id, as seen at its client's latest address.
  void end(const std::string& id) { control("END", id, id); }
  // Sends a control message about the connection with the id `of`.
  void control(const std::string& verb, const std::string& of, const std::string& id,
               const std::string& more = "") {
    send("\x04MARBLE1 " + verb + " " + hex(id) + more, clients.at(of).second);
  }
  // Each answer carries a new connection id of the same worker, as a NEW_CONNECTION_ID frame would.
  void answer(const std::string& id, const std::string& request) {
    std::string next = make_id();
    clients[next] = clients[id];
    auto& [client, to] = clients[id];
    answers += 1;
    send("\x40" + client + next + request, to);
  }

  /// A LOCK request and the time at which it is answered.
  struct Lock {
    std::int64_t at;
    std::string id, request;
  };
  // Ends as a process that is killed: its port is closed, and what it was sent is lost.
  void crash() {
    port = port_of(udp.fd);
    ::close(std::exchange(udp.fd, -1));
  }

  UdpSocket udp;
  std::string name, server_id;
  int group = 0;  // the deduplication group
  int port = 0;   // of a worker that has crashed
  bool silent = false, busy = false, refuses = false, sends_retry = false;
  bool has_id_config = true, behind_proxy = false;
  std::string retry_id;  // the source id of the latest Retry
  int initial_count = 0, answers = 0, issued_ids = 0;
  std::map<std::string, std::pair<std::string, Peer>> clients;  // by connection id, with the client's own id
  std::vector<Lock> locks;
  std::set<std::string> moves;
};

/// A client that sends Initials and short-header requests and counts answers and closes on all its addresses.
struct StubClient {
  explicit StubClient(int number, int port) : balancer(loopback(port)) { renew(number); }
  // Begins anew, with ids of its own for this number.
  void renew(int number) {
    source = fmt::format("c{:07}", number);
    first = fmt::format("\xe0{:07}", number);  // 0xe0: the rotation of unroutable ids
    id.clear();
    established_count = 0;
  }
  void open() {
    std::string frames = std::string("\x06\x00\x40\x05hello", 9) + std::string(1200, '\0');
    udp->send(seal_initial(initial_keys(first, false), first, source, 0, frames), balancer);
  }
  void change_address() {
    previous_sockets.push_back(std::move(udp));  // still read, to detect answers to it
    udp = std::make_shared<UdpSocket>();
    if (sibling) sibling->udp = udp;
  }
  // Carries the other connection on this client's socket as well.
  void share_socket(StubClient& other) {
    other.udp = udp;
    other.sibling = this;
    sibling = &other;
  }
  void request(const std::string& message) {
    udp->send("\x40" + id + message, balancer);
    request_count += !message.starts_with("TOUCH");
  }
  void process() {
    auto process_socket = [this](const UdpSocket& from) {
      while (auto bytes = from.receive()) {
        if (!receive(*bytes) && sibling) sibling->receive(*bytes);
      }
    };
    process_socket(*udp);
    for (auto& socket : previous_sockets) process_socket(*socket);
  }
  // Returns whether the datagram is of this connection.
  bool receive(const std::string& bytes) {
    auto header = parse(bytes);
    if (!header || !header->destination.starts_with(source)) return false;
    if (header->type == PacketType::initial) {
      auto frames = open_initial(initial_keys(first, true), bytes);
      if (!frames) return false;
      if ((*frames)[0] == '\x1c') {
        close_count += 1;
        close_frames = *frames;
      } else {
        established_count += 1;
        id = header->source;
      }
    } else if (header->type == PacketType::short_header) {
      next_id = bytes.substr(9, 11);
      answers[bytes.substr(20)] += 1;
    }
    return true;
  }
  sockaddr_in balancer;
  std::shared_ptr<UdpSocket> udp = std::make_shared<UdpSocket>();  // may be shared with `sibling`
  std::vector<std::shared_ptr<UdpSocket>> previous_sockets;
  StubClient* sibling = nullptr;  // another connection on the same socket
  std::string source, first, id, next_id, close_frames;
  int established_count = 0, close_count = 0, request_count = 0;
  std::map<std::string, int> answers;
};

/// The started program with its quic.json, stub workers and clients, and a registry that lists the workers.
struct QuicTestbed {
  // `changes`: keys of quic.json with other values than the usual ones. `effect`: the same of the request
  // class. Two workers each share a deduplication group.
  explicit QuicTestbed(std::vector<std::string> names, int deadline_ms = 1500, rlim_t files = 1024,
                       const json& changes = json::object(), const json& effect = json::object()) {
    registry = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(registry, 8);
    json known = json::array();
    for (auto& name : names) {
      workers.push_back(std::make_unique<StubWorker>(name));
      workers.back()->behind_proxy = changes.value("forwarding", "socket") == "proxy-v2";
      workers.back()->group = static_cast<int>(workers.size() - 1) / 2;
      known.push_back(entry(*workers.back(), "ready"));
    }
    port = free_port(SOCK_DGRAM);
    char path[] = "/tmp/marblehub-quic-XXXXXX";
    ::close(mkstemp(path));
    file = path;
    json quic = {
        {"enabled", true},
        {"listen", loopback_address_text(port)},
        {"class", "telemetry"},
        {"deadline_ms", deadline_ms},
        {"idle_ms", 30000},
        {"calls", 200},
        {"paths", 400},
        {"ids", json::array({{{"rotation", 2}, {"server_id_length", 4}, {"nonce_length", 6}, {"key", ""}}})}};
    quic.update(changes);
    std::ofstream(file) << quic;
    json s = settings();
    s["limits"]["probes"] = false;  // the stub workers do not answer probes
    s["request_classes"][0].update(effect);
    program = std::make_unique<Program>(known, s, port_of(registry), file, "/nonexistent", files);
    run(1000, [this] { return registry_asked; });
  }
  ~QuicTestbed() {
    ::close(registry);
    if (registry_connection >= 0) ::close(registry_connection);
    std::remove(file.c_str());
  }
  static json entry(const StubWorker& w, const char* status) {
    return {{"name", w.name},   {"address", loopback_address_text(w.port > 0 ? w.port : port_of(w.udp.fd))},
            {"zone", "a"},      {"type", "m"},
            {"group", w.group}, {"status", status},
            {"weight", 1.0},    {"since_ms", 0}};
  }
  StubClient& client() {
    clients.push_back(std::make_unique<StubClient>(static_cast<int>(clients.size()) + 1, port));
    return *clients.back();
  }
  // The worker that holds this client's connection; null if none does.
  StubWorker* worker_of(const StubClient& client) {
    for (auto& worker : workers)
      if (worker->clients.count(client.id)) return worker.get();
    return nullptr;
  }
  void run(
      int ms, const std::function<bool()>& done = [] { return false; }) {
    char request[4096];
    for (std::int64_t end = now_ms() + ms; now_ms() < end && !done(); usleep(500)) {
      for (auto& w : workers) w->process();
      for (auto& c : clients) c->process();
      int fd = ::accept4(registry, nullptr, nullptr, SOCK_NONBLOCK);
      if (fd >= 0) {
        if (registry_connection >= 0) ::close(registry_connection);
        registry_connection = fd;
        registry_asked = false;
      }
      const ssize_t size =
          registry_connection < 0 ? -1 : ::recv(registry_connection, request, sizeof request, MSG_DONTWAIT);
      if (size > 0) serve_registry_call(std::string_view(request, static_cast<std::size_t>(size)));
      if (registry_asked && !registry_update.empty()) {
        registry_asked = false;
        ++registry_index;
        answer_registry_call(std::exchange(registry_update, json::array()));
      }
    }
  }
  // The first call waits for nothing; the next ones are watches.
  void serve_registry_call(std::string_view request) {
    registry_asked = request.find("&hold_ms=1 ") == std::string_view::npos;
    if (!registry_asked) answer_registry_call(json::array());
  }
  void answer_registry_call(const json& changes) {
    std::string body = json{{"index", registry_index}, {"snapshot", false}, {"endpoints", changes}}.dump();
    std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    ::send(registry_connection, text.data(), text.size(), MSG_NOSIGNAL);
  }
  double counter(const std::string& name) {
    program->signal(SIGUSR1);
    run(100);
    return program->counter(name);
  }

  int registry, registry_connection = -1, registry_index = 8, port;
  bool registry_asked = false;  // a call of the program waits for its answer
  json registry_update = json::array();
  std::string file;
  std::vector<std::unique_ptr<StubWorker>> workers;
  std::vector<std::unique_ptr<StubClient>> clients;
  std::unique_ptr<Program> program;
};

}  // namespace marblehub::test
