#include "soak/stand_ins.h"

#include <fmt/format.h>

#include <cerrno>

namespace marblehub::test {
namespace {

constexpr int kListenQueue = 512;

// Appends what has arrived; false once the other side has closed.
bool read_available(int fd, std::string& text) {
  char buffer[4096];
  for (ssize_t n; (n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT)) != 0;) {
    if (n < 0) return errno == EAGAIN || errno == EINTR;
    text.append(buffer, static_cast<std::size_t>(n));
  }
  return false;
}

// Removes the first complete line, without its line end.
std::optional<std::string> take_line(std::string& text) {
  const std::size_t end = text.find("\r\n");
  if (end == std::string::npos) return std::nullopt;
  std::string line = text.substr(0, end);
  text.erase(0, end + 2);
  return line;
}

void send_text(int fd, const std::string& text) {
  ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

}  // namespace

StandInWorker::StandInWorker(std::string name)
    : name_(std::move(name)), listener_(bound_socket(SOCK_STREAM | SOCK_NONBLOCK)) {
  ::listen(listener_, kListenQueue);
}

StandInWorker::~StandInWorker() {
  ::close(listener_);
  for (Link& link : links_) ::close(link.fd);
}

void StandInWorker::step() {
  if (hanging_) return;
  for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
    links_.push_back({fd, "", false});
  for (Link& link : links_) read(link);
  links_.remove_if([](const Link& link) { return link.fd < 0; });
}

void StandInWorker::read(Link& link) {
  const bool open = read_available(link.fd, link.input);
  while (std::optional<std::string> line = take_line(link.input)) answer_line(link, *line);
  if (!open) ::close(std::exchange(link.fd, -1));
}

void StandInWorker::answer_line(Link& link, const std::string& line) {
  if (link.serves) return send_text(link.fd, "OK " + line + "\r\n");
  if (line == "PING") return send_text(link.fd, "PONG\r\n");
  if (line == "STATS") return send_text(link.fd, "PONG latency_ms=2,util=0.1\r\n");
  link.serves = true;
  const std::string id = line.substr(5, line.find(' ', 5) - 5);
  requests_.push_back({id, now_ms()});
  if (silent_) return;
  send_text(link.fd, fmt::format("UP r-{}\r\n", id));
}

StandInClient::StandInClient(const sockaddr_in& balancer, std::string id, int deadline_ms)
    : id_(std::move(id)),
      deadline_ms_(deadline_ms),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  ::connect(fd_, reinterpret_cast<const sockaddr*>(&balancer), sizeof balancer);
}

StandInClient::~StandInClient() { leave(); }

void StandInClient::leave(bool reset) {
  linger hard{1, 0};
  if (reset && fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void StandInClient::step() {
  if (fd_ < 0) return;
  if (!sent_) {
    const std::string line = fmt::format("OPEN {} k{} c=telemetry,d={}\r\n", id_, id_, deadline_ms_);
    const ssize_t n = ::send(fd_, line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN) return;  // not connected yet
    if (n < 0) refused_ = true;
    if (n < 0) return leave();
    sent_ = true;
    asked_at_ms_ = now_ms();
  }
  const bool open = read_available(fd_, input_);
  if (answer_.empty()) {
    if (std::optional<std::string> line = take_line(input_)) {
      answer_ = *line;
      answered_at_ms_ = now_ms();
    }
  }
  if (!open) leave();
}

}  // namespace marblehub::test
