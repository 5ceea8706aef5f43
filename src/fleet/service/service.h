// The fleet's part of a daemon: files, disk and driver on one side, the dispatcher's gate on the other. A
// call that is fenced or whose wallet is out is refused here at once with a time, and the module never hears
// of it.
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

class FleetService final : public core::CallGate {
 public:
  // Throws std::runtime_error or config::DecodeError with file and key; `files` are enabled. `stop` is
  // called where another process of this name was there before.
  FleetService(net::Loop& loop, FleetFiles files, const config::Startup& startup, metrics::Registry& metrics,
               std::function<void()> stop);
  ~FleetService() override;

  // SIGHUP, in two steps: what cannot be followed, by what is agreed, is thrown before anything is.
  void check_reload(const FleetFiles& next);
  // The keys that take a restart to follow come back. Not before `check`.
  std::vector<std::string> reload(FleetFiles next);
  void return_wallets();  // at SIGTERM: what is unspent goes back as the last calls end
  void leave();           // when all clients have moved

  // core::CallGate
  Decision admit(std::uint64_t id, const core::Call& call) override;
  void call_established(std::uint64_t id) override;
  void call_ended(std::uint64_t id) override;
  void worker_list_updated(const config::WorkerList& list) override;
  int balancer_count() override;
  void set_down_workers(const std::vector<std::string>& workers) override;
  bool placement_allowed(const core::Call& call, const std::string& worker) override;
  std::uint64_t placement_version() override { return workers_.changes(); }

 private:
  const std::string& class_of(const core::Call& call) const {
    return classes_[static_cast<std::size_t>(call.request_class)];
  }
  Route find_route(Routes& routes, Time now, const core::Call& call);
  NodeOptions node_options(FleetFiles& files, const config::Startup& startup, Time now);
  Routes* reloadable_routes(const FleetFiles& next);
  Wallets* reloadable_wallets(const FleetFiles& next);
  void after_step();
  void report_wallets(const Ledger& ledger, const Wallets& wallets);
  bool is_enabled(const char* component);  // false: an invariant of that part was broken, and it is off

  const Settings settings_;
  const config::Values start_values_;  // of fleet.json at the start
  const int configured_balancers_;     // balancers, by the starting file
  std::vector<std::string> classes_;
  std::unique_ptr<LmdbDisk> disk_;        // of a voter
  std::unique_ptr<FileJournal> journal_;  // where there is a wallet and a folder
  NodeDriver driver_;
  const Time started_at_;
  PooledWorkers workers_;
  std::unordered_map<std::uint64_t, Reservation> reserved_;  // by call; one that stands has none any more
  std::string logged_refusal_, logged_deposit_error_;
  std::set<std::string> paused_tenants_;
  std::map<std::string, std::int64_t> logged_deposits_;  // by tenant, as it was told in the log
  std::uint64_t logged_version_ = 0;
  PlacementMode logged_mode_ = PlacementMode::no_table;
  std::set<std::string> disabled_components_;
  metrics::Metric &version_, &fenced_, &alone_, &paused_, &refused_fenced_, &refused_paused_, &majority_,
      &leads_, &no_vote_, &held_back_, &broken_parts_, &budget_members_;
  std::map<std::string_view, metrics::Metric*> aborted_;  // by why
};

}  // namespace marblehub::fleet
