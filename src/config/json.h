/// Reads JSON documents: flattens them into path=value pairs, and decodes worker lists and the starting file,
/// which is the configuration that the program reads at its start.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"

namespace marblehub::config {

/// Parses a.b.c.d:port; none if it is malformed.
std::optional<sockaddr_in> parse_address(std::string_view text);

/// The content of a file; none if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Flattens a JSON object. Comments that begin with // are ignored. A list of plain values is joined by
/// commas; a list of objects becomes .count and its items under .0, .1 and so on. `place`, as in "FILE: ",
/// precedes each error message. Throws DecodeError.
Options flatten(std::string_view json, std::string place);

/// Flattens the content of a file, with its path as `place`. Throws DecodeError if it cannot be read.
Options load_options(const std::string& path);

/// The options below `path`, with the path removed from their keys. `options` must outlive the result.
Options sub_options(const Options& options, std::string_view path, std::string place);

/// One worker of a list.
struct WorkerEntry {
  marblehub::policy::BackendEntry backend;  // its `address` is the worker's name, equal at all balancers
  std::string address;                      // at which this balancer reaches it
};

/// A response of the registry, or the list in the starting file.
struct WorkerList {
  std::int64_t index = 0;  // the list's version
  bool snapshot = true;    // a full list; else only changed workers
  std::vector<WorkerEntry> workers;

  /// The names of all workers, in the order of the list.
  std::vector<std::string> names() const;
};
/// Decodes a worker list. Throws DecodeError.
WorkerList list_from(const Options& options);

/// The content of the starting file.
struct Startup {
  std::string name, listen, registry;
  std::uint64_t seed = 0;
  std::int64_t sockets = 1024;  // limits.sockets; limits the open descriptors
  WorkerList known;             // the last known list of workers
  marblehub::policy::Settings settings;
  // The longest give_up_us of all classes, in microseconds; sets the schedule of a planned restart.
  marblehub::policy::Time longest_deadline = 0;
  std::string quic_file = "deploy/quic.json";                  // QUIC front; disabled if the file is missing
  std::string remote_write_file = "deploy/remote_write.json";  // remote write; disabled if missing
  std::string rebalance_file = "deploy/rebalance.json";        // rebalancing; disabled if missing
  std::string fleet_file = "deploy/fleet.json";  // state shared by the balancers; disabled if missing
  std::string log_file = "deploy/log.json";      // log level; info if missing
};
/// Decodes a starting file. Throws DecodeError.
Startup startup_from(const Options& options);

/// A decoded starting file.
struct LoadedStartup {
  Startup startup;
  Values values;  // as written in the file, to compare with a reloaded one
};
/// Reads and decodes a starting file. Throws DecodeError with the file and the key.
LoadedStartup load_startup(const std::string& path);

/// Checks that a reloaded file is not cut short: it has those optional keys of the file in force without
/// which other limits or deadlines would apply. Throws DecodeError with the path and the key.
void check_reload(const Values& in_force, const LoadedStartup& reloaded, const std::string& path);

/// The keys whose values differ from those in force and are applied only by a restart.
std::vector<std::string> needs_restart(const Values& in_force, const Values& reloaded);

}  // namespace marblehub::config
