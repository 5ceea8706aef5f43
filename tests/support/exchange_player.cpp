#include "support/exchange_player.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "support/program.h"

namespace marblehub::test {
namespace {

constexpr int kPatience = 4000;
constexpr int kFloodPatience = 10000;
constexpr int kBetweenBytes = 2000;  // microseconds, in which the program reads what its system has taken
constexpr std::size_t kFloodAtOnce = 1 << 20;  // bytes of a flood handed to the system in one send

struct Conn {
  int fd = -1;
  std::string in;
  enum { open, fin, rst } end = open;
  bool call = false;
  bool stalled = false;     // its peer stopped reading
  std::string pending;      // of a flood: sent as the program takes it
  std::string unsent;       // goes out once the connection is up
  bool reset_seen = false;  // by a send of the flood: the next read ends with 0 then
  ~Conn() { ::close(fd); }

  void read() {
    if (!unsent.empty() && ::send(fd, unsent.data(), unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
      unsent.clear();
    if (!unsent.empty()) return;
    char buffer[8192];
    while (end == open && !stalled) {
      ssize_t n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) end = n == 0 && !reset_seen ? fin : rst;
      if (n > 0) in.append(buffer, static_cast<std::size_t>(n));
    }
  }
  std::optional<std::string> line() {
    std::size_t at = in.find("\r\n");
    if (at == std::string::npos) return std::nullopt;
    std::string text = in.substr(0, at);
    in.erase(0, at + 2);
    return text;
  }
  void send_pending() {
    while (end == open && !pending.empty()) {
      ssize_t n =
          ::send(fd, pending.data(), std::min(pending.size(), kFloodAtOnce), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno == ECONNRESET) reset_seen = true;
      if (n <= 0) return;
      pending.erase(0, static_cast<std::size_t>(n));
    }
  }
  void send(const std::string& text) { ::send(fd, text.data(), text.size(), MSG_NOSIGNAL); }
  void reset() {
    linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
    fd = -1;
  }
};

json::json_pointer pointer_to(std::string path) {  // of a key such as limits.sockets
  std::replace(path.begin(), path.end(), '.', '/');
  return json::json_pointer("/" + path);
}

int signal_number(const std::string& name) {
  static const std::map<std::string, int> numbers = {
      {"TERM", SIGTERM}, {"INT", SIGINT}, {"HUP", SIGHUP}, {"USR1", SIGUSR1}, {"USR2", SIGUSR2}};
  return numbers.at(name);
}

std::string flood_line(int number) {
  std::string line = "flood ";
  line += std::to_string(number);
  line.append(80, '.');
  return line += "\r\n";
}

void replace_all(std::string& text, const std::string& what, const std::string& by) {
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size())
    text.replace(at, what.size(), by);
}

std::string with_line_ends(std::string text) {
  replace_all(text, "~n~", "\r\n");
  replace_all(text, "~cr~", "\r");
  return text;
}

bool matches(const std::string& pattern, const std::string& text) {
  std::size_t t = 0;
  for (char p : pattern) {
    if (p == '~') {
      if (t >= text.size() || !isdigit(text[t])) return false;
      while (t < text.size() && isdigit(text[t])) ++t;
    } else if (t >= text.size() || text[t++] != p) {
      return false;
    }
  }
  return t == text.size();
}

class Play {
 public:
  Play() {
    registry_fd_ = bound(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(registry_fd_, 16);
  }
  ~Play() {
    if (registry_fd_ >= 0) ::close(registry_fd_);
    for (auto& [name, w] : workers_)
      if (w.fd >= 0) ::close(w.fd);
  }

  void step(const std::string& text) {
    std::istringstream in(text);
    std::string who, verb, rest;
    in >> who >> verb;
    std::getline(in >> std::ws, rest);
    if (who == "set") return set(verb, json::parse(rest));
    if (who == "worker") return add_worker(verb);
    if (who == "start") return start(verb == "held" ? Launch::held : Launch::awaited);
    if (who == "wait") return pump_for(std::stoi(verb));
    if (who == "registry") return tell(verb, rest);
    if (who == "signal") return program_->signal(signal_number(verb));
    if (who == "freeze") return program_->freeze();
    if (who == "thaw") return program_->signal(SIGCONT);
    if (who == "running") {
      REQUIRE(program_->exit_code() == -1);
      return;
    }
    if (who == "sockets") return void(sockets_ = std::stoi(verb));
    if (who == "descriptors") return void(descriptors_ = std::stoul(verb));
    if (who == "allow") return program_->allow_files(static_cast<rlim_t>(std::stoi(verb)));
    if (who == "restart") return program_->restart();
    if (who == "fellows") return start_fellows(std::stoi(verb));
    if (who == "ready") return expect_ready(std::stoul(verb), rest);
    if (who == "answered" || who == "unanswered")
      return expect_crowd(std::stoi(verb), rest, who == "answered");
    if (who == "crowd" && (verb == "fin" || verb == "rst")) return crowd_ends(verb);
    if (who == "flood") return flood(std::stoi(verb), rest);
    if (who == "crowd" && verb == "says") return crowd_says(rest);
    if (who == "crowd") return crowd(std::stoi(verb), rest);
    if (who == "calls") {
      pump();
      REQUIRE(workers_.at(verb).calls == std::stoi(rest));
      return;
    }
    if (who == "reload") return reload(verb, rest);
    if (who == "version") return void(index_ = std::stoi(verb));
    if (who == "asked" || who == "heard")
      return until([&] { return registry_ && registry_->in.starts_with("GET " + verb); },
                   who == "heard" ? 1 : 2 * kPatience);
    if (who == "log")
      return until([&] { return program_->log().find(text.substr(4)) != std::string::npos; }, kPatience);
    if (who == "logged") return logged(std::stoi(verb), rest);
    if (who == "exit")
      return until([&] { return program_->exit_code() == std::stoi(verb); },
                   rest.empty() ? kPatience : std::stoi(rest));
    if (who == "counter") return until([&] { return program_->counter(verb) == std::stod(rest); }, kPatience);
    if (who == "atleast")
      return until(
          [&] {
            program_->signal(SIGUSR1);
            return program_->counter(verb) >= std::stod(rest);
          },
          kPatience);
    if (who == "files") return void(files_ = static_cast<rlim_t>(std::stoi(verb)));
    if (who == "unreachable") return add_unreachable(std::stoi(verb));
    if (who == "configure") return program_->release_config();
    if (who == "storm") return storm(signal_number(verb));
    if (who == "kill") return program_->kill_and_reap();
    if (who == "others") return start_others(std::stoi(verb), std::stoi(rest));
    if (who == "quiet") {
      pump();
      INFO("had come: " << conns_.at(verb)->in);
      REQUIRE(conns_.at(verb)->in.empty());
      return;
    }
    if (workers_.count(who)) {
      if (verb == "mute") workers_[who].mute = true;
      if (verb == "answers") workers_[who].answer = rest;
      if (verb == "closed") ::close(std::exchange(workers_[who].fd, -1));
      Worker& w = workers_[who];
      if (verb == "speaks") {
        w.mute = false;
        pump();
      }
      if (verb == "probed") return until([&] { return probed(w); }, kPatience);
      if (verb == "drops") return drop_callless(w);
      if (verb == "full") fill_queue(w.fd, w.fillers);
      if (verb == "accept") drain_accept_queue(w.fd, w.fillers);
      if (verb == "full" || verb == "accept") w.accepts = verb == "accept";
      return;
    }
    if (verb[0] == '>') rest = with_line_ends(rest);
    if (verb == ">" || verb == ">>") return conn(who).send(rest + (verb == ">" ? "\r\n" : ""));
    if (verb == "<") return expect(who, rest);
    if (verb == "fin") return void(::shutdown(conn(who).fd, SHUT_WR));
    if (verb == "rst") return conn(who).reset();
    if (verb == "connect") return void(conn(who));
    if (verb == "stall") return void(conn(who).stalled = true);
    if (verb == "read") return void(conn(who).stalled = false);
    if (verb == "flood") return flood(conn(who), std::stoi(rest));
    if (verb == "takes") return take_flood(conn(who), std::stoi(rest));
    if (verb == "held") {
      REQUIRE(!conn(who).pending.empty());
      return;
    }
    if (verb == "narrow") return connect_narrow(who);
    if (verb == "refused") return require_refused();
    if (verb == "fill") return fill(conn(who), rest + "\r\n");
    if (verb == "last") return expect_last(conn(who), rest);
    if (verb == "bytes") return send_bytewise(conn(who), rest + "\r\n");
    if (verb == "ends" || verb == "discards") {
      Conn& c = conn(who);
      std::size_t limit = rest.find(" [");
      until(
          [&] {
            return (verb == "discards" || c.in.empty()) &&
                   c.end == (rest.starts_with("fin") ? Conn::fin : Conn::rst);
          },
          limit == std::string::npos ? kPatience : std::stoi(rest.substr(limit + 2)));
      return;
    }
    FAIL("a line that is not understood: " << text);
  }

 private:
  struct Worker {
    int fd = -1;
    bool mute = false, accepts = true;
    std::vector<std::shared_ptr<Conn>> all;
    std::vector<std::unique_ptr<Conn>> fillers;  // connections that occupy its listen queue
    std::string answer;                          // to each call at once; empty: as the steps say
    int calls = 0;
  };

  struct Fellow {
    std::unique_ptr<Program> program;
    std::unique_ptr<Conn> checker;
    sockaddr_in address{};
  };

  void set(const std::string& path, json value) { settings_[pointer_to(path)] = std::move(value); }
  void add_worker(const std::string& name) {
    Worker& w = workers_[name];
    w.fd = bound(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(w.fd, 64);
    add_entry(name, text_of(port_of(w.fd)));
  }
  void add_entry(const std::string& name, const std::string& address) {
    entries_[name] = {{"name", name}, {"address", address}, {"zone", "a"},   {"type", "m"},
                      {"group", 0},   {"status", "ready"},  {"weight", 1.0}, {"since_ms", 0}};
  }
  void add_unreachable(int count) {
    for (int i = 0; i < count; ++i) add_entry("unreachable" + std::to_string(i), text_of(1));
  }
  std::unique_ptr<Program> launched(Launch launch) {
    json known = json::array();
    for (auto& [name, entry] : entries_) known.push_back(entry);
    return std::make_unique<Program>(known, settings_, port_of(registry_fd_), "/nonexistent", "/nonexistent",
                                     files_, "/nonexistent", index_, "/nonexistent", launch);
  }
  void start(Launch launch) {
    program_ = launched(sockets_ == 0 ? launch : Launch::at_once);
    if (sockets_ == 0) return;
    program_->config()["limits"]["sockets"] = sockets_;
    program_->restart();
  }
  void storm(int number) {
    for (std::int64_t end = now_ms() + 2 * kPatience; now_ms() < end;) {
      for (int i = 0; i < 1000; ++i) program_->signal(number);
      if (program_->has_ended()) return;
    }
    FAIL("the program has not ended");
  }
  void start_others(int count, int ms) {
    std::int64_t end = now_ms() + ms;
    for (int i = 0; i < count; ++i) others_.push_back(launched(Launch::at_once));
    for (auto& other : others_) {
      INFO("the log: " << other->log());
      REQUIRE(answers_ping(other->port, end));
    }
  }
  static bool answers_ping(int port, std::int64_t end) {
    for (; now_ms() < end; usleep(10000)) {
      Conn c;
      c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in to = loopback(port);
      if (::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) continue;
      c.send("PING\r\n");
      for (; now_ms() < end && c.end == Conn::open; usleep(1000)) {
        c.read();
        if (std::optional<std::string> line = c.line()) return *line == "PONG";
      }
    }
    return false;
  }
  // Each has a loopback address to itself, so that no port found free for one is taken by another.
  void start_fellows(int count) {
    for (int i = 0; i < count; ++i) {
      std::string address = own_address(i, 1);
      std::string host = address.substr(0, address.find(':'));
      Fellow fellow;
      fellow.program = std::make_unique<Program>(json::array(), settings_, port_of(registry_fd_),
                                                 "/nonexistent", "/nonexistent", files_, "/nonexistent",
                                                 index_, "/nonexistent", Launch::at_once, host);
      inet_pton(AF_INET, host.c_str(), &fellow.address.sin_addr);
      fellow.address.sin_family = AF_INET;
      fellow.address.sin_port = htons(static_cast<std::uint16_t>(fellow.program->port));
      fellows_.push_back(std::move(fellow));
    }
  }
  // As a front does it: connects until it is let in, and asks once.
  static bool says_pong(Fellow& fellow) {
    if (!fellow.checker) {
      auto checker = std::make_unique<Conn>();
      checker->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (::connect(checker->fd, reinterpret_cast<sockaddr*>(&fellow.address), sizeof fellow.address) != 0)
        return false;
      checker->send("PING\r\n");
      fellow.checker = std::move(checker);
    }
    fellow.checker->read();
    return fellow.checker->in == "PONG\r\n";
  }
  void expect_ready(std::size_t count, const std::string& limit) {
    until(
        [&] {
          std::size_t ready = 0;
          for (Fellow& fellow : fellows_) ready += says_pong(fellow);
          return ready == count;
        },
        limit.empty() ? kPatience : std::stoi(limit.substr(1)));
  }
  void expect_crowd(int count, std::string text, bool answered) {
    int ms = kPatience;
    if (std::size_t at = text.rfind('['); at != std::string::npos) {
      ms = std::stoi(text.substr(at + 1));
      text.resize(at > 0 ? at - 1 : 0);
    }
    int seen = 0;
    std::map<std::string, int> all;  // what became of them, for the one who reads a failure
    auto counted = [&] {
      seen = 0;
      all.clear();
      for (int i = 1; i <= crowd_; ++i) {
        const Conn& c = *conns_["crowd" + std::to_string(i)];
        std::size_t end = c.in.find("\r\n");
        std::string line = c.in.substr(0, end);
        bool whole = end != std::string::npos;
        seen += answered ? whole && c.end != Conn::rst && (text == "*" || matches(text, line))
                         : !whole && c.end != Conn::open;
        all["'" + line +
            (c.end == Conn::open  ? "', open"
             : c.end == Conn::fin ? "', ended"
                                  : "', reset")] += 1;
      }
      return seen == count;
    };
    for (std::int64_t end = now_ms() + ms; now_ms() < end && !counted(); usleep(1000)) pump();
    if (counted()) return;
    std::string what;
    for (auto& [end, times] : all) what += std::to_string(times) + " " + end + "; ";
    FAIL("of " << crowd_ << " clients it was so for " << seen << ": " << what);
  }
  void crowd_ends(const std::string& how) {
    for (int i = 1; i <= crowd_; ++i) {
      Conn& c = *conns_["crowd" + std::to_string(i)];
      if (how == "rst") c.reset();
      if (how == "fin") ::shutdown(c.fd, SHUT_WR);
    }
  }
  void tell(const std::string& name, const std::string& status) {
    if (name == "503") {
      fail_next_ = true;
    } else if (name == "piece") {
      REQUIRE(registry_);
      registry_->send(with_addresses(with_line_ends(status)));
    } else if (name == "full") {
      fill_queue(registry_fd_, registry_fillers_);
      registry_accepts_ = false;
    } else if (name == "accept") {
      drain_accept_queue(registry_fd_, registry_fillers_);
      registry_accepts_ = true;
    } else if (name == "within") {
      return until([&] { return registry_asked(); }, std::stoi(status));
    } else if (name == "joins") {
      REQUIRE(registry_joins_ == std::stoi(status));
    } else if (name == "ends") {
      return registry_ends(status);
    } else if (name == "hold" || name == "release") {
      registry_held_ = name == "hold";
    } else if (name == "raw" || name == "body") {
      answer_literally(name, with_addresses(with_line_ends(status)));
    } else if (name == "fin") {
      ::shutdown(registry_->fd, SHUT_WR);
    } else if (name == "rst") {
      registry_->reset();
      registry_.reset();
    } else if (name == "down") {
      registry_down();
    } else if (name == "up") {
      registry_up();
    } else if (name == "version") {
      index_ = std::stoi(status) - 1;
    } else if (name == "hush") {
      registry_->in.clear();
    } else {
      entries_[name]["status"] = status;
      changed_.push_back(entries_[name]);
    }
    pump();
  }
  void reload(const std::string& path, const std::string& value) {
    if (path == "registry") {
      ::close(registry_fd_);
      if (registry_) registry_before_.push_back(std::move(registry_));
      registry_fd_ = bound(SOCK_STREAM | SOCK_NONBLOCK);
      ::listen(registry_fd_, 16);
      registry_fillers_.clear();
      registry_accepts_ = true;
      program_->config()["discovery"] = text_of(port_of(registry_fd_));
      whole_ = true;
    } else if (!value.empty()) {
      program_->config()[pointer_to(path)] = json::parse(value);
    }
    if (path.empty())
      program_->remove_config();
    else
      program_->write(value.empty() && path != "registry" ? path : program_->config().dump());
    program_->signal(SIGHUP);
  }
  void answer_literally(const std::string& form, const std::string& text) {
    until([&] { return registry_ && registry_->in.find("\r\n\r\n") != std::string::npos; }, kPatience);
    registry_->in.clear();
    if (form == "raw") return registry_->send(text);
    registry_->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  }
  void registry_down() {
    registry_port_ = port_of(registry_fd_);
    ::close(std::exchange(registry_fd_, -1));
    if (registry_) registry_->reset();
    registry_.reset();
  }
  void registry_up() {
    registry_fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(registry_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(registry_port_);
    REQUIRE(::bind(registry_fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    ::listen(registry_fd_, 16);
  }
  // A connect to a full listen queue hangs: its SYN is dropped and sent again a second later.
  void fill_queue(int listener, std::vector<std::unique_ptr<Conn>>& fillers) {
    ::listen(listener, 0);
    for (int i = 0; i < 2; ++i) {
      auto filler = std::make_unique<Conn>();
      filler->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in to = loopback(port_of(listener));
      ::connect(filler->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
      fillers.push_back(std::move(filler));
    }
  }
  static bool probed(const Worker& worker) {
    return std::any_of(worker.all.begin(), worker.all.end(), [](const auto& c) {
      return !c->call && c->end == Conn::open && c->in.starts_with("STATS\r\n");
    });
  }
  // Waits for the connection, as one that hung comes up late.
  void drop_callless(Worker& worker) {
    auto callless = [](const auto& c) { return !c->call && c->end == Conn::open && c->fd >= 0; };
    until([&] { return std::any_of(worker.all.begin(), worker.all.end(), callless); }, kPatience);
    for (auto& c : worker.all)
      if (callless(c)) c->reset();
    std::erase_if(worker.all, [](const auto& c) { return c->fd < 0; });
  }
  void drain_accept_queue(int listener, std::vector<std::unique_ptr<Conn>>& fillers) {
    ::listen(listener, 64);
    fillers.clear();
  }
  bool registry_asked() const {
    return registry_ && registry_->in.starts_with("GET ") &&
           registry_->in.find("\r\n\r\n") != std::string::npos;
  }
  void registry_ends(const std::string& how) {
    std::size_t limit = how.find(" [");
    auto end = how.starts_with("fin") ? Conn::fin : Conn::rst;
    until([&] { return registry_ && registry_->end == end; },
          limit == std::string::npos ? kPatience : std::stoi(how.substr(limit + 2)));
  }
  std::string with_addresses(std::string text) {
    const std::string sign = "~address ";
    for (std::size_t at; (at = text.find(sign)) != std::string::npos;) {
      std::size_t end = text.find('~', at + sign.size());
      std::string worker = text.substr(at + sign.size(), end - at - sign.size());
      text.replace(at, end + 1 - at, text_of(port_of(workers_.at(worker).fd)));
    }
    return text;
  }
  void logged(int times, const std::string& text) {
    pump();
    std::string log = program_->log();
    int found = 0;
    for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; at += text.size()) ++found;
    INFO("the log: " << log);
    REQUIRE(found == times);
  }
  void flood(Conn& from, int lines) {
    for (int i = 1; i <= lines; ++i) from.pending += flood_line(i);
  }
  void take_flood(Conn& to, int lines) {
    std::string all;
    for (int i = 1; i <= lines; ++i) all += flood_line(i);
    until([&] { return to.in.size() >= all.size(); }, kFloodPatience);
    REQUIRE(to.in.compare(0, all.size(), all) == 0);
    to.in.erase(0, all.size());
  }
  void send_bytewise(Conn& to, const std::string& text) {
    int on = 1;
    setsockopt(to.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    for (char byte : text) {
      to.send(std::string(1, byte));
      until([&] { return bytes_untaken(to.fd) == 0; }, kPatience);
      usleep(kBetweenBytes);
    }
  }
  void connect_narrow(const std::string& who) {
    constexpr int receive_buffer = 4096;
    auto c = std::make_shared<Conn>();
    c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in to = loopback(program_->port);
    REQUIRE(::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    conns_[who] = std::move(c);
  }
  void require_refused() {
    Conn c;
    c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = loopback(program_->port);
    REQUIRE(::connect(c.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0);
    REQUIRE(errno == ECONNREFUSED);
  }
  void fill(Conn& to, const std::string& line) {
    constexpr std::int64_t quiet_ms = 100;
    std::string left = line;
    for (std::int64_t end = now_ms() + quiet_ms; now_ms() < end;) {
      ssize_t n = ::send(to.fd, left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0) {
        usleep(1000);
        continue;
      }
      left.erase(0, static_cast<std::size_t>(n));
      if (left.empty()) left = line;
      end = now_ms() + quiet_ms;
    }
  }
  void expect_last(Conn& c, std::string text) {
    std::size_t limit = text.rfind(" [");
    int ms = limit == std::string::npos ? kPatience : std::stoi(text.substr(limit + 2));
    if (limit != std::string::npos) text.resize(limit);
    until([&] { return c.end != Conn::open; }, ms);
    REQUIRE(c.end == Conn::fin);
    REQUIRE(c.in.ends_with(text + "\r\n"));
  }
  // What the program has not acknowledged; the kernel acknowledges what it has queued for the program, so a
  // short pause lets the program read it as a piece of its own.
  int bytes_untaken(int fd) {
    int left = 0;
    ioctl(fd, TIOCOUTQ, &left);
    return left;
  }
  // '#' in the text of a crowd is the number of the client.
  static std::string said_by(int client, std::string text) {
    for (std::size_t at; (at = text.find('#')) != std::string::npos;)
      text.replace(at, 1, std::to_string(client));
    return with_line_ends(text);
  }
  void crowd(int count, const std::string& text) {
    for (int i = 0; i < count; ++i) {
      Conn& c = conn("crowd" + std::to_string(++crowd_));
      if (!text.empty()) c.send(said_by(crowd_, text));
    }
  }
  // Not one waits for its connect to come up, which takes a second or more when the listen queue is full.
  void flood(int count, const std::string& text) {
    sockaddr_in to = loopback(program_->port);
    for (int i = 0; i < count; ++i) {
      auto& c = conns_["crowd" + std::to_string(++crowd_)];
      c = std::make_shared<Conn>();
      c->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      ::connect(c->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
      c->unsent = said_by(crowd_, text);
    }
  }
  void crowd_says(const std::string& text) {
    for (int i = 1; i <= crowd_; ++i) conns_["crowd" + std::to_string(i)]->send(said_by(i, text) + "\r\n");
  }
  // One call out at a time is answered when there is news; a first call at once.
  void serve_registry() {
    int fd = registry_fd_ < 0 || !registry_accepts_
                 ? -1
                 : ::accept4(registry_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      ++registry_joins_;
      registry_ = std::make_unique<Conn>();
      registry_->fd = fd;
    }
    if (!registry_) return;
    registry_->read();
    if (registry_held_) return;
    if (registry_->in.find("\r\n\r\n") == std::string::npos) return;
    if (fail_next_) {
      registry_->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      fail_next_ = false;
    } else if (std::exchange(whole_, false)) {  // a registry that has moved is asked for all it knows
      REQUIRE(registry_->in.starts_with("GET /registry/instances HTTP"));
      json all = json::array();
      for (auto& [name, entry] : entries_) all.push_back(entry);
      changed_.clear();
      answer({{"index", ++index_}, {"snapshot", true}, {"endpoints", all}});
    } else if (!changed_.empty()) {
      json body = {
          {"index", ++index_}, {"snapshot", false}, {"endpoints", std::exchange(changed_, json::array())}};
      answer(body);
    } else {
      return;
    }
    registry_->in.clear();
  }
  void answer(const json& body) {
    std::string text = body.dump();
    registry_->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  }
  void pump() {
    serve_registry();
    for (auto& [name, w] : workers_) {
      while (w.fd >= 0 && w.accepts) {
        int fd = ::accept4(w.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) break;
        w.all.push_back(std::make_shared<Conn>());
        w.all.back()->fd = fd;
      }
      for (auto& c : w.all) {
        c->read();
        c->send_pending();
        if (!c->call && c->in.starts_with("OPEN")) {
          c->call = true;
          conns_[name + "." + std::to_string(++w.calls)] = c;
          if (!w.answer.empty()) c->send(with_line_ends(w.answer) + "\r\n");
        }
        while (!c->call && !w.mute && c->in.starts_with("STATS\r\n")) {
          c->line();
          c->send("PONG latency_ms=2,util=0.1,x0=0.1\r\n");
        }
      }
    }
    for (auto& [name, c] : conns_) {
      c->read();
      c->send_pending();
    }
    if (descriptors_ > 0) {
      INFO("limits.sockets " << descriptors_);
      REQUIRE(program_->descriptors() <= descriptors_);
    }
  }
  void pump_for(int ms) {
    for (std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) pump();
  }
  template <class Condition>
  void until(Condition condition, int ms) {
    for (std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) {
      pump();
      if (condition()) return;
    }
    program_->signal(SIGUSR1);  // what it has counted tells the cause
    usleep(200000);
    FAIL("it did not come to that within " << ms << " ms; the log: " << program_->log());
  }
  void expect(const std::string& who, std::string pattern) {
    int ms = kPatience;
    if (std::size_t at = pattern.rfind(" ["); at != std::string::npos) {
      ms = std::stoi(pattern.substr(at + 2));
      pattern.resize(at);
    }
    std::optional<std::string> got;
    bool worker = who.find('.') != std::string::npos;
    until([&] { return (!worker || conns_.count(who)) && (got = conn(who).line()).has_value(); }, ms);
    INFO(who << " got: " << *got);
    REQUIRE(matches(pattern, *got));
  }
  Conn& conn(const std::string& who) {
    auto& c = conns_[who];
    if (!c) {
      c = std::make_shared<Conn>();
      c->fd = connected(program_->port);
    }
    return *c;
  }

  json settings_ = settings(), changed_ = json::array();
  std::map<std::string, json> entries_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::shared_ptr<Conn>> conns_;
  int registry_fd_, registry_port_ = 0, index_ = 1, crowd_ = 0;
  bool fail_next_ = false, whole_ = false, registry_held_ = false, registry_accepts_ = true;
  int registry_joins_ = 0;
  std::vector<std::unique_ptr<Conn>> registry_fillers_;
  std::vector<std::unique_ptr<Conn>> registry_before_;  // at former addresses; the program ends them itself
  int sockets_ = 0;                                     // limits.sockets; 0: as usual
  std::size_t descriptors_ = 0;                         // that the program may be seen with; 0: any
  std::vector<Fellow> fellows_;
  rlim_t files_ = 1024;
  std::unique_ptr<Conn> registry_;
  std::unique_ptr<Program> program_;
  std::vector<std::unique_ptr<Program>> others_;
};

}  // namespace

void play_exchange(const std::filesystem::path& path) {
  Play play;
  std::ifstream file(path);
  REQUIRE(file);
  std::string text;
  for (int line = 1; std::getline(file, text); ++line) {
    if (text.empty() || text[0] == '#') continue;
    INFO(path.filename().string() << " line " << line << ": " << text);
    play.step(text);
  }
}

}  // namespace marblehub::test
