// What stands around the balancers: workers that write receipts, the registry that lists them, and clients
// that call at a steady rate, note what they are answered, and stand for a while. In a thread of their own,
// so that times are those of the calls and not of the harness.
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

struct Receipt {
  double at = 0;                               // seconds since the harness began
  std::string worker, call, balancer, fields;  // fields as they came: class, tenant, area
};
struct Answer {
  double asked = 0, at = 0;
  std::string call, balancer, fields, text;  // text: UP ..., BUSY ..., or "closed" where it ended without one
};

// How a connection that stood came to its end.
struct ConnectionEnd {
  enum Cause {
    by_client,
    moved,
    dropped,
    silent,
    unexpected_line
  };  // own: the client's; stray: a line that no worker sent
  double established_at = 0, at = 0;
  Cause cause = by_client;
  std::string call, balancer, worker, line;  // line: the stray one
};
// What the registry or a worker's own end has told the balancers of it.
struct WorkerEvent {
  double at = 0;
  std::string worker, what;  // "draining", "killed", or "started": cold, with a time of its start
};

class FakeEnvironment {
 public:
  FakeEnvironment(int workers, std::int64_t started_ms);
  ~FakeEnvironment();
  FakeEnvironment(const FakeEnvironment&) = delete;

  int registry_port() const;
  std::string worker_list_json() const;  // the list to start with, as JSON
  // From now on so many calls a second at the balancer whose front is at `address`; 0 ends it. `fields`
  // stand in each OPEN line after its deadline.
  void set_call_rate(const std::string& balancer, const std::string& address, double calls_per_second,
                     const std::string& fields);
  void set_silent(const std::string& worker, bool on);    // it takes connections, and says and notes nothing
  void stall(const std::string& worker, double seconds);  // it reads and says nothing for so long
  void stall(double seconds);                             // nor do any workers, clients and the registry
  // "drain" tells the registry; "kill" resets what stands at it and refuses what is new, without a word to
  // the registry; "start" has it come back cold under its name.
  void change_worker(const std::string& name, const std::string& what);
  // Clients that are set up from now on keep it for so long, or until they are told to move: those come
  // again at once. At first they end it with the answer.
  void set_connection_duration(double seconds);
  int moved_count() const;   // told so
  void honor_retry_after();  // from now on whoever is told BUSY MS calls again then
  std::vector<Receipt> receipts() const;
  std::vector<Answer> answers() const;
  std::vector<ConnectionEnd> connection_ends() const;
  std::vector<WorkerEvent> worker_events() const;

 private:
  struct Worker;
  struct Client;
  struct CallSource {
    std::string address;
    double calls_per_second = 0, next = 0;
  };
  struct Registry;
  void run();
  void step();
  void step(Worker& worker);
  void ask();
  void ask(const std::string& balancer, const std::string& fields, const std::string& address,
           const std::string& extra_fields = "");
  bool step(Client& client);               // false: it has its answer, and does not stand
  bool serve_established(Client& client);  // false: it has ended
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

// Verdicts from receipts alone; empty: it holds. `pools`: by version, the workers it names. No call is placed
// by a version later than `bound` seconds after one was placed by a later version.
std::string check_version_order(const std::vector<Receipt>& receipts,
                                const std::map<std::uint64_t, std::vector<std::string>>& pools, double bound);

}  // namespace marblehub::test
