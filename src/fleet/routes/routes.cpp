#include "fleet/routes/routes.h"

#include <algorithm>
#include <limits>

#include "check/check.h"
#include "fleet/routes/driver.h"
#include "fleet/routes/lease.h"
#include "fleet/routes/table.h"

namespace marblehub::fleet {
namespace {

struct Held {
  explicit Held(Table t) : table(std::move(t)), matcher(table) {}
  void count(const std::vector<ListedWorker>& listed) {
    pools.clear();
    for (const ListedWorker& worker : listed) pools[worker.name] = pools_containing(table, worker);
  }
  Table table;
  Matcher matcher;
  std::unordered_map<std::string, PoolMask> pools;
};

constexpr std::size_t kMostHeld = 4;  // before, in force, next, and one more for calls that began long ago

}  // namespace

struct Routes::State {
  State(const Settings& s, KnownCalls calls) : settings(s), lease(s), driver(s, std::move(calls)) {}

  struct Decided {
    PlacementMode mode;
    std::uint64_t version;
    const Held* held;  // null: no table of it
  };
  Decided decide(Time now);
  const Held* find(std::uint64_t version) const {
    auto it = held.find(version);
    return it == held.end() ? nullptr : it->second.get();
  }
  void hold(std::uint64_t version, const std::string& text);
  void drop_old();

  const Settings settings;
  Lease lease;
  ActivationDriver driver;
  std::map<std::uint64_t, std::unique_ptr<Held>> held;
  std::uint64_t in_force = 0, next = 0, newest_placed = 0, current = 0;
  Time activation_time = 0;  // of `next`
  Time turn = 0;             // the moment still ahead, by the last step; 0: none
  std::uint64_t spread = 0;
  const char* why = "";
  Counts counts;
};

Routes::State::Decided Routes::State::decide(Time now) {
  const Lease::Decision decision = lease.evaluate(now);
  why = decision.why;
  const Held* table = find(decision.version);
  if (decision.held && (table || decision.version == 0)) {
    MARBLEHUB_INVARIANT("routes", decision.version >= newest_placed,
                        "placed by an older version after a newer one");
    newest_placed = std::max(newest_placed, decision.version);
    return {table ? PlacementMode::by_table : PlacementMode::no_table, decision.version, table};
  }
  if (decision.held) why = "does not hold the version in force yet";
  if (settings.when_alone == WhenAlone::keep) {
    // The newest that it knows of, by its own clock: agreement is given up, so none is claimed.
    std::uint64_t version =
        std::max({decision.version, in_force, next != 0 && now >= activation_time ? next : 0});
    if (!find(version)) {
      auto it = held.lower_bound(version);
      while (it != held.begin() && !std::prev(it)->second) --it;
      version = it == held.begin() ? 0 : std::prev(it)->first;
    }
    if (version != 0 || (lease.ever_held() && decision.version == 0)) {
      ++counts.alone;
      return {PlacementMode::alone, version, find(version)};
    }
  }
  ++counts.fenced;
  return {PlacementMode::fenced, decision.version, nullptr};
}

void Routes::State::hold(std::uint64_t version, const std::string& text) {
  if (version == 0 || held.count(version)) return;
  std::unique_ptr<Held>& into = held[version];
  try {
    auto table = std::make_unique<Held>(parse_table(text, "routes " + std::to_string(version)));
    table->count(driver.listed());
    into = std::move(table);
  } catch (const config::DecodeError&) {
    // Of a later program's shape, or not a table: without it this balancer is fenced, never guessing. An
    // empty place keeps it from being decoded at every step.
  }
}

void Routes::State::drop_old() {
  while (held.size() > kMostHeld) held.erase(held.begin());
}

Routes::Routes(const Settings& settings, KnownCalls calls, Time)
    : state_(new State(settings, std::move(calls))) {}

void Routes::Release::operator()(State* state) const { delete state; }

void Routes::offer(Time now, const std::string& text, Record& record, Outbox&) {
  state_->driver.offer(now, text, record.ledger().routes);  // proposed by the next step, which is due at once
}

void Routes::check(const std::string& text, const Record& record) const {
  state_->driver.newer(text, record.ledger().routes);
}

void Routes::observe_clock(Time now, const std::string& from, Time sent_at) {
  state_->lease.observe_clock(now, from, sent_at);
}

void Routes::update_workers(const std::vector<ListedWorker>& listed) {
  state_->driver.update_workers(listed);
  for (auto& [version, table] : state_->held)
    if (table) table->count(listed);
}

void Routes::step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out) {
  State& s = *state_;
  const RouteState& routes = record.ledger().routes;
  s.hold(routes.in_force, routes.text);
  s.hold(routes.next, routes.next_text);
  s.drop_old();
  s.in_force = routes.in_force;
  s.next = routes.next;
  s.activation_time = routes.activation_time;
  if (std::optional<Grant> grant = record.grant()) s.lease.update_grant(now, *grant);
  s.driver.step(now, record, alive, out);
  s.turn = routes.next != 0 && now < routes.activation_time ? routes.activation_time : 0;
  s.current = s.lease.evaluate(now).version;
  MARBLEHUB_INVARIANT("routes", routes.next == 0 || routes.next > routes.in_force,
                      "the next version is not newer");
  MARBLEHUB_DEBUG_INVARIANT("routes", s.held.size() <= kMostHeld, "more tables held than are used");
}

Time Routes::next_due() const {
  Time due = state_->driver.next_due();
  return state_->turn != 0 ? std::min(due, state_->turn) : due;
}

PlacementMode Routes::placement_mode(Time now) const { return state_->decide(now).mode; }

Route Routes::route(Time now, std::string_view service_class, std::string_view tenant,
                    std::string_view area) const {
  const State::Decided decided = state_->decide(now);
  if (decided.mode == PlacementMode::fenced) return {decided.version, 0, 0};
  if (!decided.held) return {decided.version};
  return decided.held->matcher.route(service_class, tenant, area);
}

PoolMask Routes::pool_mask(const std::string& worker) const { return pool_mask(worker, state_->current); }

PoolMask Routes::pool_mask(const std::string& worker, std::uint64_t version) const {
  const Held* table = state_->find(version);
  auto it = table ? table->pools.find(worker) : decltype(table->pools.end()){};
  return table && it != table->pools.end() ? it->second : kAnyWorkerBit;
}

Time Routes::retry_after(Time now) const {
  // Spread by a mixer over name, time and count (Steele, Lea, Flood 2014), so that those refused at one
  // moment do not come back at one.
  std::uint64_t z = std::hash<std::string>{}(state_->settings.name) + static_cast<std::uint64_t>(now) +
                    ++state_->spread * 0x9e3779b97f4a7c15;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
  z = (z ^ z >> 27) * 0x94d049bb133111eb;
  const Time lease = state_->settings.lease;
  return lease + static_cast<Time>((z ^ z >> 31) % static_cast<std::uint64_t>(lease + 1));
}

const std::string& Routes::last_refusal() const { return state_->driver.last_refusal(); }

const Routes::Counts& Routes::counts() const {
  Counts& counts = state_->counts;
  const Counts& said = state_->driver.counts;
  const std::uint64_t fenced = counts.fenced, alone = counts.alone;
  counts = said;
  counts.fenced = fenced;
  counts.alone = alone;
  return counts;
}

bool Routes::clock_off() const { return state_->lease.clock_off(); }

const char* Routes::why_fenced() const { return state_->why; }

}  // namespace marblehub::fleet
