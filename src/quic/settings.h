// The second front's own file, deploy/quic.json. It is off unless the file enables it. docs/quic.md has every
// key with its unit and bounds.
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

enum class Forwarding {
  socket,    // a socket, and so a descriptor, for each client address and worker
  proxy_v2,  // one for each worker; a PROXY header before each datagram names the client
};

struct QuicSettings {
  bool enabled = false;
  std::string listen;
  std::string request_class;
  marblehub::policy::Time deadline = 0, idle_timeout = 0;
  std::size_t max_calls = 0, max_paths = 0;  // the most of each
  Forwarding forwarding = Forwarding::socket;
  std::vector<std::uint32_t> versions = {kVersion1, kVersion2};
  std::vector<IdConfig> ids;
  marblehub::policy::Time retirement_period =
      600'000'000;  // how long a config that a reload takes out still routes
  ValidationSettings retry;
  std::string reset_key;  // shared with the workers; empty: no stateless resets
  double resets_per_second = 100;
  // Workers whose server id or address differs from the rule (SHA-256 of the name; the registry's address).
  struct Worker {
    std::string server_id, address;
  };
  std::map<std::string, Worker> workers;
};

// `folder` is where key files with relative names are. Throws config::DecodeError with place and key; no
// key's octets are ever part of it.
QuicSettings quic_settings_from(const config::Options& options, const std::string& folder = ".");

// The server id of a worker under a config: given in the file or derived from its name.
std::string server_id_of(const QuicSettings& settings, const std::string& worker, const IdConfig& config);

// What makes these workers unroutable under these settings, one plain line each: two that come to the same
// server id, or more workers than a server id's length can tell apart.
std::vector<std::string> server_id_conflicts(const QuicSettings& settings,
                                             const std::vector<std::string>& workers);

// What of a reloaded file takes a restart to follow, by key.
std::vector<std::string> needs_restart(const QuicSettings& in_force, const QuicSettings& reloaded);

}  // namespace marblehub::quic
