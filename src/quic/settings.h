// The settings of the QUIC front, read from deploy/quic.json; the front is off unless that file enables it.
// docs/quic.md lists every key with its unit and bounds.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"
#include "quic/connection_id.h"
#include "quic/endpoint.h"
#include "quic/validation.h"

namespace marblehub::quic {

/// How the front forwards datagrams to workers.
enum class Forwarding {
  socket,    ///< one socket, and so one descriptor, for each pair of client address and worker
  proxy_v2,  ///< one socket for each worker; a PROXY header before each datagram holds the client's address
};

/// The settings of the QUIC front. Times are in microseconds.
struct QuicSettings {
  bool enabled = false;
  std::string listen;         ///< as Endpoint::parse() reads it
  std::string request_class;  ///< the class of all calls of this front
  // The deadline of a call until it is established; the idle timeout of connections and paths.
  marblehub::policy::Time deadline = 0, idle_timeout = 0;
  // Calls and connections at a time; pairs of client address and worker at a time.
  std::size_t max_calls = 0, max_paths = 0;
  Forwarding forwarding = Forwarding::socket;
  std::vector<std::uint32_t> versions = {kVersion1, kVersion2};
  std::vector<IdConfig> ids;
  /// How long a connection id config that a reload removed is still used for routing.
  marblehub::policy::Time retirement_period = 600'000'000;
  ValidationSettings retry;
  std::string reset_key;  ///< shared with the workers; empty: no stateless resets
  double resets_per_second = 100;
  /// The configured server id and address of a worker. Empty: the server id derived from its name, and the
  /// registry's address.
  struct Worker {
    std::string server_id, address;
  };
  std::map<std::string, Worker> workers;  ///< by name
};

/// Decodes the settings. `folder` is the base of relative key file names. Throws config::DecodeError with the
/// place and the setting's name, and never with bytes of a key.
QuicSettings quic_settings_from(const config::Options& options, const std::string& folder = ".");

/// The server id of a worker under a config: the configured one if it has the config's length, else the
/// default derived from its name.
std::string server_id_of(const QuicSettings& settings, const std::string& worker, const IdConfig& config);

/// The reasons why connection ids cannot identify each of these workers, one line each: two workers with the
/// same server id, or more workers than a server id of 1 byte distinguishes. Empty if there are none.
std::vector<std::string> server_id_conflicts(const QuicSettings& settings,
                                             const std::vector<std::string>& workers);

/// The keys whose changed values in a reloaded file take effect only after a restart.
std::vector<std::string> needs_restart(const QuicSettings& in_force, const QuicSettings& reloaded);

}  // namespace marblehub::quic
