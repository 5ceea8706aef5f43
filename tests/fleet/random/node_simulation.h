// Whole nodes on one virtual clock, between them a network that loses, repeats, delays and is cut, and a
// verdict from outside: what was placed by which version and when, what was served, what the ledgers say.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>

#include "fleet/node/node.h"
#include "fleet/record/memory_disk.h"

namespace marblehub::fleet::random_load {

struct Wrong : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Lines : Journal {  // lasts over the deaths of its process
  std::vector<Line> kept;
  void append(const Line& line) override { kept.push_back(line); }
  std::vector<Line> load() override { return kept; }
};

struct World {
  struct One {
    Settings settings;
    std::unique_ptr<MemoryDisk> disk;
    Lines journal;
    std::unique_ptr<Node> node;
    std::uint64_t incarnation = 0, applied = 0;
    Time offset = 0, asleep_until = 0, due = 0;
    int side = 0;
    bool off_beyond = false;  // its clock is ahead by more than the bound: what it places is not judged
  };
  struct Mail {
    Time when;
    std::uint64_t order;
    std::string from, to;
    Outgoing what;
    Time sent_at;
    std::uint64_t incarnation;
    bool operator>(const Mail& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  struct Attempt {  // a call at a worker: UP or not, whatever becomes of its balancer
    Time when;
    std::string member;
    std::uint64_t incarnation;
    Reservation reservation;
    bool up;
  };
  std::map<std::string, One> members;
  std::map<std::string, std::string> named;
  std::priority_queue<Mail, std::vector<Mail>, std::greater<>> mail;
  std::vector<Attempt> attempts, answers;
  std::map<std::uint64_t, Time> first;  // placed by each version
  std::map<std::uint64_t, std::uint64_t> digests;
  Time now = 1'800'000'000 * kSecond;
  std::mt19937_64 chance;
  double loss = 0, twice = 0;
  Time delay = 2 * kMillisecond;
  WalletSettings wallet;
  std::int64_t paid = 0, served = 0;
  std::uint64_t order = 0, placed = 0, version = 0, messages = 0, elections = 0;

  World(int n, std::uint64_t seed) : chance(seed) {
    wallet.term = 3 * kSecond;
    deposit(200);
    for (int i = 0; i < n; ++i) {
      const std::string name = "m" + std::to_string(i);
      One& one = members[name];
      Settings& s = one.settings;
      s.enabled = true;
      s.fleet = "random";
      s.name = name;
      s.listen = s.advertise = "10.0.0." + std::to_string(i + 1) + ":7000";
      s.seeds = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};
      s.voters = {"m0", "m1", "m2"};
      s.routes_file = "routes.json";
      s.wallet_file = "wallet.json";
      one.offset = between(0, s.clock_bound);
      if (i < 3) one.disk = std::make_unique<MemoryDisk>();
      named[s.listen] = name;
      start(one);
    }
  }
  Time between(Time a, Time b) { return std::uniform_int_distribution<Time>(a, b)(chance); }
  bool odds(double p) { return std::uniform_real_distribution<>(0, 1)(chance) < p; }
  Time clock(const One& one) const { return now + one.offset; }
  bool awake(const One& one) const { return one.node && now >= one.asleep_until; }
  One& member(std::uint64_t i) { return members.at("m" + std::to_string(i % members.size())); }

