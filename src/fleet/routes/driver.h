// Activation of a version in two phases: what this balancer offers, answers and, leading, gives up.
#pragma once

#include "fleet/routes/routes.h"

namespace marblehub::fleet {

class ActivationDriver {
 public:
  ActivationDriver(const Settings& settings, KnownCalls calls)
      : settings_(settings), calls_(std::move(calls)) {}

  void offer(Time now, const std::string& text, const RouteState& routes);
  // The version of the words where they are news, else 0; throws where they are refused.
  std::uint64_t newer(const std::string& text, const RouteState& routes) const;
  void update_workers(const std::vector<ListedWorker>& listed) { listed_ = listed, listed_known_ = true; }
  void step(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  Time next_due() const { return due_; }

  std::vector<ListedWorker> const& listed() const { return listed_; }
  const std::string& last_refusal() const { return last_refusal_; }
  Routes::Counts counts;

 private:
  static constexpr Time kAgain = 200 * kMillisecond, kTravel = 50 * kMillisecond;
  void answer(Time now, Record& record, Outbox& out);
  void propose(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void drive(Time now, Record& record, const std::vector<std::string>& alive, Outbox& out);
  void give_up(Time now, Record& record, Outbox& out);
  void note_refusal(const RouteState& routes);
  void due_at(Time when) { due_ = std::min(due_, when); }

  const Settings settings_;
  const KnownCalls calls_;
  std::vector<ListedWorker> listed_;
  bool listed_known_ = false;
  Time due_ = 0;
  std::string last_refusal_, recorded_refusal_;

  std::string offered_;  // the operator's words, until they are proposed or older than what is recorded
  std::uint64_t offered_version_ = 0;
  std::uint64_t taken_ = 0;  // hash of the operator's words that were not refused last

  std::string driven_text_;
  std::uint64_t driven_ = 0;  // proposed here, and neither recorded with a moment nor aborted yet
  Time proposed_at_ = 0;
  bool seen_staged_ = false, decided_ = false;
  std::set<std::string> given_up_;

  std::uint64_t answered_ = 0;
  Time answered_at_ = 0;

  std::uint64_t watched_ = 0, watched_term_ = 0;  // by a leader
  Time watched_since_ = 0;
};

}  // namespace marblehub::fleet
