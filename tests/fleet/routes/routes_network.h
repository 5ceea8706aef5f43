// The Routes of many balancers on one simulated clock, over the fake record, with the true time of the first
// and last call placed by each version.
#pragma once

#include <map>
#include <memory>

#include "fake_record.h"
#include "fleet/routes/routes.h"

namespace marblehub::fleet::test {

inline Settings settings_for(const std::string& name) {
  Settings s;
  s.enabled = true;
  s.name = name;
  s.voters = {"m0", "m1", "m2"};
  s.routes_file = "routes.json";
  return s;
}

inline std::string table(std::uint64_t version, const std::string& pool = "north") {
  return R"({"version": )" + std::to_string(version) +
         R"(, "pools": [{"name": "north", "zones": ["n"]}, {"name": "south", "zones": ["s"]}],)" +
         R"( "rules": [{"area": "7", "pool": ")" + pool + R"("}], "otherwise": "south"})";
}

inline std::vector<ListedWorker> listed() { return {{"w-1", "n", "t", "0"}, {"w-2", "s", "t", "0"}}; }

/// The balancers, their clocks and partitions, and what each has placed.
struct RoutesNetwork {
  /// A balancer's fake record and Routes, and how it last placed a call.
  struct Balancer {
    Settings settings;
    Time offset = 0, asleep_until = 0;
    bool up = true, placed_once = false;
    std::uint64_t incarnation = 1;
    int side = 0;
    std::unique_ptr<Record> record;
    std::unique_ptr<Routes> routes;
    Time due = 0;
    std::uint64_t placed = 0, fenced = 0, alone = 0;
    std::uint64_t version = 0;
    PlacementMode mode = PlacementMode::fenced;
  };
  FakeRecord record;
  std::map<std::string, Balancer> members;
  std::map<std::string, std::map<std::string, Time>> last_contact;
  // True time of the first and last call placed by each version.
  std::map<std::uint64_t, Time> first, last;
  std::map<std::uint64_t, std::map<std::string, Time>> first_at;
  bool placing_everywhere = true;

  RoutesNetwork(int n, std::uint64_t seed, std::function<void(Settings&)> change = {}) {
    current_record() = &record;
    record.rng.seed(seed);
    record.now = 1'800'000'000 * kSecond;
    record.voters = {"m0", "m1", "m2"};
    record.leader = "m0";
    record.awake = [this](const std::string& m) { return awake(m); };
    record.asleep = [this](const std::string& m) {
      return members.at(m).up && record.now < members.at(m).asleep_until;
    };
    record.can_reach = [this](const std::string& a, const std::string& b) {
      return members.at(a).side == members.at(b).side;
    };
    record.clock_of = [this](const std::string& m) { return record.now + members.at(m).offset; };
    record.on_message = [this](const std::string& to, const std::string& from, Time sent_at) {
      Balancer& b = members.at(to);
      b.routes->observe_clock(clock(b), from, sent_at);
      b.due = 0;
      last_contact[to][from] = record.now;
    };
    for (int i = 0; i < n; ++i) {
      std::string name = "m" + std::to_string(i);
      Balancer& b = members[name];
      b.settings = settings_for(name);
      if (change) change(b.settings);
      record.settings = b.settings;
      record.followers.insert(name);
      start(b);
    }
    for (auto& [a, x] : members)
      for (auto& [b, y] : members) last_contact[a][b] = record.now;
  }
  ~RoutesNetwork() {
    members.clear();
    current_record() = nullptr;
  }

  bool awake(const std::string& m) const {
    const Balancer& b = members.at(m);
    return b.up && record.now >= b.asleep_until;
  }
  Time clock(const Balancer& b) const { return record.now + b.offset; }
  void start(Balancer& b) {
    b.up = true;
    b.record.reset();
    b.record = std::make_unique<Record>(b.settings, b.incarnation, nullptr, true, 1, clock(b));
    b.routes = std::make_unique<Routes>(b.settings, KnownCalls{{"ride", "park"}, {}}, clock(b));
    b.routes->update_workers(listed());
    b.due = 0;
  }
  void kill(const std::string& m) {
    members.at(m).up = false;
    members.at(m).record.reset();
  }
  void restart(const std::string& m) {
    Balancer& b = members.at(m);
    ++b.incarnation;
    start(b);
  }
  void sleep(const std::string& m, Time span) { members.at(m).asleep_until = record.now + span; }
  void offer(const std::string& m, const std::string& text) {
    Balancer& b = members.at(m);
    if (!awake(m)) return;
    Outbox out;
    b.routes->offer(clock(b), text, *b.record, out);
    b.due = 0;
  }
  std::vector<std::string> alive(const std::string& of) {
    std::vector<std::string> names;
    for (auto& [name, when] : last_contact[of])
      if (name == of || record.now - when < kSecond) names.push_back(name);
    return names;
  }

  void step(const std::string& name, Balancer& b) {
    Outbox out;
    b.record->tick(clock(b), out);
    b.routes->step(clock(b), *b.record, alive(name), out);
    b.due = std::min(b.routes->next_due(), b.record->next_due());
  }
  void place(const std::string& name, Balancer& b) {
    const Time now = record.now;
    b.mode = b.routes->placement_mode(clock(b));
    if (b.mode == PlacementMode::fenced) return void(++b.fenced);
    if (b.mode == PlacementMode::alone) return void(++b.alone);
    b.version = b.routes->route(clock(b), "ride", "", "7").version;
    ++b.placed;
    first.try_emplace(b.version, now);
    first_at[b.version].try_emplace(name, now);
    last[b.version] = now;
  }

  void run(Time span, Time tick = 5 * kMillisecond) {
    current_record() = &record;
    for (const Time end = record.now + span; record.now < end;) {
      const Time until = record.now + tick;
      while (!record.events.empty() && record.events.top().when <= until) {
        auto event = record.events.top();
        record.events.pop();
        record.now = std::max(record.now, event.when);
        event.act();
      }
      record.now = until;
      if (until / tick % (40 * kMillisecond / tick) == 0) record.run_leader();
      if (until / tick % (100 * kMillisecond / tick) == 0) gossip();
      for (auto& [name, b] : members) {
        if (!awake(name)) continue;
        // A step and a call at the same time may come in either order.
        if (record.uniform() < 0.5) place(name, b);
        if (clock(b) >= b.due) step(name, b);
        place(name, b);
      }
    }
  }
  void gossip() {
    for (auto& [name, b] : members) {
      if (!awake(name)) continue;
      for (int i = 0; i < 2; ++i) {
        auto to = std::next(members.begin(), record.between(0, static_cast<Time>(members.size()) - 1))->first;
        if (to != name) record.send(name, to, [] {});
      }
    }
  }

  // The longest time by which a call by an older version came after one by a newer. At most the clock error
  // bound is guaranteed.
  Time overlap() const {
    Time worst = -kSecond * 1000;
    for (auto& [older, at] : last)
      for (auto& [newer, from] : first)
        if (newer > older) worst = std::max(worst, at - from);
    return worst;
  }
  bool all_place_by(std::uint64_t version) const {
    for (auto& [name, b] : members)
      if (b.up &&
          (b.mode != (version ? PlacementMode::by_table : PlacementMode::no_table) || b.version != version))
        return false;
    return true;
  }
};

}  // namespace marblehub::fleet::test
