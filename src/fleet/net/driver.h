/// Connects a Node to the event loop: sockets, timer, message envelopes and metrics.
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

/// Owns a Node and runs it on one UDP socket and one TCP listener at Settings::listen. Seals and opens
/// messages, resolves members' names to addresses, and ticks the node when it is due. Used on the loop's
/// thread alone.
class NodeDriver {
 public:
  /// Throws std::runtime_error with the address if it cannot be bound. parts.settings must be enabled.
  NodeDriver(net::Loop& loop, NodeOptions parts, EnvelopeSealer sealer, metrics::Registry& metrics);
  ~NodeDriver();
  NodeDriver(const NodeDriver&) = delete;

  Node& node() { return *node_; }
  Time now() const { return fleet_clock(loop_); }
  const Settings& settings() const { return settings_; }

  /// Calls `act` with the node, then sends its messages and sets the timer. For all calls that fill an
  /// Outbox.
  void with_node(const std::function<void(Node&, Time now, Outbox&)>& act);
  /// Announces that this balancer leaves, at SIGTERM. The driver still answers until it is destroyed.
  void leave();

  /// Sets the callback after each input of the node.
  void on_step(std::function<void()> call) { on_step_ = std::move(call); }
  /// Sets the callback for an older process of the same name, because of which this one must stop. Called at
  /// most once, after the conflict is logged.
  void on_name_conflict(std::function<void(const std::string& why)> call) {
    on_name_conflict_ = std::move(call);
  }
  /// Whether the clock differs by more than clock_bound from those of most members.
  bool clock_off() const { return clock_off_; }

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
  std::map<std::string, sockaddr_in> observed_addresses_;  // of senders that are not in the view yet
  std::map<std::string, MemberStatus> statuses_;           // as last logged
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
