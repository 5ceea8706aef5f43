// The clients, calls, workers and balancers of a simulated fleet, for its source files only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "simulated_fleet.h"

namespace marblehub::random_settings {

// The mean duration of a connection, in microseconds.
inline constexpr double kMeanConnectionLife = 20e6;

// A client that keeps a connection until a given time and calls again when it is refused or interrupted.
struct SimulatedFleet::Client {
  std::uint64_t number = 0, group = 0;
  int request_class = 0, retries = 0;
  std::size_t balancer = 0;
  double load = 1;
  Time until = 0;  // end of the connection that it wants
  bool returned = false;
};

// A client's call at a balancer, from its request to the end of its connection.
struct SimulatedFleet::Call {
  std::shared_ptr<Client> client;
  Time deadline = 0;
  int attempts = 0;
  bool attempt_pending = false, answered = false, established = false;
  std::size_t worker = 0;
};

// A worker with its connections and load.
struct SimulatedFleet::Worker {
  std::string address, zone;
  double capacity = 1, scale = 1;
  Health health = Health::serving;
  bool dead = false;
  Time started = 0, advanced = 0;  // started 0: already warm
  double load = 0, value = 0;      // of its established connections
  std::map<std::uint64_t, int> groups;
  std::set<std::pair<std::size_t, std::uint64_t>> connections, setting_up;
  DecayingValue short_work;  // CPU seconds of probes and set-ups, decaying over one second
};

// A balancer with its calls and what it knows of draining workers.
struct SimulatedFleet::SimulatedBalancer {
  std::unique_ptr<Policy> policy;
  const Balancer* tested_balancer = nullptr;  // null with the random policy
  std::map<std::uint64_t, Call> calls;
  std::map<std::size_t, Time> drain_known_since;  // by worker
  std::set<std::uint64_t> ended;
  bool watching = false;
};

}  // namespace marblehub::random_settings
