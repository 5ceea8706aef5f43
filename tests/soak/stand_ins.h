/// Stand-ins for workers and clients, and several balancers as processes, for tests that play a fleet over
/// loopback in one thread.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/program.h"
#include "testbed.h"

namespace marblehub::test {

/// A request as it reached a worker.
struct ArrivedRequest {
  std::string id;
  std::int64_t at_ms = 0;  // when its line was complete; steady clock
};

/// A worker that answers each probe with PONG, each request with UP, and each further line with a line.
class StandInWorker {
 public:
  explicit StandInWorker(std::string name);
  ~StandInWorker();
  const std::string& name() const { return name_; }
  std::string address() const { return loopback_address_text(port_of(listener_)); }
  const std::vector<ArrivedRequest>& requests() const { return requests_; }
  /// While it is silent it reads requests and does not answer them.
  void set_silent(bool silent) { silent_ = silent; }
  /// While it hangs it reads nothing and answers nothing.
  void set_hanging(bool hanging) { hanging_ = hanging; }
  void step();

 private:
  // A connection of a balancer.
  struct Link {
    int fd = -1;
    std::string input;
    bool serves = false;
  };
  void read(Link& link);
  void answer_line(Link& link, const std::string& line);

  const std::string name_;
  const int listener_;
  bool hanging_ = false, silent_ = false;
  std::list<Link> links_;
  std::vector<ArrivedRequest> requests_;
};

/// A client with one request, from its connect to its end.
class StandInClient {
 public:
  /// Connects without waiting and sends the request at once.
  StandInClient(const sockaddr_in& balancer, std::string id, int deadline_ms);
  ~StandInClient();
  StandInClient(const StandInClient&) = delete;
  StandInClient& operator=(const StandInClient&) = delete;
  void step();

  const std::string& id() const { return id_; }
  /// The first line that came back; empty before.
  const std::string& answer() const { return answer_; }
  bool is_up() const { return answer_.starts_with("UP"); }
  /// Whether the connection was never accepted, so that no answer is owed.
  bool was_refused() const { return refused_; }
  bool closed() const { return fd_ < 0; }
  std::int64_t asked_at_ms() const { return asked_at_ms_; }
  std::int64_t answered_at_ms() const { return answered_at_ms_; }
  /// Closes the connection, with a reset if there is unread input or `reset`.
  void leave(bool reset = false);

 private:
  const std::string id_;
  const int deadline_ms_;
  int fd_;
  bool sent_ = false, refused_ = false;
  std::string input_, answer_;
  std::int64_t asked_at_ms_ = 0, answered_at_ms_ = 0;
};

}  // namespace marblehub::test
