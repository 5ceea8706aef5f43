// A connection of a simulated client, worker or registry, and the parsing of texts in steps.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "support/program.h"

namespace marblehub::test {

inline constexpr int kStepTimeout = 4000;    // milliseconds
inline constexpr int kFloodTimeout = 10000;  // milliseconds
inline constexpr int kByteInterval = 2000;   // microseconds, within which the program reads received bytes
inline constexpr std::size_t kMaxFloodSend = 1 << 20;  // bytes passed to one send

// Owns a socket, and reads from it without blocking.
struct Connection {
  int fd = -1;
  std::string received;  // not yet consumed by steps
  enum { open, fin, rst } state = open;
  bool call = false;          // carries a call
  bool stalled = false;       // does not read
  std::string flood_backlog;  // rest of a flood, sent as the program reads
  std::string unsent;         // sent once the connection is established
  bool reset_seen = false;    // by a send of the flood, after which the next read returns 0
  ~Connection() { ::close(fd); }

  void read() {
    if (!unsent.empty() && ::send(fd, unsent.data(), unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
      unsent.clear();
    if (!unsent.empty()) return;
    char buffer[8192];
    while (state == open && !stalled) {
      ssize_t n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) state = n == 0 && !reset_seen ? fin : rst;
      if (n > 0) received.append(buffer, static_cast<std::size_t>(n));
    }
  }
  // Consumes a received line; none if it is incomplete.
  std::optional<std::string> line() {
    std::size_t at = received.find("\r\n");
    if (at == std::string::npos) return std::nullopt;
    std::string text = received.substr(0, at);
    received.erase(0, at + 2);
    return text;
  }
  void send_backlog() {
    while (state == open && !flood_backlog.empty()) {
      ssize_t n = ::send(fd, flood_backlog.data(), std::min(flood_backlog.size(), kMaxFloodSend),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno == ECONNRESET) reset_seen = true;
      if (n <= 0) return;
      flood_backlog.erase(0, static_cast<std::size_t>(n));
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

inline json::json_pointer pointer_to(std::string path) {  // from a key such as limits.sockets
  std::replace(path.begin(), path.end(), '.', '/');
  return json::json_pointer("/" + path);
}

inline int signal_number(const std::string& name) {
  static const std::map<std::string, int> numbers = {
      {"TERM", SIGTERM}, {"INT", SIGINT}, {"HUP", SIGHUP}, {"USR1", SIGUSR1}, {"USR2", SIGUSR2}};
  return numbers.at(name);
}

inline std::string flood_line(int number) {
  std::string line = "flood ";
  line += std::to_string(number);
  line.append(80, '.');
  return line += "\r\n";
}

inline void replace_all(std::string& text, const std::string& what, const std::string& by) {
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size())
    text.replace(at, what.size(), by);
}

// Replaces ~n~ by a line end, and ~cr~ by its first byte.
inline std::string with_line_ends(std::string text) {
  replace_all(text, "~n~", "\r\n");
  replace_all(text, "~cr~", "\r");
  return text;
}

// Whether the text equals the pattern, in which ~ stands for one or more digits.
inline bool matches(const std::string& pattern, const std::string& text) {
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

}  // namespace marblehub::test
