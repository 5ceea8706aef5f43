/// A simulation of voters and observers on a virtual clock, with injected faults of the network and the
/// disks. The invariants between members are checked after every step.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

#include "fleet/record/memory_disk.h"
#include "fleet/record/record.h"

namespace marblehub::fleet {

/// Throws if a voter votes twice in a term or its term goes back.
class CheckedDisk : public MemoryDisk {
 public:
  bool store_voting_state(const VotingState& state) override {
    const VotingState before = contents().voting;
    if (state.term < before.term) throw std::logic_error("a term went back");
    if (state.term == before.term && !before.voted_for.empty() && state.voted_for != before.voted_for)
      throw std::logic_error("a second vote in term " + std::to_string(state.term));
    return MemoryDisk::store_voting_state(state);
  }
};

/// Throws std::logic_error if an invariant is violated.
struct Cluster {
  /// A simulated member. `offset` is the error of its clock; it handles nothing until `asleep_until`.
  struct Member {
    Settings settings;
    std::unique_ptr<CheckedDisk> disk;
    std::unique_ptr<Record> record;
    std::uint64_t incarnation = 0;
    Time offset = 0, asleep_until = 0;
    std::uint64_t applied = 0;
  };
  /// A message in transit.
  struct Flight {
    Time deliver_at;
    std::uint64_t order;
    std::string from, to, body;
    bool operator<(const Flight& other) const {
      return std::tie(deliver_at, order) > std::tie(other.deliver_at, other.order);
    }
  };

  explicit Cluster(std::uint64_t seed, int voters, int observers = 0) : random(seed) {
    for (int i = 0; i < voters; ++i) names.push_back("v" + std::to_string(i));
    const std::vector<std::string> first = names;
    for (int i = 0; i < observers; ++i) names.push_back("o" + std::to_string(i));
    for (const std::string& name : names) {
      Member& member = members[name];
      member.settings.name = name;
      member.settings.voters = first;
      if (name[0] == 'v') member.disk = std::make_unique<CheckedDisk>();
      start(name, true);
    }
  }

  void start(const std::string& name, bool first_fleet = false) {
    Member& member = members[name];
    member.record = std::make_unique<Record>(member.settings, ++member.incarnation, member.disk.get(),
                                             first_fleet, random(), now + member.offset);
    member.applied = 0;
    Outbox out;
    member.record->update_members(now + member.offset, names, out);
    post(name, out);
  }
  void crash(const std::string& name) { members[name].record.reset(); }

  void post(const std::string& from, Outbox& out) {
    for (Outgoing& outgoing : out) {
      if (outgoing.body.size() > (1 << 20)) throw std::logic_error("a message over 1 MiB");
      ++sent[from];
      sent_bytes[from] += outgoing.body.size();
      if (outgoing.transport == Transport::datagram) ++datagrams;
      if (blocked.contains({from, outgoing.to}) || uniform() < loss) continue;
      if (outgoing.transport == Transport::datagram && datagram_loss > 0 && uniform() < datagram_loss)
        continue;
      const int copies = uniform() < duplication ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        Time delay = 500 + static_cast<Time>(random() % 1500);
        while (outgoing.transport == Transport::stream && datagram_loss > 0 && uniform() < datagram_loss)
          delay += 200'000;  // the minimum retransmission timeout on Linux
        if (uniform() < extra_delay) delay += static_cast<Time>(random() % 400'000);
        in_transit.push({now + delay, ++order, from, outgoing.to, outgoing.body});
      }
    }
    out.clear();
  }
  // In [0, 1).
  double uniform() { return static_cast<double>(random() % 1'000'000) / 1e6; }

  void run(Time span) {
    const Time end = now + span;
    while (now < end) {
      now += 1000;
      while (!in_transit.empty() && in_transit.top().deliver_at <= now) {
        const Flight message = in_transit.top();
        in_transit.pop();
        Member& to = members[message.to];
        if (!to.record || to.asleep_until > now) continue;
        Outbox out;
        to.record->received(now + to.offset, message.from, message.body, out);
        post(message.to, out);
        check_invariants(message.to, to);
      }
      for (auto& [name, member] : members) {
        if (!member.record || member.asleep_until > now || member.record->next_due() > now + member.offset)
          continue;
        Outbox out;
        member.record->tick(now + member.offset, out);
        post(name, out);
        check_invariants(name, member);
      }
      if (now % 5000 == 0) check_leases();
    }
  }

