#include "fleet/service/service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "check/check.h"
#include "fleet/service/budget.h"
#include "log/log.h"

namespace marblehub::fleet {
namespace {

const char* const kAborts[] = {"refused", "late", "replaced", "proposer_gone"};

// Of the record's words (record/command.cpp, routes/driver.cpp), for what counts in numbers.
const char* why_aborted(std::string_view said) {
  constexpr std::string_view aborted = " aborted: ";
  if (std::size_t at = said.find(aborted); at != said.npos) said.remove_prefix(at + aborted.size());
  if (said.starts_with("not staged in time")) return "late";
  if (said.starts_with("replaced by")) return "replaced";
  return said.starts_with("its proposer is gone") ? "proposer_gone" : "refused";
}

// The record keeps the last one: of a version that came into force since, a start finds it as history.
bool is_history(std::string_view said, std::uint64_t in_force) {
  constexpr std::string_view version_word = "version ";
  std::uint64_t version = 0;
  if (!said.starts_with(version_word)) return false;
  said.remove_prefix(version_word.size());
  std::from_chars(said.data(), said.data() + said.size(), version);
  return version <= in_force;
}

}  // namespace

Service::Service(net::Loop& loop, Files files, const config::Startup& startup, metrics::Registry& m,
                 std::function<void()> stop)
    : settings_(files.settings),
      values_(files.values),
      configured_(startup.settings.balancers),
      classes_(class_names(startup)),
      driver_(loop, parts(files, startup, fleet_clock(loop)),
              EnvelopeSealer(settings_.fleet, read_key_file(settings_.key_file)), m),
      began_(driver_.now()),
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
      shared_by_(
          m.gauge("marblehub_fleet_budget_members", "Balancers that share the budgets of the module")) {
  for (const char* why : kAborts)
    aborted_[why] = &m.counter("marblehub_fleet_activations_aborted_total",
                               "Route activations that were aborted", {{"why", why}});
  check::on_violation = [this](const char* part, const std::string& what) {
    if (broken_.insert(part).second)
      log::error("fleet: {} is off, what must hold was broken: {}", part, what);
  };
  driver_.on_name_conflict([stop = std::move(stop)](const std::string&) { stop(); });
  driver_.on_step([this] { stepped(); });
  log::info("fleet: {} of {} on {}", settings_.name, settings_.fleet, settings_.listen);
  if (settings_.voters.empty() && (!settings_.routes_file.empty() || !settings_.wallet_file.empty()))
    log::warning(
        "fleet: no voters are named, so nothing can be agreed on: routes and wallets stay as they are");
  // A list that nobody has told yet is none: a pool is not refused for being empty of it.
  if (!startup.known.workers.empty()) worker_list_updated(startup.known);
  follow(std::move(files));
}

Service::~Service() { check::on_violation = nullptr; }

NodeOptions Service::parts(Files& files, const config::Startup& startup, Time now) {
  NodeOptions parts;
  parts.settings = settings_;
  parts.calls.classes = classes_;
  parts.incarnation = new_incarnation(settings_.data, now);
  parts.seed = startup.seed ^ parts.incarnation;
  parts.first_fleet = settings_.first_fleet;
  if (std::find(settings_.voters.begin(), settings_.voters.end(), settings_.name) != settings_.voters.end()) {
    disk_ = std::make_unique<LmdbDisk>(settings_.data);
    parts.disk = disk_.get();
  }
  if (!settings_.wallet_file.empty()) {
    parts.wallet = std::exchange(files.wallet, std::nullopt);
    if (!settings_.data.empty()) journal_ = std::make_unique<FileJournal>(settings_.data + "/spent.journal");
    parts.journal = journal_.get();
  }
  return parts;
}

// A file of another name is that of a start to come.
Routes* Service::followed_routes(const Files& next) {
  return next.settings.routes_file == settings_.routes_file ? driver_.node().routes() : nullptr;
}

Wallets* Service::followed_wallets(const Files& next) {
  return next.wallet && next.settings.wallet_file == settings_.wallet_file ? driver_.node().wallets()
                                                                           : nullptr;
}

void Service::check(const Files& next) {
  const Record& record = driver_.node().record();
  if (Routes* routes = followed_routes(next)) routes->check(next.routes, record);
  if (followed_wallets(next)) check_deposits(*next.wallet, record.ledger(), settings_.wallet_file + ": ");
}

std::vector<std::string> Service::follow(Files next) {
  driver_.with_node([&](Node& node, Time now, Outbox& out) {
    if (Routes* routes = followed_routes(next)) routes->offer(now, next.routes, node.record(), out);
    if (Wallets* wallets = followed_wallets(next)) wallets->update_settings(std::move(*next.wallet));
  });
  return config::needs_restart(values_, next.values);
}

void Service::settle() {
  driver_.with_node([](Node& node, Time now, Outbox& out) {
    if (node.wallets()) node.wallets()->return_all(now, node.record(), out);
  });
}

void Service::leave() { driver_.leave(); }

core::CallGate::Decision Service::admit(std::uint64_t id, const core::Call& call) {
  Decision decision;
  Time now = driver_.now();
  Node& node = driver_.node();
  Routes* routes = checked("routes") ? node.routes() : nullptr;
  PlacementMode mode = routes ? routes->placement_mode(now) : PlacementMode::no_table;
  if (mode == PlacementMode::fenced) {
    refused_fenced_.add();
    return {true, routes->retry_after(now), nullptr};
  }
  if (mode != PlacementMode::no_table)
    decision.allowed_workers = workers_.usable(route_of(*routes, now, call), *routes);
  Wallets* wallets = checked("wallet") ? node.wallets() : nullptr;
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

void Service::call_established(std::uint64_t id) {
  auto it = reserved_.find(id);
  if (it == reserved_.end()) return;
  driver_.node().wallets()->commit(it->second);
  reserved_.erase(it);
}

void Service::call_ended(std::uint64_t id) {
  auto it = reserved_.find(id);
  if (it == reserved_.end()) return;
  driver_.node().wallets()->release(it->second);
  reserved_.erase(it);
}

void Service::worker_list_updated(const config::WorkerList& list) {
  workers_.learn(list);
  driver_.with_node([this](Node& node, Time, Outbox&) {
    if (node.routes()) node.routes()->update_workers(workers_.listed());
  });
}

void Service::set_down_workers(const std::vector<std::string>& workers) {
  workers_.down(driver_.now(), workers);
}

// Where it cannot be told what is in force, or nothing of the pool is there to go to, all stay.
bool Service::placement_allowed(const core::Call& call, const std::string& worker) {
  Time now = driver_.now();
  Routes* routes = checked("routes") ? driver_.node().routes() : nullptr;
  if (!routes || routes->placement_mode(now) != PlacementMode::by_table) return true;
  PooledWorkers::Set usable = workers_.usable(route_of(*routes, now, call), *routes);
  return usable->count(worker) || !workers_.some_up(*usable);
}

Route Service::route_of(Routes& routes, Time now, const core::Call& call) {
  return routes.route(now, class_of(call), call.tenant, call.area);
}

int Service::balancer_count() {
  Time now = driver_.now();
  int members = budget_shared_by(driver_.node().view().budget_members(now), configured_, now - began_);
  shared_by_.set(members);
  return members;
}

bool Service::checked(const char* part) { return broken_.empty() || !broken_.count(part); }

// After every input of the node: what an operator watches, and the sets of a table that has come into force.
void Service::stepped() {
  Node& node = driver_.node();
  Time now = driver_.now();
  const Ledger& ledger = node.record().ledger();
  majority_.set(settings_.voters.empty() || node.record().has_majority(now));
  leads_.set(node.record().role() == Role::leader);
  no_vote_.set(disk_ && !node.record().may_vote());
  broken_parts_.set(static_cast<double>(broken_.size()));
  if (Routes* routes = node.routes()) {
    if (std::exchange(in_force_, ledger.routes.in_force) != ledger.routes.in_force) {
      workers_.forget();
      log::info("fleet: route version {} is in force", in_force_);
    }
    PlacementMode mode = routes->placement_mode(now);
    if (std::exchange(logged_mode_, mode) != mode && mode == PlacementMode::fenced)
      log::warning("fleet: fenced, nothing new is placed: {}", routes->why_fenced());
    if (const std::string& why = routes->last_refusal(); why != refusal_said_) {
      refusal_said_ = why;
      if (!is_history(why, in_force_)) {
        aborted_.at(why_aborted(why))->add();
        log::warning("fleet: an activation was aborted: {}", why);
      }
    }
    version_.set(static_cast<double>(in_force_));
    fenced_.set(mode == PlacementMode::fenced ? 1 : 0);
    alone_.set(mode == PlacementMode::alone ? 1 : 0);
  }
  if (Wallets* wallets = node.wallets()) tell_wallets(ledger, *wallets);
}

void Service::tell_wallets(const Ledger& ledger, const Wallets& wallets) {
  double held_back = 0;
  for (const auto& [tenant, wallet] : ledger.wallets) {
    for (const auto& [slice, units] : wallet.held_back) held_back += static_cast<double>(units);
    if (std::exchange(paid_[tenant], wallet.paid) != wallet.paid)
      log::info("fleet: wallet {} has {} units paid in", tenant, wallet.paid);
    if (wallets.paused(tenant) == paused_tenants_.count(tenant)) continue;
    if (paused_tenants_.erase(tenant) != 0)
      log::info("fleet: wallet {} has units to spend again", tenant);
    else if (paused_tenants_.insert(tenant).second)
      log::warning("fleet: wallet {} is paused, nothing is left to spend", tenant);
  }
  paused_.set(static_cast<double>(paused_tenants_.size()));
  held_back_.set(held_back);
  if (const std::string& why = wallets.deposit_error(); why != deposits_refused_) {
    deposits_refused_ = why;
    if (!why.empty()) log::warning("fleet: deposits of the file are not offered: {}", why);
  }
}

}  // namespace marblehub::fleet
