// Steps of the simulated registry of service discovery, which support/exchange_player.h describes.
#include "support/exchange/player.h"

namespace marblehub::test {

void ExchangePlayer::registry_step(const std::string& verb, const std::string& argument) {
  if (verb == "503") {
    fail_next_ = true;
  } else if (verb == "piece") {
    REQUIRE(registry_);
    registry_->send(with_addresses(with_line_ends(argument)));
  } else if (verb == "full") {
    fill_queue(registry_fd_, registry_fillers_);
    registry_accepts_ = false;
  } else if (verb == "accept") {
    drain_accept_queue(registry_fd_, registry_fillers_);
    registry_accepts_ = true;
  } else if (verb == "within") {
    return wait_until([&] { return registry_has_request(); }, std::stoi(argument));
  } else if (verb == "joins") {
    REQUIRE(registry_connection_count_ == std::stoi(argument));
  } else if (verb == "ends") {
    return expect_registry_close(argument);
  } else if (verb == "hold" || verb == "release") {
    registry_held_ = verb == "hold";
  } else if (verb == "raw" || verb == "body") {
    answer_literally(verb, with_addresses(with_line_ends(argument)));
  } else if (verb == "fin") {
    ::shutdown(registry_->fd, SHUT_WR);
  } else if (verb == "rst") {
    registry_->reset();
    registry_.reset();
  } else if (verb == "down") {
    registry_down();
  } else if (verb == "up") {
    registry_up();
  } else if (verb == "version") {
    list_version_ = std::stoi(argument) - 1;
  } else if (verb == "hush") {
    registry_->received.clear();
  } else {
    // The verb is a worker's name, the argument its new status.
    worker_entries_[verb]["status"] = argument;
    pending_changes_.push_back(worker_entries_[verb]);
  }
  run_once();
}

void ExchangePlayer::reload(const std::string& path, const std::string& value) {
  if (path == "registry") {
    ::close(registry_fd_);
    if (registry_) former_registry_connections_.push_back(std::move(registry_));
    registry_fd_ = bound_socket(SOCK_STREAM | SOCK_NONBLOCK);
    ::listen(registry_fd_, 16);
    registry_fillers_.clear();
    registry_accepts_ = true;
    program_->config()["discovery"] = loopback_address_text(port_of(registry_fd_));
    full_list_due_ = true;
  } else if (!value.empty()) {
    program_->config()[pointer_to(path)] = json::parse(value);
  }
  if (path.empty())
    program_->remove_config();
  else
    program_->write(value.empty() && path != "registry" ? path : program_->config().dump());
  program_->signal(SIGHUP);
}

void ExchangePlayer::answer_literally(const std::string& verb, const std::string& text) {
  wait_until([&] { return registry_ && registry_->received.find("\r\n\r\n") != std::string::npos; },
             kStepTimeout);
  registry_->received.clear();
  if (verb == "raw") return registry_->send(text);
  registry_->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
}

void ExchangePlayer::registry_down() {
  registry_port_ = port_of(registry_fd_);
  ::close(std::exchange(registry_fd_, -1));
  if (registry_) registry_->reset();
  registry_.reset();
}

void ExchangePlayer::registry_up() {
  registry_fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(registry_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(registry_port_);
  REQUIRE(::bind(registry_fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  ::listen(registry_fd_, 16);
}

bool ExchangePlayer::registry_has_request() const {
  return registry_ && registry_->received.starts_with("GET ") &&
         registry_->received.find("\r\n\r\n") != std::string::npos;
}

void ExchangePlayer::expect_registry_close(const std::string& how) {
  std::size_t limit = how.find(" [");
  auto end = how.starts_with("fin") ? Connection::fin : Connection::rst;
  wait_until([&] { return registry_ && registry_->state == end; },
             limit == std::string::npos ? kStepTimeout : std::stoi(how.substr(limit + 2)));
}

std::string ExchangePlayer::with_addresses(std::string text) {
  const std::string marker = "~address ";
  for (std::size_t at; (at = text.find(marker)) != std::string::npos;) {
    std::size_t end = text.find('~', at + marker.size());
    std::string worker = text.substr(at + marker.size(), end - at - marker.size());
    text.replace(at, end + 1 - at, loopback_address_text(port_of(workers_.at(worker).fd)));
  }
  return text;
}

// Accepts a connection of the program. Answers the pending call if a worker's entry has changed, with an
// error after `registry 503`, and the first call after a change of address at once with the full list.
void ExchangePlayer::serve_registry() {
  int fd = registry_fd_ < 0 || !registry_accepts_
               ? -1
               : ::accept4(registry_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) accept_registry_connection(fd);
  for (auto& connection : other_registry_connections_) serve_other_program(*connection);
  if (!registry_) return;
  registry_->read();
  if (registry_held_) return;
  if (registry_->received.find("\r\n\r\n") == std::string::npos) return;
  if (fail_next_) {
    registry_->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    fail_next_ = false;
  } else if (std::exchange(full_list_due_, false)) {
    REQUIRE(registry_->received.starts_with("GET /registry/instances HTTP"));
    json all = json::array();
    for (auto& [name, entry] : worker_entries_) all.push_back(entry);
    pending_changes_.clear();
    send_list({{"index", ++list_version_}, {"snapshot", true}, {"endpoints", all}});
  } else if (!pending_changes_.empty()) {
    json body = {{"index", ++list_version_},
                 {"snapshot", false},
                 {"endpoints", std::exchange(pending_changes_, json::array())}};
    send_list(body);
  } else if (asks_for_confirmation(*registry_)) {
    send_list({{"index", list_version_}, {"snapshot", false}, {"endpoints", json::array()}});
  } else {
    return;
  }
  registry_->received.clear();
}

// The steps act on the connection of the first program; those of others are served with the list of the
// workers.
void ExchangePlayer::accept_registry_connection(int fd) {
  ++registry_connection_count_;
  auto connection = std::make_unique<Connection>();
  connection->fd = fd;
  const bool of_other = (!other_programs_.empty() || !extra_programs_.empty()) && registry_ &&
                        registry_->state == Connection::open;
  if (of_other)
    other_registry_connections_.push_back(std::move(connection));
  else
    registry_ = std::move(connection);
}

void ExchangePlayer::serve_other_program(Connection& connection) {
  connection.read();
  const bool asks = connection.received.starts_with("GET ") && connection.received.ends_with("\r\n\r\n");
  const bool watches = connection.received.find("hold_ms=") != std::string::npos;
  if (registry_held_ || !asks || (watches && !asks_for_confirmation(connection))) return;
  json all = json::array();
  for (auto& [name, entry] : worker_entries_) all.push_back(entry);
  connection.received.clear();
  connection.send(answer_of({{"index", list_version_}, {"snapshot", true}, {"endpoints", all}}));
}

// Whether the call waits for nothing: the first one of a program, answered at once also if there is no
// change.
bool ExchangePlayer::asks_for_confirmation(const Connection& connection) {
  return connection.received.find("&hold_ms=1 ") != std::string::npos;
}

// Serves the program's first call, so that the next steps find it watching the list.
void ExchangePlayer::confirm_list() {
  if (registry_held_ || fail_next_ || registry_fd_ < 0 || !registry_accepts_) return;
  for (const std::int64_t end = now_ms() + kStepTimeout; now_ms() < end; usleep(1000)) {
    run_once();
    const bool watches = registry_has_request() && !asks_for_confirmation(*registry_);
    if (watches || program_->has_ended()) return;
  }
}

std::string ExchangePlayer::answer_of(const json& body) {
  std::string text = body.dump();
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

void ExchangePlayer::send_list(const json& body) { registry_->send(answer_of(body)); }

}  // namespace marblehub::test