  // The version by which the holder of the member's grant would place, with a margin of clock_bound at both
  // ends; 0 if none.
  static std::uint64_t version_in_use(const Member& member, Time local_now) {
    const auto grant = member.record->grant();
    if (!grant || local_now >= grant->until - member.settings.clock_bound) return 0;
    if (grant->next == 0) return grant->version;
    if (local_now >= grant->activation_time) return grant->next;
    return local_now < grant->activation_time - member.settings.clock_bound ? grant->version : 0;
  }
  void check_leases() {
    for (auto& [name, member] : members) {
      if (!member.record || member.asleep_until > now) continue;
      const std::uint64_t version = version_in_use(member, now + member.offset);
      if (version == 0) continue;
      ++lease_checks;
      const Time first = first_use.try_emplace(version, now).first->second;
      if (first_use.rbegin()->first > version &&
          now - first_use.upper_bound(version)->second > member.settings.clock_bound)
        throw std::logic_error(name + " places by version " + std::to_string(version) + ", first used at " +
                               std::to_string(first) + ", after a newer one");
    }
  }

  void check_invariants(const std::string& name, Member& member) {
    const Record& record = *member.record;
    if (record.role() == Role::leader) {
      const auto [found, fresh] = leaders.try_emplace(record.term(), name);
      if (found->second != name)
        throw std::logic_error("two leaders in term " + std::to_string(record.term()));
    }
    const std::uint64_t applied = record.ledger().applied;
    if (applied < member.applied) throw std::logic_error(name + " moved its applied index back");
    if (applied == member.applied) return;
    member.applied = applied;
    const auto [found, fresh] = digests.try_emplace(applied, digest(record.ledger()));
    if (!fresh && found->second != digest(record.ledger()))
      throw std::logic_error(name + " has a different ledger at index " + std::to_string(applied));
  }

  std::uint64_t propose(const std::string& name, Body body) {
    Member& member = members[name];
    Outbox out;
    const std::uint64_t number = member.record->propose(now + member.offset, std::move(body), out);
    post(name, out);
    return number;
  }
  // The running leader with the highest term; empty if there is none.
  std::string leader() {
    std::string found;
    std::uint64_t term = 0;
    for (auto& [name, member] : members)
      if (member.record && member.record->role() == Role::leader && member.record->term() > term)
        found = name, term = member.record->term();
    return found;
  }
  // Partitions the network.
  void partition(const std::set<std::string>& half) {
    for (const std::string& a : names)
      for (const std::string& b : names)
        if (half.contains(a) != half.contains(b)) blocked.insert({a, b});
  }
  // Runs until the wallet of every running member has been paid `paid`, at most for `within`.
  bool converged(std::int64_t paid, Time within) {
    for (const Time end = now + within; now < end;) {
      run(50'000);
      bool all = true;
      for (auto& [name, member] : members) {
        if (!member.record) continue;
        const auto& wallets = member.record->ledger().wallets;
        all = all && wallets.contains("w") && wallets.at("w").paid == paid;
      }
      if (all) return true;
    }
    return false;
  }

  std::mt19937_64 random;
  Time now = 1'000'000'000;
  double loss = 0, duplication = 0, extra_delay = 0;  // probabilities for a message
  double datagram_loss = 0;                           // also delays streams, by TCP's retransmission timeout
  std::vector<std::string> names;
  std::map<std::string, Member> members;
  std::set<std::pair<std::string, std::string>> blocked;  // sender and receiver
  std::priority_queue<Flight> in_transit;
  std::uint64_t order = 0;
  std::map<std::string, std::uint64_t> sent, sent_bytes;
  std::uint64_t datagrams = 0;
  std::map<std::uint64_t, std::string> leaders;
  std::map<std::uint64_t, std::uint64_t> digests;
  std::map<std::uint64_t, Time> first_use;  // of each version
  std::uint64_t lease_checks = 0;
};

}  // namespace marblehub::fleet
