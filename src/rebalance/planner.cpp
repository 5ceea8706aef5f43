#include "rebalance/planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblehub::rebalance {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr std::int64_t kMinutesPerDay = 1440;
constexpr Time kMaxStep = 5 * kSecond;   // cap on the time accounted for by one plan
constexpr double kStopGapShare = 0.5;    // of the gap setting; moving stops below it
constexpr double kMinKnownShare = 0.6;   // of the listed capacity that must have reported
constexpr double kMaxStaleShare = 0.25;  // of the reporting workers
constexpr Time kRefusalTimeConstant = 30 * kSecond;
constexpr double kMinJudgedCalls = 5;          // no refused share is computed from fewer
constexpr double kOverloadReopenShare = 0.95;  // of max_mean_load; moves resume below it
constexpr double kMaxStayMinutes = 15;         // upper bound of the expected stay
constexpr Time kStayHalfLife = 300 * kSecond;  // of the estimate of stay times
constexpr double kMinEndings = 5;              // the estimate is used from this many endings on
constexpr std::uint64_t kOutOfPoolSeed = 0x9e3779b97f4a7c15;
constexpr double kNoLoadLimit = 1e300;

}  // namespace

Planner::Planner(const Settings& settings, const FleetConfig& fleet, Time now)
    : settings_(settings),
      fleet_(fleet),
      rng_(fleet.seed),
      started_at_(now),
      limits_(fleet),
      out_of_pool_rng_(fleet.seed ^ kOutOfPoolSeed) {}

// ---- Events ------------------------------------------------------------------------------------------

void Planner::connection_established(Time now, const Connection& connection) {
  if (!table_.add(connection, now, rng_)) return;
  if (!connection.preexisting) limits_.record_setup(now);
  if (connection.returned || connection.preexisting) limits_.record_return();
}

void Planner::connection_ended(std::uint64_t id) {
  if (table_.remove(id)) endings_ += 1;
}

void Planner::load_reported(Time now, const std::string& worker, double load) {
  table_.report(worker, load, now, settings_.max_report_age, rng_);
}

void Planner::call_answered(Time now, bool refused) {
  refused_calls_.add(refused, now, kRefusalTimeConstant);
  answered_calls_.add(1, now, kRefusalTimeConstant);
}

// ---- Estimates ---------------------------------------------------------------------------------------

// Work per second that equals a load of 1 on a worker of scale 1: the connections of all balancers, estimated
// from this balancer's, over the reported loads. The reports include setups and shared work, so the estimate
// is low and the planner moves lighter connections than it could.
double Planner::work_per_load() const {
  double reported_work = view_.mean_load * view_.capacity;
  return reported_work > 0 ? table_.total_connection_load() * fleet_.balancers / reported_work : 0;
}

bool Planner::in_quiet_hours(Time now) const {
  if (settings_.quiet_from < 0) return false;
  auto minute = static_cast<int>(now / kMinute % kMinutesPerDay);
  bool after_begin = minute >= settings_.quiet_from;
  bool before_end = minute < settings_.quiet_to;
  bool over_midnight = settings_.quiet_from > settings_.quiet_to;
  return over_midnight ? after_begin || before_end : after_begin && before_end;
}

void Planner::update_stay_estimate(double seconds) {
  double decay = std::exp2(-seconds * kSecond / static_cast<double>(kStayHalfLife));
  connection_seconds_ = connection_seconds_ * decay + seconds * static_cast<double>(table_.size());
  endings_ *= decay;
}

// How long a move is expected to help: until the connection would have ended anyway.
double Planner::expected_stay_minutes() const {
  return endings_ > kMinEndings ? std::min(kMaxStayMinutes, connection_seconds_ / endings_ / 60)
                                : kMaxStayMinutes;
}

// ---- Gates -------------------------------------------------------------------------------------------

