// Steps of a scenario that act on the fleet.
#include <signal.h>

#include <algorithm>
#include <sstream>

#include "fleet/processes/scenario_player.h"

namespace marblehub::test {

void ScenarioPlayer::play_line(const std::string& text) {
  std::istringstream in(text);
  std::string verb;
  if (!(in >> verb)) return;
  if (!fleet_ && setup_step(verb, in)) return;
  if (!fleet_) {
    fleet_.emplace(setup_, setup_.workers > 0 ? balancer_program_ : node_program_);
    marked_at_ = fleet_->now();
    rng_.seed(setup_.seed);
  }
  if (verb == "at") {
    double when = read_number(in);
    run_until(marked_at_ + when);
    in >> verb;
  }
  fleet_->log_event("scenario", text);
  play_step(verb, in);
}

bool ScenarioPlayer::setup_step(const std::string& verb, std::istream& in) {
  if (verb == "members") return in >> setup_.members, true;
  if (verb == "voters") return in >> setup_.voters, true;
  if (verb == "seed") return in >> setup_.seed, true;
  if (verb == "workers") return in >> setup_.workers, true;
  if (verb == "settings") return std::getline(in, setup_.settings), true;
  return false;
}

void ScenarioPlayer::play_step(const std::string& verb, std::istream& in) {
  static const std::map<std::string, int> signals = {
      {"kill", SIGKILL}, {"stop", SIGSTOP}, {"cont", SIGCONT}, {"term", SIGTERM}, {"hup", SIGHUP}};
  if (verb == "mark") return mark();
  if (verb == "obey") return fleet_->fake_environment()->honor_retry_after();
  if (verb == "wait") return run_until(fleet_->now() + read_number(in));
  if (verb == "heal") return heal();
  if (verb == "cut") return cut(in);
  if (verb == "flap") return flap(in);
  if (verb == "loss" || verb == "repeat" || verb == "reorder" || verb == "delay")
    return degrade_links(verb, in);
  if (verb == "expect") return expect(in);
  if (verb == "pool") {
    auto version = static_cast<std::uint64_t>(read_number(in));
    std::string text;
    in >> text;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) pools_[version].push_back(part);
    return;
  }
  if (verb == "stay") {
    double seconds = 1e9;
    in >> seconds;
    return fleet_->fake_environment()->set_connection_duration(in ? seconds : 1e9);
  }
  if (verb == "worker") {
    std::string name, what;
    in >> name >> what;
    return fleet_->fake_environment()->change_worker(name, what);
  }
  if (verb == "silent" || verb == "speaks") {
    for (std::string worker; in >> worker;) fleet_->fake_environment()->set_silent(worker, verb == "silent");
    return;
  }
  if (verb == "stall") return stall(in);
  if (verb == "stalls") return stalls(in);
  if (verb == "leader") return find_leader(in);
  if (verb == "settings") {
    std::string text;
    std::getline(in, text);
    return fleet_->set_settings(text);
  }
  Names names = read_names(in);
  if (verb == "hup") hup_sent_at_ = fleet_->now();
  if (verb == "full" || verb == "free")
    return each(names, [&](const auto& n) { fleet_->set_disk_full(n, verb == "full"); });
  if (verb == "calls") {
    double rate = read_number(in);
    std::string fields;
    in >> fields;
    return each(names, [&](const auto& n) { fleet_->set_call_rate(n, rate, fields); });
  }
  if (verb == "file") {
    std::string name, text;
    in >> name;
    std::getline(in >> std::ws, text);
    return each(names, [&](const auto& n) { fleet_->write_file(n, name, text); });
  }
  if (verb == "start") return each(names, [&](const auto& n) { fleet_->start(n); });
  if (verb == "wipe") return each(names, [&](const auto& n) { fleet_->wipe_disk(n); });
  if (verb == "copy") return each(names, [&](const auto& n) { fleet_->copy_disk(n); });
  if (verb == "restore") return each(names, [&](const auto& n) { fleet_->restore_disk(n); });
  if (verb == "clock") {
    double ms = read_number(in);
    return each(names,
                [&](const auto& n) { fleet_->set_clock_offset(n, static_cast<std::int64_t>(ms * 1000)); });
  }
  if (auto it = signals.find(verb); it != signals.end())
    return each(names, [&](const auto& n) { fleet_->send_signal(n, it->second); });
  throw std::runtime_error("unknown step: " + verb);
}

void ScenarioPlayer::each(const Names& names, const std::function<void(const std::string&)>& act) {
  for (const std::string& name : names) act(name);
}

double ScenarioPlayer::read_number(std::istream& in) {
  double value = 0;
  if (!(in >> value)) throw std::runtime_error("a number expected");
  return value;
}

void ScenarioPlayer::expect_word(std::istream& in, const std::string& expected) {
  std::string got;
  if (!(in >> got) || got != expected) throw std::runtime_error(expected + " expected, not " + got);
}

Names ScenarioPlayer::parse_names(const std::string& text) const {
  Names names;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    std::size_t dots = part.find("..");
    if (part == "all") return fleet_->names();
    if (part == "leader" || part == "followers" || part == "follower" || part == "other") {
      int skipped = 0;
      for (int i = 0; i < setup_.voters; ++i) {
        const std::string name = "b" + std::to_string(i + 1);
        if ((name == leader_) != (part == "leader")) continue;
        if (part == "other" && skipped++ == 0) continue;
        names.push_back(name);
        if (part == "follower") break;
      }
      continue;
    }
    if (dots == std::string::npos) {
      names.push_back(part);
    } else {
      for (int i = std::stoi(part.substr(1, dots - 1)); i <= std::stoi(part.substr(dots + 3)); ++i)
        names.push_back("b" + std::to_string(i));
    }
  }
  const Names& known = fleet_->names();
  for (const std::string& name : names)
    if (std::find(known.begin(), known.end(), name) == known.end())
      throw std::runtime_error("unknown member: " + name);
  return names;
}

