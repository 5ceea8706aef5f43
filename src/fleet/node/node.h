/// A balancer as a member of the fleet: view, record, routes and wallets, driven together and without I/O. In
/// service it is driven by src/fleet/net, in tests and in src/model by a virtual clock.
#pragma once

#include <memory>
#include <optional>

#include "fleet/routes/routes.h"
#include "fleet/view/view.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

/// What a node is made from.
struct NodeOptions {
  Settings settings;
  KnownCalls calls;
  std::optional<WalletSettings> wallet;
  Disk* disk = nullptr;        ///< of a voter; not owned, must outlive the node
  Journal* journal = nullptr;  ///< of the wallets, null without a folder; not owned, must outlive the node
  bool first_fleet = false;    ///< see Record
  std::uint64_t incarnation = 1, seed = 1;
};

/// Passes inputs to the components and changes of one component on to the others.
class Node {
 public:
  /// Throws StorageError if the disk is corrupted, and what Journal::load throws.
  Node(NodeOptions options, Time now);
  /// Reports Envelope::sent_at of each authenticated message, to be called before `received`.
  void observe_clock(Time now, const std::string& from, Time sent_at);
  /// Handles an authenticated message of the member `from`.
  void received(Time now, const std::string& from, Component component, std::string_view body,
                Transport transport, Outbox& out);
  /// Runs the timers of all components; to be called at next_due.
  void tick(Time now, Outbox& out);
  void leave(Time now, Outbox& out);  ///< announces that the member leaves the fleet and returns its slices
  /// When to call tick next.
  Time next_due() const;

  View& view() { return *view_; }
  Record& record() { return *record_; }
  Routes* routes() { return routes_.get(); }     ///< null if disabled
  Wallets* wallets() { return wallets_.get(); }  ///< null if disabled

 private:
  // Passes changes of a component on to the others, after every input.
  void step_components(Time now, Outbox& out);

  std::unique_ptr<View> view_;
  std::unique_ptr<Record> record_;
  std::unique_ptr<Routes> routes_;
  std::unique_ptr<Wallets> wallets_;
  // The generation and the live members of the view that the other components know.
  std::uint64_t generation_ = 0;
  std::vector<std::string> alive_;
};

}  // namespace marblehub::fleet
