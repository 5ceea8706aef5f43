#include "fake_record.h"

#include <algorithm>

namespace marblehub::fleet {

// One member's copy of the fake record.
struct Record::State {
  Settings settings;
  std::uint64_t incarnation, next_number = 1;
  Ledger ledger;
  std::size_t applied = 0;
  std::optional<Grant> grant;
  std::uint64_t term = 0, serial = 0;
  Time heard_at = -1;
  std::vector<Command> waiting;
  Time again = 0;
  test::FakeRecord* network;
};

namespace test {
FakeRecord*& current_record() {
  static thread_local FakeRecord* network = nullptr;
  return network;
}
}  // namespace test

// Delivers updates to the private state of the members' records.
struct RecordListeners {
  static std::map<std::string, std::function<void(const test::LeaderUpdate&)>>& listeners() {
    static thread_local std::map<std::string, std::function<void(const test::LeaderUpdate&)>> all;
    return all;
  }
};

namespace test {

void deliver(const std::string& member, const LeaderUpdate& update) {
  auto it = RecordListeners::listeners().find(member);
  if (it != RecordListeners::listeners().end()) it->second(update);
}

void FakeRecord::send(const std::string& from, const std::string& to, std::function<void()> act) {
  ++messages;
  for (int copy = uniform() < duplicate_rate ? 2 : 1; copy > 0; --copy) {
    if (uniform() < loss || !can_reach(from, to)) continue;
    const Time sent_at = clock_of(from);
    at(now + between(min_delay, max_delay), [=, this] {
      if (!can_reach(from, to)) return;
      arrive(to, [=, this] {
        on_message(to, from, sent_at);
        act();
      });
    });
  }
}

void FakeRecord::arrive(const std::string& to, std::function<void()> act) {
  if (asleep(to))
    at(now + 20 * kMillisecond, [=, this] { arrive(to, act); });
  else if (awake(to))
    act();
}

bool FakeRecord::has_majority(const std::string& name) const {
  auto n = std::count_if(voters.begin(), voters.end(),
                         [&](const std::string& v) { return awake(v) && can_reach(name, v); });
  return awake(name) && 2 * n > static_cast<std::ptrdiff_t>(voters.size());
}

void FakeRecord::append(Command command) {
  auto known = [&](const CommandId& id) {
    return std::any_of(log.begin() + static_cast<std::ptrdiff_t>(committed), log.end(),
                       [&](const Entry& e) { return e.command.id == id; });
  };
  auto last = ledger.last_commands.find(command.id.sender);
  if (known(command.id) || (last != ledger.last_commands.end() && command.id <= last->second)) return;
  if (auto* activate = std::get_if<ActivateRoutes>(&command.body))
    activate->activation_time =
        std::max(activate->activation_time, clock_of(leader) + settings.lease + 2 * settings.clock_bound);
  log.push_back({std::move(command), now + between(2 * min_delay, 2 * max_delay)});
}

std::optional<Grant> FakeRecord::grant() const {
  const Time clock = clock_of(leader);
  const RouteState& r = ledger.routes;
  Grant g{r.in_force, r.next, clock + settings.lease, r.activation_time};
  for (std::size_t i = committed; i < log.size(); ++i)  // an appended activation bounds the grants
    if (auto* a = std::get_if<ActivateRoutes>(&log[i].command.body); a && r.next == 0)
      g.until = std::min(g.until, a->activation_time);
  return g;
}

void FakeRecord::run_leader() {
  if (leader.empty() || !has_majority(leader)) {
    if (election_at == 0) election_at = now + between(250 * kMillisecond, 600 * kMillisecond);
    if (now < election_at) {
      // The old leader still grants to the members that it reaches until another can be elected.
    } else {
      std::vector<std::string> able;
      for (const std::string& v : voters)
        if (has_majority(v)) able.push_back(v);
      if (able.empty()) return;
      leader = able[static_cast<std::size_t>(between(0, static_cast<Time>(able.size()) - 1))];
      ++term;
      election_at = 0;
      if (uniform() < 0.5) log.resize(committed);  // entries without a majority may be lost or kept
    }
  } else {
    election_at = 0;
    while (committed < log.size() && log[committed].committed_at <= now) {
      ++committed;
      apply(ledger, committed, log[committed - 1].command);
    }
    const RouteState& r = ledger.routes;
    if (r.next != 0 && clock_of(leader) >= r.activation_time + settings.clock_bound) {
      auto it = ledger.last_commands.find("settler");
      append({{"settler", 1, it == ledger.last_commands.end() ? 1 : it->second.number + 1},
              CompleteRoutes{r.next}});
    }
  }
  if (leader.empty() || !awake(leader)) return;
  LeaderUpdate update{committed, grant(), term, ++order};
  for (const std::string& member : followers) {
    if (member == leader)
      deliver(member, update);
    else
      send(leader, member, [member, update] { deliver(member, update); });
  }
}

}  // namespace test

void Record::Release::operator()(State* state) const {
  RecordListeners::listeners().erase(state->settings.name);
  delete state;
}

Record::Record(const Settings& settings, std::uint64_t incarnation, Disk*, bool, std::uint64_t, Time)
    : state_(new State{settings, incarnation, 1, {}, 0, {}, 0, 0, -1, {}, 0, test::current_record()}) {
  State* s = state_.get();
  RecordListeners::listeners()[settings.name] = [s](const test::LeaderUpdate& update) {
    for (; s->applied < update.committed; ++s->applied)
      apply(s->ledger, s->applied + 1, s->network->log[s->applied].command);
    if (update.serial <= s->serial) return;  // delayed
    s->serial = update.serial;
    s->term = update.term;
    s->grant = update.grant;
    s->heard_at = s->network->now;
  };
}

void Record::update_members(Time, const std::vector<std::string>&, Outbox&) {}
void Record::received(Time, const std::string&, std::string_view, Outbox&) {}

void Record::tick(Time now, Outbox&) {
  State& s = *state_;
  auto last = s.ledger.last_commands.find(s.settings.name);
  std::erase_if(s.waiting, [&](const Command& c) {
    return last != s.ledger.last_commands.end() && c.id <= last->second;
  });
  if (now < s.again) return;
  s.again = now + 100 * kMillisecond;
  for (const Command& c : s.waiting)
    s.network->send(s.settings.name, s.network->leader, [w = s.network, to = s.network->leader, c] {
      if (w->leader == to && w->has_majority(to)) w->append(c);
    });
}

Time Record::next_due() const { return state_->again; }

std::uint64_t Record::propose(Time now, Body body, Outbox& out) {
  State& s = *state_;
  s.waiting.push_back({{s.settings.name, s.incarnation, s.next_number++}, std::move(body)});
  s.again = 0;
  tick(now, out);
  return s.next_number - 1;
}

const Ledger& Record::ledger() const { return state_->ledger; }
std::optional<Grant> Record::grant() const { return state_->grant; }
Role Record::role() const {
  return state_->settings.name == state_->network->leader ? Role::leader : Role::observer;
}
std::uint64_t Record::term() const { return state_->term; }
std::string Record::leader() const { return state_->network->leader; }
bool Record::has_majority(Time) const {
  return state_->heard_at >= 0 && state_->network->now - state_->heard_at < 500 * kMillisecond;
}
bool Record::may_vote() const { return false; }

}  // namespace marblehub::fleet
