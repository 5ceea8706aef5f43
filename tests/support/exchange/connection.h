// A connection of a stand-in, and the texts that steps write.
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

inline constexpr int kStepTimeout = 4000;
inline constexpr int kFloodTimeout = 10000;
inline constexpr int kBetweenBytes =
    2000;  // microseconds, in which the program reads what its system has taken
inline constexpr std::size_t kFloodAtOnce = 1 << 20;  // bytes of a flood handed to the system in one send

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

inline json::json_pointer pointer_to(std::string path) {  // of a key such as limits.sockets
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

inline std::string with_line_ends(std::string text) {
  replace_all(text, "~n~", "\r\n");
  replace_all(text, "~cr~", "\r");
  return text;
}

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
