// Simulates complete fleet nodes on one virtual clock, connected by a network that loses, duplicates, delays
// and partitions messages. While the simulation runs it checks the placements of each routes version, the
// calls that were served and paid for, and the ledgers of all members.
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

// A checked property does not hold; RapidCheck reports the text.
struct PropertyViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A journal in memory that survives restarts of its node.
struct PersistentJournal : Journal {
  std::vector<Line> lines;
  void append(const Line& line) override { lines.push_back(line); }
  std::vector<Line> load() override { return lines; }
};

// Owns the nodes, their disks and journals, the network and the virtual clock. Times are in microseconds.
// Functions throw PropertyViolation when a property does not hold.
struct NodeSimulation {
  // A member of the fleet: its settings and stored data, and its node while it runs.
  struct SimulatedNode {
    Settings settings;
    std::unique_ptr<MemoryDisk> disk;
    PersistentJournal journal;
    std::unique_ptr<Node> node;
    std::uint64_t incarnation = 0, applied = 0;
    Time clock_offset = 0, paused_until = 0, next_tick = 0;
    int partition = 0;
    bool beyond_clock_bound = false;  // the clock is ahead by more than its error bound: placements unchecked
  };
  // A message between two members, delivered at `when`; `order` breaks ties.
  struct InFlightMessage {
    Time when;
    std::uint64_t order;
    std::string from, to;
    Outgoing message;
    Time sent_at;
    std::uint64_t incarnation;
    bool operator>(const InFlightMessage& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  // A call at a worker, which answers UP or fails at `when`, even if its balancer has stopped by then.
  struct Attempt {
    Time when;
    std::string member;
    std::uint64_t incarnation;
    Reservation reservation;
    bool up;
  };
  std::map<std::string, SimulatedNode> members;
  std::map<std::string, std::string> member_by_address;
  std::priority_queue<InFlightMessage, std::vector<InFlightMessage>, std::greater<>> in_flight;
  std::vector<Attempt> attempts, pending_results;  // at workers; finished, not yet processed by members
  std::map<std::uint64_t, Time> first_placement;   // by routes version
  std::map<std::uint64_t, std::uint64_t> ledger_digests;  // by applied index
  Time now = 1'800'000'000 * kSecond;
  std::mt19937_64 rng;
  double loss_probability = 0, duplication_probability = 0;
  Time max_delay = 2 * kMillisecond;
  WalletSettings wallet;
  std::int64_t paid = 0, served = 0;
  std::uint64_t order = 0, placed = 0, version = 0, messages = 0, elections = 0;

  NodeSimulation(int n, std::uint64_t seed) : rng(seed) {
    wallet.term = 3 * kSecond;
    deposit(200);
    for (int i = 0; i < n; ++i) {
      const std::string name = "m" + std::to_string(i);
      SimulatedNode& member = members[name];
      Settings& s = member.settings;
      s.enabled = true;
      s.fleet = "random";
      s.name = name;
      s.listen = s.advertise = "10.0.0." + std::to_string(i + 1) + ":7000";
      s.seeds = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};
      s.voters = {"m0", "m1", "m2"};
      s.routes_file = "routes.json";
      s.wallet_file = "wallet.json";
      member.clock_offset = random_time(0, s.clock_bound);
      if (i < 3) member.disk = std::make_unique<MemoryDisk>();
      member_by_address[s.listen] = name;
      start(member);
    }
  }
  Time random_time(Time a, Time b) { return std::uniform_int_distribution<Time>(a, b)(rng); }
  bool with_probability(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }
  Time clock_of(const SimulatedNode& member) const { return now + member.clock_offset; }
  bool is_running(const SimulatedNode& member) const { return member.node && now >= member.paused_until; }
  SimulatedNode& member_at(std::uint64_t i) { return members.at("m" + std::to_string(i % members.size())); }

