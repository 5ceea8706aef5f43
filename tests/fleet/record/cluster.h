// Voters and observers on one virtual clock, with a network and disks that fail as they are told, and what
// must hold between them checked after every step.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

#include "fleet/record/memory_disk.h"
#include "fleet/record/record.h"

namespace marblehub::fleet {

// Sees every vote that is kept: one a term, as long as the disk stands.
class WatchedDisk : public MemoryDisk {
 public:
  bool store_voting_state(const VotingState& state) override {
    const VotingState before = contents().voting;
    if (state.term < before.term) throw std::logic_error("a term went back");
    if (state.term == before.term && !before.voted_for.empty() && state.voted_for != before.voted_for)
      throw std::logic_error("a second vote in term " + std::to_string(state.term));
    return MemoryDisk::store_voting_state(state);
  }
};

struct Cluster {
  struct Member {
    Settings settings;
    std::unique_ptr<WatchedDisk> disk;
    std::unique_ptr<Record> record;
    std::uint64_t incarnation = 0;
    Time offset = 0, asleep_until = 0;
    std::uint64_t applied = 0;
  };
  struct Flight {
    Time at;
    std::uint64_t order;
    std::string from, to, body;
    bool operator<(const Flight& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
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
      if (name[0] == 'v') member.disk = std::make_unique<WatchedDisk>();
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
    for (Outgoing& each : out) {
      if (each.body.size() > (1 << 20)) throw std::logic_error("a message over 1 MiB");
      ++sent[from];
      octets[from] += each.body.size();
      if (each.transport == Transport::datagram) ++datagrams;
      if (silent.contains({from, each.to}) || chance() < loss) continue;
      if (each.transport == Transport::datagram && datagrams_lost > 0 && chance() < datagrams_lost) continue;
      const int copies = chance() < repeat ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        Time delay = 500 + static_cast<Time>(random() % 1500);
        while (each.transport == Transport::stream && datagrams_lost > 0 && chance() < datagrams_lost)
          delay += 200'000;  // TCP's
        if (chance() < late) delay += static_cast<Time>(random() % 400'000);
        flights.push({now + delay, ++order, from, each.to, each.body});
      }
    }
    out.clear();
  }
  double chance() { return static_cast<double>(random() % 1'000'000) / 1e6; }

  void run(Time span) {
    const Time end = now + span;
    while (now < end) {
      now += 1000;
      while (!flights.empty() && flights.top().at <= now) {
        const Flight flight = flights.top();
        flights.pop();
        Member& to = members[flight.to];
        if (!to.record || to.asleep_until > now) continue;
        Outbox out;
        to.record->received(now + to.offset, flight.from, flight.body, out);
        post(flight.to, out);
        check(flight.to, to);
      }
      for (auto& [name, member] : members) {
        if (!member.record || member.asleep_until > now || member.record->next_due() > now + member.offset)
          continue;
        Outbox out;
        member.record->tick(now + member.offset, out);
        post(name, out);
        check(name, member);
      }
      if (now % 5000 == 0) check_leases();
    }
  }

  // Which version a holder of what this member was granted would place by, clock_bound away from both ends.
  static std::uint64_t places_by(const Member& member, Time own) {
    const auto grant = member.record->grant();
    if (!grant || own >= grant->until - member.settings.clock_bound) return 0;
    if (grant->next == 0) return grant->version;
    if (own >= grant->activation_time) return grant->next;
    return own < grant->activation_time - member.settings.clock_bound ? grant->version : 0;
  }
  void check_leases() {
    for (auto& [name, member] : members) {
      if (!member.record || member.asleep_until > now) continue;
      const std::uint64_t version = places_by(member, now + member.offset);
      if (version == 0) continue;
      ++placings;
      const Time first = placed.try_emplace(version, now).first->second;
      if (placed.rbegin()->first > version &&
          now - placed.upper_bound(version)->second > member.settings.clock_bound)
        throw std::logic_error(name + " places by " + std::to_string(version) + ", first placed by at " +
                               std::to_string(first) + ", after a newer one");
    }
  }

  void check(const std::string& name, Member& member) {
    const Record& record = *member.record;
    if (record.role() == Role::leader) {
      const auto [found, fresh] = leaders.try_emplace(record.term(), name);
      if (found->second != name)
        throw std::logic_error("two leaders in term " + std::to_string(record.term()));
    }
    const std::uint64_t applied = record.ledger().applied;
    if (applied < member.applied) throw std::logic_error(name + " took back what was applied");
    if (applied == member.applied) return;
    member.applied = applied;
    const auto [found, fresh] = digests.try_emplace(applied, digest(record.ledger()));
    if (!fresh && found->second != digest(record.ledger()))
      throw std::logic_error(name + " holds another ledger at " + std::to_string(applied));
  }

  std::uint64_t propose(const std::string& name, Body body) {
    Member& member = members[name];
    Outbox out;
    const std::uint64_t number = member.record->propose(now + member.offset, std::move(body), out);
    post(name, out);
    return number;
  }
  // The leader that most recently came to be, of those that run.
  std::string leader() {
    std::string found;
    std::uint64_t term = 0;
    for (auto& [name, member] : members)
      if (member.record && member.record->role() == Role::leader && member.record->term() > term)
        found = name, term = member.record->term();
    return found;
  }
  void cut(const std::set<std::string>& half) {
    for (const std::string& a : names)
      for (const std::string& b : names)
        if (half.contains(a) != half.contains(b)) silent.insert({a, b});
  }
  // True once all that run have applied the same and `wallet` there holds `paid`.
  bool settled(std::int64_t paid, Time within) {
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
  double loss = 0, repeat = 0, late = 0;
  double datagrams_lost = 0;  // and streams are late by as much as TCP makes them
  std::vector<std::string> names;
  std::map<std::string, Member> members;
  std::set<std::pair<std::string, std::string>> silent;
  std::priority_queue<Flight> flights;
  std::uint64_t order = 0;
  std::map<std::string, std::uint64_t> sent, octets;
  std::uint64_t datagrams = 0;
  std::map<std::uint64_t, std::string> leaders;
  std::map<std::uint64_t, std::uint64_t> digests;
  std::map<std::uint64_t, Time> placed;  // when each version was first placed by
  std::uint64_t placings = 0;
};

}  // namespace marblehub::fleet
