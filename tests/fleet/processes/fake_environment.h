// Fakes of the workers, the registry and the clients around the balancers, and what they observe.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marblehub::test {

/// A call that arrived at a worker.
struct Receipt {
  double at = 0;                               // seconds since the test's start, as all times here
  std::string worker, call, balancer, fields;  // fields as received: class, tenant, area
};
/// The final answer to a client's call.
struct Answer {
  double asked = 0, at = 0;                  // times of the call and of its answer
  std::string call, balancer, fields, text;  // text: UP ..., BUSY ..., or closed, none, not there
};

/// The end of a connection that was established.
struct ConnectionEnd {
  // silent: nothing arrived for 7 s; unexpected_line: the client received a line that no worker sends
  enum Cause { by_client, moved, dropped, silent, unexpected_line };
  double established_at = 0, at = 0;
  Cause cause = by_client;
  std::string call, balancer, worker, line;  // line: the unexpected one
};
/// A change of a worker that the balancers can notice, by the registry or by their connections.
struct WorkerEvent {
  double at = 0;
  std::string worker, what;  // draining, killed or started
};

/// Workers named w1, w2, ... that record receipts, the registry that lists them, and clients that call at a
/// steady rate and record their answers. All run in one thread of their own, so that the times recorded do
/// not depend on the test's own progress.
class FakeEnvironment {
 public:
  FakeEnvironment(int workers, std::int64_t started_ms);
  ~FakeEnvironment();
  FakeEnvironment(const FakeEnvironment&) = delete;

  int registry_port() const;
  std::string worker_list_json() const;  // the endpoint list of the registry
  // Sets the rate of calls to the balancer whose front is at `address`, for each `fields` on its own; 0 stops
  // them. `fields` follow the deadline in each OPEN line.
  void set_call_rate(const std::string& balancer, const std::string& address, double calls_per_second,
                     const std::string& fields);
  void set_silent(const std::string& worker, bool on);    // it accepts connections only
  void stall(const std::string& worker, double seconds);  // it neither reads nor writes meanwhile
  void stall(double seconds);                             // nor do all workers, clients and the registry
  // drain: the registry lists it as draining. kill: its connections are reset and new ones refused, the
  // registry still lists it. start: it comes back under its name, with a new start time.
  // Throws std::runtime_error for any other action and for an unknown worker.
  void change_worker(const std::string& name, const std::string& what);
  // Connections established from now on last that long, or until a MOVE; a moved client calls again at once.
  // The initial value 0 ends a connection with its answer.
  void set_connection_duration(double seconds);
  int moved_count() const;   // clients that received MOVE
  void honor_retry_after();  // clients answered BUSY MS call again after that time
  std::vector<Receipt> receipts() const;
  std::vector<Answer> answers() const;
  std::vector<ConnectionEnd> connection_ends() const;
  std::vector<WorkerEvent> worker_events() const;

 private:
  struct Worker;
  struct Client;
  // Calls of one kind at one balancer; `next` is the time of the next call.
  struct CallSource {
    std::string address;
    double calls_per_second = 0, next = 0;
  };
  struct Registry;
  void run();
  void step();
  void serve_worker(Worker& worker);
  void place_due_calls();
  void place_call(const std::string& balancer, const std::string& fields, const std::string& address,
                  const std::string& extra_fields = "");
  bool await_answer(Client& client);       // false if the call is over, without a connection that stays
  bool serve_established(Client& client);  // false if the connection has ended
  double now() const;

  mutable std::mutex mutex_;
  const std::int64_t started_ms_;
  std::unique_ptr<Registry> registry_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<std::pair<std::string, std::string>, CallSource> call_sources_;  // by balancer and fields
  bool honor_retry_after_ = false;
  std::multimap<double, std::pair<std::string, std::string>> retries_;
  std::vector<Receipt> receipts_;
  std::vector<Answer> answers_;
  std::vector<ConnectionEnd> connection_ends_;
  std::vector<WorkerEvent> worker_events_;
  std::uint64_t call_count_ = 0;
  double connection_duration_ = 0, stalled_until_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

/// Checks that no call is placed by a version later than `bound` seconds after a call was placed by a greater
/// version. `pools` holds the workers that each version names. Returns the violation, empty if there is none.
std::string check_version_order(const std::vector<Receipt>& receipts,
                                const std::map<std::uint64_t, std::vector<std::string>>& pools, double bound);

}  // namespace marblehub::test
