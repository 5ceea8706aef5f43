// Plays the steps of a scenario; scenario.h describes their syntax.
#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/processes/receipt_analysis.h"
#include "fleet/processes/rules.h"
#include "fleet/processes/scenario.h"

namespace marblehub::test {

using Names = std::vector<std::string>;

/// Thrown when an expectation of the scenario does not hold.
struct ExpectationFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Plays a scenario line by line on a fleet that it starts at the first step. Throws ExpectationFailed where
/// an expectation does not hold and std::runtime_error for a malformed step.
class ScenarioPlayer {
 public:
  ScenarioPlayer(const std::string& node_program, const std::string& balancer_program)
      : node_program_(node_program), balancer_program_(balancer_program) {}

  void play_line(const std::string& text);
  ScenarioResult result;
  std::string timeline() { return fleet_ ? fleet_->timeline() : ""; }

 private:
  // Plays a step that describes the fleet before its first start; false if it is none.
  bool setup_step(const std::string& verb, std::istream& in);

  void play_step(const std::string& verb, std::istream& in);

  static void each(const Names& names, const std::function<void(const std::string&)>& act);
  static double read_number(std::istream& in);
  // Reads the next word, which has to be `expected`.
  static void expect_word(std::istream& in, const std::string& expected);

  // Expands WHO to names of members.
  Names parse_names(const std::string& text) const;
  Names read_names(std::istream& in) const;

  // Waits until that time, in seconds since the fleet's start.
  void run_until(double when);

  void mark();

  void stall(std::istream& in);
  void stalls(std::istream& in);
  // Stalls the player, or a worker or balancer drawn with the seed, and waits for its end.
  void stall_one(const std::string& kind, double seconds);

  void find_leader(std::istream& in);

  void each_link(const Names& from, const Names& to, const std::function<void(Faults&)>& act);
  void heal();

  // Cuts the links between the groups, or heals them if `now` is false.
  void cut(std::istream& in, bool now = true);
  void flap(std::istream& in);
  // Sets loss, repeat, reorder or delay.
  void degrade_links(const std::string& what, std::istream& in);

  Names running_members(const Names& names) const;
  std::map<std::string, double> given_up() const;
  // Whether each running member counts `alive` live members and all views are equal.
  bool all_see(const Names& names, double alive);
  // Polls `holds` every `poll_interval` seconds; fails if it does not hold within `seconds`.
  void wait_until(double seconds, const std::string& what, const std::function<bool()>& holds,
                  double poll_interval = 0.03);

  void expect(std::istream& in);
  // The balancers with a receipt by `version` at `since` or later.
  std::set<std::string> placed(std::uint64_t version, double since);
  void expect_placing(const Names& names, const std::string& expectation, std::istream& words);
  void expect_versions(const std::string& what, const std::string& expectation);
  void expect_calls(const std::string& expectation);
  void expect_spread(const std::string& expectation);
  void expect_rules();
  void expect_receipts(const std::string& expectation);
  static bool all_of_members(const Names& names, const std::function<bool(const std::string&)>& holds);

  const std::string node_program_, balancer_program_;
  std::map<std::uint64_t, Names> pools_;
  FleetSetup setup_;
  std::optional<BalancerProcesses> fleet_;
  double marked_at_ = 0, hup_sent_at_ = 0;
  std::mt19937_64 rng_;  // times and lengths of stalls; seeded with the scenario's seed
  std::string leader_;
  std::map<std::string, double> given_up_at_mark_;
  std::map<std::string, std::map<std::string, double>> counters_at_mark_;
  std::string last_state_;  // the counters last compared, for the failure's message
};

}  // namespace marblehub::test
