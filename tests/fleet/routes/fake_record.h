// A fake of the record: one log on a simulated network, with elections, lost majorities and partitions, and
// with the real commands of command.h. It replaces src/fleet/record when the tests are linked.
#pragma once

#include <functional>
#include <queue>
#include <random>
#include <set>

#include "fleet/record/record.h"

namespace marblehub::fleet::test {

/// The log, the leader and the network of all members. Time is simulated.
struct FakeRecord {
  Settings settings;
  std::mt19937_64 rng{1};
  Time now = 0;  // true time
  std::function<bool(const std::string&)> awake = [](const std::string&) { return true; };
  std::function<bool(const std::string&, const std::string&)> can_reach = [](auto&, auto&) { return true; };
  std::function<Time(const std::string&)> clock_of = [this](const std::string&) { return now; };
  std::function<void(const std::string&, const std::string&, Time)> on_message = [](auto&, auto&, Time) {};
  // Suspended: messages are delivered once the member is resumed.
  std::function<bool(const std::string&)> asleep = [](const std::string&) { return false; };
  double loss = 0, duplicate_rate = 0;
  Time min_delay = kMillisecond, max_delay = 8 * kMillisecond;

  /// A command and the true time at which a majority has it.
  struct Entry {
    Command command;
    Time committed_at;
  };
  std::vector<Entry> log;
  std::size_t committed = 0;
  Ledger ledger;  // of the committed entries
  std::string leader;
  std::uint64_t term = 1;
  std::vector<std::string> voters;
  Time election_at = 0;  // set while the leader has no majority: the time of the next election
  std::uint64_t messages = 0;

  /// An action at a time, in the order of its insertion.
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
  /// Elects, commits and sends an update to all followers. Called every few milliseconds.
  void run_leader();
  std::optional<Grant> grant() const;
  bool has_majority(const std::string& name) const;
  std::set<std::string> followers;  // members that the leader sends updates to
};

FakeRecord*& current_record();  // that of the network being built or run

/// What the leader sends to each member's fake record.
struct LeaderUpdate {
  std::size_t committed;
  std::optional<Grant> grant;
  std::uint64_t term, serial;
};
void deliver(const std::string& member, const LeaderUpdate& update);

}  // namespace marblehub::fleet::test
