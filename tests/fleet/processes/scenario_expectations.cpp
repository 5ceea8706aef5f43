// What a scenario expects of the fleet.
#include <signal.h>

#include <algorithm>
#include <sstream>

#include "fleet/processes/scenario_player.h"

namespace marblehub::test {

std::map<std::string, double> ScenarioPlayer::given_up() const {
  std::map<std::string, double> all;
  for (const std::string& name : live(fleet_->names()))
    all[name] = fleet_->counter(name, "marblehub_fleet_given_up_total");
  return all;
}

bool ScenarioPlayer::see(const Names& names, double alive) {
  Names asked = live(names);
  if (asked.empty() || !fleet_->counters(asked)) return false;
  std::set<double> digests;
  bool all = true;
  state_.clear();
  for (const std::string& name : asked) {
    double has = fleet_->counter(name, "marblehub_fleet_members_alive"),
           digest = fleet_->counter(name, "marblehub_fleet_view_digest");
    digests.insert(digest);
    all = all && has == alive;
    state_ += " " + name + "=" + std::to_string(static_cast<int>(has)) + "/" +
              std::to_string(static_cast<long long>(digest));
  }
  return all && digests.size() == 1;
}

void ScenarioPlayer::until(double seconds, const std::string& what, const std::function<bool()>& holds,
                           double again) {
  double began = fleet_->now();
  while (!holds()) {
    if (fleet_->now() - began > seconds) throw Failed(what + " did not come to hold:" + state_);
    fleet_->pump(again);
  }
  double took = fleet_->now() - began;
  if (took > seconds) throw Failed(what + " held too late, after " + std::to_string(took) + " s:" + state_);
  verdict.took.emplace_back(what, took);
  fleet_->note("scenario", what + ": held after " + std::to_string(took) + " s");
}

void ScenarioPlayer::expect(std::istream& in) {
  std::string whole, first, verb;
  std::getline(in >> std::ws, whole);
  std::istringstream words(whole);
  words >> first >> verb;
  state_.clear();
  if (first == "calls") return expect_calls(whole);
  if (first == "spread") return expect_spread(whole);
  if (first == "nobody") {
    if (!fleet_->counters(live(fleet_->names()))) throw Failed("a counter was asked for and not told");
    for (const auto& [name, times] : given_up())
      if (times > given_up_[name]) throw Failed(name + " has given up a member");
    return;
  }
  if (first == "first" || first == "none" || first == "one" || first == "switch" || first == "gap")
    return expect_versions(first, whole);
  if (first == "receipts" || first == "served" || first == "answered") return expect_receipts(whole);
  if (first == "rules") return expect_rules();
  if (first == "moved") {  // moved at least|most N within|for SECONDS
    std::string bound, how;
    words >> bound;
    const double count = number(words);
    words >> how;
    const double seconds = number(words);
    auto moved = [&] { return fleet_->stand_ins()->moved(); };
    if (bound == "least") return until(seconds, whole, [&] { return moved() >= count; });
    fleet_->pump(seconds);
    if (moved() > count) throw Failed(whole + ": " + std::to_string(moved()) + " were");
    return;
  }
  Names names = named(first);
  if (verb == "place") return expect_placing(names, whole, words);
  if (verb == "serve") {
    double began = fleet_->now();
    return until(std::stod(whole.substr(whole.rfind(' '))), whole, [&] {
      std::set<std::string> serve;
      for (const Receipt& r : fleet_->stand_ins()->receipts())
        if (r.at >= began) serve.insert(r.balancer);
      return all(names, [&](auto& n) { return serve.count(n) > 0; });
    });
  }
  if (verb == "keep") {
    double alive = number(words);
    word(words, "for");
    for (double end = fleet_->now() + number(words); fleet_->now() < end; fleet_->pump(0.1))
      if (!see(names, alive)) throw Failed(whole + ": it broke:" + state_);
    return;
  }
  std::size_t within = whole.rfind(" within ");
  if (within == std::string::npos) throw std::runtime_error("within SECONDS expected");
  double seconds = std::stod(whole.substr(within + 8));
  if (verb == "see") {
    double alive = number(words);
    return until(seconds, whole, [&] { return see(names, alive); });
  }
  if (verb == "say") {
    std::size_t at = whole.find(" say ") + 5;
    std::string text = whole.substr(at, within - at);
    return until(seconds, whole, [&] { return all(names, [&](auto& n) { return fleet_->said(n, text); }); });
  }
  if (verb == "end") {
    word(words, "with");
    double code = number(words);
    return until(seconds, whole,
                 [&] { return all(names, [&](auto& n) { return fleet_->exit_code(n) == code; }); });
  }
  std::string metric = verb, op = "=";
  double value = 1;
  if (verb == "settled")
    metric = "marblehub_fleet_view_settled";
  else
    words >> op >> value;
  until(seconds, whole, [&] {
    state_.clear();
    return fleet_->counters(live(names)) && all(live(names), [&](auto& n) {
             double has = fleet_->counter(n, metric);
             state_ += " " + n + "=" + std::to_string(has);
             if (op == "grew") return has >= 0 && has - at_mark_[n][metric] <= value;
             return op == "=" ? has == value : op == "<" ? has < value : has > value;
           });
  });
}

std::set<std::string> ScenarioPlayer::placed(std::uint64_t version, double since) {
  return placed_by(fleet_->stand_ins()->receipts(), pools_, version, since);
}

// WHO place nothing for SECONDS | WHO place by VERSION within SECONDS
void ScenarioPlayer::expect_placing(const Names& names, const std::string& whole, std::istream& words) {
  std::string how;
  words >> how;
  const double began = fleet_->now(), seconds = std::stod(whole.substr(whole.rfind(' ')));
  if (how == "nothing") {
    fleet_->pump(seconds);
    for (const std::string& name : placed(0, began))
      if (std::find(names.begin(), names.end(), name) != names.end()) throw Failed(name + " places");
    return;
  }
  const auto version = static_cast<std::uint64_t>(number(words));
  until(seconds, whole, [&] {
    auto by = placed(version, began);
    return all(names, [&](auto& n) { return by.count(n) > 0; });
  });
}

void ScenarioPlayer::expect_versions(const std::string& what, const std::string& whole) {
  std::istringstream words(whole);
  std::string skip, list;
  words >> skip >> skip;
  if (what == "one") {
    words >> list;
    std::istringstream versions(list);
    int used = 0;
    for (std::string v; std::getline(versions, v, ',');) used += !placed(std::stoull(v), 0).empty();
    if (used != 1) throw Failed(whole + ": " + std::to_string(used) + " were");
    return;
  }
  if (what == "gap") {
    for (const std::string& name : who(words)) {
      const double gap = longest_gap(fleet_->stand_ins()->receipts(), name, marked_);
      verdict.took.emplace_back("gap of " + name, gap);
      if (gap > std::stod(whole.substr(whole.rfind(' '))))
        throw Failed(name + " placed nothing for " + std::to_string(gap) + " s");
    }
    return;
  }
  const auto version = static_cast<std::uint64_t>(number(words));
  if (what == "none") {
    for (const std::string& name : placed(version, 0))
      throw Failed(name + " has placed by " + std::to_string(version));
  } else if (what == "first") {
    until(
        std::stod(whole.substr(whole.rfind(' '))), whole, [&] { return !placed(version, 0).empty(); }, 0.001);
  } else {
    word(words, "within");
    const double within = number(words);
    word(words, "spread");
    const double spread = number(words);
    auto now = [&] { return switched(fleet_->stand_ins()->receipts(), pools_, version); };
    const std::size_t members = fleet_->names().size();
    until(within + 5, "all by the new version", [&] { return now().balancers == members; });
    const Switch s = now();
    verdict.took.emplace_back("from hup to the last first call", s.last - hup_at_);
    verdict.took.emplace_back("spread of the first calls", s.last - s.first);
    if (s.last - hup_at_ > within || s.last - s.first > spread)
      throw Failed(whole + ": took " + std::to_string(s.last - hup_at_) + " s, spread " +
                   std::to_string(s.last - s.first));
  }
}

// calls FIELDS served at most N | calls FIELDS served N% in SECONDS
void ScenarioPlayer::expect_calls(const std::string& whole) {
  std::istringstream words(whole);
  std::string fields, how;
  words >> how >> fields;
  word(words, "served");
  words >> how;
  std::vector<double> took;
  std::size_t all = 0, served = 0;
  for (const Answer& a : fleet_->stand_ins()->answers()) {
    bool up = a.text.starts_with("UP");
    if (a.fields != fields) continue;
    served += up;
    if (a.asked < marked_) continue;
    ++all;
    if (up) took.push_back(a.at - a.asked);
  }
  if (how == "at") {
    word(words, "most");
    if (static_cast<double>(served) > number(words))
      throw Failed(std::to_string(served) + " served: " + whole);
    return;
  }
  word(words, "in");
  std::sort(took.begin(), took.end());
  auto wanted = static_cast<std::size_t>(static_cast<double>(all) * std::stod(how) / 100);
  if (all == 0 || took.size() < std::max<std::size_t>(1, wanted))
    throw Failed(std::to_string(took.size()) + " of " + std::to_string(all) + " served: " + whole);
  verdict.took.emplace_back(whole, took[std::max<std::size_t>(1, wanted) - 1]);
  if (double slowest = took[std::max<std::size_t>(1, wanted) - 1]; slowest > number(words))
    throw Failed("they took " + std::to_string(slowest) + " s: " + whole);
}

// spread over SECONDS: no tenth of it has more than N% of the calls served in it
void ScenarioPlayer::expect_spread(const std::string& whole) {
  std::istringstream words(whole);
  std::string skip, fields;
  words >> skip;
  word(words, "over");
  double seconds = number(words);
  word(words, "at");
  word(words, "most");
  double most = number(words);
  std::vector<double> tenths(10);
  double all = 0;
  for (const Receipt& r : fleet_->stand_ins()->receipts())
    if (double part = (r.at - marked_) / seconds * 10; part >= 0 && part < 10)
      ++tenths[static_cast<std::size_t>(part)], ++all;
  double share = *std::max_element(tenths.begin(), tenths.end()) * 100 / std::max(all, 1.0);
  verdict.took.emplace_back("most calls in a tenth, percent of " + std::to_string(all), share);
  if (all < 10 || share > most)
    throw Failed(std::to_string(share) + "% of " + std::to_string(all) + " in a tenth: " + whole);
}

// The bounds are the protocol's: 250 ms of grace and 50 ms of slack, 2.9 s that a client waits, 4 attempts;
// off a draining worker within 4 s and a sweep, with a second for a busy machine.
void ScenarioPlayer::expect_rules() {
  StandIns& around = *fleet_->stand_ins();
  Seen seen{around.receipts(), around.answers(), around.endings(), around.told()};
  Blamed blamed = [&](const std::string& b, double from, double to) { return fleet_->ran(b, from, to); };
  for (const std::string& wrong :
       {one_answer(seen, 2.95, blamed), drains_kept(seen, 0.3, blamed), moved_in_order(seen, 5, blamed),
        attempts_bounded(seen, 4), cold_spared(seen, 40, 2)})
    if (!wrong.empty()) throw Failed(wrong);
}

// Verdicts from what workers took and clients were told.
void ScenarioPlayer::expect_receipts(const std::string& whole) {
  std::istringstream words(whole);
  std::string first, at, bound;
  words >> first >> at >> bound;
  auto served = [&] {
    auto answers = fleet_->stand_ins()->answers();
    return static_cast<double>(std::count_if(answers.begin(), answers.end(),
                                             [](const Answer& a) { return a.text.starts_with("UP"); }));
  };
  if (first == "served") {
    double wanted = number(words);
    if (bound == "least")
      return until(std::stod(whole.substr(whole.rfind(' '))), whole, [&] { return served() >= wanted; });
    if (served() > wanted) throw Failed("served " + std::to_string(served()) + ": " + whole);
  } else if (first == "answered") {
    for (const Answer& a : fleet_->stand_ins()->answers())
      if ((a.text == "closed" || a.text == "none") && fleet_->running(a.balancer) &&
          !fleet_->killed(a.balancer, a.asked, a.at))
        throw Failed("call " + a.call + " had no answer: " + a.text);
  } else {
    double clocks = std::stod(whole.substr(whole.rfind(' ')));
    std::string wrong = in_order(fleet_->stand_ins()->receipts(), pools_, clocks);
    if (!wrong.empty()) throw Failed(wrong);
  }
}

bool ScenarioPlayer::all(const Names& names, const std::function<bool(const std::string&)>& holds) {
  return std::all_of(names.begin(), names.end(), holds);
}

}  // namespace marblehub::test
