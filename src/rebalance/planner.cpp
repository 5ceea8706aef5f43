#include "rebalance/planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblehub::rebalance {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr std::int64_t kMinutesADay = 1440;
constexpr Time kLongestStep = 5 * kSecond;  // a plan that comes later does no more
constexpr double kStopPart = 0.5;           // of the gap setting, at which moving ends
constexpr double kKnownPart = 0.6;          // of the scale that must be known
constexpr double kMostStale = 0.25;         // part of the known workers whose reports may be old
constexpr Time kRejectionMemory = 30 * kSecond;
constexpr double kJudgedCalls = 5;           // asked for before a part of them is judged
constexpr double kOverloadReopens = 0.95;    // part of the overload setting at which moves go on
constexpr double kHorizon = 15;              // minutes at most that a move is expected to help
constexpr Time kStayMemory = 300 * kSecond;  // how long clients stay is learnt over so long
constexpr double kEndsKnown = 5;             // and taken for known from so many that have ended
constexpr std::uint64_t kOutsideSeed = 0x9e3779b97f4a7c15;
constexpr double kNoLoadLimit = 1e300;

}  // namespace

Planner::Planner(const Settings& settings, const Fleet& fleet, Time now)
    : settings_(settings),
      fleet_(fleet),
      random_(fleet.seed),
      began_(now),
      limits_(fleet),
      outside_random_(fleet.seed ^ kOutsideSeed) {}

// ---- What it is shown --------------------------------------------------------------------------------

void Planner::stands(Time now, const Connection& connection) {
  if (!table_.add(connection, now, random_)) return;
  if (!connection.found) limits_.set_up(now);
  if (connection.returned || connection.found) limits_.came_back();
}

void Planner::gone(std::uint64_t id) {
  if (table_.remove(id)) ended_ += 1;
}

void Planner::reported(Time now, const std::string& worker, double load) {
  table_.report(worker, load, now, settings_.max_report_age, random_);
}

void Planner::answered(Time now, bool refused) {
  rejected_.add(refused, now, kRejectionMemory);
  asked_.add(1, now, kRejectionMemory);
}

// ---- How the fleet looks -----------------------------------------------------------------------------

// The work a second that makes up a load of 1 on a worker of scale 1: what all balancers hold, taken for as
// many times ours, over the loads reported. It holds set-ups and shared work too, so it errs to caution.
double Planner::work_a_level() const {
  double levels = view_.mean * view_.scales;
  return levels > 0 ? table_.total_load() * fleet_.balancers / levels : 0;
}

bool Planner::in_quiet_hours(Time now) const {
  if (settings_.quiet_from < 0) return false;
  auto minute = static_cast<int>(now / kMinute % kMinutesADay);
  bool after_begin = minute >= settings_.quiet_from;
  bool before_end = minute < settings_.quiet_to;
  bool over_midnight = settings_.quiet_from > settings_.quiet_to;
  return over_midnight ? after_begin || before_end : after_begin && before_end;
}

void Planner::count_stays(double seconds) {
  double kept = std::exp2(-seconds * kSecond / static_cast<double>(kStayMemory));
  stood_ = stood_ * kept + seconds * static_cast<double>(table_.size());
  ended_ *= kept;
}

// How long a move is expected to help: until the connection would have ended by itself.
double Planner::stay_minutes() const {
  return ended_ > kEndsKnown ? std::min(kHorizon, stood_ / ended_ / 60) : kHorizon;
}

// ---- Why not -----------------------------------------------------------------------------------------

PlannerState Planner::gates(Time now) {
  double asked = asked_.at(now, kRejectionMemory);
  double rejected = asked > kJudgedCalls ? rejected_.at(now, kRejectionMemory) / asked : 0;
  double stale = view_.reported > 0 ? static_cast<double>(view_.stale) / view_.reported : 0;
  stale_.update(stale > kMostStale, stale <= kMostStale / 2, now);
  rejecting_.update(rejected > settings_.max_refused_share, rejected < settings_.max_refused_share / 2, now);
  overloaded_.update(view_.mean > settings_.max_mean_load,
                     view_.mean < settings_.max_mean_load * kOverloadReopens, now);
  double listed = 0, known = 0;
  for (const Worker& worker : table_.workers()) {
    if (!worker.serving || (worker.level < 0 && worker.connections.empty())) continue;
    listed += worker.scale;
    known += worker.level >= 0 ? worker.scale : 0;
  }
  if (paused_) return PlannerState::paused;
  if (in_quiet_hours(now)) return PlannerState::quiet_hours;
  // What the limits had left before a restart is not known: the first minute counts as spent.
  if (now - began_ < kMinute) return PlannerState::starting;
  if (view_.reported - view_.stale < 2 || known < kKnownPart * listed) return PlannerState::too_few_reports;
  if (stale_.shut()) return PlannerState::stale_reports;
  if (rejecting_.shut()) return PlannerState::many_refusals;
  return overloaded_.shut() ? PlannerState::overload : PlannerState::acting;
}

PlannerState Planner::gap_allows(Time now) {
  if (view_.gap < settings_.gap * (acting_ ? kStopPart : 1)) return PlannerState::balanced;
  bool helps = progress_.may_go_on(view_.gap, settings_.progress_timeout, now);
  return helps ? PlannerState::acting : PlannerState::no_progress;
}

// ---- Which -------------------------------------------------------------------------------------------

bool Planner::may_move(const Standing& standing, double most_load, Time now) const {
  Time age = now - standing.since;
  if (age < settings_.settle_time || standing.load > most_load) return false;
  return !standing.returned || age >= settings_.min_move_interval;
}

