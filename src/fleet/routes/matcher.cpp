#include <algorithm>

#include "fleet/routes/table.h"

namespace marblehub::fleet {

Matcher::Matcher(const Table& table) {
  auto bits = [&](const std::string& name, PoolMask absent) {
    for (std::size_t i = 0; i < table.pools.size(); ++i)
      if (table.pools[i].name == name) return PoolMask{1} << i;
    return absent;
  };
  for (std::size_t i = 0; i < table.rules.size(); ++i) {
    const Rule& rule = table.rules[i];
    add_rule(rule, i);
    routes_.push_back({table.version, bits(rule.pool, 0), bits(rule.fallback, 0)});
  }
  routes_.push_back(
      {table.version, bits(table.otherwise, ~PoolMask{0}), bits(table.otherwise, ~PoolMask{0})});
}

std::uint64_t Matcher::key(const Ids& ids, unsigned named) {
  std::uint64_t key = 0;
  for (std::size_t kind = 0; kind < 3; ++kind) key = key << 16 | (named >> kind & 1 ? ids[kind] : 0);
  return key;
}

Matcher::Ids Matcher::intern(const Rule& rule) {
  const std::string* values[3] = {&rule.service_class, &rule.tenant, &rule.area};
  Ids ids{};
  for (std::size_t kind = 0; kind < 3; ++kind)
    if (!values[kind]->empty())
      ids[kind] = name_ids_[kind].emplace(*values[kind], name_ids_[kind].size() + 1).first->second;
  return ids;
}

void Matcher::add_rule(const Rule& rule, std::size_t index) { rules_.emplace(key(intern(rule), 7), index); }

std::size_t Matcher::first_match(const Ids& ids) const {
  std::size_t best = rules_.size();
  for (unsigned named = 0; named < 8; ++named) {
    bool known = true;  // a call's unknown name matches only rules that leave it open
    for (std::size_t kind = 0; kind < 3; ++kind) known &= !(named >> kind & 1) || ids[kind] != 0;
    if (!known) continue;
    auto it = rules_.find(key(ids, named));
    if (it != rules_.end()) best = std::min(best, it->second);
  }
  return best;
}

Route Matcher::route(std::string_view service_class, std::string_view tenant, std::string_view area) const {
  const std::string_view values[3] = {service_class, tenant, area};
  Ids ids{};
  for (std::size_t kind = 0; kind < 3; ++kind) {
    auto it = values[kind].empty() ? name_ids_[kind].end() : name_ids_[kind].find(values[kind]);
    if (it != name_ids_[kind].end()) ids[kind] = it->second;
  }
  return routes_[std::min(first_match(ids), routes_.size() - 1)];
}

// Such a rule would never apply: the same area twice, or any rule after one that matches every call.
void reject_shadowed_rules(const Table& table, const config::Options& place) {
  Matcher seen{Table{}};
  for (std::size_t i = 0; i < table.rules.size(); ++i) {
    const Rule& rule = table.rules[i];
    std::size_t earlier = seen.first_match(seen.intern(rule));
    const char* key = !rule.area.empty() ? "area" : !rule.tenant.empty() ? "tenant" : "class";
    if (earlier < i)
      place.refuse("rules." + std::to_string(i) + '.' + key,
                   "what no earlier rule takes; rules." + std::to_string(earlier) + " fits all of it");
    seen.add_rule(rule, i);
  }
}

}  // namespace marblehub::fleet
