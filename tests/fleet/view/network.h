/// A simulated network of processes that each run a View on message virtual clock. Messages are lost,
/// delayed, reordered, duplicated and blocked by partitions; processes pause, crash and restart. The same
/// seed gives the same run.
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

/// A process at one address, running or not.
struct Process {
  std::string name, address;
  std::unique_ptr<View> view;  // null: not running
  Time paused_until = 0;
  Time scheduled = 0;  // when its next tick is queued, so that it is not queued twice; 0: none
  std::uint64_t bytes = 0, messages = 0;  // sent since the start
};

/// The processes, the messages and ticks in flight, and the faults of the network.
class Network {
 public:
  explicit Network(std::uint64_t seed) : random_(seed) {}

  Settings settings;                 // of all processes; name and address are set for each
  double loss = 0, duplication = 0;  // probabilities
  Time min_delay = 200, max_delay = 2 * kMillisecond;
  std::function<bool(std::size_t, std::size_t)> partition;    // whether messages (from, to) are blocked
  std::function<void(std::size_t)> on_step;                   // called after each step of a process
  std::function<void(std::size_t, const Outgoing&)> on_send;  // called for each message sent
  std::size_t overhead_bytes = 0;                             // added to each body in Process::bytes

  Time now() const { return now_; }
  std::size_t size() const { return processes_.size(); }
  Process& operator[](std::size_t i) { return processes_[i]; }

  /// Adds a process, not yet running, at an address of its own and returns its index. The same name may be
  /// added twice.
  std::size_t add_process(const std::string& name) {
    std::size_t i = processes_.size();
    std::string address = "10." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ".1:7946";
    processes_.push_back({name, address, nullptr});
    by_address_[address] = i;
    return i;
  }
  /// Starts a process with an empty view; without `incarnation` it gets one from the virtual clock.
  void start(std::size_t i, std::uint64_t incarnation = 0) {
    Settings own = settings;
    own.name = processes_[i].name;
    own.listen = processes_[i].address;
    processes_[i].paused_until = 0;
    processes_[i].view = std::make_unique<View>(
        own, incarnation ? incarnation : 1'000'000 + static_cast<std::uint64_t>(now_), random_(), now_);
    schedule(i);
  }
  /// Crashes a process: nothing more is sent or received.
  void kill(std::size_t i) { processes_[i].view.reset(); }
  void leave(std::size_t i) {
    Outbox out;
    processes_[i].view->leave(now_, out);
    transmit(i, out);
  }
  /// Stops a process for `span`; messages to it wait.
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
  /// Delivers a message at once, as if it had been in flight.
  void deliver(std::size_t to, const std::string& from, const std::string& body, Transport transport) {
    Outbox out;
    processes_[to].view->received(now_, from, body, transport, out);
    transmit(to, out);
    schedule(to);
  }
  /// True with the given probability.
  bool happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<>()(random_) < probability;
  }
  std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }

  /// Whether the views of the `expected` processes have the same digest and exactly these processes as
  /// members.
  bool views_equal(const std::vector<std::size_t>& expected) {
    for (std::size_t i : expected) {
      View& view = *processes_[i].view;
      if (view.digest() != processes_[expected[0]].view->digest() || view.live_count() != expected.size())
        return false;
      for (std::size_t j : expected) {
        auto it = view.members().find(processes_[j].name);
        if (it == view.members().end() || it->second.status != MemberStatus::alive) return false;
      }
    }
    return true;
  }
  /// The running processes without those that lost a name conflict.
  std::vector<std::size_t> running() {
    std::vector<std::size_t> running_processes;
    for (std::size_t i = 0; i < processes_.size(); ++i)
      if (processes_[i].view && !processes_[i].view->name_conflict()) running_processes.push_back(i);
    return running_processes;
  }
  /// Runs until the condition holds and returns the time taken; at least `max_wait` where it never does.
  Time time_until(const std::function<bool()>& holds, Time max_wait, Time interval = 50 * kMillisecond) {
    Time started = now_;
    while (!holds() && now_ - started < max_wait) run(interval);
    return now_ - started;
  }

 private:
  /// A tick of a process or the arrival of a message at it.
  struct Event {
    Time at;
    std::uint64_t order;
    std::size_t to;
    bool tick;
    std::string from, body;
    Transport transport;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;  // the top of the queue is the earliest
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
      if (event.tick) return;  // another tick is queued for the end of the pause
      event.at = p.paused_until + static_cast<Time>(random_() % 1000);
      push(event);
      return;
    }
    Outbox out;
    if (!event.tick) {
      p.view->received(now_, event.from, event.body, event.transport, out);
    } else if (p.view->next_due() <= now_) {
      p.view->tick(now_, out);
      if (p.view->next_due() <= now_)
        throw std::logic_error("the next tick is due at the time of the last one");
    }
    if (event.tick && p.scheduled <= now_) p.scheduled = 0;
    transmit(event.to, out);
    schedule(event.to);
    if (on_step) on_step(event.to);
  }
  void transmit(std::size_t from, const Outbox& out) {
    for (const Outgoing& message : out) {
      Process& p = processes_[from];
      if (on_send) on_send(from, message);
      p.bytes += message.body.size() + overhead_bytes;
      ++p.messages;
      std::string address =
          message.to.front() == '@' ? message.to.substr(1) : p.view->members().at(message.to).address;
      auto it = by_address_.find(address);
      if (it == by_address_.end() || (partition && partition(from, it->second))) continue;
      const bool datagram = message.transport == Transport::datagram;
      for (int copy = 0; copy < (datagram && happens(duplication) ? 2 : 1); ++copy) {
        Time delay =
            min_delay + static_cast<Time>(random_() % static_cast<std::uint64_t>(max_delay - min_delay));
        if (datagram && happens(loss)) continue;
        if (!datagram)
          while (happens(loss)) delay += 200 * kMillisecond;  // retransmitted by TCP
        push({now_ + delay, 0, it->second, false, p.name, message.body, message.transport});
      }
    }
  }

  std::mt19937_64 random_;
  Time now_ = 1'000 * kSecond;
  std::uint64_t order_ = 0;
  std::vector<Process> processes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Event> events_;
};

/// Adds `count` processes and starts them evenly within `spread`; the first two are the seeds. Returns their
/// indexes.
inline std::vector<std::size_t> start_fleet(Network& net, std::size_t count, Time spread) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back(net.add_process("balancer-" + std::to_string(i)));
  net.settings.seeds = {net[all[0]].address, net[all[std::min<std::size_t>(1, count - 1)]].address};
  Time started = net.now();
  for (std::size_t i : all) {
    net.run_until(started + spread * static_cast<Time>(i) / static_cast<Time>(count));
    net.start(i);
  }
  return all;
}

}  // namespace marblehub::fleet::virtual_net
