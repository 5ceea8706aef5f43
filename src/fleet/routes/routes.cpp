#include "fleet/routes/routes.h"

#include <algorithm>
#include <limits>

#include "check/check.h"
#include "fleet/routes/driver.h"
#include "fleet/routes/lease.h"
#include "fleet/routes/table.h"

namespace marblehub::fleet {
namespace {

// A decoded table with the pools of each listed worker.
struct LoadedTable {
  explicit LoadedTable(Table t) : table(std::move(t)), matcher(table) {}
  void assign_pools(const std::vector<ListedWorker>& listed) {
    pool_masks.clear();
    for (const ListedWorker& worker : listed) pool_masks[worker.name] = pools_containing(table, worker);
  }
  Table table;
  Matcher matcher;
  std::unordered_map<std::string, PoolMask> pool_masks;
};

// The version in force, the next one, and two older ones for the retries of calls that began by them.
constexpr std::size_t kMaxLoadedTables = 4;

}  // namespace

// The state behind Routes: lease, activation and the tables by version.
struct Routes::State {
  State(const Settings& s, KnownCalls calls) : settings(s), lease(s), driver(s, std::move(calls)) {}

  // What applies to a call at one point in time.
  struct Placement {
    PlacementMode mode;
    std::uint64_t version;
    const LoadedTable* table;  // null: none for this version
  };
  Placement decide_placement(Time now);
  const LoadedTable* find(std::uint64_t version) const {
    auto it = tables.find(version);
    return it == tables.end() ? nullptr : it->second.get();
  }
  void load_table(std::uint64_t version, const std::string& text);
  void drop_oldest_tables();

  const Settings settings;
  Lease lease;
  ActivationDriver driver;
  std::map<std::uint64_t, std::unique_ptr<LoadedTable>> tables;
  std::uint64_t in_force = 0, next = 0, newest_placed = 0, evaluated_version = 0;
  Time activation_time = 0;     // of `next`
  Time pending_activation = 0;  // of `next`, if it was ahead at the last step; 0: none
  std::uint64_t retry_count = 0;
  const char* fenced_reason = "";
  Counts counts;
};

Routes::State::Placement Routes::State::decide_placement(Time now) {
  const Lease::Decision decision = lease.evaluate(now);
  fenced_reason = decision.why;
  const LoadedTable* table = find(decision.version);
  if (decision.held && (table || decision.version == 0)) {
    MARBLEHUB_INVARIANT("routes", decision.version >= newest_placed,
                        "placed by an older version after a newer one");
    newest_placed = std::max(newest_placed, decision.version);
    return {table ? PlacementMode::by_table : PlacementMode::no_table, decision.version, table};
  }
  if (decision.held) fenced_reason = "does not hold the version in force yet";
  if (settings.when_alone == WhenAlone::keep) {
    // The newest known version by this balancer's clock; other balancers may use another one.
    std::uint64_t version =
        std::max({decision.version, in_force, next != 0 && now >= activation_time ? next : 0});
    if (!find(version)) {
      auto it = tables.lower_bound(version);
      while (it != tables.begin() && !std::prev(it)->second) --it;
      version = it == tables.begin() ? 0 : std::prev(it)->first;
    }
    if (version != 0 || (lease.ever_held() && decision.version == 0)) {
      ++counts.alone;
      return {PlacementMode::alone, version, find(version)};
    }
  }
  ++counts.fenced;
  return {PlacementMode::fenced, decision.version, nullptr};
}

void Routes::State::load_table(std::uint64_t version, const std::string& text) {
  if (version == 0 || tables.count(version)) return;
  std::unique_ptr<LoadedTable>& slot = tables[version];
  try {
    auto table = std::make_unique<LoadedTable>(parse_table(text, "routes " + std::to_string(version)));
    table->assign_pools(driver.listed());
    slot = std::move(table);
  } catch (const config::DecodeError&) {
    // Invalid, or of a later program version: without the table this balancer is fenced. The empty slot
    // keeps it from being decoded at every step.
  }
}

void Routes::State::drop_oldest_tables() {
  while (tables.size() > kMaxLoadedTables) tables.erase(tables.begin());
}

Routes::Routes(const Settings& settings, KnownCalls calls, Time)
    : state_(new State(settings, std::move(calls))) {}

void Routes::Release::operator()(State* state) const { delete state; }

void Routes::offer(Time now, const std::string& text, Record& record, Outbox&) {
  state_->driver.offer(now, text, record.ledger().routes);  // proposed by the next step, due at once
}

void Routes::check(const std::string& text, const Record& record) const {
  state_->driver.check_new(text, record.ledger().routes);
}

void Routes::observe_clock(Time now, const std::string& from, Time sent_at) {
  state_->lease.observe_clock(now, from, sent_at);
}

void Routes::update_workers(const std::vector<ListedWorker>& listed) {
  state_->driver.update_workers(listed);
  for (auto& [version, table] : state_->tables)
    if (table) table->assign_pools(listed);
}

void Routes::step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  State& s = *state_;
  const RouteState& routes = record.ledger().routes;
  s.load_table(routes.in_force, routes.text);
  s.load_table(routes.next, routes.next_text);
  s.drop_oldest_tables();
  s.in_force = routes.in_force;
  s.next = routes.next;
  s.activation_time = routes.activation_time;
  if (std::optional<Grant> grant = record.grant()) s.lease.update_grant(now, *grant);
  s.driver.step(now, record, alive, out);
  s.pending_activation = routes.next != 0 && now < routes.activation_time ? routes.activation_time : 0;
  s.evaluated_version = s.lease.evaluate(now).version;
  MARBLEHUB_INVARIANT("routes", routes.next == 0 || routes.next > routes.in_force,
                      "the next version is not newer");
  MARBLEHUB_DEBUG_INVARIANT("routes", s.tables.size() <= kMaxLoadedTables,
                            "more tables loaded than are used");
}

