#include "quic/settings.h"

#include <fmt/format.h>
#include <sys/stat.h>

#include <filesystem>

#include "config/json.h"
#include "quic/packet.h"

namespace marblehub::quic {
namespace {

std::string text_or(const config::Options& options, const std::string& key, const std::string& absent = "") {
  const std::string* value = options.find(key);
  return value ? *value : absent;
}

std::string hex_at(const config::Options& options, const std::string& key) {
  auto bytes = unhex(text_or(options, key));
  if (!bytes) options.refuse(key, "hexadecimal digits");
  return *bytes;
}

// A key is given in the file itself or in a file of its own, named by "<key>_file", so that the settings can
// be readable to users who must not read the key. A key file with permissions for group or others is refused.
std::string key_at(const config::Options& options, const std::string& key, const std::string& folder) {
  const std::string* name = options.find(key + "_file");
  if (!name || name->empty()) return hex_at(options, key);
  if (!text_or(options, key).empty()) options.refuse(key + "_file", "no " + key + " beside it");
  std::filesystem::path path = std::filesystem::path(folder) / *name;
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) options.refuse(key + "_file", "a file that can be read");
  if ((status.st_mode & 077) != 0)
    options.refuse(key + "_file", "a file that only its owner can read (chmod 600)");
  auto text = config::read_file(path);
  if (!text) options.refuse(key + "_file", "a file that can be read");
  while (!text->empty() && (text->back() == '\n' || text->back() == '\r' || text->back() == ' '))
    text->pop_back();
  auto bytes = unhex(*text);
  if (!bytes || bytes->empty()) options.refuse(key + "_file", "a file of one line of hexadecimal digits");
  return *bytes;
}

std::vector<std::uint32_t> versions_at(const config::Options& options) {
  std::string text = text_or(options, "versions", "1,2");
  std::vector<std::uint32_t> versions;
  for (std::size_t at = 0; at <= text.size();) {
    std::size_t end = std::min(text.find(',', at), text.size());
    std::string_view version = std::string_view(text).substr(at, end - at);
    if (version != "1" && version != "2") options.refuse("versions", "a list of 1 and 2");
    versions.push_back(version == "1" ? kVersion1 : kVersion2);
    at = end + 1;
  }
  return versions;
}

IdConfig id_config_at(const config::Options& options, const std::string& path, const std::string& folder) {
  IdConfig config;
  config.rotation = options.number<unsigned>(path + "rotation", 0);
  config.server_id_length = options.number<std::size_t>(path + "server_id_length", 1);
  config.nonce_length = options.number<std::size_t>(path + "nonce_length", 1);
  config.key = key_at(options, path + "key", folder);
  if (options.find(path + "length_in_id")) config.length_in_id = options.flag(path + "length_in_id");
  if (std::string error = config_error(config); !error.empty())
    options.refuse(path + error.substr(0, error.find(':')), error.substr(error.find("expected ") + 9));
  return config;
}

ValidationSettings retry_at(const config::Options& options, const std::string& folder) {
  ValidationSettings retry;
  if (options.find("retry.mode"))
    retry.mode = options.choice<RetryMode>(
        "retry.mode",
        {{"never", RetryMode::never}, {"always", RetryMode::always}, {"from_rate", RetryMode::from_rate}});
  retry.from_rate = options.number_or<double>("retry.from_rate", 1, retry.from_rate);
  retry.token_lifetime =
      options.number_or<std::int64_t>("retry.token_ms", 100, retry.token_lifetime / 1000) * 1000;
  retry.key_lifetime =
      options.number_or<std::int64_t>("retry.key_ms", 1000, retry.key_lifetime / 1000) * 1000;
  if (retry.key_lifetime < retry.token_lifetime) options.refuse("retry.key_ms", "at least retry.token_ms");
  retry.secret = key_at(options, "retry.key", folder);
  if (!retry.secret.empty() && retry.secret.size() < 16)
    options.refuse("retry.key", "32 hexadecimal digits or more");
  return retry;
}

}  // namespace

