// Whole nodes on a simulated network: view, record and routes together.
#pragma once

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "fleet/node/node.h"

namespace marblehub::fleet::test {

/// A disk in memory that outlives the node that uses it.
struct MapDisk : Disk {
  Contents kept;
  bool store_voting_state(const VotingState& state) override {
    kept.empty = false;
    kept.voting = state;
    return true;
  }
  bool append(const std::vector<Entry>& entries) override {
    kept.empty = false;
    for (const Entry& e : entries) {
      while (!kept.entries.empty() && kept.entries.back().index >= e.index) kept.entries.pop_back();
      kept.entries.push_back(e);
    }
    return true;
  }
  bool store_snapshot(std::uint64_t index, std::uint64_t term, const std::string& ledger) override {
    kept.snapshot_index = index;
    kept.snapshot_term = term;
    kept.snapshot = ledger;
    std::erase_if(kept.entries, [&](const Entry& e) { return e.index <= index; });
    return true;
  }
  Contents load() override { return kept; }
};

/// The nodes, their clocks, and a network that loses, duplicates, delays and partitions.
struct NodeNetwork {
  /// A node, its clock offset, and how it last placed a call.
  struct Member {
    Settings settings;
    MapDisk disk;
    std::unique_ptr<Node> node;
    std::uint64_t incarnation = 0;
    Time offset = 0, asleep_until = 0, due = 0;
    int side = 0;
    std::uint64_t version = 0, placed = 0, fenced = 0;
    PlacementMode mode = PlacementMode::fenced;
  };
  std::map<std::string, Member> members;
  std::map<std::string, std::string> name_by_address;
  Time now = 1'800'000'000 * kSecond;
  std::mt19937_64 rng;
  double loss = 0, duplicate_rate = 0;
  Time min_delay = 200, max_delay = 2 * kMillisecond;
  std::uint64_t messages = 0, bytes = 0, record_messages = 0;
  std::map<std::uint64_t, Time> first, last;
  std::map<std::uint64_t, std::map<std::string, Time>> first_at;

  /// A message on its way.
  struct Event {
    Time when;
    std::uint64_t order;
    std::string from, to;
    Outgoing what;
    Time sent_at;
    bool operator>(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::function<void(const Event&)> on_send = [](const Event&) {};

  NodeNetwork(int n, std::uint64_t seed, std::function<void(Settings&)> change = {}) : rng(seed) {
    for (int i = 0; i < n; ++i) {
      const std::string name = "m" + std::to_string(i);
      Member& one = members[name];
      Settings& s = one.settings;
      s.enabled = true;
      s.fleet = "test";
      s.name = name;
      s.listen = s.advertise =
          "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000";
      s.seeds = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};
      s.voters = {"m0", "m1", "m2"};
      s.routes_file = "routes.json";
      if (change) change(s);
      name_by_address[s.listen] = name;
      start(name);
    }
  }
  Time clock(const Member& one) const { return now + one.offset; }
  bool awake(const Member& one) const { return one.node && now >= one.asleep_until; }
  Time between(Time a, Time b) { return std::uniform_int_distribution<Time>(a, b)(rng); }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(rng); }

