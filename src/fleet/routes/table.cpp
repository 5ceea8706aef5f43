#include "fleet/routes/table.h"

#include <algorithm>
#include <set>

#include "config/json.h"

namespace marblehub::fleet {
namespace {

using config::Options;

std::string key_at(const char* list, std::size_t i, const char* key) {
  return std::string(list) + '.' + std::to_string(i) + '.' + key;
}

// The JSON decoder recurses, so documents nested deeper than any valid table are refused before decoding.
bool is_too_deep(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '[' || c == '{') {
      if (++depth > 8) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

std::string read_name(const Options& options, const std::string& key, bool required) {
  const std::string* text = options.find(key);
  if (required && (!text || text->empty())) options.refuse(key, "a name");
  if (!text) return {};
  if (text->size() > kMaxNameBytes)
    options.refuse(key, "at most " + std::to_string(kMaxNameBytes) + " octets");
  return *text;
}

std::vector<std::string> read_names(const Options& options, const std::string& key) {
  std::vector<std::string> names;
  const std::string* text = options.find(key);
  if (!text || text->empty()) return names;
  std::set<std::string_view> seen;
  for (std::size_t begin = 0; begin <= text->size();) {
    std::size_t end = std::min(text->find(',', begin), text->size());
    std::string_view name = std::string_view(*text).substr(begin, end - begin);
    if (name.empty() || name.size() > kMaxNameBytes) options.refuse(key, "names");
    if (!seen.insert(name).second)
      options.refuse(key, "each name once, not \"" + std::string(name) + "\" twice");
    names.emplace_back(name);
    begin = end + 1;
  }
  return names;
}

std::size_t read_count(const Options& options, const std::string& list, std::size_t max_count) {
  // A list of objects is flattened to entries and a count, a list of values to text, an empty list to "".
  if (const std::string* text = options.find(list); text && !text->empty())
    options.refuse(list, "a list of objects");
  auto count = options.number_or<std::size_t>(list + ".count", 0, 0);
  if (count > max_count) options.refuse(list, "at most " + std::to_string(max_count));
  return count;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool has_pool(const Table& table, const std::string& name) {
  return std::any_of(table.pools.begin(), table.pools.end(), [&](const Pool& p) { return p.name == name; });
}

}  // namespace

Table parse_table(std::string_view text, const std::string& file) {
  std::string place = file + ": ";
  if (text.size() > kMaxRouteTableBytes)
    throw config::DecodeError(place + "expected at most " + std::to_string(kMaxRouteTableBytes) + " octets");
  if (is_too_deep(text)) throw config::DecodeError(place + "nested too deep for a table of routes");
  Options options = config::flatten(text, place);
  Table table;
  table.version = options.number<std::uint64_t>("version", 0);
  if (table.version >= std::uint64_t{1} << 53) options.refuse("version", "less than 2^53");
  std::size_t pools = read_count(options, "pools", kMaxPools),
              rules = read_count(options, "rules", kMaxRules);
  for (std::size_t i = 0; i < pools; ++i) {
    Pool pool{read_name(options, key_at("pools", i, "name"), true),
              read_names(options, key_at("pools", i, "zones")),
              read_names(options, key_at("pools", i, "types")),
              read_names(options, key_at("pools", i, "groups")),
              read_names(options, key_at("pools", i, "workers"))};
    if (has_pool(table, pool.name))
      options.refuse(key_at("pools", i, "name"), "a name not given to another pool");
    table.pools.push_back(std::move(pool));
  }
  auto pool_at = [&](const std::string& key, bool required) {
    std::string name = read_name(options, key, required);
    if (!name.empty() && !has_pool(table, name))
      options.refuse(key, "one of the pools, not \"" + name + "\"");
    return name;
  };
  for (std::size_t i = 0; i < rules; ++i)
    table.rules.push_back({read_name(options, key_at("rules", i, "class"), false),
                           read_name(options, key_at("rules", i, "tenant"), false),
                           read_name(options, key_at("rules", i, "area"), false),
                           pool_at(key_at("rules", i, "pool"), true),
                           pool_at(key_at("rules", i, "fallback"), false)});
  table.otherwise = pool_at("otherwise", false);
  std::vector<std::string> unread = options.unread();
  if (!unread.empty()) options.refuse(unread.front(), "no such key");
  reject_shadowed_rules(table, options);
  return table;
}

Table parse_and_check_table(std::string_view text, const std::string& file, std::uint64_t newest,
                            const KnownCalls& calls, const std::vector<ListedWorker>& listed) {
  Table table = parse_table(text, file);
  const Options place({}, file + ": ");
  if (table.version != 0 && table.version <= newest)
    place.refuse("version", "above " + std::to_string(newest) + ", which is in force or recorded");
  for (std::size_t i = 0; i < table.rules.size(); ++i) {
    const Rule& rule = table.rules[i];
    if (!rule.service_class.empty() && !contains(calls.classes, rule.service_class))
      place.refuse(key_at("rules", i, "class"), "a known class, not \"" + rule.service_class + "\"");
    if (!rule.tenant.empty() && !calls.tenants.empty() && !contains(calls.tenants, rule.tenant))
      place.refuse(key_at("rules", i, "tenant"), "a known tenant, not \"" + rule.tenant + "\"");
  }
  for (std::size_t i = 0; i < table.pools.size(); ++i) {
    const Pool& pool = table.pools[i];
    if (std::none_of(listed.begin(), listed.end(),
                     [&](const ListedWorker& w) { return is_in_pool(pool, w); }))
      place.refuse("pools." + std::to_string(i),
                   "a listed worker in \"" + pool.name + "\", of " + std::to_string(listed.size()));
  }
  return table;
}

bool is_in_pool(const Pool& pool, const ListedWorker& worker) {
  auto fits = [](const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || contains(names, name);
  };
  return fits(pool.zones, worker.zone) && fits(pool.types, worker.type) && fits(pool.groups, worker.group) &&
         fits(pool.workers, worker.name);
}

PoolMask pools_containing(const Table& table, const ListedWorker& worker) {
  PoolMask bits = kAnyWorkerBit;
  for (std::size_t i = 0; i < table.pools.size(); ++i)
    if (is_in_pool(table.pools[i], worker)) bits |= PoolMask{1} << i;
  return bits;
}

}  // namespace marblehub::fleet
