// fleet.json and the files that it names, decoded and checked together: by the program at its start and at
// SIGHUP, and by marblehub-config.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/json.h"
#include "fleet/settings/settings.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

struct FleetFiles {
  Settings settings;
  config::Values values;  // of fleet.json, to tell what a reload would change
  std::string routes;     // the operator's words; empty: that part is off
  std::optional<WalletSettings> wallet;
};

// Throws config::DecodeError with file, place and key. The files that it names are read only where it is
// enabled. Pools are held against the workers that the start file knows, where it knows any.
FleetFiles load_fleet_files(const config::Options& options, const config::Startup& startup);

std::vector<std::string> class_names(const config::Startup& startup);

}  // namespace marblehub::fleet
