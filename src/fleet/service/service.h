/// Connects the fleet's components to the daemon.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/dispatcher.h"
#include "fleet/net/driver.h"
#include "fleet/record/lmdb_disk.h"
#include "fleet/service/files.h"
#include "fleet/service/pools.h"
#include "fleet/wallet/file_journal.h"

namespace marblehub::fleet {

/// Owns the fleet's disk, journal and node driver, and is the dispatcher's gate. Rejects calls while fenced
/// or with an empty wallet, with a time to retry, before the policy sees them.
class FleetService final : public core::CallGate {
 public:
  /// Throws std::runtime_error, or config::DecodeError with file and key. `files` must be enabled. `stop` is
  /// called if an older process of the same name is running.
  FleetService(net::Loop& loop, FleetFiles files, const config::Startup& startup, metrics::Registry& metrics,
               std::function<void()> stop);
  ~FleetService() override;

  /// First step of a reload at SIGHUP: throws config::DecodeError if the files conflict with the record.
  void check_reload(const FleetFiles& next);
  /// Second step: applies the files. Returns the changed keys that only a restart applies.
  std::vector<std::string> reload(FleetFiles next);
  /// At SIGTERM: returns the unspent units of all slices as the last calls end.
  void return_wallets();
  /// Leaves the fleet, once all clients have moved.
  void leave();

  // core::CallGate
  Decision admit(std::uint64_t id, const core::Call& call) override;
  void call_established(std::uint64_t id) override;
  void call_ended(std::uint64_t id) override;
  void worker_list_updated(const config::WorkerList& list) override;
  int balancer_count() override;
  void set_down_workers(const std::vector<std::string>& workers) override;
  bool placement_allowed(const core::Call& call, const std::string& worker) override;
  std::uint64_t placement_version() override { return workers_.placement_version(); }

 private:
  const std::string& class_of(const core::Call& call) const {
    return classes_[static_cast<std::size_t>(call.request_class)];
  }
  Route find_route(Routes& routes, Time now, const core::Call& call);
  NodeOptions node_options(FleetFiles& files, const config::Startup& startup, Time now);
  Routes* reloadable_routes(const FleetFiles& next);
  Wallets* reloadable_wallets(const FleetFiles& next);
  void after_step();
  void handle_violation(const char* component, const std::string& what);
  void report_wallets(const Ledger& ledger, const Wallets& wallets);
  bool is_enabled(const char* component);  // false: switched off, because an invariant was violated

  const Settings settings_;
  const config::Values start_values_;  // of fleet.json at the start
  const int configured_balancers_;     // by the starting file
  std::vector<std::string> classes_;
  std::unique_ptr<LmdbDisk> disk_;        // of a voter
  std::unique_ptr<FileJournal> journal_;  // with a wallet and a data folder only
  NodeDriver driver_;
  const Time started_at_;
  PooledWorkers workers_;
  std::unordered_map<std::uint64_t, Reservation> reserved_;  // by call, until it is established or ends
  std::string logged_refusal_, logged_deposit_error_;
  std::set<std::string> paused_tenants_;
  std::map<std::string, std::int64_t> logged_deposits_;  // units paid in, by tenant
  std::uint64_t logged_version_ = 0;
  PlacementMode logged_mode_ = PlacementMode::no_table;
  std::set<std::string> disabled_components_;
  // Takes the violations of other modules' invariants; may be empty.
  std::function<void(const char* component, const std::string& what)> outer_violation_handler_;
  metrics::Metric &version_, &fenced_, &alone_, &paused_, &refused_fenced_, &refused_paused_, &majority_,
      &leads_, &no_vote_, &held_back_, &broken_parts_, &budget_members_;
  std::map<std::string_view, metrics::Metric*> aborted_;  // by reason
};

}  // namespace marblehub::fleet
