// The planner of moves: which of this balancer's standing connections are to move, when, and why not more. It
// decides free of I/O and clock; the driver beside it shows it what stands and carries out what it plans.
// Where a moved client goes is the module's affair, as for any other.
//
// Balancers do not talk. Each moves the same part of its own connections off a worker that is over the mean,
// so all together move that part of the excess, however many they are. docs/rebalancing.md weighs the ways.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "policy/state/decaying_value.h"
#include "rebalance/settings.h"

namespace marblehub::rebalance {

// What is fixed for a balancer's life.
struct Fleet {
  int balancers = 1;
  int me = 0;  // from 0
  double cold_share = 1;
  Time warm_within = 0;
  std::uint64_t seed = 1;
};

struct Member {
  std::string worker;
  double scale = 1;
  Time start_time = 0;  // 0: long ago
  bool serving = true;  // else it drains or is gone
};

struct Connection {
  std::uint64_t id = 0;
  std::string worker;
  double load = 0;  // work a second; 0: unknown, then a usual one
  std::uint64_t group = 0;
  bool returned = false;  // its client has come back after a break or a move
  bool found = false;     // it stood before this balancer knew it: its age is unknown
};

// Why nothing more is moved, the first that holds.
enum class Still {
  acting,
  paused,
  quiet,
  starting,
  blind,
  stale,
  refusals,
  overload,
  balanced,
  no_better,
  no_gain,
  spent,
  store,
  none_movable
};
constexpr int kStills = 14;
const char* name_of(Still still);

struct Plan {
  std::vector<std::uint64_t> moves;
  Still still = Still::acting;
};

class Planner {
 public:
  Planner(const Settings& settings, const Fleet& fleet, Time now);

  void follow(const Settings& settings) { settings_ = settings; }

  // ---- What it is shown.
  void member(const Member& member);
  void only(const std::unordered_set<std::string>& named);  // what a whole list does not name is gone
  void stands(Time now, const Connection& connection);
  void load_is(std::uint64_t id, double load);
  void gone(std::uint64_t id);
  void reported(Time now, const std::string& worker, double load);
  void answered(Time now, bool refused);
  // All that stand where their route does not let them (any more); whichever of them end are left out.
  void outside(std::vector<std::uint64_t> ids);
  void told_to_move(Time now);  // a client, by whomever: it will call the session store
  void pause(bool on) { paused_ = on; }
  bool paused() const { return paused_; }

  // ---- What it plans, asked about once a second. In a dry run it plans the same and takes it as done.
  Plan plan(Time now);

  // ---- What an operator reads.
  double gap() const { return gap_; }  // highest less lowest load, as far as it has lasted
  double highest() const { return highest_; }
  double mean() const { return mean_; }
  std::size_t standing() const { return connections_.size(); }

 private:
  static constexpr double kMostAtOnce = 0.05;  // part of a worker's connections that one step moves
  static constexpr int kLooked = 12;           // candidates that are compared

  struct Held {  // a standing connection
    int worker = -1;
    std::size_t place = 0;  // in its worker's list
    double load = 0;
    std::uint64_t group = 0;
    Time since = 0;
    bool returned = false;
  };
  struct Worker {
    std::string name;
    double scale = 1;
    Time start_time = 0;
    bool serving = true;
    double level = -1;   // smoothed; negative: never reported
    double lasting = 0;  // smoothed over long
    Time reported_at = 0;
    std::vector<std::uint64_t> held;
    std::map<std::uint64_t, int> groups;  // held connections of each
    double load = 0;                      // of those held
    double credit = 0;                    // moves due, in part
  };
  // Shut at once, open again only after it has been well for a while.
  struct Gate {
    bool shut = false;
    Time well_since = -1;
    void look(bool bad, bool well, Time now);
  };
  struct View {  // of the fleet, at one moment
    double mean = 0, lasting = 0, scales = 0, headroom = 0, excess = 0;
    int seen = 0, old = 0;
  };

  int index_of(const std::string& worker);
  double warmth(const Worker& worker, Time now) const;
  View look(Time now);
  bool in_quiet_hours(Time now) const;
  Still gates(Time now, const View& view);
  Still gap_allows(Time now);
  Still move_outside(Time now, double part, std::size_t& left, Plan& plan);
  std::uint64_t choose_outside(Time now);
  void moved(Time now, std::uint64_t id, Plan& plan);
  Still judge_progress(Time now);
  double held_load() const;
  double usual_load() const;
  double work_a_level(const View& view) const;
  bool may_move(const Held& held, double most_load, Time now) const;
  std::uint64_t choose(Worker& worker, double most_load, Time now);
  void forget_old(Time now);
  void remove(std::unordered_map<std::uint64_t, Held>::iterator it);
  // Moves that may still be made now under the limits of this balancer and the fleet.
  std::size_t allowance(Time now) const;
  bool store_allows(Time now, std::size_t planned) const;

  Settings settings_;
  const Fleet fleet_;
  std::mt19937_64 random_;
  const Time began_;
  std::vector<Worker> workers_;  // never shrinks: an index stays good
  std::unordered_map<std::string, int> index_;
  std::unordered_map<std::uint64_t, Held> connections_;
  std::deque<Time> moved_;    // by this planner, within the last minute
  std::deque<Time> set_ups_;  // at this balancer, within the last minute
  std::deque<Time> to_come_;  // set-ups that moves will make, within the last minute
  marblehub::policy::DecayingValue refused_, asked_;
  std::vector<std::uint64_t> outside_;  // and some that have ended
  double outside_credit_ = 0;
  std::mt19937_64 outside_random_;  // of its own: where no routes are, moves for balance are as without
  bool paused_ = false, acting_ = false;
  Gate stale_, refusing_, overloaded_;
  double gap_ = 0, highest_ = 0, mean_ = 0;
  double watched_gap_ = 0;  // when the present try began
  Time watched_since_ = -1, rest_until_ = -1, last_plan_ = -1;
  int moved_since_ = 0, fruitless_ = 0;
  double stood_ = 0, ended_ = 0;  // connection-seconds, and ends other than ours; decaying
};

}  // namespace marblehub::rebalance
