// A record as the tests need it: one log among members on a virtual network, with a leader that dies, moves
// and is cut off, on the real rules of command.h. It stands in for src/fleet/record at link time.
#pragma once

#include <functional>
#include <queue>
#include <random>
#include <set>

#include "fleet/record/record.h"

namespace marblehub::fleet::test {

struct FakeRecord {
  Settings settings;
  std::mt19937_64 rng{1};
  Time now = 0;  // true time
  std::function<bool(const std::string&)> awake = [](const std::string&) { return true; };
  std::function<bool(const std::string&, const std::string&)> can_reach = [](auto&, auto&) { return true; };
  std::function<Time(const std::string&)> clock_of = [this](const std::string&) { return now; };
  std::function<void(const std::string&, const std::string&, Time)> heard = [](auto&, auto&, Time) {};
  // Asleep, and to wake: what arrives waits in its sockets.
  std::function<bool(const std::string&)> asleep = [](const std::string&) { return false; };
  double loss = 0, duplicate_rate = 0;
  Time min_delay = kMillisecond, max_delay = 8 * kMillisecond;

  struct Entry {
    Command command;
    Time committed_at;  // true time at which a majority has it
  };
  std::vector<Entry> log;
  std::size_t committed = 0;
  Ledger ledger;  // of what is committed
  std::string leader;
  std::uint64_t term = 1;
  std::vector<std::string> voters;
  Time election_at = 0;  // of a leader that lost its majority: when another is elected
  std::uint64_t messages = 0;

  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> act;
    bool operator>(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  void at(Time when, std::function<void()> act) { events.push({when, ++order, std::move(act)}); }
  void send(const std::string& from, const std::string& to, std::function<void()> act);
  void arrive(const std::string& to, std::function<void()> act);

  double uniform() { return std::uniform_real_distribution<>(0, 1)(rng); }
  Time between(Time a, Time b) { return std::uniform_int_distribution<Time>(a, b)(rng); }

  void append(Command command);
  void run_leader();  // every few milliseconds
  std::optional<Grant> grant() const;
  bool has_majority(const std::string& name) const;
  std::set<std::string> followers;  // members that a leader tells
};

FakeRecord*& current_record();  // that of the world being built or run

// What the fake record of a member is told by a leader.
struct LeaderUpdate {
  std::size_t committed;
  std::optional<Grant> grant;
  std::uint64_t term, serial;
};
void deliver_update(const std::string& member, const LeaderUpdate& update);

}  // namespace marblehub::fleet::test
