#include "fleet/service/service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "check/check.h"
#include "fleet/service/budget.h"
#include "log/log.h"

namespace marblehub::fleet {
namespace {

// The components that the fleet's invariants name; see MARBLEHUB_INVARIANT.
const std::set<std::string_view> kFleetComponents = {"node", "record", "routes", "view", "wallet"};

const char* const kAbortReasons[] = {"refused", "late", "replaced", "proposer_gone"};

// The metric's label for a reason from record/command.cpp or routes/driver.cpp.
const char* abort_reason(std::string_view message) {
  constexpr std::string_view aborted = " aborted: ";
  if (std::size_t at = message.find(aborted); at != message.npos) message.remove_prefix(at + aborted.size());
  if (message.starts_with("not staged in time")) return "late";
  if (message.starts_with("replaced by")) return "replaced";
  return message.starts_with("its proposer is gone") ? "proposer_gone" : "refused";
}

// Whether the refused version has come into force since. The record keeps the last refusal, which a balancer
// that starts then reads.
bool is_superseded(std::string_view message, std::uint64_t in_force) {
  constexpr std::string_view version_word = "version ";
  std::uint64_t version = 0;
  if (!message.starts_with(version_word)) return false;
  message.remove_prefix(version_word.size());
  std::from_chars(message.data(), message.data() + message.size(), version);
  return version <= in_force;
}

}  // namespace

FleetService::FleetService(net::Loop& loop, FleetFiles files, const config::Startup& startup,
                           metrics::Registry& m, std::function<void()> stop)
    : settings_(files.settings),
      start_values_(files.values),
      configured_balancers_(startup.settings.balancers),
      classes_(class_names(startup)),
      driver_(loop, node_options(files, startup, fleet_clock(loop)),
              EnvelopeSealer(settings_.fleet, read_key_file(settings_.key_file)), m),
      started_at_(driver_.now()),
      version_(m.gauge("marblehub_fleet_routes_version", "The route version in force")),
      fenced_(m.gauge("marblehub_fleet_fenced", "1 while this balancer places nothing new by routes")),
      alone_(
          m.gauge("marblehub_fleet_alone", "1 while it places by a table that it cannot renew (when_alone)")),
      paused_(m.gauge("marblehub_fleet_wallets_paused", "Wallets with nothing left to spend")),
      refused_fenced_(m.counter("marblehub_fleet_refused_total", "Calls refused by the fleet's parts",
                                {{"why", "fenced"}})),
      refused_paused_(m.counter("marblehub_fleet_refused_total", "Calls refused by the fleet's parts",
                                {{"why", "paused"}})),
      majority_(m.gauge("marblehub_fleet_record_majority",
                        "1 while the record has a leader with a majority, or no voters are named")),
      leads_(m.gauge("marblehub_fleet_record_leads", "1 while this balancer leads the record")),
      no_vote_(m.gauge("marblehub_fleet_no_vote",
                       "1 while this voter may not vote: its disk is lost, old or takes no writes")),
      held_back_(
          m.gauge("marblehub_fleet_wallet_held_back", "Units that count as spent until a journal says more")),
      broken_parts_(
          m.gauge("marblehub_fleet_broken_parts", "Parts turned off because an invariant was broken")),
      budget_members_(
          m.gauge("marblehub_fleet_budget_members", "Balancers that share the budgets of the module")) {
  for (const char* why : kAbortReasons)
    aborted_[why] = &m.counter("marblehub_fleet_activations_aborted_total",
                               "Route activations that were aborted", {{"why", why}});
  outer_violation_handler_ = std::exchange(
      check::on_violation,
      [this](const char* component, const std::string& what) { handle_violation(component, what); });
  driver_.on_name_conflict([stop = std::move(stop)](const std::string&) { stop(); });
  driver_.on_step([this] { after_step(); });
  log::info("fleet: {} of {} on {}", settings_.name, settings_.fleet, settings_.listen);
  if (settings_.voters.empty() && (!settings_.routes_file.empty() || !settings_.wallet_file.empty()))
    log::warning("fleet: no voters are configured, so routes and wallets cannot change");
  // Without known workers no list is set, so that pools are not refused for having no worker.
  if (!startup.known.workers.empty()) worker_list_updated(startup.known);
  reload(std::move(files));
}

FleetService::~FleetService() { check::on_violation = std::move(outer_violation_handler_); }

// Turns off the part of the fleet that a violated invariant belongs to; those of other modules are passed on.
void FleetService::handle_violation(const char* component, const std::string& what) {
  if (!kFleetComponents.contains(component)) {
    if (!outer_violation_handler_) throw check::InvariantViolation(component, what);
    return outer_violation_handler_(component, what);
  }
  if (disabled_components_.insert(component).second)
    log::error("fleet: {} is off, an invariant was violated: {}", component, what);
}

NodeOptions FleetService::node_options(FleetFiles& files, const config::Startup& startup, Time now) {
  NodeOptions options;
  options.settings = settings_;
  options.calls.classes = classes_;
  options.incarnation = new_incarnation(settings_.data, now);
  options.seed = startup.seed ^ options.incarnation;
  options.first_fleet = settings_.first_fleet;
  if (std::find(settings_.voters.begin(), settings_.voters.end(), settings_.name) != settings_.voters.end()) {
    disk_ = std::make_unique<LmdbDisk>(settings_.data);
    options.disk = disk_.get();
  }
  if (!settings_.wallet_file.empty()) {
    options.wallet = std::exchange(files.wallet, std::nullopt);
    if (!settings_.data.empty()) journal_ = std::make_unique<FileJournal>(settings_.data + "/spent.journal");
    options.journal = journal_.get();
  }
  return options;
}

// Null if the file's name has changed, which only a restart applies.
Routes* FleetService::reloadable_routes(const FleetFiles& next) {
  return next.settings.routes_file == settings_.routes_file ? driver_.node().routes() : nullptr;
}

Wallets* FleetService::reloadable_wallets(const FleetFiles& next) {
  return next.wallet && next.settings.wallet_file == settings_.wallet_file ? driver_.node().wallets()
                                                                           : nullptr;
}

void FleetService::check_reload(const FleetFiles& next) {
  const Record& record = driver_.node().record();
  if (Routes* routes = reloadable_routes(next)) routes->check(next.routes, record);
  if (reloadable_wallets(next)) check_deposits(*next.wallet, record.ledger(), settings_.wallet_file + ": ");
}

std::vector<std::string> FleetService::reload(FleetFiles next) {
  driver_.with_node([&](Node& node, Time now, Outbox& out) {
    if (Routes* routes = reloadable_routes(next)) routes->offer(now, next.routes, node.record(), out);
    if (Wallets* wallets = reloadable_wallets(next)) wallets->update_settings(std::move(*next.wallet));
  });
  return config::needs_restart(start_values_, next.values);
}

void FleetService::return_wallets() {
  driver_.with_node([](Node& node, Time now, Outbox& out) {
    if (node.wallets()) node.wallets()->return_all(now, node.record(), out);
  });
}

void FleetService::leave() { driver_.leave(); }

core::CallGate::Decision FleetService::admit(std::uint64_t id, const core::Call& call) {
  Decision decision;
  Time now = driver_.now();
  Node& node = driver_.node();
  Routes* routes = is_enabled("routes") ? node.routes() : nullptr;
  PlacementMode mode = routes ? routes->placement_mode(now) : PlacementMode::no_table;
  if (mode == PlacementMode::fenced) {
    refused_fenced_.add();
    return {true, routes->retry_after(now), nullptr};
  }
  if (mode != PlacementMode::no_table)
    decision.allowed_workers = workers_.usable(find_route(*routes, now, call), *routes);
  Wallets* wallets = is_enabled("wallet") ? node.wallets() : nullptr;
  Reservation reservation;
  ReserveResult reserve_result =
      wallets ? wallets->reserve(now, call.tenant, class_of(call), reservation) : ReserveResult::unmetered;
  if (reserve_result == ReserveResult::paused) {
    refused_paused_.add();
    return {true, wallets->retry_after(now), nullptr};
  }
  if (reserve_result == ReserveResult::reserved) reserved_.emplace(id, reservation);
  return decision;
}

void FleetService::call_established(std::uint64_t id) {
  auto it = reserved_.find(id);
  if (it == reserved_.end()) return;
  driver_.node().wallets()->commit(it->second);
  reserved_.erase(it);
}

void FleetService::call_ended(std::uint64_t id) {
  auto it = reserved_.find(id);
  if (it == reserved_.end()) return;
  driver_.node().wallets()->release(it->second);
  reserved_.erase(it);
}

void FleetService::worker_list_updated(const config::WorkerList& list) {
  workers_.update_list(list);
  driver_.with_node([this](Node& node, Time, Outbox&) {
    if (node.routes()) node.routes()->update_workers(workers_.listed());
  });
}

void FleetService::set_down_workers(const std::vector<std::string>& workers) {
  workers_.update_down(driver_.now(), workers);
}

// Connections stay where they are if the version in force is unknown or no usable worker is up.
bool FleetService::placement_allowed(const core::Call& call, const std::string& worker) {
  Time now = driver_.now();
  Routes* routes = is_enabled("routes") ? driver_.node().routes() : nullptr;
  if (!routes || routes->placement_mode(now) != PlacementMode::by_table) return true;
  PooledWorkers::WorkerSet usable = workers_.usable(find_route(*routes, now, call), *routes);
  return usable->count(worker) || !workers_.any_up(*usable);
}

Route FleetService::find_route(Routes& routes, Time now, const core::Call& call) {
  return routes.route(now, class_of(call), call.tenant, call.area);
}

int FleetService::balancer_count() {
  Time now = driver_.now();
  int members =
      budget_balancers(driver_.node().view().budget_members(now), configured_balancers_, now - started_at_);
  budget_members_.set(members);
  return members;
}

bool FleetService::is_enabled(const char* component) {
  return disabled_components_.empty() || !disabled_components_.count(component);
}

// After each input of the node: updates metrics and log, and resets the pools when another table is in force.
void FleetService::after_step() {
  Node& node = driver_.node();
  Time now = driver_.now();
  const Ledger& ledger = node.record().ledger();
  majority_.set(settings_.voters.empty() || node.record().has_majority(now));
  leads_.set(node.record().role() == Role::leader);
  no_vote_.set(disk_ && !node.record().may_vote());
  broken_parts_.set(static_cast<double>(disabled_components_.size()));
  if (Routes* routes = node.routes()) {
    if (std::exchange(logged_version_, ledger.routes.in_force) != ledger.routes.in_force) {
      workers_.reset_pools();
      log::info("fleet: route version {} is in force", logged_version_);
    }
    PlacementMode mode = routes->placement_mode(now);
    if (std::exchange(logged_mode_, mode) != mode && mode == PlacementMode::fenced)
      log::warning("fleet: fenced, no new calls are placed: {}", routes->why_fenced());
    if (const std::string& why = routes->last_refusal(); why != logged_refusal_) {
      logged_refusal_ = why;
      if (!is_superseded(why, logged_version_)) {
        aborted_.at(abort_reason(why))->add();
        log::warning("fleet: an activation was aborted: {}", why);
      }
    }
    version_.set(static_cast<double>(logged_version_));
    fenced_.set(mode == PlacementMode::fenced ? 1 : 0);
    alone_.set(mode == PlacementMode::alone ? 1 : 0);
  }
  if (Wallets* wallets = node.wallets()) report_wallets(ledger, *wallets);
}

void FleetService::report_wallets(const Ledger& ledger, const Wallets& wallets) {
  double held_back = 0;
  for (const auto& [tenant, wallet] : ledger.wallets) {
    for (const auto& [slice, units] : wallet.held_back) held_back += static_cast<double>(units);
    if (std::exchange(logged_deposits_[tenant], wallet.paid) != wallet.paid)
      log::info("fleet: wallet {} has {} units paid in", tenant, wallet.paid);
    if (wallets.paused(tenant) == paused_tenants_.count(tenant)) continue;
    if (paused_tenants_.erase(tenant) != 0)
      log::info("fleet: wallet {} has units to spend again", tenant);
    else if (paused_tenants_.insert(tenant).second)
      log::warning("fleet: wallet {} is paused, no units are left to spend", tenant);
  }
  paused_.set(static_cast<double>(paused_tenants_.size()));
  held_back_.set(held_back);
  if (const std::string& why = wallets.deposit_error(); why != logged_deposit_error_) {
    logged_deposit_error_ = why;
    if (!why.empty()) log::warning("fleet: deposits of the file are not offered: {}", why);
  }
}

}  // namespace marblehub::fleet
