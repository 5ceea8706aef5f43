#include "model/worker.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "policy/slow_start/factor.h"

namespace marblehub::model {
namespace {

using marblehub::policy::Health;
using marblehub::policy::Outcome;

constexpr double kExtraMemory = 1e6;  // microseconds over which set-ups and probes are averaged
constexpr double kMostLoad = 20;      // as a report says it
constexpr Time kReportStep = 20 * kMillisecond;

}  // namespace

Client new_client(const Scenario& scenario, std::uint64_t seed, std::uint32_t id, Time now) {
  Client client;
  client.id = id;
  Stream own(seed, Purpose::client, id);
  client.load = static_cast<float>(scenario.load * own.lognormal(scenario.spread));
  if (own.uniform() < scenario.heavy_share) client.load *= static_cast<float>(scenario.heavy_times);
  client.quic = own.uniform() < scenario.quic_share;
  double group = own.uniform();
  auto small = static_cast<std::uint64_t>(std::max(1, scenario.groups - 1));
  if (scenario.groups > 0)
    client.group = group < scenario.big_group ? 1 : 2 + static_cast<std::uint32_t>(own.below(small));
  client.until = now + static_cast<Time>(own.exponential(scenario.stay) * 1e6);
  client.wanting_since = now;
  client.draws = own.count();
  return client;
}

// ---- One worker --------------------------------------------------------------------------------------

Worker::Worker(const Scenario& scenario, int number, std::uint64_t seed)
    : scenario_(scenario),
      kind_(scenario.kind_of(number)),
      number_(number),
      reports_(seed, Purpose::report, static_cast<std::uint64_t>(number)),
      phase_(Stream(seed, Purpose::worker, static_cast<std::uint64_t>(number)).uniform()) {
  up_ = kind_.from == 0;
}

double Worker::warmth(Time now) const {
  return marblehub::policy::slow_start_factor(started_, now, scenario_.cold_share, scenario_.warm_within);
}

double Worker::capacity(Time now) const { return kind_.cores * kind_.speed * slow_ * warmth(now) * 1e6; }

double Worker::demand(Time now) const {
  double wave = 1;
  if (scenario_.wave > 0) {
    double turns = static_cast<double>(now) / static_cast<double>(scenario_.wave_period) + phase_;
    wave += scenario_.wave * std::sin(6.283185307179586 * turns);
  }
  return asked_ * wave + static_cast<double>(groups_.size()) * scenario_.group_work;
}

void Worker::advance(Time now) {
  double seconds = static_cast<double>(now - advanced_) / 1e6;
  if (seconds <= 0) return;
  double can = capacity(now), wants = demand(now);
  if (up_ && !hung_) {
    backlog_ = std::max(0.0, backlog_ + (wants - can) * seconds);
    double late = static_cast<double>(delay(now)), aim = static_cast<double>(scenario_.aim);
    double worth = late <= aim ? 1 : std::max(0.0, 1 - (late - aim) / (3 * aim));
    figures_.served += seconds * static_cast<double>(standing_) * worth;
  }
  extra_ *= std::exp(-seconds * 1e6 / kExtraMemory);
  advanced_ = now;
  if (now - told_[told_at_].first >= kReportStep) {
    told_at_ = (told_at_ + 1) % told_.size();
    told_[told_at_] = {now, load(now)};
  }
}

double Worker::wait(Time now) const { return backlog_ / capacity(now); }

double Worker::load(Time now) const { return (demand(now) + extra_) / capacity(now) + wait(now); }

// The waiting of a queue with one service time, bounded near saturation, and what has piled up.
Time Worker::delay(Time now) const {
  double used = std::min(0.98, (demand(now) + extra_) / capacity(now));
  double service = static_cast<double>(scenario_.service);
  return static_cast<Time>(service * (1 + used / (2 * (1 - used))) + wait(now) * 1e6);
}

void Worker::add(std::uint64_t key, float load, std::uint32_t group) { held_[key] = {load, group, false}; }

void Worker::stands(Standing& standing) {
  standing.stands = true;
  standing_ += 1;
  asked_ += standing.load;
  if (standing.group != 0) groups_[standing.group] += 1;
}

void Worker::remove(std::uint64_t key) {
  auto it = held_.find(key);
  if (it == held_.end()) return;
  if (it->second.stands) {
    standing_ -= 1;
    asked_ = standing_ == 0 ? 0 : std::max(0.0, asked_ - it->second.load);
    std::uint32_t group = it->second.group;
    if (group != 0 && --groups_[group] <= 0) groups_.erase(group);
  }
  held_.erase(it);
}

// ---- Those on a lane ---------------------------------------------------------------------------------

void WorkerLane::begin() {
  net_ = Stream(seed_, Purpose::network, 1'000'000 + number());
  for (Worker* w : workers_) {
    if (!w) continue;
    Event event;
    event.lane = number();
    event.worker = static_cast<std::uint32_t>(w->number_);
    event.what = What::sample;
    later(event, 0);
    if (w->kind_.from > 0) {
      event.what = What::starts;
      later(event, w->kind_.from);
    }
  }
}

void WorkerLane::stands_already(int worker, std::uint64_t key, const Client& client) {
  Worker& w = *workers_.at(static_cast<std::size_t>(worker));
  w.add(key, client.load, client.group);
  w.stands(w.held_[key]);
}

double WorkerLane::report(Worker& w) {
  Time age = static_cast<Time>(w.reports_.uniform() * static_cast<double>(scenario_.report_late));
  double told = w.load(now());
  for (std::size_t i = 0; i < w.told_.size(); ++i) {
    const auto& [when, load] = w.told_[(w.told_at_ + w.told_.size() - i) % w.told_.size()];
    if (when > now()) continue;
    told = load;
    if (when <= now() - age) break;
  }
  if (scenario_.report_noise > 0) told *= std::max(0.0, 1 + scenario_.report_noise * w.reports_.normal());
  return std::min(told, kMostLoad);
}

void WorkerLane::reply(const Event& to, What what, Outcome outcome, double value, Time after) {
  Event event;
  event.lane = places_.hosts[to.host];
  event.what = what;
  event.outcome = static_cast<std::uint8_t>(outcome);
  event.host = to.host;
  event.worker = to.worker;
  event.key = to.key;
  event.time = to.time;
  event.value = value;
  later(event, now() + after + hop());
}

void WorkerLane::tell_list(const Worker& w, Health health) {
  for (std::uint32_t host = 0; host < places_.hosts.size(); ++host) {
    Event event;
    event.lane = places_.hosts[host];
    event.what = What::listed;
    event.outcome = static_cast<std::uint8_t>(health);
    event.host = host;
    event.worker = static_cast<std::uint32_t>(w.number_);
    event.time = w.started_;
    event.key = static_cast<std::uint64_t>(now());
    double late =
        net_.between(static_cast<double>(scenario_.list_least), static_cast<double>(scenario_.list_most));
    later(event, now() + std::max(scenario_.hop, static_cast<Time>(late)));
  }
}

void WorkerLane::set_up(Worker& w, const Event& event) {
  if (!w.up_) return reply(event, What::over, Outcome::connect_failed);
  if (w.hung_) return;
  double waits = w.wait(now()) * 1e6;
  bool full = (w.kind_.most > 0 && w.held_.size() >= static_cast<std::size_t>(w.kind_.most)) ||
              waits > static_cast<double>(w.kind_.queue);
  if (full) return reply(event, What::over, Outcome::full, report(w));
  w.backlog_ += scenario_.setup_work;
  w.extra_ += scenario_.setup_work;
  w.add(event.key, event.client.load, event.client.group);
  Event call = event;
  call.lane = places_.store;
  call.what = What::store;
  call.time = number();  // where the answer goes
  later(call, now() + static_cast<Time>(waits) + scenario_.service + hop());
}

void WorkerLane::stop(Worker& w, bool fell) {
  w.up_ = false;
  w.backlog_ = 0, w.extra_ = 0;
  std::vector<std::uint64_t> keys;
  for (auto& [key, standing] : w.held_) keys.push_back(key);
  std::sort(keys.begin(), keys.end());  // the order of a hash table is not to be seen in the result
  for (std::uint64_t key : keys) {
    bool stood = w.held_[key].stands;
    w.figures_.cut += stood;
    w.remove(key);
    Event to;
    to.host = static_cast<std::uint32_t>(key >> 48);
    to.worker = static_cast<std::uint32_t>(w.number_);
    to.key = key;
    reply(to, What::over, Outcome::reset);
  }
  if (fell) {
    w.figures_.fell += 1;
    w.figures_.fell_cold += w.warmth(now()) < 1;
  }
  tell_list(w, Health::deleted);
}

void WorkerLane::start(Worker& w) {
  w.up_ = true;
  w.draining_ = w.hung_ = false;
  w.started_ = now();
  w.backlog_ = 0;
  tell_list(w, Health::serving);
}

void WorkerLane::happens(const Event& event) {
  if (event.worker >= workers_.size() || !workers_[event.worker])
    throw std::logic_error("an event for a worker of another lane");
  Worker& w = *workers_[event.worker];
  w.advance(now());
  if (w.up_ && !w.hung_ && w.wait(now()) * 1e6 > static_cast<double>(scenario_.falls_over)) {
    stop(w, true);
    Event back;
    back.lane = number();
    back.worker = event.worker;
    back.what = What::starts;
    later(back, now() + scenario_.back_after);
  }
  switch (event.what) {
    case What::setup:
      return set_up(w, event);
    case What::stored: {
      auto it = w.held_.find(event.key);
      if (!w.up_ || it == w.held_.end()) return;
      Event ready = event;
      ready.lane = number();
      ready.what = What::ready;
      return later(ready, now() + w.delay(now()));
    }
    case What::ready: {
      auto it = w.held_.find(event.key);
      if (!w.up_ || w.hung_ || it == w.held_.end() || it->second.stands) return;
      w.stands(it->second);
      return reply(event, What::up, Outcome::served);
    }
    case What::gone:
      w.remove(event.key);
      return;
    case What::probe:
      if (!w.up_) return reply(event, What::probed, Outcome::connect_failed);
      w.backlog_ += scenario_.probe_work;
      w.extra_ += scenario_.probe_work;
      // A hung one still answers shallow probes: its event loop runs, its work does not.
      return reply(event, What::probed, Outcome::served, report(w));
    case What::message:
      if (!w.up_ || w.hung_) return;
      return reply(event, What::answered, Outcome::served, -1, w.delay(now()));
    case What::sample: {
      w.samples_.push_back(
          {static_cast<float>(w.up_ && !w.draining_ ? std::min(w.load(now()), kMostLoad) : -1),
           static_cast<float>(w.capacity(now())), static_cast<std::uint32_t>(w.standing_)});
      Event next = event;
      return later(next, now() + kSampleEvery);
    }
    case What::drains: {
      w.draining_ = true;
      tell_list(w, Health::draining);
      Event end = event;
      end.what = What::stops;
      return later(end, now() + event.time);
    }
    case What::stops:
      if (w.up_) stop(w, false);
      return;
    case What::starts:
      return start(w);
    case What::hangs: {
      w.hung_ = true;
      if (event.time <= 0) return;
      Event end = event;
      end.what = What::resumes;
      return later(end, now() + event.time);
    }
    case What::resumes:
      w.hung_ = false;
      return;
    case What::slows: {
      double before = w.slow_;
      w.slow_ = event.value;
      if (event.time <= 0) return;
      Event end = event;
      end.value = before, end.time = 0;
      return later(end, now() + event.time);
    }
    default:
      throw std::logic_error("an event that no worker knows");
  }
}

// ---- The session store -------------------------------------------------------------------------------

void Store::happens(const Event& event) {
  all_ += 1;
  auto slot = static_cast<std::size_t>(now() / kSampleEvery);
  if (calls_.size() <= slot) calls_.resize(slot + 1);
  calls_[slot] += 1;
  Time takes = scenario_.store_rate > 0 ? static_cast<Time>(1e6 / scenario_.store_rate) : 0;
  free_at_ = std::max(free_at_, now()) + takes;
  Time waited = free_at_ - now();
  longest_ = std::max(longest_, waited);
  Event done = event;
  done.lane = static_cast<std::uint32_t>(event.time);  // where the worker is
  done.what = What::stored;
  later(done, now() + std::max(scenario_.hop, waited + scenario_.store_time));
}

}  // namespace marblehub::model
