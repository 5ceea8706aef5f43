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
      {"scooters", "scooters that report where they are and take lock commands", "telemetry", 500, 3000, 150,
       4},
      {"chat", "people in conversations, who notice a second", "chat", 300, 2000, 100, 3},
      {"metering", "meters that report now and then and can wait", "report", 2000, 10000, 1000, 4},
  };
  return all;
}

std::string sample_config(const Application& a) {
  return fmt::format(R"(// marblehub for {}: {}.
// Start it with BALANCER_CONFIG set to this file's path; check it with: marblehub-config check FILE
{{
  "name": "n0",                      // this balancer's name; the same after a restart
  "listen": "127.0.0.1:7070",        // where clients connect
  "discovery": "127.0.0.1:8500",     // the registry that lists the workers
  "seed": "0000000000000001",        // hexadecimal; another one for every balancer
  "limits": {{"sockets": 4096}},       // file descriptors it may hold
  "quic": "deploy/quic.json",        // the second front; off unless that file enables it
  "remote_write": "deploy/remote_write.json",  // metrics; off unless that file enables it
  "rebalance": "deploy/rebalance.json",  // moves of standing connections towards balance; the same
  "fleet": "deploy/fleet.json",          // what balancers keep together: view, routes, wallets; the same
  "log": "deploy/log.json",              // how much the log says

  // The workers as last known. They replace nothing that the registry tells.
  "known": {{"index": 0, "snapshot": true, "endpoints": []}},

  "settings": {{
    "balancers": 1,                  // how many share the clients
    "me": 0,                         // this one's number among them, from 0
    "zone": "a",                     // workers of this zone are preferred
    "registry_mode": "ask",          // ask: the registry is watched; push: it tells by itself
    "limits": {{
      "max_attempts": {},             // workers tried for a call, one after another
      "probes": true,                // whether workers may be probed
      "retry_after": true,           // whether a refused client is told when to come back
      "max_retry_after_us": 1500000, // and the longest that it will wait
      "connect_timeout_us": 250000   // a connect that takes longer has failed
    }},
    "invariants": {{
      "stop_sending_within_us": 250000, // nothing new goes to a leaving worker after this
      "cold_share": 0.13,            // a worker starts at this part of what it can do
      "warm_within_us": 24000000     // and can do everything after this long
    }},
    "specifics": {{
      "message_aim_us": [{}]     // a message on a standing connection is wanted within this
    }},
    "request_classes": [
      {{
        "name": "{}",         // the c= of a client's OPEN line
        "slo_us": {},            // a call is wanted to be answered within this
        "give_up_us": {},       // and is given up by its client after this
        "repeat": "safe",            // safe, keyed or unsafe: what a second attempt may do
        "dedup_scope": "all",        // keyed only: all, zone or cell
        "window_us": 5000000,        // keyed only: how long repeats are known
        "stream": true               // the answer is a connection that stands
      }}
    ]
  }}
}}
)",
                     a.name, a.summary, a.attempts, a.message_target_ms * 1000, a.request_class,
                     a.latency_target_ms * 1000, a.deadline_ms * 1000);
}

namespace {

// Whether the second front could tell the workers of the starting file apart.
void check_server_ids(const Startup& startup, const std::string& text, const std::filesystem::path& path,
                      Findings& findings) {
  auto settings = quic::quic_settings_from(flatten(text, ""), path.parent_path());
  for (std::string& line : quic::server_id_conflicts(settings, startup.known.names()))
    findings.errors.push_back(std::move(line));
}

// As the program does it, with what the start file says: its name, its classes and the workers it knows.
void check_fleet(const Startup& startup, Findings& findings) {
  const std::string& name = startup.fleet_file;
  try {
    if (std::filesystem::exists(name))
      fleet::files_in(options_in(name), startup);
    else
      findings.warnings.push_back(fmt::format("{}: not found; what it would turn on stays off", name));
  } catch (const DecodeError& error) {
    findings.errors.emplace_back(error.what());
  }
}

// Where no start file is at hand: a name that may be this balancer's, of one that has no vote if there is
// one.
std::string some_member(const Options& options) {
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
    std::filesystem::path path = std::filesystem::path(folder) / name;  // an absolute name stands for itself
    auto text = read_file(path);
    if (!text) {
      findings.warnings.push_back(fmt::format("{}: not found; what it would turn on stays off", name));
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
    if (kind == FileKind::routes) {  // decoded from its octets, of which there are only so many
      fleet::table_of(text, "");
      return findings;
    }
    Options options = flatten(text, "");
    if (kind == FileKind::start) check_start(options, folder, findings);
    if (kind == FileKind::quic) quic::quic_settings_from(options, folder);
    if (kind == FileKind::remote_write) metrics::remote_write_settings_from(options);
    if (kind == FileKind::rebalance) rebalance::settings_from(options);
    if (kind == FileKind::log) log::level_from(options);
    if (kind == FileKind::fleet) fleet::settings_from(options, some_member(options));
    if (kind == FileKind::wallet) fleet::wallet_settings_from(options);
    for (const auto& [former, current] : options.former_keys())
      findings.warnings.push_back(fmt::format("{}: a former name; use {}", former, current));
    for (const std::string& key : options.unread())
      findings.warnings.push_back(fmt::format("{}: not a key that is read here", key));
  } catch (const DecodeError& error) {
    std::string_view line = error.what();
    if (line.starts_with(": ")) line.remove_prefix(2);  // after a table's place, which is the caller's to say
    findings.errors.emplace_back(line);
  }
  return findings;
}

}  // namespace marblehub::config
