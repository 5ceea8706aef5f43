// Executes the steps of a recorded exchange, which support/exchange_player.h describes.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/exchange/connection.h"

namespace marblehub::test {

// Owns the program under test and the simulated clients, workers and registry.
class ExchangePlayer {
 public:
  ExchangePlayer();
  ~ExchangePlayer();

  // Executes one step; a failure fails the running test case.
  void step(const std::string& text);

 private:
  // A simulated worker.
  struct Worker {
    int fd = -1;  // listens
    bool ignores_probes = false, accepts = true;
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::unique_ptr<Connection>> fillers;  // connections that occupy its listen queue
    std::string answer;                                // sent to each call at once; empty: only steps answer
    int calls = 0;
  };

  // A further program, with an address of its own.
  struct ExtraProgram {
    std::unique_ptr<Program> program;
    std::unique_ptr<Connection> connection;
    sockaddr_in address{};
  };

  void set(const std::string& path, json value) { settings_[pointer_to(path)] = std::move(value); }
  void add_worker(const std::string& name);
  void add_entry(const std::string& name, const std::string& address);
  void add_unreachable(int count);
  std::unique_ptr<Program> make_program(Launch launch);
  void start(Launch launch);
  void restart();
  void signal_until_exit(int number);
  void start_other_programs(int count, int ms);
  bool answers_ping(int port, std::int64_t end);
  void start_extra_programs(int count);
  static bool receives_pong(ExtraProgram& extra);
  void expect_ready(std::size_t count, const std::string& limit);
  void expect_crowd(int count, std::string text, bool answered);
  void close_crowd(const std::string& how);
  void registry_step(const std::string& verb, const std::string& argument);
  void reload(const std::string& path, const std::string& value);
  void answer_literally(const std::string& verb, const std::string& text);
  void registry_down();
  void registry_up();
  void fill_queue(int listener, std::vector<std::unique_ptr<Connection>>& fillers);
  static bool has_pending_probe(const Worker& worker);
  void reset_idle_connections(Worker& worker);
  void drain_accept_queue(int listener, std::vector<std::unique_ptr<Connection>>& fillers);
  bool registry_has_request() const;
  void expect_registry_close(const std::string& how);
  std::string with_addresses(std::string text);
  void expect_logged(int times, const std::string& text);
  void flood(Connection& from, int lines);
  void expect_flood(Connection& to, int lines);
  void send_bytewise(Connection& to, const std::string& text);
  void connect_narrow(const std::string& who);
  void require_refused();
  void fill(Connection& to, const std::string& line);
  void expect_last(Connection& c, std::string text);
  int unacknowledged_bytes(int fd);
  static std::string crowd_text(int client, std::string text);
  void crowd(int count, const std::string& text);
  void flood(int count, const std::string& text);
  void send_from_crowd(const std::string& text);
  void serve_registry();
  void accept_registry_connection(int fd);
  void serve_other_program(Connection& connection);
  static bool asks_for_confirmation(const Connection& connection);
  void confirm_list();
  static std::string answer_of(const json& body);
  void send_list(const json& body);
  void run_once();
  void run_for(int ms);
  template <class Condition>
  void wait_until(Condition condition, int ms) {
    for (std::int64_t end = now_ms() + ms; now_ms() < end; usleep(1000)) {
      run_once();
      if (condition()) return;
    }
    program_->signal(SIGUSR1);  // prints its metrics to the log
    usleep(200000);
    FAIL("the condition was not met within " << ms << " ms; the log: " << program_->log());
  }
  void expect(const std::string& who, std::string pattern);
  Connection& conn(const std::string& who);

  json settings_ = settings(), pending_changes_ = json::array();
  std::map<std::string, json> worker_entries_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::shared_ptr<Connection>> connections_;
  int registry_fd_, registry_port_ = 0, list_version_ = 1, crowd_size_ = 0;
  bool fail_next_ = false, full_list_due_ = false, registry_held_ = false, registry_accepts_ = true;
  int registry_connection_count_ = 0;
  std::vector<std::unique_ptr<Connection>> registry_fillers_;
  std::vector<std::unique_ptr<Connection>>
      former_registry_connections_;  // at former addresses; closed by the program
  int socket_limit_ = 0;             // limits.sockets; 0: the default
  std::size_t max_descriptors_ = 0;  // upper bound for the program; 0: none
  std::vector<ExtraProgram> extra_programs_;
  rlim_t file_limit_ = 1024;
  std::unique_ptr<Connection> registry_;
  std::vector<std::unique_ptr<Connection>> other_registry_connections_;
  std::unique_ptr<Program> program_;
  std::vector<std::unique_ptr<Program>> other_programs_;
};

}  // namespace marblehub::test
