#include "config/json.h"

#include <arpa/inet.h>

#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marblehub::config {
namespace {

using nlohmann::json;

std::string to_text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "";
  return value.dump();
}

constexpr int kMaxNestingDepth = 32;  // of JSON values; bounds the recursion of flatten_value

// Adds the pairs of `value` to `values`; their paths begin with `path`.
void flatten_value(Values& values, const std::string& path, const json& value, int depth = 0) {
  if (depth > kMaxNestingDepth) throw DecodeError("nested too deep");
  std::string prefix = path;
  if (!path.empty()) prefix += '.';
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten_value(values, prefix + key, item, depth + 1);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    values[prefix + "count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i)
      flatten_value(values, prefix + std::to_string(i), value[i], depth + 1);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += to_text(item);
    }
    values[path] = joined;
  } else {
    values[path] = to_text(value);
  }
}

// Returns an IPv4 address with a port after checking it, so that an invalid one is reported at load time.
const std::string& read_address(const Options& options, std::string_view key) {
  const std::string& text = options.text(key);
  if (!parse_address(text)) options.refuse(key, "a.b.c.d:port");
  return text;
}

bool is_ipv6_address(std::string_view text) {
  std::size_t end = text.rfind("]:");
  if (!text.starts_with('[') || end == std::string_view::npos) return false;
  in6_addr address{};
  std::string host(text.substr(1, end - 1));
  return inet_pton(AF_INET6, host.c_str(), &address) == 1 &&
         parse_number<std::uint16_t>(text.substr(end + 2));
}