  void start(One& one) {
    NodeOptions parts;
    parts.settings = one.settings;
    parts.calls = {{"ride", "park"}, {}};
    parts.wallet = wallet;
    parts.disk = one.disk.get();
    parts.journal = &one.journal;
    parts.first_fleet = one.disk && one.incarnation == 0;
    parts.incarnation = ++one.incarnation;
    parts.seed = chance();
    one.node = std::make_unique<Node>(std::move(parts), clock(one));
    one.node->routes()->update_workers({{"w-1", "n", "t", "0"}, {"w-2", "s", "t", "0"}});
    one.due = one.asleep_until = 0;
    one.applied = 0;
  }
  void deposit(std::int64_t amount) {
    wallet.deposits["acme"]["d" + std::to_string(wallet.deposits["acme"].size() + 1)] = amount;
    paid += amount;
    for (auto& [name, one] : members)
      if (one.node) one.node->wallets()->update_settings(wallet);
  }
  void offer(One& one) {
    if (!awake(one)) return;
    const std::string text = R"({"version": )" + std::to_string(++version) +
                             R"(, "pools": [{"name": "north", "zones": ["n"]}, {"name": "south", "zones": )" +
                             R"(["s"]}], "rules": [{"area": "7", "pool": "north"}], "otherwise": "south"})";
    Outbox out;
    one.node->routes()->offer(clock(one), text, one.node->record(), out);
    one.due = 0;
    post(one, out);
  }
  void leave(One& one) {
    if (!awake(one)) return;
    Outbox out;
    one.node->leave(clock(one), out);
    post(one, out);
    one.node.reset();
  }
  void post(const One& from, Outbox& out) {
    for (Outgoing& o : out) {
      std::string to = o.to;
      if (to.starts_with("@")) {
        const auto it = named.find(to.substr(1));
        if (it == named.end()) continue;
        to = it->second;
      }
      ++messages;
      if (!members.contains(to)) continue;
      for (int copy = odds(twice) ? 2 : 1; copy > 0; --copy)
        if (!odds(loss))
          mail.push(
              {now + between(200, delay), ++order, from.settings.name, to, o, clock(from), from.incarnation});
    }
    out.clear();
  }
  void deliver(const Mail& m) {
    One& one = members.at(m.to);
    const One& from = members.at(m.from);
    if (one.side != from.side || !one.node || m.incarnation < from.incarnation) return;
    if (!awake(one)) {  // it waits in its sockets
      Mail later = m;
      later.when = one.asleep_until;
      later.order = ++order;
      return mail.push(later);
    }
    Outbox out;
    one.node->observe_clock(clock(one), m.from, m.sent_at);
    one.node->received(clock(one), m.from, m.what.component, m.what.body, m.what.transport, out);
    one.due = std::min(one.due, one.node->next_due());
    post(one, out);
    look(one);
  }
  void call(One& one) {
    const PlacementMode mode = one.node->routes()->placement_mode(clock(one));
    if (mode == PlacementMode::fenced || mode == PlacementMode::alone) return;
    const std::uint64_t by = one.node->routes()->route(clock(one), "ride", "", "7").version;
    if (!one.off_beyond) {
      ++placed;
      first.try_emplace(by, now);
      for (const auto& [newer, from] : first)
        if (newer > by && now - from > one.settings.clock_bound)
          throw Wrong(one.settings.name + " places by " + std::to_string(by) + " " +
                      std::to_string((now - from) / 1000) + " ms after one by " + std::to_string(newer));
    }
    Reservation reservation;
    if (one.node->wallets()->reserve(clock(one), "acme", "ride", reservation) != ReserveResult::reserved)
      return;
    attempts.push_back(
        {now + between(1, 40 * kMillisecond), one.settings.name, one.incarnation, reservation, odds(0.8)});
  }
  void work() {
    for (const Attempt& a : attempts)
      if (a.when <= now) {
        if (a.up && ++served > paid)
          throw Wrong("served " + std::to_string(served) + " of " + std::to_string(paid));
        answers.push_back(a);
      }
    std::erase_if(attempts, [&](const Attempt& a) { return a.when <= now; });
    for (const Attempt& a : answers) {
      One& one = members.at(a.member);
      if (!awake(one) || one.incarnation != a.incarnation) continue;
      a.up ? one.node->wallets()->commit(a.reservation) : one.node->wallets()->release(a.reservation);
    }
    std::erase_if(answers, [&](const Attempt& a) {
      const One& one = members.at(a.member);
      return !one.node || one.incarnation != a.incarnation || awake(one);
    });
  }
  // The record of one member, as it stands: whole, and the same as all others' at that index.
  void look(One& one) {
    const Ledger& ledger = one.node->record().ledger();
    if (ledger.applied < one.applied) throw Wrong(one.settings.name + "'s record went back");
    if (ledger.applied == one.applied) return;
    one.applied = ledger.applied;
    const std::uint64_t is = digest(ledger);
    const auto [known, fresh] = digests.try_emplace(ledger.applied, is);
    if (known->second != is)
      throw Wrong(one.settings.name + " has another ledger at " + std::to_string(ledger.applied));
    for (const auto& [name, w] : ledger.wallets) {
      std::int64_t out = 0;
      for (const auto& [id, slice] : w.out) out += slice.amount;
      if (w.paid != w.balance + out + w.spent || w.balance < 0 || w.spent < 0 || w.paid > paid)
        throw Wrong("the sums of a wallet do not come out at " + std::to_string(ledger.applied));
    }
  }
  void run(Time span) {
    constexpr Time tick = 4 * kMillisecond;
    for (const Time end = now + span; now < end;) {
      const Time until = now + tick;
      for (auto& [name, one] : members)  // before it reads what waits in its sockets
        if (awake(one)) call(one);
      while (!mail.empty() && mail.top().when <= until) {
        const Mail m = mail.top();
        mail.pop();
        now = std::max(now, m.when);
        deliver(m);
      }
      now = until;
      for (auto& [name, one] : members) {
        if (!awake(one) || clock(one) < one.due) continue;
        Outbox out;
        one.node->tick(clock(one), out);
        one.due = one.node->next_due();
        post(one, out);
        look(one);
      }
      work();
    }
  }
  bool one_is_off() const {
    return std::ranges::any_of(members, [](auto& m) { return m.second.off_beyond || m.second.offset < 0; });
  }
  void heal() {
    loss = twice = 0;
    delay = 2 * kMillisecond;
    for (auto& [name, one] : members) {
      one.side = 0;
      one.asleep_until = 0;
      if (one.off_beyond) one.node.reset();  // whoever mends a clock that was ahead starts it anew
      if (one.off_beyond || one.offset < 0) one.offset = 20 * kMillisecond;
      one.off_beyond = false;
      if (!one.node) start(one);
      one.due = 0;
    }
  }
  // Everything mended and some time passed: one view, one record, one version by which all place.
  void all_as_one() {
    std::set<std::uint64_t> views, applied, versions;
    std::string text;
    for (auto& [name, one] : members) {
      views.insert(one.node->view().digest());
      applied.insert(one.node->record().ledger().applied);
      const PlacementMode mode = one.node->routes()->placement_mode(clock(one));
      versions.insert(mode == PlacementMode::fenced
                          ? ~std::uint64_t{0}
                          : one.node->routes()->route(clock(one), "ride", "", "7").version);
      text += "\n" + name + ": alive " + std::to_string(one.node->view().live_count()) + ", applied " +
              std::to_string(one.applied) + ", leader " + one.node->record().leader() + ", version " +
              std::to_string(one.node->routes()->route(clock(one), "ride", "", "7").version) + " " +
              one.node->routes()->why_fenced();
    }
    if (views.size() != 1) throw Wrong("views differ" + text);
    if (versions.size() != 1 || versions.contains(~std::uint64_t{0})) throw Wrong("versions differ" + text);
  }
};

}  // namespace marblehub::fleet::random_load