QuicSettings quic_settings_from(const config::Options& options, const std::string& folder) {
  QuicSettings s;
  s.enabled = options.flag("enabled");
  s.listen = options.text("listen");
  if (!Endpoint::parse(s.listen)) options.refuse("listen", "a.b.c.d:port or [ipv6]:port");
  s.request_class = options.text("class");
  s.deadline = options.number<marblehub::policy::Time>("deadline_ms", 1) * 1000;
  s.idle_timeout = options.number<marblehub::policy::Time>("idle_ms", 1000) * 1000;
  s.max_calls = options.number<std::size_t>("calls", 1);
  s.max_paths = options.number<std::size_t>("paths", 1);
  if (options.find("forwarding"))
    s.forwarding = options.choice<Forwarding>(
        "forwarding", {{"socket", Forwarding::socket}, {"proxy-v2", Forwarding::proxy_v2}});
  s.versions = versions_at(options);
  auto count = options.number<std::size_t>("ids.count", 1);
  for (std::size_t i = 0; i < count; ++i) {
    std::string path = "ids." + std::to_string(i) + ".";
    IdConfig config = id_config_at(options, path, folder);
    for (const IdConfig& other : s.ids)
      if (other.rotation == config.rotation)
        options.refuse(path + "rotation", "a rotation that no other config has");
    s.ids.push_back(std::move(config));
  }
  s.retirement_period =
      options.number_or<marblehub::policy::Time>("retire_ms", 1, s.retirement_period / 1000) * 1000;
  s.retry = retry_at(options, folder);
  s.reset_key = key_at(options, "reset.key", folder);
  if (!s.reset_key.empty() && s.reset_key.size() < 16)
    options.refuse("reset.key", "32 hexadecimal digits or more");
  s.resets_per_second = options.number_or<double>("reset.per_second", 1, s.resets_per_second);
  count = options.number_or<std::size_t>("workers.count", 0, 0);
  std::map<std::string, std::string> worker_by_id;
  for (std::size_t i = 0; i < count; ++i) {
    std::string path = "workers." + std::to_string(i) + ".";
    std::string name = options.text(path + "name"), id = hex_at(options, path + "server_id");
    std::string address = text_or(options, path + "address");
    if (!address.empty() && !Endpoint::parse(address))
      options.refuse(path + "address", "a.b.c.d:port or [ipv6]:port");
    if (!id.empty() && !worker_by_id.emplace(id, name).second)
      options.refuse(path + "server_id", "a server id that " + worker_by_id[id] + " does not have");
    if (!s.workers.emplace(name, QuicSettings::Worker{id, address}).second)
      options.refuse(path + "name", "a name that no earlier entry has");
  }
  return s;
}

std::string server_id_of(const QuicSettings& settings, const std::string& worker, const IdConfig& config) {
  auto worker_settings = settings.workers.find(worker);
  bool configured = worker_settings != settings.workers.end() &&
                    worker_settings->second.server_id.size() == config.server_id_length;
  return configured ? worker_settings->second.server_id : default_server_id(worker, config.server_id_length);
}

std::vector<std::string> server_id_conflicts(const QuicSettings& settings,
                                             const std::vector<std::string>& workers) {
  std::vector<std::string> conflicts;
  for (std::size_t i = 0; i < settings.ids.size(); ++i) {
    const IdConfig& config = settings.ids[i];
    std::string key = fmt::format("ids.{}.server_id_length", i);
    if (config.server_id_length == 1 && workers.size() > 256) {
      conflicts.push_back(fmt::format("{}: a server id of 1 byte distinguishes 256 workers; there are {}",
                                      key, workers.size()));
      continue;
    }
    std::map<std::string, std::string> worker_by_id;
    for (const std::string& worker : workers) {
      auto [it, inserted] = worker_by_id.emplace(server_id_of(settings, worker, config), worker);
      if (!inserted && it->second != worker)
        conflicts.push_back(
            fmt::format("{}: {} and {} have the same server id; use longer server ids or configure different "
                        "ones under workers",
                        key, it->second, worker));
    }
  }
  return conflicts;
}

std::vector<std::string> needs_restart(const QuicSettings& in_force, const QuicSettings& reloaded) {
  std::vector<std::string> keys;
  if (in_force.enabled != reloaded.enabled) keys.emplace_back("enabled");
  if (in_force.listen != reloaded.listen) keys.emplace_back("listen");
  if (in_force.request_class != reloaded.request_class) keys.emplace_back("class");
  if (in_force.forwarding != reloaded.forwarding) keys.emplace_back("forwarding");
  return keys;
}

}  // namespace marblehub::quic
