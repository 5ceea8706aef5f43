// Dispatches steps, and serves the connections while steps wait.
#include "support/exchange/player.h"

namespace marblehub::test {

ExchangePlayer::ExchangePlayer() {
  registry_fd_ = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
  ::listen(registry_fd_, 16);
}

ExchangePlayer::~ExchangePlayer() {
  if (registry_fd_ >= 0) ::close(registry_fd_);
  for (auto& [name, w] : workers_)
    if (w.fd >= 0) ::close(w.fd);
}

void ExchangePlayer::step(const std::string& text) {
  std::istringstream in(text);
  std::string who, verb, rest;
  in >> who >> verb;
  std::getline(in >> std::ws, rest);
  if (who == "set") return set(verb, json::parse(rest));
  if (who == "worker") return add_worker(verb);
  if (who == "start") return start(verb == "held" ? Launch::held : Launch::awaited);
  if (who == "wait") return run_for(std::stoi(verb));
  if (who == "registry") return registry_step(verb, rest);
  if (who == "signal") return program_->signal(signal_number(verb));
  if (who == "freeze") return program_->freeze();
  if (who == "thaw") return program_->signal(SIGCONT);
  if (who == "running") {
    REQUIRE(program_->exit_code() == -1);
    return;
  }
  if (who == "sockets") return void(socket_limit_ = std::stoi(verb));
  if (who == "descriptors") return void(max_descriptors_ = std::stoul(verb));
  if (who == "allow") return program_->allow_files(static_cast<rlim_t>(std::stoi(verb)));
  if (who == "restart") return restart();
  if (who == "fellows") return start_extra_programs(std::stoi(verb));
  if (who == "ready") return expect_ready(std::stoul(verb), rest);
  if (who == "answered" || who == "unanswered") return expect_crowd(std::stoi(verb), rest, who == "answered");
  if (who == "crowd" && (verb == "fin" || verb == "rst")) return close_crowd(verb);
  if (who == "flood") return flood(std::stoi(verb), rest);
  if (who == "crowd" && verb == "says") return send_from_crowd(rest);
  if (who == "crowd") return crowd(std::stoi(verb), rest);
  if (who == "calls") {
    run_once();
    REQUIRE(workers_.at(verb).calls == std::stoi(rest));
    return;
  }
  if (who == "reload") return reload(verb, rest);
  if (who == "version") return void(list_version_ = std::stoi(verb));
  if (who == "asked" || who == "heard")
    return wait_until([&] { return registry_ && registry_->received.starts_with("GET " + verb); },
                      who == "heard" ? 1 : 2 * kStepTimeout);
  if (who == "log")
    return wait_until([&] { return program_->log().find(text.substr(4)) != std::string::npos; },
                      kStepTimeout);
  if (who == "logged") return expect_logged(std::stoi(verb), rest);
  if (who == "exit")
    return wait_until([&] { return program_->exit_code() == std::stoi(verb); },
                      rest.empty() ? kStepTimeout : std::stoi(rest));
  if (who == "counter")
    return wait_until([&] { return program_->counter(verb) == std::stod(rest); }, kStepTimeout);
  if (who == "atleast")
    return wait_until(
        [&] {
          program_->signal(SIGUSR1);
          return program_->counter(verb) >= std::stod(rest);
        },
        kStepTimeout);
  if (who == "files") return void(file_limit_ = static_cast<rlim_t>(std::stoi(verb)));
  if (who == "unreachable") return add_unreachable(std::stoi(verb));
  if (who == "configure") return program_->release_config();
  if (who == "storm") return signal_until_exit(signal_number(verb));
  if (who == "kill") return program_->kill_and_reap();
  if (who == "others") return start_other_programs(std::stoi(verb), std::stoi(rest));
  if (who == "quiet") {
    run_once();
    INFO("received: " << connections_.at(verb)->received);
    REQUIRE(connections_.at(verb)->received.empty());
    return;
  }
  if (workers_.count(who)) {
    if (verb == "mute") workers_[who].ignores_probes = true;
    if (verb == "answers") workers_[who].answer = rest;
    if (verb == "closed") ::close(std::exchange(workers_[who].fd, -1));
    Worker& w = workers_[who];
    if (verb == "speaks") {
      w.ignores_probes = false;
      run_once();
    }
    if (verb == "probed") return wait_until([&] { return has_pending_probe(w); }, kStepTimeout);
    if (verb == "drops") return reset_idle_connections(w);
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
  if (verb == "takes") return expect_flood(conn(who), std::stoi(rest));
  if (verb == "held") {
    REQUIRE(!conn(who).flood_backlog.empty());
    return;
  }
  if (verb == "partial") {
    wait_until([&] { return conn(who).received == rest; }, kStepTimeout);
    return;
  }
  if (verb == "narrow") return connect_narrow(who);
  if (verb == "refused") return require_refused();
  if (verb == "fill") return fill(conn(who), rest + "\r\n");
  if (verb == "last") return expect_last(conn(who), rest);
  if (verb == "bytes") return send_bytewise(conn(who), rest + "\r\n");
  if (verb == "ends" || verb == "discards") {
    Connection& c = conn(who);
    std::size_t limit = rest.find(" [");
    wait_until(
        [&] {
          return (verb == "discards" || c.received.empty()) &&
                 c.state == (rest.starts_with("fin") ? Connection::fin : Connection::rst);
        },
        limit == std::string::npos ? kStepTimeout : std::stoi(rest.substr(limit + 2)));
    return;
  }
  FAIL("unknown step: " << text);
}

void ExchangePlayer::expect_logged(int times, const std::string& text) {
  run_once();
  std::string log = program_->log();
  int found = 0;
  for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; at += text.size()) ++found;
  INFO("the log: " << log);
  REQUIRE(found == times);
}

void ExchangePlayer::run_once() {
  serve_registry();
  for (auto& [name, w] : workers_) {
    while (w.fd >= 0 && w.accepts) {
      int fd = ::accept4(w.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) break;
      w.connections.push_back(std::make_shared<Connection>());
      w.connections.back()->fd = fd;
    }
    for (auto& c : w.connections) {
      c->read();
      c->send_backlog();
      if (!c->call && c->received.starts_with("OPEN")) {
        c->call = true;
        connections_[name + "." + std::to_string(++w.calls)] = c;
        if (!w.answer.empty()) c->send(with_line_ends(w.answer) + "\r\n");
      }
      while (!c->call && !w.ignores_probes && c->received.starts_with("STATS\r\n")) {
        c->line();
        c->send("PONG latency_ms=2,util=0.1,x0=0.1\r\n");
      }
    }
  }
  for (auto& [name, c] : connections_) {
    c->read();
    c->send_backlog();
  }
  if (max_descriptors_ > 0) {
    INFO("limits.sockets " << max_descriptors_);
    REQUIRE(program_->descriptors() <= max_descriptors_);
  }
}

void ExchangePlayer::run_for(int ms) {
  for (std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) run_once();
}

void ExchangePlayer::expect(const std::string& who, std::string pattern) {
  int ms = kStepTimeout;
  if (std::size_t at = pattern.rfind(" ["); at != std::string::npos) {
    ms = std::stoi(pattern.substr(at + 2));
    pattern.resize(at);
  }
  std::optional<std::string> got;
  bool worker = who.find('.') != std::string::npos;
  wait_until([&] { return (!worker || connections_.count(who)) && (got = conn(who).line()).has_value(); },
             ms);
  INFO(who << " got: " << *got);
  REQUIRE(matches(pattern, *got));
}

Connection& ExchangePlayer::conn(const std::string& who) {
  auto& c = connections_[who];
  if (!c) {
    c = std::make_shared<Connection>();
    c->fd = connected_socket(program_->port);
  }
  return *c;
}

}  // namespace marblehub::test
