/// A real QUIC worker behind the router.
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

struct WorkerOptions {
  int family = AF_INET;
  bool proxy = false;  // the router speaks proxy-v2 to it
  quic::IdConfig ids{2, 4, 6, ""};
  std::string reset_key;
  bool retry = false;         // asks for a Retry of its own
  bool refuse = false;        // closes every new connection with CONNECTION_REFUSED
  bool busy = false;          // answers BUSY
  bool unresponsive = false;  // takes everything and says nothing
  bool link_ids = true;       // tells the router of the ids it gives out
  std::int64_t lock_delay_us = 80'000;
};

class Worker {
 public:
  Worker(std::string name, WorkerOptions options = {});
  ~Worker();
  void step();
  // As a process that dies: its port is closed, its connections are gone with no word.
  void kill();
  bool dead() const { return !udp_; }
  void restart();  // under its name, at another address, knowing nothing

  const std::string name, server_id;
  WorkerOptions options;
  const Endpoint& address() const { return udp_->local(); }
  std::size_t connections() const;
  int initials = 0;  // first datagrams of connections it had not known
  int accepted = 0;
  int store_calls = 0;                  // connections set up, each of which would call the session store
  std::map<std::string, int> executed;  // requests, by their text
  std::vector<std::int64_t> accepted_at;
  std::set<std::string> moves;  // ids that the router asked it to move
  std::size_t datagrams = 0, ecn_marked = 0;
  std::optional<std::pair<std::string, std::string>> last_retry;  // original and retry id, as told
  std::set<std::string> client_addresses;  // addresses that the PROXY header or the socket named

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
  std::map<std::string, Endpoint> routers_;          // by client's address: where its datagrams come from
  std::map<std::string, std::string> original_ids_;  // retry id to original id
  std::mt19937_64 random_;
  Endpoint listen_;  // the router's own address, as the PROXY header names it
};

}  // namespace marblehub::peers
