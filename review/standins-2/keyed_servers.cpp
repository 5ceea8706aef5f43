// Three servers of one cell that share what keys they have seen, for a class whose repeats they discard for a
// window. They answer the first attempt of each request with ERR shortly before its window ends, and hold the
// balancer up (SIGSTOP, then SIGCONT) in the moment in which it connects for the next attempt.
//
//   keyed_servers WINDOW_MS HOLD_MS LEAD_MS
//
// The ports go to standard output, then a line for each event. The first line of standard input is the process
// id of the balancer; its end ends the program. HOLD_MS 0: the balancer is not held up.
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

std::mutex mutex;
std::map<std::string, double> first_seen;  // by key: when the first attempt came, in ms
std::atomic<double> catch_until{0};        // while before it, the next connection is the next attempt's
std::atomic<pid_t> balancer{0};
double window_ms, hold_ms, lead_ms;
constexpr double kSpinMs = 4;
constexpr double kSlackMs = 50;  // every time limit is 50 ms longer on sockets

double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count(); }

void say(const std::string& text) {
  static std::mutex output;
  std::lock_guard lock(output);
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

bool send_line(int fd, const std::string& line) {
  std::string bytes = line + "\r\n";
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

bool read_line(int fd, std::string& buffer, std::string& line) {
  std::size_t end;
  while ((end = buffer.find('\n')) == std::string::npos) {
    char bytes[4096];
    ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
  }
  line = buffer.substr(0, end > 0 && buffer[end - 1] == '\r' ? end - 1 : end);
  buffer.erase(0, end + 1);
  return true;
}

void wait_until(double when) {
  if (when - now_ms() > 2)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(when - now_ms() - 1.5));
  while (now_ms() < when) {
  }
}

// A request: the first attempt is run and ends with ERR; a repeat is discarded while the window lasts.
// Returns whether the connection is up.
bool serve_request(int fd, int server, const std::string& line, double at) {
  std::istringstream words(line);
  std::string verb, id, key;
  words >> verb >> id >> key;
  std::unique_lock lock(mutex);
  auto [seen, is_first] = first_seen.emplace(key, at);
  const double age = at - seen->second;
  lock.unlock();
  char text[256];
  if (is_first) {
    std::snprintf(text, sizeof text, "RUN s-%d key %s first attempt of %s", server, key.c_str(), id.c_str());
    say(text);
    wait_until(at + window_ms - lead_ms - kSpinMs);
    catch_until = now_ms() + kSpinMs + 60;  // the listeners are looked at without a pause from here on
    wait_until(at + window_ms - lead_ms);
    send_line(fd, "ERR");
    return false;
  }
  const bool forgotten = age > window_ms + kSlackMs;
  std::snprintf(text, sizeof text, "%s s-%d key %s repeated %.1f ms after the first attempt of %s",
                forgotten ? "RUN-AGAIN" : "DISCARDED", server, key.c_str(), age, id.c_str());
  say(text);
  return send_line(fd, "UP s-" + std::to_string(server) + "-" + id);
}

void serve(int fd, int server) {
  std::string buffer, line;
  while (read_line(fd, buffer, line)) {
    const double at = now_ms();
    if (line.starts_with("OPEN ")) {
      if (!serve_request(fd, server, line, at)) break;
      std::string rest;
      while (read_line(fd, buffer, rest)) send_line(fd, "OK " + rest);
      break;
    }
    send_line(fd, line == "STATS" ? "PONG latency_ms=5,util=0.2,x0=0.2" : "PONG");
  }
  close(fd);
}

// Holds the balancer up between its connect and its write.
void hold_up() {
  kill(balancer, SIGSTOP);
  const double from = now_ms();
  wait_until(from + hold_ms);
  kill(balancer, SIGCONT);
  char text[64];
  std::snprintf(text, sizeof text, "HELD %.1f ms", now_ms() - from);
  say(text);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  window_ms = std::atof(argv[1]);
  hold_ms = std::atof(argv[2]);
  lead_ms = std::atof(argv[3]);
  std::vector<pollfd> listeners;
  std::string ports = "PORTS";
  for (int i = 0; i < 3; ++i) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 64) != 0) return 2;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    listeners.push_back({fd, POLLIN, 0});
    ports += " " + std::to_string(ntohs(at.sin_port));
  }
  say(ports);
  std::thread([] {
    std::string line;
    while (std::getline(std::cin, line)) balancer = std::atoi(line.c_str());
    std::_Exit(0);
  }).detach();
  for (;;) {
    const bool catching = now_ms() < catch_until;
    if (!catching) poll(listeners.data(), listeners.size(), 2);
    for (std::size_t i = 0; i < listeners.size(); ++i) {
      int fd = accept(listeners[i].fd, nullptr, nullptr);
      if (fd < 0) continue;
      if (now_ms() < catch_until && hold_ms > 0 && balancer > 0) {
        catch_until = 0;
        hold_up();
      }
      std::thread(serve, fd, static_cast<int>(i)).detach();
    }
  }
}
