// Drives a Node in service: one UDP socket and one TCP listener on Settings::listen, the seal, names to
// addresses, the timer, and what main has to know. All on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/net/clock.h"
#include "fleet/net/gate.h"
#include "fleet/net/peers.h"
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
  void with(const std::function<void(Node&, Time now, Outbox&)>& act);
  void leave();  // at SIGTERM: others hear it at once. The driver still answers; destroy it when all is done

  void on_step(std::function<void()> call) { on_step_ = std::move(call); }  // after every input of the node
  // Another process of this name was there before: why this one must stop. Set once, and logged.
  void on_refused(std::function<void(const std::string& why)> call) { on_refused_ = std::move(call); }
  bool clock_off() const { return clock_off_; }  // further than clock_bound from most: nothing by leases

 private:
  void datagrams();
  bool arrived(std::string_view octets, Transport transport, const sockaddr_in* from);
  void send(Outbox& out);
  std::optional<sockaddr_in> address_of(const std::string& name) const;
  void after();
  void follow_view();
  void dropped(const std::string& reason) { dropped_.at(reason)->add(); }

  net::Loop& loop_;
  const Settings settings_;
  const std::uint64_t incarnation_;
  EnvelopeSealer sealer_;
  Gate gate_;
  std::unique_ptr<Node> node_;
  net::Fd udp_;
  net::IoWatch reading_;
  net::TimerWatch due_;
  std::unique_ptr<Peers> peers_;
  std::map<std::string, sockaddr_in> heard_from_;  // of those the view has no address of yet
  std::map<std::string, MemberStatus> statuses_;   // as it was told in the log
  std::uint64_t generation_ = 0;
  Time due_at_ = 0, clock_looked_at_ = 0;
  bool clock_off_ = false, refused_ = false, leaving_ = false;
  std::function<void()> on_step_;
  std::function<void(const std::string&)> on_refused_;
  std::map<std::string, metrics::Metric*> dropped_;
  metrics::Metric &sent_, &sent_octets_, &received_, &alive_, &settled_, &digest_, &generations_, &given_up_,
      &applied_, &health_, &clock_;
};

}  // namespace marblehub::fleet
