// Many holders of one wallet on a virtual clock. What they propose is agreed in one log, in an order and with
// losses, delays and repeats that a seed decides; each hears of it late, or not at all while it is cut off.
#pragma once

#include <fmt/format.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/wallet/wallet.h"

namespace marblehub::fleet {

// Lines last some time after they were appended; a crash keeps a random part of those that did not yet.
class MemoryJournal : public Journal {
 public:
  void append(const Line& line) override { lines.push_back(line); }
  std::vector<Line> load() override { return lines; }
  std::uint64_t durable_lines() const override { return lasted - before; }
  std::vector<Line> lines;
  std::uint64_t lasted = 0, before = 0;  // before: of earlier processes
};

struct Chance {
  explicit Chance(std::uint64_t seed) : engine(seed) {}
  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(engine() % static_cast<std::uint64_t>(n));
  }
  bool in(double share) { return static_cast<double>(engine() >> 11) * 0x1p-53 < share; }
  std::mt19937_64 engine;
};

class WalletFleet {
 public:
  struct Call {
    Reservation reservation;
    Time ends = 0;
    bool serves = true;
  };
  struct Holder : RecordInterface {
    std::string name;
    std::uint64_t incarnation = 0, number = 0;
    std::unique_ptr<Wallets> wallets;
    Ledger heard;
    std::deque<Command> outbox;
    std::vector<Call> calls;
    MemoryJournal journal;
    bool cut = false, leading = false;
    Time asleep_until = 0, offset = 0;
    std::int64_t proposed = 0, reserved = 0, paused = 0;

    const Ledger& ledger() const override { return heard; }
    bool is_leader() const override { return leading; }
    std::uint64_t propose(Time, Body body, Outbox&) override {
      ++proposed;
      outbox.push_back({{name, incarnation, ++number}, std::move(body)});
      return number;
    }
  };

  WalletFleet(std::size_t holders, WalletSettings settings, std::uint64_t seed, bool journals)
      : settings(std::move(settings)), chance(seed), journals(journals), holders(holders) {
    for (std::size_t i = 0; i < holders; ++i) {
      this->holders[i].name = fmt::format("b{}", i);
      // Two clocks differ by the bound at most.
      this->holders[i].offset = chance.below(kBound + 1) - kBound / 2;
      start(i);
    }
    this->holders[0].leading = true;
  }

  void start(std::size_t at) {
    Holder& h = holders[at];
    Settings fleet;
    fleet.name = h.name;
    fleet.clock_bound = kBound;
    ++h.incarnation;
    h.number = 0;
    h.heard = {};
    h.outbox.clear();
    h.calls.clear();
    h.wallets = std::make_unique<Wallets>(fleet, settings, journals ? &h.journal : nullptr, h.incarnation,
                                          chance.engine(), now + h.offset);
  }
  void kill(std::size_t at) {
    Holder& h = holders[at];
    h.wallets.reset();
    h.calls.clear();
    std::uint64_t kept =
        h.journal.lasted + static_cast<std::uint64_t>(chance.below(
                               static_cast<std::int64_t>(h.journal.lines.size() - h.journal.lasted) + 1));
    h.journal.lines.resize(kept);
    h.journal.lasted = h.journal.before = kept;
  }

  // One call at a holder; true where it was reserved. It ends within `longest`.
  ReserveResult call(std::size_t at, std::string_view service_class, Time longest = 20 * kMillisecond,
                     double served = 0.9) {
    Holder& h = holders[at];
    if (!h.wallets || now < h.asleep_until) return ReserveResult::unmetered;
    Call call;
    ReserveResult reserve_result =
        h.wallets->reserve(now + h.offset, "partner", service_class, call.reservation);
    if (reserve_result == ReserveResult::reserved) {
      ++h.reserved;
      call.ends = now + chance.below(longest + 1);
      call.serves = chance.in(served);
      h.calls.push_back(call);
    } else {
      h.paused += reserve_result == ReserveResult::paused;
    }
    return reserve_result;
  }

  void turn() {
    now += kTurn;
    sizes.push_back(log.size());
    if (sizes.size() > static_cast<std::size_t>(lag_turns) + 1) sizes.pop_front();
    for (std::size_t at = 0; at < holders.size(); ++at) {
      Holder& h = holders[at];
      if (!h.wallets || now < h.asleep_until) continue;
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
      if (h.journal.lasted < h.journal.lines.size() && chance.in(disk))
        h.journal.lasted = h.journal.lines.size();
      if (!h.cut && !chance.in(loss))
        hear(h, sizes[static_cast<std::size_t>(chance.below(static_cast<std::int64_t>(sizes.size())))]);
      Outbox out;
      if (always_step || now + h.offset >= h.wallets->next_due() || chance.in(0.3))
        h.wallets->step(now + h.offset, h, alive(), out);
      if (!h.cut && majority && !chance.in(loss)) send(h);
    }
  }
  void run(Time duration) {
    for (Time until = now + duration; now < until;) turn();
  }

  // Those that the view shows: a cut or sleeping one is taken for gone after a while; here, at once.
  std::vector<std::string> alive() const {
    std::vector<std::string> names;
    for (const Holder& h : holders)
      if (h.wallets && !h.cut && now >= h.asleep_until) names.push_back(h.name);
    return names;
  }
  std::int64_t paid() const {
    auto it = agreed.wallets.find("partner");
    return it == agreed.wallets.end() ? 0 : it->second.paid;
  }
  const Wallet& wallet() { return agreed.wallets["partner"]; }
  std::int64_t proposed() const {
    std::int64_t sum = 0;
    for (const Holder& h : holders) sum += h.proposed;
    return sum;
  }

  static constexpr Time kTurn = 5 * kMillisecond, kBound = 50 * kMillisecond;
  WalletSettings settings;
  Chance chance;
  bool journals, majority = true, always_step = false;
  double loss = 0, repeats = 0.1, disk = 0.3;
  std::int64_t lag_turns = 4;
  Time now = 1'000'000 * kSecond;
  std::vector<Holder> holders;
  std::vector<Command> log;
  std::deque<std::size_t> sizes;
  Ledger agreed;
  std::int64_t served = 0;

 private:
  void hear(Holder& h, std::size_t until) {
    for (std::size_t i = h.heard.applied; i < until; ++i) apply(h.heard, i + 1, log[i]);
    auto last = h.heard.last.find(h.name);
    if (last == h.heard.last.end() || last->second.incarnation != h.incarnation) return;
    while (!h.outbox.empty() && h.outbox.front().id.number <= last->second.number) h.outbox.pop_front();
  }
  void send(Holder& h) {
    for (const Command& command : h.outbox) {
      auto last = agreed.last.find(h.name);
      bool known = last != agreed.last.end() && last->second.incarnation == h.incarnation &&
                   last->second.number >= command.id.number;
      if (known && !chance.in(repeats)) continue;
      log.push_back(command);
      apply(agreed, log.size(), command);
    }
  }
};

inline WalletSettings partner(std::int64_t deposit) {
  WalletSettings s;
  s.deposits["partner"]["first"] = deposit;
  s.term = 2 * kSecond;
  s.ahead = 500 * kMillisecond;
  s.max_held_back = 200;
  return s;
}

}  // namespace marblehub::fleet
