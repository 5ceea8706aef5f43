/// fleet.json and the files that it names. The program loads them at its start and at SIGHUP,
/// marblehub-config to check them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/json.h"
#include "fleet/settings/settings.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

/// The decoded files of the fleet, checked together.
struct FleetFiles {
  Settings settings;
  config::Values values;                 ///< of fleet.json, to find the keys that a reload changes
  std::string routes;                    ///< text of the routes file; empty: routes are off
  std::optional<WalletSettings> wallet;  ///< none: wallets are off
};

/// Decodes fleet.json from `options` and, if it is enabled, reads the files that it names. Pools are checked
/// against the workers of the starting file, if it has any. Throws config::DecodeError with file and key.
FleetFiles load_fleet_files(const config::Options& options, const config::Startup& startup);

/// The names of the request classes, by their numbers.
std::vector<std::string> class_names(const config::Startup& startup);

}  // namespace marblehub::fleet
