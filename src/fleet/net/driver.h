// Drives a Node in service: one UDP socket and one TCP listener on Settings::listen, the seal, names to
// addresses, the timer, and what main has to know. All on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/net/clock.h"
#include "fleet/net/peer_streams.h"
#include "fleet/net/sender_filter.h"
#include "fleet/node/node.h"
#include "fleet/wire/envelope.h"
#include "metrics/registry.h"
#include "net/loop.h"

namespace marblehub::fleet {

class NodeDriver {
 public:
  // Throws std::runtime_error with the address where it cannot be bound. parts.settings must be enabled.
  NodeDriver(net::Loop& loop, NodeOptions parts, EnvelopeSealer sealer, metrics::Registry& metrics);
  ~NodeDriver();
  NodeDriver(const NodeDriver&) = delete;

  Node& node() { return *node_; }
  Time now() const { return fleet_clock(loop_); }
  const Settings& settings() const { return settings_; }

  // Whatever main does with the node that may send goes through here, so that it is sent and the timer set.
  void with_node(const std::function<void(Node&, Time now, Outbox&)>& act);
  void leave();  // at SIGTERM: others hear it at once. The driver still answers; destroy it when all is done

  void on_step(std::function<void()> call) { on_step_ = std::move(call); }  // after every input of the node
  // Another process of this name was there before: why this one must stop. Set once, and logged.
  void on_name_conflict(std::function<void(const std::string& why)> call) {
    on_name_conflict_ = std::move(call);
  }
  bool clock_off() const { return clock_off_; }  // further than clock_bound from most: nothing by leases

 private:
  void read_datagrams();
  bool handle_message(std::string_view bytes, Transport transport, const sockaddr_in* from);
  void send(Outbox& out);
  std::optional<sockaddr_in> address_of(const std::string& name) const;
  void after_step();
  void apply_view_changes();
  void count_drop(const std::string& reason) { drop_counters_.at(reason)->add(); }

  net::Loop& loop_;
  const Settings settings_;
  const std::uint64_t incarnation_;
  EnvelopeSealer sealer_;
  SenderFilter sender_filter_;
  std::unique_ptr<Node> node_;
  net::Fd udp_;
  net::IoWatch udp_watch_;
  net::TimerWatch tick_timer_;
  std::unique_ptr<PeerStreams> streams_;
  std::map<std::string, sockaddr_in> observed_addresses_;  // of those the view has no address of yet
  std::map<std::string, MemberStatus> statuses_;           // as it was told in the log
  std::uint64_t generation_ = 0;
  Time tick_due_ = 0, clock_checked_at_ = 0;
  bool clock_off_ = false, name_conflict_reported_ = false, leaving_ = false;
  std::function<void()> on_step_;
  std::function<void(const std::string&)> on_name_conflict_;
  std::map<std::string, metrics::Metric*> drop_counters_;
  metrics::Metric &sent_, &sent_bytes_, &received_, &alive_, &converged_, &digest_, &generations_, &given_up_,
      &applied_, &health_, &clock_;
};

}  // namespace marblehub::fleet