PlannerState Planner::check_gates(Time now) {
  double answered = answered_calls_.at(now, kRefusalTimeConstant);
  double refused_share =
      answered > kMinJudgedCalls ? refused_calls_.at(now, kRefusalTimeConstant) / answered : 0;
  double stale_share =
      view_.reporting_workers > 0 ? static_cast<double>(view_.stale_workers) / view_.reporting_workers : 0;
  stale_gate_.update(stale_share > kMaxStaleShare, stale_share <= kMaxStaleShare / 2, now);
  refusal_gate_.update(refused_share > settings_.max_refused_share,
                       refused_share < settings_.max_refused_share / 2, now);
  overload_gate_.update(view_.mean_load > settings_.max_mean_load,
                        view_.mean_load < settings_.max_mean_load * kOverloadReopenShare, now);
  double listed_capacity = 0, known_capacity = 0;
  for (const Worker& worker : table_.workers()) {
    if (!worker.serving || (worker.reported_load < 0 && worker.connections.empty())) continue;
    listed_capacity += worker.scale;
    known_capacity += worker.reported_load >= 0 ? worker.scale : 0;
  }
  if (paused_) return PlannerState::paused;
  if (in_quiet_hours(now)) return PlannerState::quiet_hours;
  // Moves made before a restart are unknown: the limits of the first minute count as used up.
  if (now - started_at_ < kMinute) return PlannerState::starting;
  if (view_.reporting_workers - view_.stale_workers < 2 || known_capacity < kMinKnownShare * listed_capacity)
    return PlannerState::too_few_reports;
  if (stale_gate_.closed()) return PlannerState::stale_reports;
  if (refusal_gate_.closed()) return PlannerState::many_refusals;
  return overload_gate_.closed() ? PlannerState::overload : PlannerState::acting;
}

PlannerState Planner::check_gap(Time now) {
  if (view_.gap < settings_.gap * (acting_ ? kStopGapShare : 1)) return PlannerState::balanced;
  bool allowed = progress_.allows_moves(view_.gap, settings_.progress_timeout, now);
  return allowed ? PlannerState::acting : PlannerState::no_progress;
}

// ---- Selection ---------------------------------------------------------------------------------------

bool Planner::may_move(const Entry& entry, double max_connection_load, Time now) const {
  Time age = now - entry.established_at;
  if (age < settings_.settle_time || entry.load > max_connection_load) return false;
  return !entry.returned || age >= settings_.min_move_interval;
}

// Draws candidates and returns the movable one whose group has the fewest connections on this worker: moving
// the last of a group moves the shared work of the group too, while splitting a large group duplicates it. 0:
// none may move.
std::uint64_t Planner::choose_connection(const Worker& worker, double max_connection_load, Time now) {
  std::uint64_t best = 0;
  double best_cost = 0;
  std::uniform_int_distribution<std::size_t> any_index(0, worker.connections.size() - 1);
  for (int i = 0; i < kCandidates; ++i) {
    std::uint64_t id = worker.connections[any_index(rng_)];
    const Entry& entry = table_.at(id);
    if (!may_move(entry, max_connection_load, now)) continue;
    double same_group = entry.group == 0 ? 1 : worker.groups.at(entry.group);
    double cost = same_group / static_cast<double>(worker.connections.size());
    if (best != 0 && cost >= best_cost) continue;
    best = id;
    best_cost = cost;
  }
  return best;
}

void Planner::commit_move(Time now, std::uint64_t id, Plan& plan) {
  limits_.record_move(now);
  plan.moves.push_back(id);
  if (!settings_.dry_run) {
    table_.remove(id);
    return;
  }
  Entry* entry = table_.find(id);  // dry run: the connection stays but counts as moved
  entry->established_at = now;
  entry->returned = true;
  limits_.record_move_request(now);
}

// ---- Planning ----------------------------------------------------------------------------------------