  // Starts the node as a new incarnation with its stored data.
  void start(SimulatedNode& member) {
    NodeOptions parts;
    parts.settings = member.settings;
    parts.calls = {{"ride", "park"}, {}};
    parts.wallet = wallet;
    parts.disk = member.disk.get();
    parts.journal = &member.journal;
    parts.first_fleet = member.disk && member.incarnation == 0;
    parts.incarnation = ++member.incarnation;
    parts.seed = rng();
    member.node = std::make_unique<Node>(std::move(parts), clock_of(member));
    member.node->routes()->update_workers({{"w-1", "n", "t", "0"}, {"w-2", "s", "t", "0"}});
    member.next_tick = member.paused_until = 0;
    member.applied = 0;
  }
  // Adds a deposit to the wallet of all members.
  void deposit(std::int64_t amount) {
    wallet.deposits["acme"]["d" + std::to_string(wallet.deposits["acme"].size() + 1)] = amount;
    paid += amount;
    for (auto& [name, member] : members)
      if (member.node) member.node->wallets()->update_settings(wallet);
  }
  // Proposes the next routes version at a member.
  void offer_routes(SimulatedNode& member) {
    if (!is_running(member)) return;
    const std::string text = R"({"version": )" + std::to_string(++version) +
                             R"(, "pools": [{"name": "north", "zones": ["n"]}, {"name": "south", "zones": )" +
                             R"(["s"]}], "rules": [{"area": "7", "pool": "north"}], "otherwise": "south"})";
    Outbox out;
    member.node->routes()->offer(clock_of(member), text, member.node->record(), out);
    member.next_tick = 0;
    send(member, out);
  }
  void leave(SimulatedNode& member) {
    if (!is_running(member)) return;
    Outbox out;
    member.node->leave(clock_of(member), out);
    send(member, out);
    member.node.reset();
  }
  // Queues outgoing messages, with random loss, duplication and delay.
  void send(const SimulatedNode& from, Outbox& out) {
    for (Outgoing& o : out) {
      std::string to = o.to;
      if (to.starts_with("@")) {
        const auto it = member_by_address.find(to.substr(1));
        if (it == member_by_address.end()) continue;
        to = it->second;
      }
      ++messages;
      if (!members.contains(to)) continue;
      for (int copy = with_probability(duplication_probability) ? 2 : 1; copy > 0; --copy)
        if (!with_probability(loss_probability))
          in_flight.push({now + random_time(200, max_delay), ++order, from.settings.name, to, o,
                          clock_of(from), from.incarnation});
    }
    out.clear();
  }
  void deliver(const InFlightMessage& m) {
    SimulatedNode& member = members.at(m.to);
    const SimulatedNode& from = members.at(m.from);
    if (member.partition != from.partition || !member.node || m.incarnation < from.incarnation) return;
    if (!is_running(member)) {  // a paused member's messages wait in its socket buffers
      InFlightMessage later = m;
      later.when = member.paused_until;
      later.order = ++order;
      return in_flight.push(later);
    }
    Outbox out;
    member.node->observe_clock(clock_of(member), m.from, m.sent_at);
    member.node->received(clock_of(member), m.from, m.message.component, m.message.body, m.message.transport,
                          out);
    member.next_tick = std::min(member.next_tick, member.node->next_due());
    send(member, out);
    check_ledger(member);
  }
  // Places a call unless the member is fenced or alone; no placement may use an older version than another
  // member used longer than the clock error bound ago.
  void place_call(SimulatedNode& member) {
    const PlacementMode mode = member.node->routes()->placement_mode(clock_of(member));
    if (mode == PlacementMode::fenced || mode == PlacementMode::alone) return;
    const std::uint64_t by = member.node->routes()->route(clock_of(member), "ride", "", "7").version;
    if (!member.beyond_clock_bound) {
      ++placed;
      first_placement.try_emplace(by, now);
      for (const auto& [newer, from] : first_placement)
        if (newer > by && now - from > member.settings.clock_bound)
          throw PropertyViolation(member.settings.name + " places with version " + std::to_string(by) + " " +
                                  std::to_string((now - from) / 1000) +
                                  " ms after a placement with version " + std::to_string(newer));
    }
    Reservation reservation;
    if (member.node->wallets()->reserve(clock_of(member), "acme", "ride", reservation) !=
        ReserveResult::reserved)
      return;
    attempts.push_back({now + random_time(1, 40 * kMillisecond), member.settings.name, member.incarnation,
                        reservation, with_probability(0.8)});
  }
  // Finishes attempts that are due and reports their results to members that are running.
  void process_attempts() {
    for (const Attempt& a : attempts)
      if (a.when <= now) {
        if (a.up && ++served > paid)
          throw PropertyViolation("served " + std::to_string(served) + " calls, paid for only " +
                                  std::to_string(paid));
        pending_results.push_back(a);
      }
    std::erase_if(attempts, [&](const Attempt& a) { return a.when <= now; });
    for (const Attempt& a : pending_results) {
      SimulatedNode& member = members.at(a.member);
      if (!is_running(member) || member.incarnation != a.incarnation) continue;
      a.up ? member.node->wallets()->commit(a.reservation) : member.node->wallets()->release(a.reservation);
    }
    std::erase_if(pending_results, [&](const Attempt& a) {
      const SimulatedNode& member = members.at(a.member);
      return !member.node || member.incarnation != a.incarnation || is_running(member);
    });
  }
  // Checks that a member's ledger never goes back, equals that of all others at the same index, and has
  // consistent wallet totals.
  void check_ledger(SimulatedNode& member) {
    const Ledger& ledger = member.node->record().ledger();
    if (ledger.applied < member.applied)
      throw PropertyViolation(member.settings.name + "'s record went back to an older index");
    if (ledger.applied == member.applied) return;
    member.applied = ledger.applied;
    const std::uint64_t current = digest(ledger);
    const auto [known, inserted] = ledger_digests.try_emplace(ledger.applied, current);
    if (known->second != current)
      throw PropertyViolation(member.settings.name + " has a different ledger at index " +
                              std::to_string(ledger.applied));
    for (const auto& [name, w] : ledger.wallets) {
      std::int64_t out = 0;
      for (const auto& [id, slice] : w.out) out += slice.amount;
      if (w.paid != w.balance + out + w.spent || w.balance < 0 || w.spent < 0 || w.paid > paid)
        throw PropertyViolation("inconsistent wallet totals at index " + std::to_string(ledger.applied));
    }
  }
  // Advances the virtual clock by `span`, delivering messages and placing calls at each running member.
  void run(Time span) {
    constexpr Time tick = 4 * kMillisecond;
    for (const Time end = now + span; now < end;) {
      const Time until = now + tick;
      for (auto& [name, member] : members)  // before messages buffered in its sockets are read
        if (is_running(member)) place_call(member);
      while (!in_flight.empty() && in_flight.top().when <= until) {
        const InFlightMessage m = in_flight.top();
        in_flight.pop();
        now = std::max(now, m.when);
        deliver(m);
      }
      now = until;
      for (auto& [name, member] : members) {
        if (!is_running(member) || clock_of(member) < member.next_tick) continue;
        Outbox out;
        member.node->tick(clock_of(member), out);
        member.next_tick = member.node->next_due();
        send(member, out);
        check_ledger(member);
      }
      process_attempts();
    }
  }
  // Whether a member's clock differs from the true time by more than its error bound.
  bool any_clock_wrong() const {
    return std::ranges::any_of(
        members, [](auto& m) { return m.second.beyond_clock_bound || m.second.clock_offset < 0; });
  }
  // Ends all failures: restores the network and the clocks, and starts stopped nodes.
  void heal() {
    loss_probability = duplication_probability = 0;
    max_delay = 2 * kMillisecond;
    for (auto& [name, member] : members) {
      member.partition = 0;
      member.paused_until = 0;
      if (member.beyond_clock_bound)
        member.node.reset();  // correcting a clock that is ahead requires a restart
      if (member.beyond_clock_bound || member.clock_offset < 0) member.clock_offset = 20 * kMillisecond;
      member.beyond_clock_bound = false;
      if (!member.node) start(member);
      member.next_tick = 0;
    }
  }
  // Checks, some time after heal(), that all members share one view and one routes version for placement.
  void check_agreement() {
    std::set<std::uint64_t> views, applied, versions;
    std::string text;
    for (auto& [name, member] : members) {
      views.insert(member.node->view().digest());
      applied.insert(member.node->record().ledger().applied);
      const PlacementMode mode = member.node->routes()->placement_mode(clock_of(member));
      versions.insert(mode == PlacementMode::fenced
                          ? ~std::uint64_t{0}
                          : member.node->routes()->route(clock_of(member), "ride", "", "7").version);
      text += "\n" + name + ": alive " + std::to_string(member.node->view().live_count()) + ", applied " +
              std::to_string(member.applied) + ", leader " + member.node->record().leader() + ", version " +
              std::to_string(member.node->routes()->route(clock_of(member), "ride", "", "7").version) + " " +
              member.node->routes()->why_fenced();
    }
    if (views.size() != 1) throw PropertyViolation("views differ" + text);
    if (versions.size() != 1 || versions.contains(~std::uint64_t{0}))
      throw PropertyViolation("versions differ" + text);
  }
};

}  // namespace marblehub::fleet::random_load
