// A simulated fleet that spends one wallet on a virtual clock. Proposed commands are appended to one shared
// log; a seed decides their order, loss, delay and repetition. Each balancer applies the log late, or not at
// all while it is partitioned.
#pragma once

#include <fmt/format.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

/// A journal in memory. Lines become durable some time after they are appended; a crash keeps a random part
/// of the others.
class MemoryJournal : public Journal {
 public:
  void append(const Line& line) override { lines.push_back(line); }
  std::vector<Line> load() override { return lines; }
  std::uint64_t durable_lines() const override { return durable - durable_at_start; }
  std::vector<Line> lines;
  std::uint64_t durable = 0, durable_at_start = 0;  // counts of lines; at start: of earlier processes
};

/// Random generator for the simulation.
struct FleetRng {
  explicit FleetRng(std::uint64_t seed) : engine(seed) {}
  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(engine() % static_cast<std::uint64_t>(n));
  }
  bool with_probability(double probability) {
    return static_cast<double>(engine() >> 11) * 0x1p-53 < probability;
  }
  std::mt19937_64 engine;
};

/// Balancers that share the wallet of tenant "partner".
class WalletFleet {
 public:
  /// A reserved call in progress; `serves`: it is committed at its end, not released.
  struct Call {
    Reservation reservation;
    Time ends = 0;
    bool serves = true;
  };
  /// One balancer, its view of the record, and the commands that are not applied yet.
  struct Holder : RecordInterface {
    std::string name;
    std::uint64_t incarnation = 0, number = 0;
    std::unique_ptr<Wallets> wallets;
    Ledger applied_ledger;
    std::deque<Command> outbox;
    std::vector<Call> calls;
    MemoryJournal journal;
    bool partitioned = false, leading = false;
    Time suspended_until = 0, offset = 0;
    std::int64_t proposed = 0, reserved = 0, paused = 0;

    const Ledger& ledger() const override { return applied_ledger; }
    bool is_leader() const override { return leading; }
    std::uint64_t propose(Time, Body body, Outbox&) override {
      ++proposed;
      outbox.push_back({{name, incarnation, ++number}, std::move(body)});
      return number;
    }
  };

  WalletFleet(std::size_t holders, WalletSettings settings, std::uint64_t seed, bool journals)
      : settings(std::move(settings)), rng(seed), journals(journals), holders(holders) {
    for (std::size_t i = 0; i < holders; ++i) {
      this->holders[i].name = fmt::format("b{}", i);
      // Two clocks differ by no more than the bound.
      this->holders[i].offset = rng.below(kClockBound + 1) - kClockBound / 2;
      start(i);
    }
    this->holders[0].leading = true;
  }

  void start(std::size_t at) {
    Holder& h = holders[at];
    Settings fleet;
    fleet.name = h.name;
    fleet.clock_bound = kClockBound;
    ++h.incarnation;
    h.number = 0;
    h.applied_ledger = {};
    h.outbox.clear();
    h.calls.clear();
    h.wallets = std::make_unique<Wallets>(fleet, settings, journals ? &h.journal : nullptr, h.incarnation,
                                          rng.engine(), now + h.offset);
  }
  // Ends the process; its journal keeps the durable lines and a random part of the others.
  void kill(std::size_t at) {
    Holder& h = holders[at];
    h.wallets.reset();
    h.calls.clear();
    std::uint64_t kept =
        h.journal.durable + static_cast<std::uint64_t>(rng.below(
                                static_cast<std::int64_t>(h.journal.lines.size() - h.journal.durable) + 1));
    h.journal.lines.resize(kept);
    h.journal.durable = h.journal.durable_at_start = kept;
  }

  // Makes one call at a balancer. A reserved call ends within `max_duration` and is committed with
  // probability `served`.
  ReserveResult call(std::size_t at, std::string_view service_class, Time max_duration = 20 * kMillisecond,
                     double served = 0.9) {
    Holder& h = holders[at];
    if (!h.wallets || now < h.suspended_until) return ReserveResult::unmetered;
    Call call;
    ReserveResult reserve_result =
        h.wallets->reserve(now + h.offset, "partner", service_class, call.reservation);
    if (reserve_result == ReserveResult::reserved) {
      ++h.reserved;
      call.ends = now + rng.below(max_duration + 1);
      call.serves = rng.with_probability(served);
      h.calls.push_back(call);
    } else {
      h.paused += reserve_result == ReserveResult::paused;
    }
    return reserve_result;
  }