Names ScenarioPlayer::read_names(std::istream& in) const {
  std::string text;
  if (!(in >> text)) throw std::runtime_error("names expected");
  return parse_names(text);
}

void ScenarioPlayer::run_until(double when) {
  if (when > fleet_->now()) fleet_->collect_output(when - fleet_->now());
}

void ScenarioPlayer::stall(std::istream& in) {
  std::string target;
  in >> target;
  const double seconds = read_number(in);
  if (target == "player") return fleet_->fake_environment()->stall(seconds);
  fleet_->fake_environment()->stall(target, seconds);
}

// The stalled worker or balancer is drawn at random.
void ScenarioPlayer::stall_one(const std::string& kind, double seconds) {
  const std::uint64_t any = rng_();
  if (kind == "player") {
    fleet_->fake_environment()->stall(seconds);
    return run_until(fleet_->now() + seconds);
  }
  if (kind == "workers") {
    fleet_->fake_environment()->stall(
        "w" + std::to_string(1 + any % static_cast<std::uint64_t>(setup_.workers)), seconds);
    return run_until(fleet_->now() + seconds);
  }
  if (kind != "balancers") throw std::runtime_error("workers, balancers or player expected, not " + kind);
  const std::string& name = fleet_->names()[any % fleet_->names().size()];
  fleet_->send_signal(name, SIGSTOP);
  run_until(fleet_->now() + seconds);
  fleet_->send_signal(name, SIGCONT);
}

void ScenarioPlayer::stalls(std::istream& in) {
  std::string kind;
  in >> kind;
  const double times = read_number(in), shortest = read_number(in), longest = read_number(in);
  std::uniform_real_distribution<double> length(shortest, longest), pause(0.5, 2);
  for (int i = 0; i < times; ++i) {
    run_until(fleet_->now() + pause(rng_));
    const double seconds = length(rng_);
    fleet_->log_event("scenario", "stalls " + kind + " for " + std::to_string(seconds) + " s");
    stall_one(kind, seconds);
  }
}

void ScenarioPlayer::mark() {
  marked_at_ = fleet_->now();
  if (!fleet_->refresh_counters(running_members(fleet_->names())))
    throw ExpectationFailed("a member did not report its counters");
  for (const std::string& name : running_members(fleet_->names()))
    counters_at_mark_[name] = fleet_->last_counters(name);
  given_up_at_mark_ = given_up();
}

void ScenarioPlayer::find_leader(std::istream& in) {
  expect_word(in, "within");
  wait_until(read_number(in), "one member leads", [&] {
    Names leads;
    if (!fleet_->refresh_counters(running_members(fleet_->names()))) return false;
    for (const std::string& name : running_members(fleet_->names()))
      if (fleet_->counter(name, "marblehub_fleet_record_leads") == 1) leads.push_back(name);
    if (leads.size() == 1) leader_ = leads.front();
    return leads.size() == 1;
  });
  fleet_->log_event("scenario", leader_ + " leads");
}

void ScenarioPlayer::each_link(const Names& from, const Names& to, const std::function<void(Faults&)>& act) {
  for (const std::string& a : from)
    for (const std::string& b : to) {
      if (a == b) continue;
      Faults f = fleet_->links().get(a, b);
      act(f);
      fleet_->links().set(a, b, f);
    }
}

void ScenarioPlayer::heal() {
  each_link(fleet_->names(), fleet_->names(), [](Faults& f) { f = {}; });
}

// Groups as in "b1,b2 | b3 | b4" or "b1 > b2".
void ScenarioPlayer::cut(std::istream& in, bool now) {
  std::vector<Names> groups = {read_names(in)};
  std::string between;
  bool one_way = false;
  while (in >> between) {
    if (between != "|" && between != ">") throw std::runtime_error("| or > expected");
    one_way = between == ">";
    groups.push_back(read_names(in));
  }
  for (std::size_t i = 0; i < groups.size(); ++i)
    for (std::size_t j = i + 1; j < groups.size(); ++j) {
      each_link(groups[i], groups[j], [&](Faults& f) { f.cut = now; });
      if (!one_way) each_link(groups[j], groups[i], [&](Faults& f) { f.cut = now; });
    }
}

void ScenarioPlayer::flap(std::istream& in) {
  double each = read_number(in), times = read_number(in);
  std::string groups;
  std::getline(in, groups);
  for (int i = 0; i < 2 * static_cast<int>(times); ++i) {
    std::istringstream cut_groups(groups);
    cut(cut_groups, i % 2 == 0);
    fleet_->log_event("scenario", i % 2 == 0 ? "cut" : "healed");
    run_until(fleet_->now() + each);
  }
}

void ScenarioPlayer::degrade_links(const std::string& what, std::istream& in) {
  double first = read_number(in), second = 0;
  if (what == "delay") second = read_number(in);
  if (in.peek() == '%') in.get();
  Names from = fleet_->names(), to = from;
  if (std::string text; in >> text) from = parse_names(text), expect_word(in, ">"), to = read_names(in);
  each_link(from, to, [&](Faults& f) {
    if (what == "loss") f.loss = first / 100;
    if (what == "repeat") f.repeat = first / 100;
    if (what == "reorder") f.reorder = first / 100;
    if (what == "delay") f.delay_from = first, f.delay_to = second;
  });
}

Names ScenarioPlayer::running_members(const Names& names) const {
  Names running;
  for (const std::string& name : names)
    if (fleet_->running(name)) running.push_back(name);
  return running;
}

}  // namespace marblehub::test
