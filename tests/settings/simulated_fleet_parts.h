// The clients, calls, workers and balancers of a simulated fleet, for its own sources.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "simulated_fleet.h"

namespace marblehub::settings_play {

inline constexpr double kLife = 20e6;  // of a connection, in the mean: the shorter ones of both deployments

struct SimulatedFleet::Client {
  std::uint64_t number = 0, group = 0;
  int request_class = 0, retries = 0;
  std::size_t balancer = 0;
  double load = 1;
  Time until = 0;  // it wants its connection until then
  bool returned = false;
};

struct SimulatedFleet::Call {
  std::shared_ptr<Client> client;
  Time deadline = 0;
  int attempts = 0;
  bool out = false, answered = false, open = false;
  std::size_t worker = 0;
};

struct SimulatedFleet::Worker {
  std::string address, zone;
  double capacity = 1, scale = 1;
  Health health = Health::serving;
  bool dead = false;
  Time started = 0, advanced = 0;  // started 0: warm since long ago
  double load = 0, worth = 0;      // of what stands here
  std::map<std::uint64_t, int> groups;
  std::set<std::pair<std::size_t, std::uint64_t>> standing, setting_up;
  DecayingValue extra;  // work of probes and set-ups, in seconds over about a second
};

struct SimulatedFleet::Balancing {
  std::unique_ptr<Policy> policy;
  const Balancer* module = nullptr;
  std::map<std::uint64_t, Call> calls;
  std::map<std::size_t, Time> told;  // that a worker leaves
  std::set<std::uint64_t> ended;
  bool watches = false;
};

}  // namespace marblehub::settings_play