// As read_address, but also accepts IPv6, which the QUIC front supports for workers.
const std::string& read_worker_address(const Options& options, std::string_view key) {
  const std::string& text = options.text(key);
  if (!parse_address(text) && !is_ipv6_address(text)) options.refuse(key, "a.b.c.d:port or [IPv6]:port");
  return text;
}

}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::optional<std::uint16_t> port = parse_number<std::uint16_t>(text.substr(colon + 1));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (!port || inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(*port);
  return address;
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Options flatten(std::string_view text, std::string place) {
  json document = json::parse(text, nullptr, false, true);  // no callback, no exceptions; ignores comments
  if (!document.is_object()) throw DecodeError(place + "expected a JSON object");
  Values values;
  try {
    flatten_value(values, "", document);
  } catch (const DecodeError& error) {
    throw DecodeError(place + error.what());
  }
  return Options(std::move(values), std::move(place));
}

Options load_options(const std::string& path) {
  auto text = read_file(path);
  if (!text) throw DecodeError("cannot read " + path);
  return flatten(*text, path + ": ");
}

Options sub_options(const Options& options, std::string_view path, std::string place) {
  std::string prefix = std::string(path) + ".";
  Values values;
  for (auto it = options.values().lower_bound(prefix);
       it != options.values().end() && it->first.starts_with(prefix); ++it)
    values.emplace(it->first.substr(prefix.size()), it->second);
  return Options(std::move(values), std::move(place), options, prefix);
}

std::vector<std::string> WorkerList::names() const {
  std::vector<std::string> names;
  for (const WorkerEntry& worker : workers) names.push_back(worker.backend.address);
  return names;
}

WorkerList list_from(const Options& options) {
  using marblehub::policy::Health;
  WorkerList list;
  // Larger values overflow when converted to microseconds.
  constexpr std::int64_t max_since_ms = std::numeric_limits<std::int64_t>::max() / 1000;
  list.index = options.number<std::int64_t>("index", 0);
  list.snapshot = options.flag("snapshot");
  auto count = options.number_or<std::size_t>("endpoints.count", 0, 0);
  // A truncated list, or one of another type, must not count as empty: that would delete every worker.
  if (count == 0 && !options.text("endpoints").empty()) options.refuse("endpoints", "a list of workers");
  for (std::size_t i = 0; i < count; ++i) {
    std::string path = "endpoints." + std::to_string(i) + ".";
    WorkerEntry entry;
    entry.backend.address = options.text(path + "name");
    entry.backend.health = options.choice<Health>(
        path + "status",
        {{"ready", Health::serving}, {"draining", Health::draining}, {"gone", Health::deleted}});
    if (const std::string* zone = options.find(path + "zone")) entry.backend.zone = *zone;
    const std::string* address = options.find(path + "address");
    if (address && !address->empty()) entry.address = read_worker_address(options, path + "address");
    entry.backend.cell = options.number_or<std::int64_t>(path + "group", -1, -1);
    entry.backend.scale = options.number_or<double>(path + "weight", 0, 1);
    auto since_ms = options.number_or<std::int64_t>(path + "since_ms", 0, 0);
    if (since_ms > max_since_ms) options.refuse(path + "since_ms", "milliseconds since 1970");
    entry.backend.start_time = since_ms * 1000;
    list.workers.push_back(std::move(entry));
  }
  return list;
}

static std::string deadline_key(std::size_t request_class) {
  return "request_classes." + std::to_string(request_class) + ".give_up_us";
}

// The longest give_up_us of all classes. Longer and missing values count as 3 s, as they do for the platform
// that runs the program, which sends SIGKILL some time after this deadline.
static marblehub::policy::Time longest_deadline_from(const Options& settings) {
  constexpr double max_us = 3e6;
  double longest = 0;
  auto classes = settings.number<std::size_t>("request_classes.count", 1);
  for (std::size_t i = 0; i < classes; ++i) {
    const double deadline = settings.number_or<double>(deadline_key(i), 0, max_us);
    if (!(deadline > 0)) settings.refuse(deadline_key(i), "a number above 0");
    longest = std::max(longest, deadline);
  }
  return static_cast<marblehub::policy::Time>(std::min(longest, max_us));
}

Startup startup_from(const Options& options) {
  Startup startup;
  startup.name = options.text("name");
  startup.listen = read_address(options, "listen");
  startup.registry = read_address(options, "discovery");
  if (const std::string* seed = options.find("seed")) {
    auto [end, error] = std::from_chars(seed->data(), seed->data() + seed->size(), startup.seed, 16);
    if (error != std::errc() || end != seed->data() + seed->size())
      options.refuse("seed", "a hexadecimal number");
  }
  startup.sockets = options.number_or<std::int64_t>("limits.sockets", 16, startup.sockets);
  if (options.find("known.snapshot")) startup.known = list_from(sub_options(options, "known", "known: "));
  Options settings = sub_options(options, "settings", "settings: ");
  startup.settings = settings_from(settings);
  startup.longest_deadline = longest_deadline_from(settings);
  if (const std::string* file = options.find("quic")) startup.quic_file = *file;
  if (const std::string* file = options.find("remote_write")) startup.remote_write_file = *file;
  if (const std::string* file = options.find("rebalance")) startup.rebalance_file = *file;
  if (const std::string* file = options.find("fleet")) startup.fleet_file = *file;
  if (const std::string* file = options.find("log")) startup.log_file = *file;
  return startup;
}

LoadedStartup load_startup(const std::string& path) {
  Options options = load_options(path);
  return {startup_from(options), options.values()};
}

void check_reload(const Values& in_force, const LoadedStartup& reloaded, const std::string& path) {
  auto require = [&](const std::string& key) {
    if (in_force.count(key) && !reloaded.values.count(key)) throw DecodeError(path + ": ", key, "a value");
  };
  require("limits.sockets");
  for (std::size_t i = 0; i < reloaded.startup.settings.classes.size(); ++i)
    require("settings." + deadline_key(i));
}

std::vector<std::string> needs_restart(const Values& in_force, const Values& reloaded) {
  std::set<std::string> differing_keys;
  auto compare = [&](const Values& one, const Values& other) {
    for (const auto& [key, value] : one) {
      // discovery and limits.sockets are applied by a reload, lists of the registry supersede the known list,
      // and the seed differs at each start.
      bool ignored =
          key == "discovery" || key == "limits.sockets" || key.starts_with("known.") || key == "seed";
      auto it = other.find(key);
      if (!ignored && (it == other.end() || it->second != value)) differing_keys.insert(key);
    }
  };
  compare(in_force, reloaded);
  compare(reloaded, in_force);
  return {differing_keys.begin(), differing_keys.end()};
}

}  // namespace marblehub::config
