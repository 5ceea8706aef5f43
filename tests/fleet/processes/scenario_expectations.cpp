// Steps of a scenario that check the fleet.
#include <signal.h>

#include <algorithm>
#include <sstream>

#include "fleet/processes/scenario_player.h"

namespace marblehub::test {

std::map<std::string, double> ScenarioPlayer::given_up() const {
  std::map<std::string, double> counts;
  for (const std::string& name : running_members(fleet_->names()))
    counts[name] = fleet_->counter(name, "marblehub_fleet_given_up_total");
  return counts;
}

bool ScenarioPlayer::all_see(const Names& names, double alive) {
  Names asked = running_members(names);
  if (asked.empty() || !fleet_->refresh_counters(asked)) return false;
  std::set<double> digests;
  bool counts_match = true;
  last_state_.clear();
  for (const std::string& name : asked) {
    double members = fleet_->counter(name, "marblehub_fleet_members_alive"),
           digest = fleet_->counter(name, "marblehub_fleet_view_digest");
    digests.insert(digest);
    counts_match = counts_match && members == alive;
    last_state_ += " " + name + "=" + std::to_string(static_cast<int>(members)) + "/" +
                   std::to_string(static_cast<long long>(digest));
  }
  return counts_match && digests.size() == 1;
}

void ScenarioPlayer::wait_until(double seconds, const std::string& what, const std::function<bool()>& holds,
                                double poll_interval) {
  double began = fleet_->now();
  while (!holds()) {
    if (fleet_->now() - began > seconds) throw ExpectationFailed(what + " did not hold:" + last_state_);
    fleet_->collect_output(poll_interval);
  }
  double elapsed = fleet_->now() - began;
  if (elapsed > seconds)
    throw ExpectationFailed(what + " held too late, after " + std::to_string(elapsed) + " s:" + last_state_);
  result.durations.emplace_back(what, elapsed);
  fleet_->log_event("scenario", what + ": held after " + std::to_string(elapsed) + " s");
}

void ScenarioPlayer::expect(std::istream& in) {
  std::string expectation, first, verb;
  std::getline(in >> std::ws, expectation);
  std::istringstream words(expectation);
  words >> first >> verb;
  last_state_.clear();
  if (first == "calls") return expect_calls(expectation);
  if (first == "spread") return expect_spread(expectation);
  if (first == "nobody") {
    if (!fleet_->refresh_counters(running_members(fleet_->names())))
      throw ExpectationFailed("a member did not report its counters");
    for (const auto& [name, times] : given_up())
      if (times > given_up_at_mark_[name]) throw ExpectationFailed(name + " has declared a member dead");
    return;
  }
  if (first == "first" || first == "none" || first == "one" || first == "switch" || first == "gap")
    return expect_versions(first, expectation);
  if (first == "receipts" || first == "served" || first == "answered") return expect_receipts(expectation);
  if (first == "rules") return expect_rules();
  if (first == "moved") {  // moved at least|most N within|for SECONDS
    std::string bound, how;
    words >> bound;
    const double count = read_number(words);
    words >> how;
    const double seconds = read_number(words);
    auto moved = [&] { return fleet_->fake_environment()->moved_count(); };
    if (bound == "least") return wait_until(seconds, expectation, [&] { return moved() >= count; });
    fleet_->collect_output(seconds);
    if (moved() > count)
      throw ExpectationFailed(expectation + ": " + std::to_string(moved()) + " were moved");
    return;
  }
  Names names = parse_names(first);
  if (verb == "place") return expect_placing(names, expectation, words);
  if (verb == "serve") {
    double began = fleet_->now();
    return wait_until(std::stod(expectation.substr(expectation.rfind(' '))), expectation, [&] {
      std::set<std::string> serve;
      for (const Receipt& r : fleet_->fake_environment()->receipts())
        if (r.at >= began) serve.insert(r.balancer);
      return all_of_members(names, [&](auto& n) { return serve.count(n) > 0; });
    });
  }
  if (verb == "keep") {
    double alive = read_number(words);
    expect_word(words, "for");
    for (double end = fleet_->now() + read_number(words); fleet_->now() < end; fleet_->collect_output(0.1))
      if (!all_see(names, alive)) throw ExpectationFailed(expectation + ": no longer true:" + last_state_);
    return;
  }
  std::size_t within = expectation.rfind(" within ");
  if (within == std::string::npos) throw std::runtime_error("within SECONDS expected");
  double seconds = std::stod(expectation.substr(within + 8));
  if (verb == "see") {
    double alive = read_number(words);
    return wait_until(seconds, expectation, [&] { return all_see(names, alive); });
  }
  if (verb == "say") {
    std::size_t at = expectation.find(" say ") + 5;
    std::string text = expectation.substr(at, within - at);
    return wait_until(seconds, expectation, [&] {
      return all_of_members(names, [&](auto& n) { return fleet_->has_logged(n, text); });
    });
  }
  if (verb == "end") {
    expect_word(words, "with");
    double code = read_number(words);
    return wait_until(seconds, expectation, [&] {
      return all_of_members(names, [&](auto& n) { return fleet_->exit_code(n) == code; });
    });
  }
  std::string metric = verb, op = "=";
  double value = 1;
  if (verb == "settled")
    metric = "marblehub_fleet_view_settled";
  else
    words >> op >> value;
  wait_until(seconds, expectation, [&] {
    last_state_.clear();
    return fleet_->refresh_counters(running_members(names)) &&
           all_of_members(running_members(names), [&](auto& n) {
             double has = fleet_->counter(n, metric);
             last_state_ += " " + n + "=" + std::to_string(has);
             if (op == "grew") return has >= 0 && has - counters_at_mark_[n][metric] <= value;
             return op == "=" ? has == value : op == "<" ? has < value : has > value;
           });
  });
}

std::set<std::string> ScenarioPlayer::placed(std::uint64_t version, double since) {
  return placed_by(fleet_->fake_environment()->receipts(), pools_, version, since);
}

// WHO place nothing for SECONDS | WHO place by VERSION within SECONDS
void ScenarioPlayer::expect_placing(const Names& names, const std::string& expectation, std::istream& words) {
  std::string how;
  words >> how;
  const double began = fleet_->now(), seconds = std::stod(expectation.substr(expectation.rfind(' ')));
  if (how == "nothing") {
    fleet_->collect_output(seconds);
    for (const std::string& name : placed(0, began))
      if (std::find(names.begin(), names.end(), name) != names.end())
        throw ExpectationFailed(name + " has placed a call");
    return;
  }
  const auto version = static_cast<std::uint64_t>(read_number(words));
  wait_until(seconds, expectation, [&] {
    auto by = placed(version, began);
    return all_of_members(names, [&](auto& n) { return by.count(n) > 0; });
  });
}

void ScenarioPlayer::expect_versions(const std::string& what, const std::string& expectation) {
  std::istringstream words(expectation);
  std::string ignored, list;
  words >> ignored >> ignored;
  if (what == "one") {
    words >> list;
    std::istringstream versions(list);
    int used = 0;
    for (std::string v; std::getline(versions, v, ',');) used += !placed(std::stoull(v), 0).empty();
    if (used != 1) throw ExpectationFailed(expectation + ": " + std::to_string(used) + " of them were used");
    return;
  }
  if (what == "gap") {
    for (const std::string& name : read_names(words)) {
      const double gap = longest_gap(fleet_->fake_environment()->receipts(), name, marked_at_);
      result.durations.emplace_back("gap of " + name, gap);
      if (gap > std::stod(expectation.substr(expectation.rfind(' '))))
        throw ExpectationFailed(name + " placed no call for " + std::to_string(gap) + " s");
    }
    return;
  }
  const auto version = static_cast<std::uint64_t>(read_number(words));
  if (what == "none") {
    for (const std::string& name : placed(version, 0))
      throw ExpectationFailed(name + " has placed a call by version " + std::to_string(version));
  } else if (what == "first") {
    wait_until(
        std::stod(expectation.substr(expectation.rfind(' '))), expectation,
        [&] { return !placed(version, 0).empty(); }, 0.001);
  } else {
    expect_word(words, "within");
    const double max_seconds = read_number(words);
    expect_word(words, "spread");
    const double spread = read_number(words);
    auto now = [&] { return find_switch(fleet_->fake_environment()->receipts(), pools_, version); };
    const std::size_t members = fleet_->names().size();
    wait_until(max_seconds + 5, "all balancers use the new version",
               [&] { return now().balancers == members; });
    const VersionSwitch s = now();
    result.durations.emplace_back("from SIGHUP to the last balancer's first call", s.last - hup_sent_at_);
    result.durations.emplace_back("spread of the balancers' first calls", s.last - s.first);
    if (s.last - hup_sent_at_ > max_seconds || s.last - s.first > spread)
      throw ExpectationFailed(expectation + ": took " + std::to_string(s.last - hup_sent_at_) +
                              " s, spread " + std::to_string(s.last - s.first));
  }
}

// calls FIELDS served at most N | calls FIELDS served N% in SECONDS
void ScenarioPlayer::expect_calls(const std::string& expectation) {
  std::istringstream words(expectation);
  std::string fields, how;
  words >> how >> fields;
  expect_word(words, "served");
  words >> how;
  std::vector<double> durations;
  std::size_t asked = 0, served = 0;
  for (const Answer& a : fleet_->fake_environment()->answers()) {
    bool up = a.text.starts_with("UP");
    if (a.fields != fields) continue;
    served += up;
    if (a.asked < marked_at_) continue;
    ++asked;
    if (up) durations.push_back(a.at - a.asked);
  }
  if (how == "at") {
    expect_word(words, "most");
    if (static_cast<double>(served) > read_number(words))
      throw ExpectationFailed(std::to_string(served) + " served: " + expectation);
    return;
  }
  expect_word(words, "in");
  std::sort(durations.begin(), durations.end());
  auto wanted = static_cast<std::size_t>(static_cast<double>(asked) * std::stod(how) / 100);
  if (asked == 0 || durations.size() < std::max<std::size_t>(1, wanted))
    throw ExpectationFailed(std::to_string(durations.size()) + " of " + std::to_string(asked) +
                            " served: " + expectation);
  result.durations.emplace_back(expectation, durations[std::max<std::size_t>(1, wanted) - 1]);
  if (double slowest = durations[std::max<std::size_t>(1, wanted) - 1]; slowest > read_number(words))
    throw ExpectationFailed("the slowest took " + std::to_string(slowest) + " s: " + expectation);
}

// spread over SECONDS at most N%: no tenth of that time has more than N% of its calls
void ScenarioPlayer::expect_spread(const std::string& expectation) {
  std::istringstream words(expectation);
  std::string ignored, fields;
  words >> ignored;
  expect_word(words, "over");
  double seconds = read_number(words);
  expect_word(words, "at");
  expect_word(words, "most");
  double max_share = read_number(words);
  std::vector<double> tenths(10);
  double total = 0;
  for (const Receipt& r : fleet_->fake_environment()->receipts())
    if (double part = (r.at - marked_at_) / seconds * 10; part >= 0 && part < 10)
      ++tenths[static_cast<std::size_t>(part)], ++total;
  double share = *std::max_element(tenths.begin(), tenths.end()) * 100 / std::max(total, 1.0);
  result.durations.emplace_back("largest share of calls in a tenth, percent of " + std::to_string(total),
                                share);
  if (total < 10 || share > max_share)
    throw ExpectationFailed(std::to_string(share) + "% of " + std::to_string(total) +
                            " in a tenth: " + expectation);
}

// The bounds are those of the protocol: 250 ms of grace and 50 ms of slack after a drain, 2.9 s for an answer
// and 4 attempts. A draining worker's connections leave within 4 s and a sweep, plus 1 s for a loaded
// machine.
void ScenarioPlayer::expect_rules() {
  FakeEnvironment& environment = *fleet_->fake_environment();
  Observations observed{environment.receipts(), environment.answers(), environment.connection_ends(),
                        environment.worker_events()};
  Accountable accountable = [&](const std::string& b, double from, double to) {
    return fleet_->ran_throughout(b, from, to);
  };
  for (const std::string& violation :
       {check_single_answer(observed, 2.95, accountable), check_drains(observed, 0.3, accountable),
        check_moves(observed, 5, accountable), check_attempts(observed, 4),
        check_cold_starts(observed, 40, 2)})
    if (!violation.empty()) throw ExpectationFailed(violation);
}

// receipts by version in order | served at most|least N | answered
void ScenarioPlayer::expect_receipts(const std::string& expectation) {
  std::istringstream words(expectation);
  std::string first, at, bound;
  words >> first >> at >> bound;
  auto served = [&] {
    auto answers = fleet_->fake_environment()->answers();
    return static_cast<double>(std::count_if(answers.begin(), answers.end(),
                                             [](const Answer& a) { return a.text.starts_with("UP"); }));
  };
  if (first == "served") {
    double wanted = read_number(words);
    if (bound == "least")
      return wait_until(std::stod(expectation.substr(expectation.rfind(' '))), expectation,
                        [&] { return served() >= wanted; });
    if (served() > wanted) throw ExpectationFailed("served " + std::to_string(served()) + ": " + expectation);
  } else if (first == "answered") {
    for (const Answer& a : fleet_->fake_environment()->answers())
      if ((a.text == "closed" || a.text == "none") && fleet_->running(a.balancer) &&
          !fleet_->killed_during(a.balancer, a.asked, a.at))
        throw ExpectationFailed("call " + a.call + " had no answer: " + a.text);
  } else {
    double clock_error_bound = std::stod(expectation.substr(expectation.rfind(' ')));
    std::string violation =
        check_version_order(fleet_->fake_environment()->receipts(), pools_, clock_error_bound);
    if (!violation.empty()) throw ExpectationFailed(violation);
  }
}

bool ScenarioPlayer::all_of_members(const Names& names,
                                    const std::function<bool(const std::string&)>& holds) {
  return std::all_of(names.begin(), names.end(), holds);
}

}  // namespace marblehub::test
