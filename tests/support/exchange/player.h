// Plays the steps of a recorded exchange; support/exchange_player.h describes them.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/exchange/connection.h"

namespace marblehub::test {

class ExchangePlayer {
 public:
  ExchangePlayer();
  ~ExchangePlayer();

  void step(const std::string& text);

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
  void add_worker(const std::string& name);
  void add_entry(const std::string& name, const std::string& address);
  void add_unreachable(int count);
  std::unique_ptr<Program> launched(Launch launch);
  void start(Launch launch);
  void storm(int number);
  void start_others(int count, int ms);
  static bool answers_ping(int port, std::int64_t end);
  void start_fellows(int count);
  static bool says_pong(Fellow& fellow);
  void expect_ready(std::size_t count, const std::string& limit);
  void expect_crowd(int count, std::string text, bool answered);
  void crowd_ends(const std::string& how);
  void tell(const std::string& name, const std::string& status);
  void reload(const std::string& path, const std::string& value);
  void answer_literally(const std::string& form, const std::string& text);
  void registry_down();
  void registry_up();
  void fill_queue(int listener, std::vector<std::unique_ptr<Conn>>& fillers);
  static bool probed(const Worker& worker);
  void drop_callless(Worker& worker);
  void drain_accept_queue(int listener, std::vector<std::unique_ptr<Conn>>& fillers);
  bool registry_asked() const;
  void registry_ends(const std::string& how);
  std::string with_addresses(std::string text);
  void logged(int times, const std::string& text);
  void flood(Conn& from, int lines);
  void take_flood(Conn& to, int lines);
  void send_bytewise(Conn& to, const std::string& text);
  void connect_narrow(const std::string& who);
  void require_refused();
  void fill(Conn& to, const std::string& line);
  void expect_last(Conn& c, std::string text);
  int bytes_untaken(int fd);
  static std::string said_by(int client, std::string text);
  void crowd(int count, const std::string& text);
  void flood(int count, const std::string& text);
  void crowd_says(const std::string& text);
  void serve_registry();
  void answer(const json& body);
  void pump();
  void pump_for(int ms);
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
  void expect(const std::string& who, std::string pattern);
  Conn& conn(const std::string& who);

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

}  // namespace marblehub::test