Plan Planner::plan(Time now) {
  view_ = compute_fleet_view(table_, fleet_, now, settings_.max_report_age);
  double seconds =
      last_plan_at_ < 0 ? 1 : static_cast<double>(std::min(now - last_plan_at_, kMaxStep)) / kSecond;
  last_plan_at_ = now;
  limits_.drop_expired(now);
  update_stay_estimate(seconds);

  Step step;
  step.now = now;
  step.share = 1 - std::exp2(-seconds * kSecond / static_cast<double>(settings_.half_life));
  step.moves_left = limits_.allowance(settings_, now);
  step.plan.state = check_gates(now);
  PlannerState out_of_pool_state = PlannerState::balanced;
  if (step.plan.state == PlannerState::acting) {
    out_of_pool_state = move_out_of_pool(step);
    step.plan.state = check_gap(now);
  }
  acting_ = step.plan.state == PlannerState::acting;
  if (acting_) {
    step.work_per_load = work_per_load();
    step.uncounted_moves =
        settings_.dry_run ? 0 : step.plan.moves.size();  // a dry run has recorded them already
    move_for_balance(step);
  }
  bool for_balance = step.plan.state == PlannerState::balanced || step.plan.state == PlannerState::no_gain;
  bool report_out_of_pool = out_of_pool_state != PlannerState::balanced && (!acting_ || for_balance);
  if (report_out_of_pool) step.plan.state = out_of_pool_state;
  return std::move(step.plan);
}

// Moves a share of the excess per step, and no more than the workers below the mean have headroom for. Starts
// at a random worker, so that a small limit is not always used up by the same ones.
void Planner::move_for_balance(Step& step) {
  bool any_due = false, any_gain = false, any_blocked = false;
  std::vector<Worker>& workers = table_.workers();
  const std::size_t worker_count = workers.size(), first = worker_count > 0 ? rng_() % worker_count : 0;
  for (std::size_t k = 0; k < worker_count; ++k) {
    Worker& worker = workers[(first + k) % worker_count];
    if (worker.connections.empty() || !worker.has_current_report(step.now, settings_.max_report_age))
      continue;
    // Short swings in load are ignored: the excess must also show in the long-term load.
    double excess =
        std::min(worker.reported_load - view_.mean_load, worker.long_term_load - view_.long_term_mean);
    if (excess <= settings_.gap * kStopGapShare / 2) {
      worker.move_credit = std::min(worker.move_credit, 1.0);
      continue;
    }
    any_due = true;
    if (excess * expected_stay_minutes() <= settings_.min_gain) continue;
    any_gain = true;
    any_blocked |= !move_from(worker, excess, step);
    if (step.plan.state != PlannerState::acting) return;  // a limit is reached
  }
  if (!any_due)
    step.plan.state = PlannerState::balanced;
  else if (!any_gain)
    step.plan.state = PlannerState::no_gain;
  else if (step.plan.moves.empty() && any_blocked)
    step.plan.state = PlannerState::none_movable;
}

// Plans the moves that are due from this worker. Returns false if none of its connections may move; a limit
// that is reached sets the state of the plan.
bool Planner::move_from(Worker& worker, double excess, Step& step) {
  double headroom_share = view_.excess > 0 ? std::min(1.0, view_.headroom / view_.excess) : 0;
  double current_capacity = worker.scale * capacity_factor(worker, fleet_, step.now);
  double max_connection_load =
      step.work_per_load > 0 ? excess * current_capacity * step.work_per_load : kNoLoadLimit;
  double share =
      std::min(kMaxMovedShare, step.share * headroom_share * excess / std::max(worker.reported_load, excess));
  double moves_due = share * static_cast<double>(worker.connections.size());
  worker.move_credit = std::min(worker.move_credit + moves_due, 1 + 2.0 * moves_due);
  while (worker.move_credit >= 1) {
    std::uint64_t id = choose_connection(worker, max_connection_load, step.now);
    if (id == 0) {
      worker.move_credit = std::min(worker.move_credit, 1.0);
      return false;
    }
    if (step.moves_left == 0) {
      step.plan.state = PlannerState::move_limit;
      return true;
    }
    if (!limits_.store_allows(settings_, step.now, step.uncounted_moves)) {
      step.plan.state = PlannerState::store_limit;
      return true;
    }
    worker.move_credit -= 1;
    step.moves_left -= 1;
    progress_.record_move();
    commit_move(step.now, id, step.plan);
    if (worker.connections.empty()) break;
  }
  return true;
}

}  // namespace marblehub::rebalance
