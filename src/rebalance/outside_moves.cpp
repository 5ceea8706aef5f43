// Moves of connections whose worker is outside the pool that their route now names. They share the gates and
// limits of all moves.
#include <algorithm>
#include <utility>

#include "rebalance/planner.h"

namespace marblehub::rebalance {

// Starts with a random credit: all balancers receive a routes table at the same time.
void Planner::set_out_of_pool(std::vector<std::uint64_t> ids) {
  if (out_of_pool_.empty())
    out_of_pool_credit_ = std::uniform_real_distribution<double>(0, 1)(out_of_pool_rng_);
  out_of_pool_ = std::move(ids);
}

// Like choose_connection(), among the out-of-pool connections of all serving workers. Draining workers are
// left to the policy. 0: none may move.
std::uint64_t Planner::choose_out_of_pool(Time now) {
  std::size_t best = out_of_pool_.size();
  int best_same_group = 0;
  for (int i = 0; i < kCandidates && !out_of_pool_.empty(); ++i) {
    std::size_t at = out_of_pool_rng_() % out_of_pool_.size();
    const Entry* entry = table_.find(out_of_pool_[at]);
    if (!entry) {
      out_of_pool_[at] = out_of_pool_.back();
      if (best == out_of_pool_.size() - 1) best = at;
      out_of_pool_.pop_back();
      continue;
    }
    const Worker& worker = table_.worker_of(*entry);
    if (!worker.serving || !may_move(*entry, entry->load, now)) continue;
    int same_group = entry->group == 0 ? 1 : worker.groups.at(entry->group);
    if (best < out_of_pool_.size() && same_group >= best_same_group) continue;
    best = at;
    best_same_group = same_group;
  }
  if (best >= out_of_pool_.size()) return 0;
  std::uint64_t id = out_of_pool_[best];
  out_of_pool_[best] = out_of_pool_.back();
  out_of_pool_.pop_back();
  return id;
}

// Out-of-pool connections move regardless of the gap, within the limits and at the pace of all moves: each
// step moves the share that halves their number within the half-life.
PlannerState Planner::move_out_of_pool(Step& step) {
  Plan& plan = step.plan;
  double share = std::min(kMaxMovedShare, step.share) * static_cast<double>(out_of_pool_.size());
  out_of_pool_credit_ = std::min(out_of_pool_credit_ + share, 1 + 2 * share);
  while (out_of_pool_credit_ >= 1) {
    if (out_of_pool_.empty()) return plan.moves.empty() ? PlannerState::balanced : PlannerState::acting;
    if (step.moves_left == 0) return PlannerState::move_limit;
    if (!limits_.store_allows(settings_, step.now, settings_.dry_run ? 0 : plan.moves.size()))
      return PlannerState::store_limit;
    std::uint64_t id = choose_out_of_pool(step.now);
    if (id == 0) {
      out_of_pool_credit_ = std::min(out_of_pool_credit_, 1.0);
      return out_of_pool_.empty() ? PlannerState::balanced : PlannerState::none_movable;
    }
    out_of_pool_credit_ -= 1;
    step.moves_left -= 1;
    commit_move(step.now, id, plan);
  }
  return out_of_pool_.empty() && plan.moves.empty() ? PlannerState::balanced : PlannerState::acting;
}

}  // namespace marblehub::rebalance
