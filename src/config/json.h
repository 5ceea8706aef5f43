// JSON documents, flattened into path=value pairs for the common decoder. No field is read from JSON
// directly.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"

namespace marblehub::config {

std::optional<sockaddr_in> parse_address(std::string_view text);  // a.b.c.d:port

std::optional<std::string> read_file(const std::string& path);  // none where it cannot be read

// Comments that begin with // are passed over. A list of plain values is joined by commas; a list of objects
// gives .count and its items under .0, .1 ...
Options flatten(std::string_view json, std::string place);

// The same for a file, whose path is the place; one that cannot be read is refused.
Options load_options(const std::string& path);

// The part of the options below `path`, with the path taken off.
Options sub_options(const Options& options, std::string_view path, std::string place);

struct WorkerEntry {
  marblehub::policy::BackendEntry backend;  // its address is the worker's name: the same at every balancer
  std::string address;                      // where this balancer reaches it
};

// One answer of the registry, or the list a balancer is started with.
struct WorkerList {
  std::int64_t index = 0;
  bool snapshot = true;
  std::vector<WorkerEntry> workers;

  std::vector<std::string> names() const;
};
WorkerList list_from(const Options& options);

// What the platform hands a balancer at start.
struct Startup {
  std::string name, listen, registry;
  std::uint64_t seed = 0;
  std::int64_t sockets = 1024;
  WorkerList known;
  marblehub::policy::Settings settings;
  marblehub::policy::Time longest_deadline = 0;  // of the classes' give_up_us, as a planned restart counts it
  std::string quic_file = "deploy/quic.json";    // of the second front; off where there is none
  std::string remote_write_file = "deploy/remote_write.json";  // the same
  std::string rebalance_file = "deploy/rebalance.json";        // of the planner of moves; the same
  std::string fleet_file = "deploy/fleet.json";                // of what balancers keep together; the same
  std::string log_file = "deploy/log.json";                    // how much the log says; info without one
};
Startup startup_from(const Options& options);

// A starting file, decoded whole or not at all: what is wrong is thrown with its place and key.
struct LoadedStartup {
  Startup startup;
  Values values;  // as they stand in the file, to tell what a reload would change
};
LoadedStartup load_startup(const std::string& path);

// The keys of a reloaded file that differ from those in force and take a restart to follow.
std::vector<std::string> needs_restart(const Values& in_force, const Values& reloaded);

}  // namespace marblehub::config
