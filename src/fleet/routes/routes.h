/// Versioned routing of calls to pools of workers. All balancers switch to a version at one activation time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/record/record.h"

namespace marblehub::fleet {

/// A named set of workers. A worker is in the pool if, for each list that is not empty, it has one of the
/// names.
struct Pool {
  std::string name;
  std::vector<std::string> zones, types, groups, workers;
};
/// Sends the calls of a class, tenant and area to a pool. An empty class, tenant or area matches any; an
/// empty fallback is none.
struct Rule {
  std::string service_class, tenant, area, pool, fallback;
};
/// A routing table, decoded from the operator's JSON (deploy/routes.json): at most 63 pools, 4,096 rules and
/// 256 KiB, with names of at most 128 bytes. The first matching rule applies to a call, else the pool
/// `otherwise` (empty: any worker). A table of version 0 is not proposed.
struct Table {
  std::uint64_t version = 0;
  std::vector<Pool> pools;
  std::vector<Rule> rules;
  std::string otherwise;
};

/// A set of pools: bit i is pool i of one table version. A worker may take a call if its mask and the route's
/// have a bit in common; every worker has kAnyWorkerBit.
using PoolMask = std::uint64_t;
constexpr PoolMask kAnyWorkerBit = PoolMask{1} << 63;
/// Where a call is placed: in `pool`, or in `fallback` while no worker of the pool is usable (0: no
/// fallback).
struct Route {
  std::uint64_t version = 0;
  PoolMask pool = ~PoolMask{0}, fallback = ~PoolMask{0};
};

/// A worker of the registry's list, with the attributes that pools select by.
struct ListedWorker {
  std::string name, zone, type, group;
};
/// The names of request classes and tenants that rules may use. No tenants: any tenant may be used.
struct KnownCalls {
  std::vector<std::string> classes, tenants;
};

/// Decodes a table and checks it against this balancer's configuration. Throws config::DecodeError with file
/// and key for an unknown key, pool, class or tenant (if `calls` has any), a rule that an earlier one
/// shadows, a version not above `newest`, an exceeded bound, or a pool without a listed worker.
Table parse_and_check_table(std::string_view text, const std::string& file, std::uint64_t newest,
                            const KnownCalls& calls, const std::vector<ListedWorker>& listed);

/// How a balancer may place new calls at one point in time.
enum class PlacementMode {
  no_table,  ///< at any worker: no table was ever in force
  by_table,  ///< by the version in force, under a lease
  fenced,    ///< not at all: without a lease it does not know the version in force
  alone      ///< by the newest version it has, without a lease (when_alone: keep)
};
/// One balancer's routing: proposes the operator's table, takes part in the activations of all, and routes
/// calls by the version for which it holds a lease. Free of I/O and timers.
class Routes {
 public:
  Routes(const Settings& settings, KnownCalls calls, Time now);

  /// Takes the text of the operator's file, read at the start or at SIGHUP of any one balancer, and proposes
  /// it if its version is new, once the record is up to date. A text taken before is ignored. Throws
  /// config::DecodeError with file and key, and changes nothing, for an invalid table, a version that is not
  /// above the newest proposed one, or a recorded version with another text.
  void offer(Time now, const std::string& text, Record& record, Outbox& out);
  /// Throws what `offer` would throw, and changes nothing.
  void check(const std::string& text, const Record& record) const;
  /// Compares clocks by a message's Envelope::sent_at. Called for each message, before it is received.
  void observe_clock(Time now, const std::string& from, Time sent_at);
  /// Replaces the list of workers that take new calls.
  void update_workers(const std::vector<ListedWorker>& listed);
  /// Called after anything that may have changed the record, and at next_due. Accepts or refuses a staged
  /// version, drives an activation proposed here, and as the leader aborts one that has timed out.
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  /// When to call step next.
  Time next_due() const;

  /// O(1). The lease's end and the activation time are compared with `now` and not kept by a timer, so a
  /// process that was suspended is fenced at its first call.
  PlacementMode placement_mode(Time now) const;
  /// O(log rules), does not allocate. Pool and fallback are 0 while fenced. A call keeps its route.
  Route route(Time now, std::string_view service_class, std::string_view tenant, std::string_view area) const;
  /// The pools of a worker by the version of the last step.
  PoolMask pool_mask(const std::string& worker) const;
  /// The pools of a worker by one version, whose bits have no meaning for others. Older tables are kept for
  /// the retries of calls that began by them. kAnyWorkerBit if the version or the worker is unknown.
  PoolMask pool_mask(const std::string& worker, std::uint64_t version) const;
  /// The pause for an overload reply while fenced: one to two leases.
  Time retry_after(Time now) const;
  /// Version and reason of the last aborted activation, or why a text offered here was not proposed.
  const std::string& last_refusal() const;

  /// Totals since the start of this balancer.
  struct Counts {
    std::uint64_t fenced = 0, alone = 0;  ///< results of `placement_mode` and `route`
    /// Commands of this balancer.
    std::uint64_t proposed = 0, accepted = 0, refused = 0, activated = 0, aborted = 0;
  };
  const Counts& counts() const;
  /// Whether this clock is off by more than the bound, so that the balancer fences itself.
  bool clock_off() const;
  /// The reason at the last call of placement_mode, route or step; empty: not fenced.
  const char* why_fenced() const;

 private:
  struct State;
  /// Deletes the state, whose type is incomplete here.
  struct Release {
    void operator()(State* state) const;
  };
  std::unique_ptr<State, Release> state_;
};

}  // namespace marblehub::fleet
