#include "rebalance/planner.h"

#include <algorithm>
#include <cmath>

#include "policy/slow_start/factor.h"

namespace marblehub::rebalance {
namespace {

constexpr Time kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr double kSmooth = 0.35;         // weight of a new report: one noisy one moves nobody
constexpr Time kLasting = 20 * kSecond;  // an excess counts as far as it has lasted about so long
constexpr Time kBurst = 5 * kSecond;     // and no more is done in so long than its part of a minute's limit
constexpr double kStop = 0.5;            // part of the gap setting at which moving ends
constexpr double kSeen = 0.6;            // part of the scale that must be known
constexpr double kOld = 0.25;            // part of the known workers whose reports may be stale
constexpr Time kWell = 10 * kSecond;     // a gate opens again after so long
constexpr Time kFade = 30 * kSecond;     // refusals are counted over about so long
constexpr double kNarrowed = 0.9;        // the gap must have come down to this part of what it was
constexpr int kLongestRest = 4;          // doublings of the rest after fruitless tries
constexpr double kHorizon = 15;          // minutes at most that a move is expected to help
constexpr Time kStayMemory = 300 * kSecond;  // how long clients stay is learnt over so long
constexpr double kEndsKnown = 5;             // and taken for known from so many that have ended
constexpr std::uint64_t kOutsideSeed = 0x9e3779b97f4a7c15;
constexpr double kEverySoMany = 5;  // set-ups asked for before a part of them is judged

// A store or a target that a minute's calls reach at once would be late for all of them.
double in_a_burst(double a_minute) {
  return std::max(1.0, std::floor(a_minute * static_cast<double>(kBurst) / static_cast<double>(kMinute)));
}

void drop_before(std::deque<Time>& times, Time least) {
  while (!times.empty() && times.front() <= least) times.pop_front();
}

double lately(const std::deque<Time>& times, Time now) {
  return static_cast<double>(
      std::count_if(times.begin(), times.end(), [now](Time t) { return t > now - kBurst; }));
}

}  // namespace

const char* name_of(Still still) {
  static const char* const names[kStills] = {"acting",  "paused",   "quiet_hours", "starting",    "blind",
                                             "stale",   "refusals", "overload",    "balanced",    "no_better",
                                             "no_gain", "spent",    "store",       "none_movable"};
  return names[static_cast<int>(still)];
}

Planner::Planner(const Settings& settings, const Fleet& fleet, Time now)
    : settings_(settings),
      fleet_(fleet),
      random_(fleet.seed),
      began_(now),
      outside_random_(fleet.seed ^ kOutsideSeed) {}

// ---- What it is shown --------------------------------------------------------------------------------

int Planner::index_of(const std::string& worker) {
  auto [it, fresh] = index_.try_emplace(worker, static_cast<int>(workers_.size()));
  if (fresh) {
    workers_.emplace_back();
    workers_.back().name = worker;
    // In a random phase: many balancers that hold a connection or two must not all begin with one move.
    workers_.back().credit = std::uniform_real_distribution<double>(0, 1)(random_);
  }
  return it->second;
}

void Planner::member(const Member& member) {
  Worker& w = workers_[static_cast<std::size_t>(index_of(member.worker))];
  w.scale = member.scale > 0 ? member.scale : 1;
  w.serving = member.serving;
  if (member.start_time > w.start_time) w.level = -1;  // what was said of the old process is void
  w.start_time = std::max(w.start_time, member.start_time);
}

void Planner::only(const std::unordered_set<std::string>& named) {
  for (Worker& w : workers_) w.serving = w.serving && named.count(w.name) > 0;
}

void Planner::stands(Time now, const Connection& connection) {
  int at = index_of(connection.worker);
  Worker& w = workers_[static_cast<std::size_t>(at)];
  Held held;
  held.worker = at;
  held.place = w.held.size();
  held.load = connection.load > 0 ? connection.load : usual_load();
  held.group = connection.group;
  held.since = now;
  // One whose past is not known may have been moved a moment before.
  held.returned = connection.returned || connection.found;
  if (!connections_.emplace(connection.id, held).second) return;
  w.held.push_back(connection.id);
  w.load += held.load;
  if (held.group != 0) w.groups[held.group] += 1;
  if (!connection.found) set_ups_.push_back(now);
  if (!to_come_.empty() && held.returned) to_come_.pop_front();
}

void Planner::load_is(std::uint64_t id, double load) {
  auto it = connections_.find(id);
  if (it == connections_.end() || load <= 0) return;
  workers_[static_cast<std::size_t>(it->second.worker)].load += load - it->second.load;
  it->second.load = load;
}

void Planner::gone(std::uint64_t id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  ended_ += 1;
  remove(it);
}

void Planner::remove(std::unordered_map<std::uint64_t, Held>::iterator it) {
  const Held& held = it->second;
  Worker& w = workers_[static_cast<std::size_t>(held.worker)];
  w.load = w.held.size() > 1 ? std::max(0.0, w.load - held.load) : 0;
  if (held.group != 0 && --w.groups[held.group] <= 0) w.groups.erase(held.group);
  connections_.at(w.held.back()).place = held.place;
  w.held[held.place] = w.held.back();
  w.held.pop_back();
  connections_.erase(it);
}

void Planner::reported(Time now, const std::string& worker, double load) {
  Worker& w = workers_[static_cast<std::size_t>(index_of(worker))];
  bool old = w.level < 0 || now - w.reported_at > settings_.stale;
  double kept = std::exp(-static_cast<double>(now - w.reported_at) / static_cast<double>(kLasting));
  w.lasting = old ? load : load + (w.lasting - load) * kept;
  w.level = old ? load : w.level + kSmooth * (load - w.level);
  w.reported_at = now;
}

void Planner::answered(Time now, bool refused) {
  refused_.add(refused, now, kFade);
  asked_.add(1, now, kFade);
}

void Planner::told_to_move(Time now) { to_come_.push_back(now); }

// ---- How the fleet looks -----------------------------------------------------------------------------

double Planner::warmth(const Worker& w, Time now) const {
  return marblehub::policy::slow_start_factor(w.start_time, now, fleet_.cold_share, fleet_.warm_within);
}

// Loads are over what a worker can do while it warms; sizes are in what it can do then.
Planner::View Planner::look(Time now) {
  View view;
  double sum = 0, lasting = 0, lowest = 1e9, highest_lasting = 0, lowest_lasting = 1e9;
  highest_ = 0;
  for (const Worker& w : workers_) {
    if (!w.serving || w.level < 0) continue;
    view.seen += 1;
    if (now - w.reported_at > settings_.stale) {
      view.old += 1;
      continue;
    }
    double size = w.scale * warmth(w, now);
    view.scales += size;
    sum += size * w.level;
    lasting += size * w.lasting;
    highest_lasting = std::max(highest_lasting, w.lasting);
    lowest_lasting = std::min(lowest_lasting, w.lasting);
    highest_ = std::max(highest_, w.level);
    lowest = std::min(lowest, w.level);
  }
  view.mean = view.scales > 0 ? sum / view.scales : 0;
  mean_ = view.mean;
  view.lasting = view.scales > 0 ? lasting / view.scales : 0;
  gap_ = view.scales > 0 ? std::min(highest_ - lowest, highest_lasting - lowest_lasting) : 0;
  for (const Worker& w : workers_) {
    if (!w.serving || w.level < 0 || now - w.reported_at > settings_.stale) continue;
    double size = w.scale * warmth(w, now);
    if (w.level > view.mean) view.excess += (w.level - view.mean) * size;
    // What warms yet takes less than its headroom seems to allow: its part comes as it warms.
    if (w.level < view.mean) view.headroom += (view.mean - w.level) * size * warmth(w, now);
  }
  return view;
}

double Planner::held_load() const {
  double load = 0;
  for (const Worker& w : workers_) load += w.load;
  return load;
}

double Planner::usual_load() const {
  return connections_.empty() ? 1 : std::max(1e-9, held_load() / static_cast<double>(connections_.size()));
}

// The work a second that makes up a load of 1 on a worker of scale 1: what all balancers hold, taken for as
// many times ours, over the loads reported. It holds set-ups and shared work too, so it errs to caution.
double Planner::work_a_level(const View& view) const {
  double levels = view.mean * view.scales;
  return levels > 0 ? held_load() * fleet_.balancers / levels : 0;
}

bool Planner::in_quiet_hours(Time now) const {
  if (settings_.quiet_from < 0) return false;
  int minute = static_cast<int>(now / kMinute % 1440);
  return settings_.quiet_from <= settings_.quiet_to
             ? minute >= settings_.quiet_from && minute < settings_.quiet_to
             : minute >= settings_.quiet_from || minute < settings_.quiet_to;
}

void Planner::Gate::look(bool bad, bool well, Time now) {
  if (bad) shut = true;
  if (!shut || !well) {
    well_since = -1;
    return;
  }
  if (well_since < 0) well_since = now;
  if (now - well_since >= kWell) shut = false;
}

// ---- Why not -----------------------------------------------------------------------------------------

Still Planner::gates(Time now, const View& view) {
  double asked = asked_.at(now, kFade);
  double refused = asked > kEverySoMany ? refused_.at(now, kFade) / asked : 0;
  double old = view.seen > 0 ? static_cast<double>(view.old) / view.seen : 0;
  stale_.look(old > kOld, old <= kOld / 2, now);
  refusing_.look(refused > settings_.refusals, refused < settings_.refusals / 2, now);
  overloaded_.look(view.mean > settings_.overload, view.mean < settings_.overload * 0.95, now);
  double listed = 0, known = 0;
  for (const Worker& w : workers_)
    if (w.serving && (w.level >= 0 || !w.held.empty()))
      listed += w.scale, known += w.level >= 0 ? w.scale : 0;
  if (paused_) return Still::paused;
  if (in_quiet_hours(now)) return Still::quiet;
  // What the limits had left before a restart is not known: the first minute counts as spent.
  if (now - began_ < kMinute) return Still::starting;
  if (view.seen - view.old < 2 || known < kSeen * listed) return Still::blind;
  if (stale_.shut) return Still::stale;
  if (refusing_.shut) return Still::refusals;
  return overloaded_.shut ? Still::overload : Still::acting;
}

Still Planner::gap_allows(Time now) {
  if (gap_ < settings_.gap * (acting_ ? kStop : 1)) return Still::balanced;
  return judge_progress(now);
}

// Moves that do not narrow the gap are stopped: the cause is not one that moves mend. The rest grows with
// each try in vain, and ends at the first that helps.
Still Planner::judge_progress(Time now) {
  if (now < rest_until_) return Still::no_better;
  if (watched_since_ < 0) watched_since_ = now;
  // A gap that opened after the watch began, as new workers report, is what the moves are measured by.
  watched_gap_ = std::max(watched_gap_, gap_);
  if (now - watched_since_ < settings_.progress_timeout) return Still::acting;
  bool tried = moved_since_ > 0, narrowed = gap_ <= watched_gap_ * kNarrowed;
  watched_since_ = now, watched_gap_ = gap_, moved_since_ = 0;
  if (!tried) return Still::acting;
  if (narrowed) {
    fruitless_ = 0;
    return Still::acting;
  }
  rest_until_ = now + settings_.progress_timeout * (Time{1} << std::min(fruitless_, kLongestRest));
  fruitless_ += 1;
  return Still::no_better;
}

void Planner::forget_old(Time now) {
  drop_before(moved_, now - kMinute);
  drop_before(set_ups_, now - kMinute);
  drop_before(to_come_, now - kMinute);
}

// Whole moves only. A fleet limit that gives less than one a balancer and minute is kept in turns: time is
// cut into slots of a minute over the limit, and a balancer may move once at the slots that are its own. Of
// these no more begin in any minute than the limit says.
std::size_t Planner::allowance(Time now) const {
  double fleet = settings_.fleet_a_minute, share = fleet / fleet_.balancers;
  double mine = std::floor(std::min(settings_.moves_a_minute, share));
  if (mine >= 1) {
    double left = std::min(mine - static_cast<double>(moved_.size()), in_a_burst(mine) - lately(moved_, now));
    return static_cast<std::size_t>(std::max(0.0, left));
  }
  if (fleet < 1 || settings_.moves_a_minute < 1) return 0;
  double slot = static_cast<double>(kMinute) / std::floor(fleet);
  auto number = static_cast<std::int64_t>(static_cast<double>(now) / slot);
  auto begins = static_cast<Time>(static_cast<double>(number) * slot);
  // Only in its first second and a half: one that came late in its slot would share a minute with too many.
  bool begun = now - begins < std::min<Time>(kSecond * 3 / 2, static_cast<Time>(slot / 2));
  bool used = !moved_.empty() && moved_.back() >= begins;
  return number % fleet_.balancers == fleet_.me && begun && !used ? 1 : 0;
}

// Every client that reconnects calls the session store; of what it can bear, what this balancer's clients ask
// for anyway and what moves on the way will ask for is taken off.
bool Planner::store_allows(Time now, std::size_t planned) const {
  if (settings_.store_a_minute <= 0) return true;
  double mine = settings_.store_a_minute / fleet_.balancers;
  return static_cast<double>(set_ups_.size() + to_come_.size() + planned) + 1 <= mine &&
         lately(set_ups_, now) + lately(to_come_, now) + static_cast<double>(planned) + 1 <= in_a_burst(mine);
}

// ---- Which -------------------------------------------------------------------------------------------

bool Planner::may_move(const Held& held, double most_load, Time now) const {
  Time age = now - held.since;
  return age >= settings_.settle && (!held.returned || age >= settings_.floor) && held.load <= most_load;
}

// Of some that may move, one whose group has fewest others here: the last of a group takes its shared work
// along, while the middle of a big one would only spread it wider. Among equals, one of ordinary load.
std::uint64_t Planner::choose(Worker& w, double most_load, Time now) {
  std::uint64_t best = 0;
  double best_cost = 0;
  std::uniform_int_distribution<std::size_t> any(0, w.held.size() - 1);
  for (int i = 0; i < kLooked; ++i) {
    std::uint64_t id = w.held[any(random_)];
    const Held& held = connections_.at(id);
    if (!may_move(held, most_load, now)) continue;
    double others = held.group == 0 ? 1 : w.groups.at(held.group);
    double cost = others / static_cast<double>(w.held.size());
    if (best == 0 || cost < best_cost) best = id, best_cost = cost;
  }
  return best;
}

void Planner::moved(Time now, std::uint64_t id, Plan& plan) {
  moved_.push_back(now);
  plan.moves.push_back(id);
  auto it = connections_.find(id);
  if (settings_.dry_run) {  // it stays; that it has moved is only taken as done
    it->second.since = now, it->second.returned = true;
    to_come_.push_back(now);
  } else {
    remove(it);
  }
}

Plan Planner::plan(Time now) {
  Plan plan;
  View view = look(now);
  double step = last_plan_ < 0 ? 1 : static_cast<double>(std::min(now - last_plan_, 5 * kSecond)) / kSecond;
  last_plan_ = now;
  forget_old(now);
  double kept = std::exp2(-step * kSecond / static_cast<double>(kStayMemory));
  stood_ = stood_ * kept + step * static_cast<double>(connections_.size());
  ended_ *= kept;
  double part = 1 - std::exp2(-step * kSecond / static_cast<double>(settings_.half));
  std::size_t left = allowance(now);
  plan.still = gates(now, view);
  Still by_routes = Still::balanced;
  if (plan.still == Still::acting) {
    by_routes = move_outside(now, part, left, plan);
    plan.still = gap_allows(now);
  }
  acting_ = plan.still == Still::acting;
  if (!acting_) {
    if (by_routes != Still::balanced) plan.still = by_routes;
    return plan;
  }
  const std::size_t outside = settings_.dry_run ? 0 : plan.moves.size();  // there it has been counted

  // Only as much leaves the full ones as the others have headroom for now, and of it a part each step.
  double fit = view.excess > 0 ? std::min(1.0, view.headroom / view.excess) : 0;
  double unit = work_a_level(view);
  bool due = false, gains = false, barred = false;
  // A worker at a time, from a random one on: a limit that is soon spent must not always spare the last.
  std::size_t count = workers_.size(), from = count > 0 ? random_() % count : 0;
  for (std::size_t k = 0; k < count; ++k) {
    Worker& w = workers_[(from + k) % count];
    if (!w.serving || w.held.empty() || w.level < 0 || now - w.reported_at > settings_.stale) continue;
    // Loads that swing faster than moves could follow are no reason to move.
    double excess = std::min(w.level - view.mean, w.lasting - view.lasting);
    if (excess <= settings_.gap * kStop / 2) {
      w.credit = std::min(w.credit, 1.0);
      continue;
    }
    due = true;
    // Expected to help until the connection would have ended by itself.
    double minutes = ended_ > kEndsKnown ? std::min(kHorizon, stood_ / ended_ / 60) : kHorizon;
    if (excess * minutes <= settings_.price) continue;
    gains = true;
    double most_load = unit > 0 ? excess * w.scale * warmth(w, now) * unit : 1e300;
    double share = std::min(kMostAtOnce, part * fit * excess / std::max(w.level, excess));
    w.credit = std::min(w.credit + share * static_cast<double>(w.held.size()),
                        1 + 2.0 * share * static_cast<double>(w.held.size()));
    while (w.credit >= 1) {
      std::uint64_t id = choose(w, most_load, now);
      if (id == 0) {
        w.credit = std::min(w.credit, 1.0);
        barred = true;
        break;
      }
      if (left == 0) {
        plan.still = Still::spent;
        return plan;
      }
      if (!store_allows(now, outside)) {
        plan.still = Still::store;
        return plan;
      }
      w.credit -= 1;
      left -= 1;
      moved_since_ += 1;
      moved(now, id, plan);
      if (w.held.empty()) break;
    }
  }
  if (!due)
    plan.still = by_routes;
  else if (!gains)
    plan.still = by_routes == Still::balanced ? Still::no_gain : by_routes;
  else if (plan.moves.empty() && barred)
    plan.still = Still::none_movable;
  return plan;
}

}  // namespace marblehub::rebalance