  void start(const std::string& name) {
    Member& one = members.at(name);
    NodeOptions parts;
    parts.settings = one.settings;
    parts.calls = {{"ride", "park"}, {}};
    const auto& voters = one.settings.voters;
    const bool voter = std::find(voters.begin(), voters.end(), name) != voters.end();
    parts.disk = voter ? &one.disk : nullptr;
    parts.first_fleet = voter && one.incarnation == 0;
    parts.incarnation = ++one.incarnation;
    parts.seed = rng();
    one.node = std::make_unique<Node>(std::move(parts), clock(one));
    one.node->routes()->update_workers({{"w-1", "n", "t", "0"}, {"w-2", "s", "t", "0"}});
    one.due = 0;
    one.mode = PlacementMode::fenced;
  }
  void kill(const std::string& name) { members.at(name).node.reset(); }
  void sleep(const std::string& name, Time span) { members.at(name).asleep_until = now + span; }
  std::string leader() const {
    std::string name;
    std::uint64_t term = 0;
    for (const auto& [n, one] : members)
      if (one.node && one.node->record().role() == Role::leader && one.node->record().term() >= term)
        name = n, term = one.node->record().term();
    return name;
  }
  void offer(const std::string& name, const std::string& text) {
    Member& one = members.at(name);
    if (!awake(one)) return;
    Outbox out;
    one.node->routes()->offer(clock(one), text, one.node->record(), out);
    one.due = 0;
    post(name, out);
  }
  void post(const std::string& from, Outbox& out) {
    for (Outgoing& o : out) {
      std::string to = o.to;
      if (to.starts_with("@")) {
        auto it = name_by_address.find(to.substr(1));
        if (it == name_by_address.end()) continue;
        to = it->second;
      }
      ++messages;
      bytes += o.body.size();
      record_messages += o.component == Component::record;
      if (!members.count(to) || members.at(to).side != members.at(from).side) continue;
      for (int copy = uniform() < duplicate_rate ? 2 : 1; copy > 0; --copy)
        if (uniform() >= loss) {
          const Event sent{
              now + between(min_delay, max_delay), ++order, from, to, o, clock(members.at(from))};
          events.push(sent);
          on_send(sent);
        }
    }
    out.clear();
  }
  void deliver(const Event& e) {
    Member& one = members.at(e.to);
    if (one.side != members.at(e.from).side || !one.node) return;
    if (!awake(one)) {  // it waits in its sockets
      Event later = e;
      later.when = one.asleep_until;
      later.order = ++order;
      events.push(later);
      return;
    }
    Outbox out;
    one.node->observe_clock(clock(one), e.from, e.sent_at);
    one.node->received(clock(one), e.from, e.what.component, e.what.body, e.what.transport, out);
    one.due = std::min(one.due, one.node->next_due());
    post(e.to, out);
  }
  void place(const std::string& name, Member& one) {
    one.mode = one.node->routes()->placement_mode(clock(one));
    if (one.mode == PlacementMode::fenced || one.mode == PlacementMode::alone) return void(++one.fenced);
    one.version = one.node->routes()->route(clock(one), "ride", "", "7").version;
    ++one.placed;
    first.try_emplace(one.version, now);
    first_at[one.version].try_emplace(name, now);
    last[one.version] = now;
  }
  void run(Time span, Time tick = 2 * kMillisecond) {
    for (const Time end = now + span; now < end;) {
      const Time until = now + tick;
      while (!events.empty() && events.top().when <= until) {
        const Event e = events.top();
        events.pop();
        now = std::max(now, e.when);
        deliver(e);
      }
      now = until;
      for (auto& [name, one] : members) {
        if (!awake(one)) continue;
        if (clock(one) >= one.due) {
          Outbox out;
          one.node->tick(clock(one), out);
          one.due = one.node->next_due();
          post(name, out);
        }
        place(name, one);
      }
    }
  }
  Time overlap() const {
    Time worst = -kSecond * 1000;
    for (auto& [older, at] : last)
      for (auto& [newer, from] : first)
        if (newer > older) worst = std::max(worst, at - from);
    return worst;
  }
  std::size_t placing_by(std::uint64_t version) const {
    std::size_t n = 0;
    for (auto& [name, one] : members)
      n += one.node && one.version == version &&
           one.mode == (version ? PlacementMode::by_table : PlacementMode::no_table);
    return n;
  }
  std::string describe() const {
    std::string text;
    for (auto& [name, one] : members) {
      text += name + ": ";
      if (!one.node)
        text += "dead";
      else
        text += "placing " + std::to_string(static_cast<int>(one.mode)) + " by " +
                std::to_string(one.version) + " " + one.node->routes()->why_fenced() + "; view " +
                std::to_string(one.node->view().live_count()) + ", term " +
                std::to_string(one.node->record().term()) + ", applied " +
                std::to_string(one.node->record().ledger().applied) + ", leader " +
                one.node->record().leader();
      text += "\n";
    }
    return text;
  }
};

}  // namespace marblehub::fleet::test
