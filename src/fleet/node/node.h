// One balancer's part of the fleet: view, record, routes and wallet stepped together, free of I/O. In service
// it is driven by src/fleet/net, in tests and in src/model by a virtual clock.
#pragma once

#include <memory>
#include <optional>

#include "fleet/routes/routes.h"
#include "fleet/view/view.h"
#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

struct NodeOptions {
  Settings settings;
  KnownCalls calls;
  std::optional<WalletSettings> wallet;
  Disk* disk = nullptr;        // of a voter
  Journal* journal = nullptr;  // none where there is no folder
  bool first_fleet = false;
  std::uint64_t incarnation = 1, seed = 1;
};

class Node {
 public:
  Node(NodeOptions parts, Time now);
  // Envelope::sent_at of a message that verified, before it is handed to `received`.
  void observe_clock(Time now, const std::string& from, Time sent_at);
  void received(Time now, const std::string& from, Component component, std::string_view body,
                Transport transport, Outbox& out);
  void tick(Time now, Outbox& out);
  void leave(Time now, Outbox& out);
  Time next_due() const;

  View& view() { return *view_; }
  Record& record() { return *record_; }
  Routes* routes() { return routes_.get(); }     // null: off
  Wallets* wallets() { return wallets_.get(); }  // null: off

 private:
  void settle(Time now, Outbox& out);  // after every input: what one part learnt goes to the others
  std::unique_ptr<View> view_;
  std::unique_ptr<Record> record_;
  std::unique_ptr<Routes> routes_;
  std::unique_ptr<Wallets> wallets_;
  std::uint64_t generation_ = 0;    // of the view, as told to the others
  std::vector<std::string> alive_;  // the same
};

}  // namespace marblehub::fleet
