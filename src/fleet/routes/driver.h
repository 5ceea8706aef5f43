/// Activation of a route version in two phases: all members accept the staged version, then its activation
/// time is recorded.
#pragma once

#include "fleet/routes/routes.h"

namespace marblehub::fleet {

/// One balancer's part in activations, as a proposer, as a member that answers and as the record's leader.
/// All state that members share is in the record.
class ActivationDriver {
 public:
  ActivationDriver(const Settings& settings, KnownCalls calls)
      : settings_(settings), calls_(std::move(calls)) {}

  /// Accepts the operator's text for the next step. Throws like check_new, and then keeps the text before.
  void offer(Time now, const std::string& text, const RouteState& routes);
  /// The version of the text if it is to be proposed, else 0. Throws config::DecodeError if it is refused.
  std::uint64_t check_new(const std::string& text, const RouteState& routes) const;
  /// Replaces the list of workers, without which no staged version is answered.
  void update_workers(const std::vector<ListedWorker>& listed) { listed_ = listed, listed_known_ = true; }
  /// Takes all steps that are due, by the record; `alive`: the live members of the view.
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  /// When to call step next.
  Time next_due() const { return due_; }

  std::vector<ListedWorker> const& listed() const { return listed_; }
  const std::string& last_refusal() const { return last_refusal_; }
  Routes::Counts counts;

 private:
  // The interval at which a proposal waits for a leader; the time in which the activation reaches the leader.
  static constexpr Time kRetryInterval = 200 * kMillisecond, kDeliveryMargin = 50 * kMillisecond;
  void answer_proposal(Time now, Record& record, Outbox& out);
  void propose(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void drive(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void abort_stale(Time now, Record& record, Outbox& out);
  void update_last_refusal(const RouteState& routes);
  void wake_at(Time when) { due_ = std::min(due_, when); }

  const Settings settings_;
  const KnownCalls calls_;
  std::vector<ListedWorker> listed_;
  bool listed_known_ = false;
  Time due_ = 0;
  std::string last_refusal_, recorded_refusal_;

  std::string offered_;  // the operator's text, until it is proposed or found to be outdated
  std::uint64_t offered_version_ = 0;
  std::uint64_t accepted_hash_ = 0;  // hash of the last text that was not refused

  std::string own_text_;
  std::uint64_t own_version_ = 0;  // proposed here, and neither activated nor aborted yet
  Time own_proposed_at_ = 0;
  bool own_staged_ = false, own_decided_ = false;
  std::set<std::string> given_up_members_;

  std::uint64_t answered_version_ = 0;
  Time answered_at_ = 0;

  std::uint64_t watched_version_ = 0, watched_term_ = 0;  // staged, while this balancer is the leader
  Time watched_since_ = 0;
};

}  // namespace marblehub::fleet
