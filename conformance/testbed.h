// The whole scene on loopback: a registry, workers, the balancer as the platform starts it, and clients.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peers/client.h"
#include "peers/worker.h"
#include "support/program.h"

namespace marblehub::peers {

using nlohmann::json;

// Answers the whole list at once and a watch when there is something newer (or after a while).
class StubRegistry {
 public:
  StubRegistry();
  ~StubRegistry();
  int port() const { return port_; }
  // since_ms: the Unix time at which it started; 0: long ago.
  void set(const std::string& name, const std::string& address, const std::string& status,
           std::int64_t since_ms = 0);
  void step();
  json list() const;
  bool has_watch() const;  // whether a watch is held, so that news are told at once

 private:
  struct Conn {
    int fd;
    std::string in;
    std::int64_t watch_since = 0;
    std::int64_t from = -1;  // of the watch that is held
  };
  void answer(Conn& conn, bool full_list);

  int fd_, port_;
  std::int64_t index_ = 1;
  std::map<std::string, json> entries_;
  std::map<std::string, std::int64_t> changed_;
  std::vector<Conn> conns_;
};

struct TestbedOptions {
  int family = AF_INET;
  bool proxy = false;
  json quic = json::object();  // laid over the file's usual contents
  int deadline_ms = 1500;
  rlim_t file_limit = 1024;
  WorkerOptions worker;
};

class Testbed {
 public:
  Testbed(const std::vector<std::string>& names, TestbedOptions options = {});
  ~Testbed();

  Client& client(ClientOptions options = {});
  // Runs everyone for so long, or until `done`; whether it was.
  bool run(
      int ms, const std::function<bool()>& done = [] { return false; });
  bool all_connected();  // whether every client has its connection
  bool all_answered();   // whether every client has every answer, once
  Worker& worker(std::size_t i) { return *workers[i]; }
  void set_status(Worker& worker, const std::string& status);  // tells the registry
  void publish_address(Worker& worker);                        // after a restart
  // Kills the balancer outright and starts it anew on the same addresses, knowing its list only.
  void restart_router();
  // A second one beside it, with the same files but its own address.
  Endpoint second_router();
  void write_quic(const json& overrides);  // another quic.json; then reload()
  void reload();
  double counter(const std::string& name, bool second = false);
  std::string metric_text(bool second = false);
  const Endpoint& router() const { return router_; }

  TestbedOptions options;
  StubRegistry registry;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Client>> clients;
  std::unique_ptr<test::Program> program, second;

 private:
  json quic_settings(const Endpoint& listen) const;
  std::unique_ptr<test::Program> start(const std::string& file);
  std::string quic_path_, second_path_;
  json overrides_;
  Endpoint router_;
};

}  // namespace marblehub::peers
