#include "fleet/service/files.h"

#include <utility>

#include "fleet/routes/table.h"
#include "fleet/service/pools.h"

namespace marblehub::fleet {
namespace {

void check_routes(const FleetFiles& files, const config::Startup& startup) {
  PooledWorkers workers;
  workers.update_list(startup.known);
  if (std::vector<ListedWorker> listed = workers.listed(); !listed.empty())
    parse_and_check_table(files.routes, files.settings.routes_file, 0, {class_names(startup), {}}, listed);
  else
    parse_table(files.routes, files.settings.routes_file);
}

}  // namespace

std::vector<std::string> class_names(const config::Startup& startup) {
  std::vector<std::string> names;
  for (const auto& c : startup.settings.classes) names.push_back(c.name);
  return names;
}

FleetFiles load_fleet_files(const config::Options& options, const config::Startup& startup) {
  FleetFiles files;
  files.settings = settings_from(options, startup.name);
  files.values = options.values();
  const Settings& s = files.settings;
  if (!s.enabled) return files;
  if (!s.routes_file.empty()) {
    auto text = config::read_file(s.routes_file);
    if (!text) throw config::DecodeError("cannot read " + s.routes_file);
    files.routes = std::move(*text);
    check_routes(files, startup);
  }
  if (!s.wallet_file.empty())
    files.wallet = wallet_settings_from(config::load_options(s.wallet_file), class_names(startup));
  return files;
}

}  // namespace marblehub::fleet
