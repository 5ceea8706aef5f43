// Moves of what stands outside the pool that a route now names. Only which and how many is decided here: the
// gates and limits are those of all moves.
#include <algorithm>
#include <utility>

#include "rebalance/planner.h"

namespace marblehub::rebalance {

// In a random phase, as for a worker: all balancers hear of a table at once.
void Planner::outside(std::vector<std::uint64_t> ids) {
  if (outside_.empty()) outside_credit_ = std::uniform_real_distribution<double>(0, 1)(outside_random_);
  outside_ = std::move(ids);
}

// As `choose`, among those that stand outside their pool, at whatever worker that serves: one that drains is
// emptied by the policy. 0: none may move.
std::uint64_t Planner::choose_outside(Time now) {
  std::size_t best = outside_.size();
  int best_others = 0;
  for (int i = 0; i < kCompared && !outside_.empty(); ++i) {
    std::size_t at = outside_random_() % outside_.size();
    const Standing* standing = table_.find(outside_[at]);
    if (!standing) {
      outside_[at] = outside_.back();
      if (best == outside_.size() - 1) best = at;
      outside_.pop_back();
      continue;
    }
    const Worker& worker = table_.worker_of(*standing);
    if (!worker.serving || !may_move(*standing, standing->load, now)) continue;
    int others = standing->group == 0 ? 1 : worker.groups.at(standing->group);
    if (best < outside_.size() && others >= best_others) continue;
    best = at;
    best_others = others;
  }
  if (best >= outside_.size()) return 0;
  std::uint64_t id = outside_[best];
  outside_[best] = outside_.back();
  outside_.pop_back();
  return id;
}

// They go whether or not a gap is worth it, at the pace and within the limits of all moves: each step the
// part of them by which an excess is halved in its time.
PlannerState Planner::move_outside(Step& step) {
  Plan& plan = step.plan;
  double share = std::min(kMostAtOnce, step.part) * static_cast<double>(outside_.size());
  outside_credit_ = std::min(outside_credit_ + share, 1 + 2 * share);
  while (outside_credit_ >= 1) {
    if (outside_.empty()) return plan.moves.empty() ? PlannerState::balanced : PlannerState::acting;
    if (step.left == 0) return PlannerState::move_limit;
    if (!limits_.store_allows(settings_, step.now, settings_.dry_run ? 0 : plan.moves.size()))
      return PlannerState::store_limit;
    std::uint64_t id = choose_outside(step.now);
    if (id == 0) {
      outside_credit_ = std::min(outside_credit_, 1.0);
      return outside_.empty() ? PlannerState::balanced : PlannerState::none_movable;
    }
    outside_credit_ -= 1;
    step.left -= 1;
    moved(step.now, id, plan);
  }
  return outside_.empty() && plan.moves.empty() ? PlannerState::balanced : PlannerState::acting;
}

}  // namespace marblehub::rebalance
