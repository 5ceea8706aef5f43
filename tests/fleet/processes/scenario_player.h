// Plays the lines of a scenario; scenario.h describes them.
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

struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class ScenarioPlayer {
 public:
  ScenarioPlayer(const std::string& node, const std::string& whole) : node_(node), whole_(whole) {}

  void line(const std::string& text);
  Verdict verdict;
  std::string timeline() { return fleet_ ? fleet_->timeline() : ""; }

 private:
  bool header(const std::string& verb, std::istream& in);

  void step(const std::string& verb, std::istream& in);

  static void each(const Names& names, const std::function<void(const std::string&)>& act);
  static double number(std::istream& in);
  static void word(std::istream& in, const std::string& expected);

  Names named(const std::string& text) const;
  Names who(std::istream& in) const;

  void pump_until(double when);

  void mark();

  void stall(std::istream& in);
  void stalls(std::istream& in);
  void stall_one(const std::string& kind, double seconds);

  void find_leader(std::istream& in);

  void each_link(const Names& from, const Names& to, const std::function<void(Faults&)>& act);
  void heal();

  void cut(std::istream& in, bool now = true);
  void flap(std::istream& in);
  void worsen(const std::string& what, std::istream& in);

  Names live(const Names& names) const;
  std::map<std::string, double> given_up() const;
  bool see(const Names& names, double alive);
  void until(double seconds, const std::string& what, const std::function<bool()>& holds,
             double again = 0.03);

  void expect(std::istream& in);
  std::set<std::string> placed(std::uint64_t version, double since);
  void expect_placing(const Names& names, const std::string& whole, std::istream& words);
  void expect_versions(const std::string& what, const std::string& whole);
  void expect_calls(const std::string& whole);
  void expect_spread(const std::string& whole);
  void expect_rules();
  void expect_receipts(const std::string& whole);
  static bool all(const Names& names, const std::function<bool(const std::string&)>& holds);

  const std::string node_, whole_;
  std::map<std::uint64_t, Names> pools_;
  Fleet wanted_;
  std::optional<Balancers> fleet_;
  double marked_ = 0, hup_at_ = 0;
  std::mt19937_64 drawn_;  // moments and lengths; seeded with the scenario's seed
  std::string leader_;
  std::map<std::string, double> given_up_;
  std::map<std::string, std::map<std::string, double>> at_mark_;
  std::string state_;  // of the last look, for the failure's line
};

}  // namespace marblehub::test