Time Routes::next_due() const {
  Time due = state_->driver.next_due();
  return state_->pending_activation != 0 ? std::min(due, state_->pending_activation) : due;
}

PlacementMode Routes::placement_mode(Time now) const { return state_->decide_placement(now).mode; }

Route Routes::route(Time now, std::string_view service_class, std::string_view tenant,
                    std::string_view area) const {
  const State::Placement placement = state_->decide_placement(now);
  if (placement.mode == PlacementMode::fenced) return {placement.version, 0, 0};
  if (!placement.table) return {placement.version};
  return placement.table->matcher.route(service_class, tenant, area);
}

PoolMask Routes::pool_mask(const std::string& worker) const {
  return pool_mask(worker, state_->evaluated_version);
}

PoolMask Routes::pool_mask(const std::string& worker, std::uint64_t version) const {
  const LoadedTable* table = state_->find(version);
  auto it = table ? table->pool_masks.find(worker) : decltype(table->pool_masks.end()){};
  return table && it != table->pool_masks.end() ? it->second : kAnyWorkerBit;
}

Time Routes::retry_after(Time now) const {
  // Mixes name, time and count (SplitMix64; Steele, Lea, Flood 2014), so that clients rejected together do
  // not retry together.
  std::uint64_t z = std::hash<std::string>{}(state_->settings.name) + static_cast<std::uint64_t>(now) +
                    ++state_->retry_count * 0x9e3779b97f4a7c15;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
  z = (z ^ z >> 27) * 0x94d049bb133111eb;
  const Time lease = state_->settings.lease;
  return lease + static_cast<Time>((z ^ z >> 31) % static_cast<std::uint64_t>(lease + 1));
}

const std::string& Routes::last_refusal() const { return state_->driver.last_refusal(); }

const Routes::Counts& Routes::counts() const {
  Counts& counts = state_->counts;
  const Counts& driver_counts = state_->driver.counts;
  const std::uint64_t fenced = counts.fenced, alone = counts.alone;
  counts = driver_counts;
  counts.fenced = fenced;
  counts.alone = alone;
  return counts;
}

bool Routes::clock_off() const { return state_->lease.clock_off(); }

const char* Routes::why_fenced() const { return state_->fenced_reason; }

}  // namespace marblehub::fleet
