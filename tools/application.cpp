#include "application.h"

#include <fmt/format.h>

#include <filesystem>

#include "config/json.h"
#include "fleet/routes/table.h"
#include "fleet/service/files.h"
#include "log/settings.h"
#include "net/stream.h"
#include "quic/settings.h"
#include "rebalance/settings.h"
#include "remote_write/remote_write.h"

namespace marblehub::config {

const std::vector<Application>& applications() {
  static const std::vector<Application> all = {
      {"scooters", "scooters that report their position and receive lock commands", "telemetry", 500, 3000,
       150, 4},
      {"chat", "interactive chat, where a delay of a second is noticed", "chat", 300, 2000, 100, 3},
      {"metering", "meters that report occasionally and tolerate delay", "report", 2000, 10000, 1000, 4},
  };
  return all;
}

std::string sample_config(const Application& a) {
  return fmt::format(R"(// marblehub for {}: {}.
// Set BALANCER_CONFIG to the path of this file. Validate it with: marblehub-config check FILE
{{
  "name": "n0",                      // unique name of this balancer; keep it across restarts
  "listen": "127.0.0.1:7070",        // address for clients
  "discovery": "127.0.0.1:8500",     // address of the registry that lists the workers
  "seed": "0000000000000001",        // hexadecimal; different on every balancer
  "limits": {{"sockets": 4096}},       // maximum number of file descriptors
  "quic": "deploy/quic.json",        // QUIC front; off unless that file enables it
  "remote_write": "deploy/remote_write.json",  // metrics export; off unless that file enables it
  "rebalance": "deploy/rebalance.json",  // rebalancing of established connections; off unless enabled there
  "fleet": "deploy/fleet.json",          // view, routes and wallets of the fleet; off unless enabled there
  "log": "deploy/log.json",              // log level

  // Workers known before the registry answers. The registry's list takes precedence.
  "known": {{"index": 0, "snapshot": true, "endpoints": []}},

  "settings": {{
    "balancers": 1,                  // number of balancers that share the clients
    "me": 0,                         // index of this balancer, from 0
    "zone": "a",                     // zone whose workers are preferred
    "registry_mode": "ask",          // ask: query the registry; push: the registry sends updates
    "limits": {{
      "max_attempts": {},             // maximum number of workers tried for a call
      "probes": true,                // whether workers are probed
      "retry_after": true,           // whether refused clients are told when to retry
      "max_retry_after_us": 1500000, // maximum retry delay
      "connect_timeout_us": 250000   // time until a connect to a worker fails
    }},
    "invariants": {{
      "stop_sending_within_us": 250000, // time after which a draining worker gets no new calls
      "cold_share": 0.13,            // share of its capacity that a worker has when it starts
      "warm_within_us": 24000000     // time until it has its full capacity
    }},
    "specifics": {{
      "message_aim_us": [{}]     // latency target of messages on established connections
    }},
    "request_classes": [
      {{
        "name": "{}",         // value of c= in a client's OPEN line
        "slo_us": {},            // latency target of a call
        "give_up_us": {},       // time after which the client gives up
        "repeat": "safe",            // whether a call may be repeated: safe, keyed or unsafe
        "dedup_scope": "all",        // for keyed: where repeats are recognized: all, zone or cell
        "window_us": 5000000,        // for keyed: how long repeats are recognized
        "stream": true               // whether a call opens a long-lived connection
      }}
    ]
  }}
}}
)",
                     a.name, a.summary, a.attempts, a.message_target_ms * 1000, a.request_class,
                     a.latency_target_ms * 1000, a.deadline_ms * 1000);
}

namespace {

// Reports workers of the main file that would share a server id on the QUIC front.
void check_server_ids(const Startup& startup, const std::string& text, const std::filesystem::path& path,
                      Findings& findings) {
  auto settings = quic::quic_settings_from(flatten(text, ""), path.parent_path());
  for (std::string& line : quic::server_id_conflicts(settings, startup.known.names()))
    findings.errors.push_back(std::move(line));
}

// Validates fleet.json as the balancer does, with the name, the classes and the workers of the main file.
void check_fleet(const Startup& startup, Findings& findings) {
  const std::string& name = startup.fleet_file;
  try {
    if (std::filesystem::exists(name))
      fleet::load_fleet_files(load_options(name), startup);
    else
      findings.warnings.push_back(fmt::format("{}: not found; its features stay off", name));
  } catch (const DecodeError& error) {
    findings.errors.emplace_back(error.what());
  }
}

// A balancer name to validate fleet.json with when there is no main file: the last of its members, if any.
std::string placeholder_member(const Options& options) {
  const std::string* members = options.find("members");
  return members && !members->empty() ? members->substr(members->rfind(',') + 1) : "of-start-file";
}

void check_start(const Options& options, const std::string& folder, Findings& findings) {
  Startup startup = startup_from(options);
  if (startup.settings.balancer_index >= startup.settings.balancers)
    findings.errors.emplace_back("setting settings.me: expected a number below settings.balancers");
  for (const auto& [name, kind] : {std::pair(startup.quic_file, FileKind::quic),
                                   {startup.remote_write_file, FileKind::remote_write},
                                   {startup.rebalance_file, FileKind::rebalance},
                                   {startup.log_file, FileKind::log}}) {
    std::filesystem::path path = std::filesystem::path(folder) / name;  // an absolute name is used as it is
    auto text = read_file(path);
    if (!text) {
      findings.warnings.push_back(fmt::format("{}: not found; its features stay off", name));
      continue;
    }
    Findings inner = check(*text, kind, path.parent_path());
    if (kind == FileKind::quic && inner.errors.empty()) check_server_ids(startup, *text, path, inner);
    for (auto& line : inner.errors) findings.errors.push_back(fmt::format("{}: {}", name, line));
    for (auto& line : inner.warnings) findings.warnings.push_back(fmt::format("{}: {}", name, line));
  }
  check_fleet(startup, findings);
}

}  // namespace

Findings check(std::string_view text, FileKind kind, const std::string& folder) {
  Findings findings;
  try {
    if (kind == FileKind::routes) {  // decoded from the raw text, whose size is limited
      fleet::parse_table(text, "");
      return findings;
    }
    Options options = flatten(text, "");
    if (kind == FileKind::start) check_start(options, folder, findings);
    if (kind == FileKind::quic) quic::quic_settings_from(options, folder);
    if (kind == FileKind::remote_write) metrics::remote_write_settings_from(options);
    if (kind == FileKind::rebalance) rebalance::settings_from(options);
    if (kind == FileKind::log) log::level_from(options);
    if (kind == FileKind::fleet) fleet::settings_from(options, placeholder_member(options));
    if (kind == FileKind::wallet) fleet::wallet_settings_from(options);
    for (const auto& [former, current] : options.former_keys())
      findings.warnings.push_back(fmt::format("{}: a former name; use {}", former, current));
    for (const std::string& key : options.unread())
      findings.warnings.push_back(fmt::format("{}: unknown key", key));
  } catch (const DecodeError& error) {
    std::string_view line = error.what();
    if (line.starts_with(": ")) line.remove_prefix(2);  // the caller adds the file name
    findings.errors.emplace_back(line);
  }
  return findings;
}

}  // namespace marblehub::config
