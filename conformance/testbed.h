// The testbed of the conformance suites, on loopback: a stub registry, workers, the balancer process, and
// clients. All peers run in the thread that calls Testbed::run.
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

/// How the registry answers its calls: correctly, with status 503, with half of the answer before it closes
/// the connection, or not at all.
enum class RegistryFault { none, refuses, half_answers, silent };

/// A stub of the registry's HTTP interface. It answers a request for the full list at once, and a watch when
/// there is a newer change or at the end of its wait.
class StubRegistry {
 public:
  StubRegistry();
  ~StubRegistry();
  int port() const { return port_; }
  /// The version of the list.
  std::int64_t index() const { return index_; }
  /// Adds or updates an endpoint. `since_ms` is the Unix time at which it started; 0: long ago.
  void set(const std::string& name, const std::string& address, const std::string& status,
           std::int64_t since_ms = 0);
  /// Applies to calls that are not answered yet.
  void set_fault(RegistryFault fault) { fault_ = fault; }
  /// The shortest time from a call to its answer.
  void set_answer_delay(std::int64_t us) { answer_delay_ = us; }
  /// Closes the listener and resets all connections; up() listens at the same port again.
  void down();
  void up();
  /// When calls arrived, in microseconds.
  const std::vector<std::int64_t>& call_times() const { return call_times_; }
  /// Accepts connections and answers requests; never blocks.
  void step();
  /// All endpoints whose status is not `gone`.
  json list() const;
  /// Whether the balancer has a pending watch, so that the next change reaches it at once.
  bool has_watch() const;

 private:
  // A connection of the balancer.
  struct Conn {
    int fd;
    std::string in;
    std::int64_t called_at = 0;  // when the pending call arrived; 0: none
    std::int64_t hold = 0;       // how long the pending watch waits
    std::int64_t from = -1;      // the index that the pending watch starts from; -1: the full list
  };
  void accept_connections();
  void read_call(Conn& conn);
  void answer_if_due(Conn& conn);
  void answer(Conn& conn);
  void close(Conn& conn);

  int fd_, port_;
  RegistryFault fault_ = RegistryFault::none;
  std::int64_t answer_delay_ = 0;
  std::vector<std::int64_t> call_times_;
  std::int64_t index_ = 1;
  std::map<std::string, json> entries_;
  std::map<std::string, std::int64_t> changed_;
  std::vector<Conn> conns_;
};

/// The options of a testbed.
struct TestbedOptions {
  int family = AF_INET;
  bool proxy = false;          // forwarding proxy-v2 instead of socket
  json quic = json::object();  // replaces keys of the default quic.json
  int deadline_ms = 1500;
  rlim_t file_limit = 1024;  // the balancer's limit of descriptors
  WorkerOptions worker;
};

/// Starts the balancer and one worker for each name; owns all peers and processes.
class Testbed {
 public:
  Testbed(const std::vector<std::string>& names, TestbedOptions options = {});
  ~Testbed();

  /// Adds a client that connects to the first router.
  Client& client(ClientOptions options = {});
  /// Polls all peers for `ms` milliseconds or until `done`; returns whether it was done.
  bool run(
      int ms, const std::function<bool()>& done = [] { return false; });
  bool all_connected();  ///< whether every client has completed its handshake
  bool all_answered();   ///< whether every client has exactly one answer to each request
  Worker& worker(std::size_t i) { return *workers[i]; }
  /// Sets the worker's status in the registry.
  void set_status(Worker& worker, const std::string& status);
  /// Updates the worker's address in the registry after a restart.
  void publish_address(Worker& worker);
  /// Kills the balancer and starts a new process with the same addresses and files.
  void restart_router();
  /// Starts a second balancer with the same settings and its own address, which is returned.
  Endpoint second_router();
  /// Changes keys of quic.json; reload() applies them.
  void write_quic(const json& overrides);
  void reload();
  /// The value of a metric, and the metrics as text, of the first or the second balancer.
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