  // Advances the clock by kTick: ends calls, syncs journals, applies the log, steps the wallets, appends
  // commands.
  void tick() {
    now += kTick;
    log_sizes.push_back(log.size());
    if (log_sizes.size() > static_cast<std::size_t>(max_lag) + 1) log_sizes.pop_front();
    for (std::size_t at = 0; at < holders.size(); ++at) {
      Holder& h = holders[at];
      if (!h.wallets || now < h.suspended_until) continue;
      for (std::size_t i = 0; i < h.calls.size();) {
        if (h.calls[i].ends > now) {
          ++i;
          continue;
        }
        if (h.calls[i].serves) {
          h.wallets->commit(h.calls[i].reservation);
          served += h.calls[i].reservation.price;
        } else {
          h.wallets->release(h.calls[i].reservation);
        }
        h.calls[i] = h.calls.back();
        h.calls.pop_back();
      }
      if (h.journal.durable < h.journal.lines.size() && rng.with_probability(sync_probability))
        h.journal.durable = h.journal.lines.size();
      if (!h.partitioned && !rng.with_probability(loss_probability))
        apply_log(
            h, log_sizes[static_cast<std::size_t>(rng.below(static_cast<std::int64_t>(log_sizes.size())))]);
      Outbox out;
      if (step_every_tick || now + h.offset >= h.wallets->next_due() || rng.with_probability(0.3))
        h.wallets->step(now + h.offset, h, alive(), out);
      if (!h.partitioned && majority && !rng.with_probability(loss_probability)) append_commands(h);
    }
  }
  void run(Time duration) {
    for (Time until = now + duration; now < until;) tick();
  }

  // The members in the view: one that is partitioned or suspended leaves it at once.
  std::vector<std::string> alive() const {
    std::vector<std::string> names;
    for (const Holder& h : holders)
      if (h.wallets && !h.partitioned && now >= h.suspended_until) names.push_back(h.name);
    return names;
  }
  std::int64_t paid() const {
    auto it = committed.wallets.find("partner");
    return it == committed.wallets.end() ? 0 : it->second.paid;
  }
  const Wallet& wallet() { return committed.wallets["partner"]; }
  std::int64_t proposed() const {
    std::int64_t sum = 0;
    for (const Holder& h : holders) sum += h.proposed;
    return sum;
  }

  static constexpr Time kTick = 5 * kMillisecond, kClockBound = 50 * kMillisecond;
  WalletSettings settings;
  FleetRng rng;
  // majority: commands can be appended to the log. The probabilities are per tick.
  bool journals, majority = true, step_every_tick = false;
  double loss_probability = 0, resend_probability = 0.1, sync_probability = 0.3;
  std::int64_t max_lag = 4;  // ticks by which a balancer's ledger may be behind the log
  Time now = 1'000'000 * kSecond;
  std::vector<Holder> holders;
  std::vector<Command> log;
  std::deque<std::size_t> log_sizes;  // of the last max_lag + 1 ticks
  Ledger committed;
  std::int64_t served = 0;  // units committed by all balancers

 private:
  void apply_log(Holder& h, std::size_t until) {
    for (std::size_t i = h.applied_ledger.applied; i < until; ++i) apply(h.applied_ledger, i + 1, log[i]);
    auto last = h.applied_ledger.last_commands.find(h.name);
    if (last == h.applied_ledger.last_commands.end() || last->second.incarnation != h.incarnation) return;
    while (!h.outbox.empty() && h.outbox.front().id.number <= last->second.number) h.outbox.pop_front();
  }
  void append_commands(Holder& h) {
    for (const Command& command : h.outbox) {
      auto last = committed.last_commands.find(h.name);
      bool known = last != committed.last_commands.end() && last->second.incarnation == h.incarnation &&
                   last->second.number >= command.id.number;
      if (known && !rng.with_probability(resend_probability)) continue;
      log.push_back(command);
      apply(committed, log.size(), command);
    }
  }
};

/// One deposit for tenant "partner", with short terms.
inline WalletSettings partner_settings(std::int64_t deposit) {
  WalletSettings s;
  s.deposits["partner"]["first"] = deposit;
  s.term = 2 * kSecond;
  s.ahead = 500 * kMillisecond;
  s.max_held_back = 200;
  return s;
}

}  // namespace marblehub::fleet
