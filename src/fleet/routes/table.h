/// Decoding a routing table and matching calls against its rules.
#pragma once

#include <array>
#include <unordered_map>

#include "config/options.h"
#include "fleet/routes/routes.h"

namespace marblehub::fleet {

constexpr std::size_t kMaxPools = 63, kMaxRules = 4096, kMaxNameBytes = 128;

/// Decodes a table and checks its structure and bounds, but not its names against the workers and calls known
/// here. Used for recorded tables: a pool that has lost its last worker since the activation must not keep a
/// balancer from the table that all others use. Throws config::DecodeError with file and key.
Table parse_table(std::string_view text, const std::string& file);

/// Finds the first rule that matches a call, with at most eight hash lookups: one for each combination of
/// class, tenant and area that a rule may name.
class Matcher {
 public:
  explicit Matcher(const Table& table);
  /// The route of the first matching rule, else the table's `otherwise`. O(log rules), does not allocate.
  Route route(std::string_view service_class, std::string_view tenant, std::string_view area) const;

 private:
  friend void reject_shadowed_rules(const Table& table, const config::Options& place);
  using Ids = std::array<std::uint32_t, 3>;  // numbers of class, tenant and area; 0: any or unknown
  static std::uint64_t key(const Ids& ids, unsigned named);
  std::size_t first_match(const Ids& ids) const;  // a rule's index; rules_.size(): none
  Ids intern(const Rule& rule);
  void add_rule(const Rule& rule, std::size_t index);

  std::array<std::map<std::string, std::uint32_t, std::less<>>, 3> name_ids_;
  std::unordered_map<std::uint64_t, std::size_t> rules_;
  std::vector<Route> routes_;  // one for each rule, then the one for calls that no rule matches
};

/// Throws config::DecodeError where an earlier rule matches every call that a later one does.
void reject_shadowed_rules(const Table& table, const config::Options& place);

/// Whether the worker meets every constraint of the pool; an empty list of names constrains nothing.
bool is_in_pool(const Pool& pool, const ListedWorker& worker);
/// The bits of all pools that the worker is in, and kAnyWorkerBit.
PoolMask pools_containing(const Table& table, const ListedWorker& worker);

}  // namespace marblehub::fleet
