// A table as it is held: decoded, indexed, and matched on a call's way.
#pragma once

#include <array>
#include <unordered_map>

#include "config/options.h"
#include "fleet/routes/routes.h"

namespace marblehub::fleet {

constexpr std::size_t kMaxPools = 63, kMaxRules = 4096, kMaxNameBytes = 128;

// Shape and bounds alone. What is in force is held by this: that a pool lost its last worker since must not
// keep a balancer from the table that all others place by.
Table parse_table(std::string_view text, const std::string& file);

// The rules by what they name: at most eight looks decide which is the first that fits.
class Matcher {
 public:
  explicit Matcher(const Table& table);
  Route route(std::string_view service_class, std::string_view tenant, std::string_view area) const;

 private:
  friend void reject_shadowed_rules(const Table& table, const config::Options& place);
  using Ids = std::array<std::uint32_t, 3>;  // of class, tenant and area; 0: any
  static std::uint64_t key(const Ids& ids, unsigned named);
  std::size_t first(const Ids& ids) const;  // of the rules that fit; their number: none
  Ids learn(const Rule& rule);
  void add(const Rule& rule, std::size_t index);

  std::array<std::map<std::string, std::uint32_t, std::less<>>, 3> names_;
  std::unordered_map<std::uint64_t, std::size_t> rules_;
  std::vector<Route> routes_;  // of each rule, and last of what none fits
};

void reject_shadowed_rules(const Table& table, const config::Options& place);  // throws config::DecodeError

bool is_in_pool(const Pool& pool, const ListedWorker& worker);
PoolMask pools_containing(const Table& table, const ListedWorker& worker);

}  // namespace marblehub::fleet
