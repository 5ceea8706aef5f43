// Many Views on one virtual clock: messages are lost, late, reordered, repeated and cut; processes sleep, die
// and come back. The same seed gives the same run.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/view/view.h"

namespace marblehub::fleet::virtual_net {

struct Process {
  std::string name, address;
  std::unique_ptr<View> view;  // null: not running
  Time paused_until = 0;
  Time scheduled = 0;  // its next tick in the queue, to leave out further ones
  std::uint64_t bytes = 0, messages = 0;
};

class Network {
 public:
  explicit Network(std::uint64_t seed) : random_(seed) {}

  Settings settings;  // of all; name and address are set for each
  double loss = 0, repeats = 0;
  Time least_delay = 200, most_delay = 2 * kMillisecond;
  std::function<bool(std::size_t, std::size_t)> cut;  // from, to
  std::function<void(std::size_t)> stepped;           // after each step of a process
  std::function<void(std::size_t, const Outgoing&)> sent;
  std::size_t around = 0;  // octets around a body, for the count of octets

  Time now() const { return now_; }
  std::size_t size() const { return processes_.size(); }
  Process& operator[](std::size_t i) { return processes_[i]; }

  // A place for a process. `port` stands in the address; the same name at two addresses is a twin.
  std::size_t place(const std::string& name) {
    std::size_t i = processes_.size();
    std::string address = "10." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ".1:7946";
    processes_.push_back({name, address, nullptr});
    at_[address] = i;
    return i;
  }
  void start(std::size_t i, std::uint64_t incarnation = 0) {
    Settings own = settings;
    own.name = processes_[i].name;
    own.listen = processes_[i].address;
    processes_[i].paused_until = 0;
    processes_[i].view = std::make_unique<View>(
        own, incarnation ? incarnation : 1'000'000 + static_cast<std::uint64_t>(now_), random_(), now_);
    schedule(i);
  }
  void kill(std::size_t i) { processes_[i].view.reset(); }
  void leave(std::size_t i) {
    Outbox out;
    processes_[i].view->leave(now_, out);
    carry(i, out);
  }
  void pause(std::size_t i, Time span) {
    processes_[i].paused_until = now_ + span;
    push({now_ + span, 0, i, true, {}, {}, {}});
  }
  void run_until(Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      step(event);
    }
    now_ = end;
  }
  void run(Time span) { run_until(now_ + span); }
  // A message from outside the run, handed over at once.
  void hand(std::size_t to, const std::string& from, const std::string& body, Transport transport) {
    Outbox out;
    processes_[to].view->received(now_, from, body, transport, out);
    carry(to, out);
    schedule(to);
  }
  bool chance(double share) { return share > 0 && std::uniform_real_distribution<>()(random_) < share; }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  // All that run and are awake have the same members, and those are `there`.
  bool equal(const std::vector<std::size_t>& there) {
    for (std::size_t i : there) {
      View& view = *processes_[i].view;
      if (view.digest() != processes_[there[0]].view->digest() || view.live_count() != there.size())
        return false;
      for (std::size_t j : there) {
        auto it = view.members().find(processes_[j].name);
        if (it == view.members().end() || it->second.status != MemberStatus::alive) return false;
      }
    }
    return true;
  }
  std::vector<std::size_t> running() {
    std::vector<std::size_t> there;
    for (std::size_t i = 0; i < processes_.size(); ++i)
      if (processes_[i].view && !processes_[i].view->name_conflict()) there.push_back(i);
    return there;
  }
  // How long until it holds; `most` where it does not.
  Time time_until(const std::function<bool()>& holds, Time most, Time pace = 50 * kMillisecond) {
    Time begun = now_;
    while (!holds() && now_ - begun < most) run(pace);
    return now_ - begun;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::size_t to;
    bool tick;
    std::string from, body;
    Transport transport;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;  // the queue's top is the earliest
    }
  };
  void push(Event event) {
    event.order = ++order_;
    events_.push(std::move(event));
  }
  void schedule(std::size_t i) {
    Process& p = processes_[i];
    Time due = std::max(now_, p.view->next_due());
    if (p.scheduled >= now_ && p.scheduled <= due && p.scheduled != 0) return;
    p.scheduled = due;
    push({due, 0, i, true, {}, {}, {}});
  }
  void step(Event& event) {
    Process& p = processes_[event.to];
    if (!p.view) return;
    if (now_ < p.paused_until) {
      if (event.tick) return;  // one stands at the end of the pause
      event.at = p.paused_until + static_cast<Time>(random_() % 1000);
      push(event);
      return;
    }
    Outbox out;
    if (!event.tick) {
      p.view->received(now_, event.from, event.body, event.transport, out);
    } else if (p.view->next_due() <= now_) {
      p.view->tick(now_, out);
      if (p.view->next_due() <= now_) throw std::logic_error("a tick is due again at once");
    }
    if (event.tick && p.scheduled <= now_) p.scheduled = 0;
    carry(event.to, out);
    schedule(event.to);
    if (stepped) stepped(event.to);
  }
  void carry(std::size_t from, const Outbox& out) {
    for (const Outgoing& one : out) {
      Process& p = processes_[from];
      if (sent) sent(from, one);
      p.bytes += one.body.size() + around;
      ++p.messages;
      std::string address = one.to.front() == '@' ? one.to.substr(1) : p.view->members().at(one.to).address;
      auto it = at_.find(address);
      if (it == at_.end() || (cut && cut(from, it->second))) continue;
      const bool datagram = one.transport == Transport::datagram;
      for (int copy = 0; copy < (datagram && chance(repeats) ? 2 : 1); ++copy) {
        Time delay =
            least_delay + static_cast<Time>(random_() % static_cast<std::uint64_t>(most_delay - least_delay));
        if (datagram && chance(loss)) continue;
        if (!datagram)
          while (chance(loss)) delay += 200 * kMillisecond;  // sent again by TCP
        push({now_ + delay, 0, it->second, false, p.name, one.body, one.transport});
      }
    }
  }

  std::mt19937_64 random_;
  Time now_ = 1'000 * kSecond;
  std::uint64_t order_ = 0;
  std::vector<Process> processes_;
  std::unordered_map<std::string, std::size_t> at_;
  std::priority_queue<Event> events_;
};

// `count` places, all started within `spread`; the first two are seeds.
inline std::vector<std::size_t> fleet(Network& net, std::size_t count, Time spread) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back(net.place("balancer-" + std::to_string(i)));
  net.settings.seeds = {net[all[0]].address, net[all[std::min<std::size_t>(1, count - 1)]].address};
  Time begun = net.now();
  for (std::size_t i : all) {
    net.run_until(begun + spread * static_cast<Time>(i) / static_cast<Time>(count));
    net.start(i);
  }
  return all;
}

}  // namespace marblehub::fleet::virtual_net
