/// A QUIC worker of the conformance tests.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peers/udp.h"
#include "quic/connection_id.h"

namespace marblehub::peers {

class ServedConnection;

/// The options of a worker.
struct WorkerOptions {
  int family = AF_INET;
  bool proxy = false;  // the router sends a PROXY v2 header before each datagram
  quic::IdConfig ids{2, 4, 6, ""};
  std::string reset_key;
  bool retry = false;         // sends Retry packets of its own
  bool refuse = false;        // closes every new connection with CONNECTION_REFUSED
  bool busy = false;          // answers each Initial with BUSY
  bool unresponsive = false;  // never answers
  bool link_ids = true;       // sends LINK for each id it issues
  std::int64_t lock_delay_us = 80'000;
};

/// A worker, which accepts connections and answers each request with "OK" and its text.
class Worker {
 public:
  Worker(std::string name, WorkerOptions options = {});
  ~Worker();
  /// Processes received datagrams and timers and sends what is due; never blocks.
  void step();
  /// Closes the port and drops all connections without notice, as a crash does.
  void kill();
  bool dead() const { return !udp_; }
  /// Starts again with the same name, another address and no connections.
  void restart();

  const std::string name, server_id;
  WorkerOptions options;
  const Endpoint& address() const { return udp_->local(); }
  std::size_t connections() const;
  int initials = 0;  // Initials of unknown connections
  int accepted = 0;
  int store_calls = 0;                  // one for each accepted connection
  std::map<std::string, int> executed;  // how often each request was executed, by its text
  std::vector<std::int64_t> accepted_at;
  std::set<std::string> moves;  // ids in the router's MOVE requests
  std::size_t datagrams = 0, ecn_marked = 0;
  std::optional<std::pair<std::string, std::string>> last_retry;  // original and Retry id
  std::set<std::string> client_addresses;                         // from the PROXY headers or the socket

 private:
  friend class ServedConnection;
  ServedConnection* accept(const std::string& bytes, const Endpoint& client);
  void handle_control(std::string_view message, const Endpoint& client, const Endpoint& router);
  void send(std::string_view bytes, const Endpoint& client);
  void send_control(const std::string& message, const Endpoint& client);
  void send_left(const Endpoint& router, const Endpoint& client, const std::string& id);
  std::string make_id();

  quic::IdCodec codec_;
  std::unique_ptr<Udp> udp_;
  std::map<std::string, std::shared_ptr<ServedConnection>> by_id_;
  std::vector<std::shared_ptr<ServedConnection>> all_;
  std::map<std::string, Endpoint> routers_;          // the router of each client, by client address
  std::map<std::string, std::string> original_ids_;  // retry id to original id
  std::mt19937_64 random_;
  Endpoint listen_;  // the router's address, from the PROXY header
};

}  // namespace marblehub::peers
