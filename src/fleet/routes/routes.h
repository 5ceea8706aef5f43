// Route versions: which pool of workers takes which calls, switched at one moment by all.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/record/record.h"

namespace marblehub::fleet {

// A whole table, from the operator's JSON (deploy/routes.json). At most 63 pools, 4,096 rules, 256 KiB, names
// of 128 octets. Version 0 proposes nothing.
struct Pool {
  std::string name;
  std::vector<std::string> zones, types, groups, workers;
};  // any of each; all of the kinds named
struct Rule {
  std::string service_class, tenant, area, pool, fallback;
};  // empty: any; the first that fits
struct Table {
  std::uint64_t version = 0;
  std::vector<Pool> pools;
  std::vector<Rule> rules;
  std::string otherwise;
};

// Where a call is sent: the bits of the pool, and of its fallback where none of the pool is usable (0: none).
// A worker may be chosen where its bits and the route's meet; every worker has kEveryWorker.
using PoolMask = std::uint64_t;
constexpr PoolMask kAnyWorkerBit = PoolMask{1} << 63;
struct Route {
  std::uint64_t version = 0;
  PoolMask pool = ~PoolMask{0}, fallback = ~PoolMask{0};
};

struct ListedWorker {
  std::string name, zone, type, group;
};
struct KnownCalls {
  std::vector<std::string> classes, tenants;
};

// Throws config::DecodeError with file and key: an unknown key, pool, class or tenant (where `calls` names
// any), a rule that an earlier one covers (an area twice), a version not above `newest`, over a bound, a pool
// that none of the listed workers is in.
Table parse_and_check_table(std::string_view text, const std::string& file, std::uint64_t newest,
                            const KnownCalls& calls, const std::vector<ListedWorker>& listed);

// May this balancer place, and by which version? `fenced`: it cannot know, so it places nothing new.
enum class PlacementMode {
  no_table,
  by_table,
  fenced,
  alone
};  // plain: no table was ever in force; alone: when_alone keeps
class Routes {
 public:
  Routes(const Settings& settings, KnownCalls calls, Time now);

  // The operator's file was read (at start and SIGHUP at any one balancer): proposes it where it is newer.
  // Throws config::DecodeError with file and key, and keeps what it had. Older than what is in force, or the
  // same version with other words, is refused; the same again is no news. It waits for the record's news.
  void offer(Time now, const std::string& text, Record& record, Outbox& out);
  void check(const std::string& text, const Record& record) const;  // throws what `offer` would
  // Envelope::sent_at of each message, before it is received: shows a clock that is off.
  void observe_clock(Time now, const std::string& from, Time sent_at);
  void update_workers(const std::vector<ListedWorker>& listed);  // the list as it stands
  // After anything that may have changed the record, and at next_due: stages, says yes or why not, drives an
  // activation it proposed, aborts one whose time is over.
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  Time next_due() const;

  // O(1); `now` decides which side of a moment it is, and whether a lease still holds: no timer is trusted,
  // so a process that slept is fenced at its first call.
  PlacementMode placement_mode(Time now) const;
  // O(log rules), without allocation. Pool and fallback are 0 while fenced. A call keeps what it got.
  Route route(Time now, std::string_view service_class, std::string_view tenant, std::string_view area) const;
  PoolMask pool_mask(const std::string& worker) const;  // of the table in force at the last step
  // Of one table: bits mean pools of their version alone. The table before the one in force is kept, for
  // retries of calls that began by it.
  PoolMask pool_mask(const std::string& worker, std::uint64_t version) const;
  Time retry_after(Time now) const;         // pause for an overload reply while fenced: one to two leases
  const std::string& last_refusal() const;  // of the last activation aborted, with its reason

  struct Counts {
    std::uint64_t fenced = 0, alone = 0;  // calls of `placing` and `route` so answered
    std::uint64_t proposed = 0, taken = 0, refused = 0, activated = 0, aborted = 0;  // said by this balancer
  };
  const Counts& counts() const;
  bool clock_off() const;          // beyond the bound: it fences itself
  const char* why_fenced() const;  // of the last judgement; empty: not fenced

 private:
  struct State;
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