// Of some that may move, one whose group has fewest others here: the last of a group takes its shared work
// along, while the middle of a big one would only spread it wider. Among equals, one of ordinary load. 0:
// none may.
std::uint64_t Planner::choose(const Worker& worker, double most_load, Time now) {
  std::uint64_t best = 0;
  double best_cost = 0;
  std::uniform_int_distribution<std::size_t> any(0, worker.connections.size() - 1);
  for (int i = 0; i < kCompared; ++i) {
    std::uint64_t id = worker.connections[any(random_)];
    const Standing& standing = table_.at(id);
    if (!may_move(standing, most_load, now)) continue;
    double others = standing.group == 0 ? 1 : worker.groups.at(standing.group);
    double cost = others / static_cast<double>(worker.connections.size());
    if (best != 0 && cost >= best_cost) continue;
    best = id;
    best_cost = cost;
  }
  return best;
}

void Planner::moved(Time now, std::uint64_t id, Plan& plan) {
  limits_.moved(now);
  plan.moves.push_back(id);
  if (!settings_.dry_run) {
    table_.remove(id);
    return;
  }
  Standing* standing = table_.find(id);  // it stays; that it has moved is only taken as done
  standing->since = now;
  standing->returned = true;
  limits_.told_to_move(now);
}

// ---- The plan ----------------------------------------------------------------------------------------

Plan Planner::plan(Time now) {
  view_ = view_of(table_, fleet_, now, settings_.max_report_age);
  double seconds =
      last_plan_ < 0 ? 1 : static_cast<double>(std::min(now - last_plan_, kLongestStep)) / kSecond;
  last_plan_ = now;
  limits_.forget_old(now);
  count_stays(seconds);

  Step step;
  step.now = now;
  step.part = 1 - std::exp2(-seconds * kSecond / static_cast<double>(settings_.half_life));
  step.left = limits_.allowance(settings_, now);
  step.plan.state = gates(now);
  PlannerState by_routes = PlannerState::balanced;
  if (step.plan.state == PlannerState::acting) {
    by_routes = move_outside(step);
    step.plan.state = gap_allows(now);
  }
  acting_ = step.plan.state == PlannerState::acting;
  if (acting_) {
    step.work_a_level = work_a_level();
    step.outside = settings_.dry_run ? 0 : step.plan.moves.size();  // in a dry run they have been counted
    move_for_balance(step);
  }
  bool for_balance = step.plan.state == PlannerState::balanced || step.plan.state == PlannerState::no_gain;
  bool says_routes = by_routes != PlannerState::balanced && (!acting_ || for_balance);
  if (says_routes) step.plan.state = by_routes;
  return std::move(step.plan);
}

// Only as much leaves the full ones as the others have headroom for now, and of it a part each step. A worker
// at a time, from a random one on: a limit that is soon spent must not always spare the last.
void Planner::move_for_balance(Step& step) {
  bool due = false, gains = false, barred = false;
  std::vector<Worker>& workers = table_.workers();
  const std::size_t count = workers.size(), from = count > 0 ? random_() % count : 0;
  for (std::size_t k = 0; k < count; ++k) {
    Worker& worker = workers[(from + k) % count];
    if (worker.connections.empty() || !worker.known(step.now, settings_.max_report_age)) continue;
    // Loads that swing faster than moves could follow are no reason to move.
    double excess = std::min(worker.level - view_.mean, worker.lasting - view_.lasting);
    if (excess <= settings_.gap * kStopPart / 2) {
      worker.credit = std::min(worker.credit, 1.0);
      continue;
    }
    due = true;
    if (excess * stay_minutes() <= settings_.min_gain) continue;
    gains = true;
    barred |= !move_off(worker, excess, step);
    if (step.plan.state != PlannerState::acting) return;  // a limit is spent
  }
  if (!due)
    step.plan.state = PlannerState::balanced;
  else if (!gains)
    step.plan.state = PlannerState::no_gain;
  else if (step.plan.moves.empty() && barred)
    step.plan.state = PlannerState::none_movable;
}

// Plans the moves that are due off this worker. False if none of its connections may move; where a limit is
// spent the plan's state says so.
bool Planner::move_off(Worker& worker, double excess, Step& step) {
  double fit = view_.excess > 0 ? std::min(1.0, view_.headroom / view_.excess) : 0;
  double warm_scale = worker.scale * capacity_factor(worker, fleet_, step.now);
  double most_load = step.work_a_level > 0 ? excess * warm_scale * step.work_a_level : kNoLoadLimit;
  double share = std::min(kMostAtOnce, step.part * fit * excess / std::max(worker.level, excess));
  double due = share * static_cast<double>(worker.connections.size());
  worker.credit = std::min(worker.credit + due, 1 + 2.0 * due);
  while (worker.credit >= 1) {
    std::uint64_t id = choose(worker, most_load, step.now);
    if (id == 0) {
      worker.credit = std::min(worker.credit, 1.0);
      return false;
    }
    if (step.left == 0) {
      step.plan.state = PlannerState::move_limit;
      return true;
    }
    if (!limits_.store_allows(settings_, step.now, step.outside)) {
      step.plan.state = PlannerState::store_limit;
      return true;
    }
    worker.credit -= 1;
    step.left -= 1;
    progress_.moved();
    moved(step.now, id, step.plan);
    if (worker.connections.empty()) break;
  }
  return true;
}

}  // namespace marblehub::rebalance
