// What the module remembers and how it keeps count: no decision.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decay.h"
#include "marblehub/policy.h"

namespace marblehub::policy {

// The relay's own chance.
struct Dice {
  std::mt19937_64 random;

  double uniform() { return static_cast<double>(random() >> 11) * 0x1p-53; }
  Time up_to(Time t) { return static_cast<Time>(uniform() * static_cast<double>(t)); }
  Time jittered(Time t) { return 3 * t / 4 + up_to(t / 2); }
};

struct Request {
  int request_class = 0;
  Time deadline = 0;
  std::uint64_t group = 0;
  std::shared_ptr<const std::set<std::string>> only;  // the backends that it may use; none: any
  double load = 1;                                    // in usual connections
  int attempts = 0;
  int backend = -1;       // of the latest attempt
  Time sent_at = 0;       // of the latest attempt
  bool out = false;       // the latest attempt has no result yet
  bool counted = false;   // it is in its backend's active count
  bool open = false;      // the connection stands
  bool answered = false;  // nothing more is owed or sent
  Time ran_at = -1;       // when the first attempt that may have run was sent; -1: none may have
  int ran_on = -1;
  std::vector<int> tried;
  int looks = 0;        // reports that were asked for before it is sent
  Time look_until = 0;  // it waits for one until then

  bool has_tried(int i) const { return std::find(tried.begin(), tried.end(), i) != tried.end(); }
};

// The attempts that are being set up within one set of workers.
struct Setups {
  int beginning = 0;       // attempts that are out and do not stand yet
  double limit = 1e9;      // of those at once: failures shrink it
  Time limit_cut = 0;      // only by what was sent since
  DecayingValue failures;  // of attempts to set one up
  Time used_at = 0;

  // Failures of the last `memory` count like attempts that are still out.
  bool at_limit(Time now, Time memory) const { return beginning + failures.at(now, memory) >= limit; }
};

// The setups by the set of workers that a request may use (none: any), so that a set which answers nothing
// holds only its own requests back. A set that is not used for a while is forgotten.
class SetupsOfSets {
 public:
  using Set = std::shared_ptr<const std::set<std::string>>;

  Setups& of(const Set& only, Time now) {
    Setups& setups = sets_[only];
    setups.used_at = now;
    return setups;
  }
  void forget_unused(Time now) {
    std::erase_if(sets_, [now](const auto& entry) {
      return entry.first && entry.second.beginning == 0 && now - entry.second.used_at > kMemory;
    });
  }

 private:
  static constexpr Time kMemory = 10'000'000;  // longer than a request waits

  // By the names in it: news of the list make a new set of the same workers.
  struct ByNames {
    bool operator()(const Set& one, const Set& other) const {
      return one && other ? *one < *other : !one && other;
    }
  };

  std::map<Set, Setups, ByNames> sets_;
};

// Connections accepted anywhere, by group; 0: of none.
struct Held {
  std::unordered_map<std::uint64_t, int> groups;

  int of(std::uint64_t group) const {
    auto it = groups.find(group);
    return it == groups.end() ? 0 : it->second;
  }
  void more(std::uint64_t group) { groups[group] += 1; }
  void less(std::uint64_t group) {
    if ((groups[group] -= 1) == 0) groups.erase(group);
  }
};

struct Backend {
  std::string address, zone;
  std::uint64_t hash = 0;  // of the address: the same at every relay
  std::int64_t cell = -1;
  double scale = 1;
  bool listed = false, draining = false;
  Time leaving_since = -1;  // when it was first said to drain or be gone; -1: it is not
  bool sampled = false;     // this relay's part of a big fleet

  Time listed_start = 0;
  Time cold_since = 0;          // 0: warm since long ago
  bool restart_unsure = false;  // cold only because it came back from down
  bool drawn = false;           // while cold: this relay may send it a call in this sweep

  std::vector<double> timings;  // the last probe timings in ms, a ring
  std::size_t timing_at = 0;
  double latency = 0;  // their mean; 0: never timed
  int misses = 0;      // in a row
  bool down = false;
  bool probe_out = false;
  Time probe_due = 0;

  int active = 0;                       // connections accepted here
  double load = 0;                      // their load, in usual connections
  DecayingValue recent;                 // load of new connections sent here
  DecayingValue evidence;               // ms that a message is said to take here
  DecayingValue report;                 // the same from the last load report
  Time report_at = -1'000'000'000'000;  // of the last load report; at first long ago
  double level = 0;                     // load over capacity: as last reported, and what was sent here since

  // As the list has it now.
  void take(const BackendEntry& entry) {
    zone = entry.zone;
    cell = entry.cell;
    scale = entry.scale > 0 ? entry.scale : 1;
    listed = entry.health != Health::deleted;
    draining = entry.health == Health::draining;
  }

  // Cold since then; 0: warm.
  void chill(Time since, bool unsure) {
    cold_since = since;
    drawn = false;
    restart_unsure = unsure;
  }

  void up() { down = false, misses = 0; }

  // One more connection that is accepted here, and one less.
  void count(Request& r, Held& held) {
    held.more(r.group);
    r.counted = true;
    active += 1;
    load += r.load;
  }
  void uncount(Request& r, Held& held) {
    if (!r.counted) return;
    held.less(r.group);
    r.counted = false;
    active -= 1;
    load = active > 0 ? std::max(0.0, load - r.load) : 0;
  }

  // One more timing, of which the last `window` are kept.
  void timed(double ms, std::size_t window) {
    if (timings.size() < window) timings.push_back(0);
    timings[timing_at++ % window] = ms;
    latency = 0;
    for (double t : timings) latency += t / static_cast<double>(timings.size());
  }
};

// The shortest aim of the messages on any connection, in milliseconds; `otherwise` where none is stated.
inline double shortest_message_aim_ms(const Settings& settings, double otherwise) {
  Time shortest = 0;
  for (const RequestClass& c : settings.classes)
    if (c.message_aim_us > 0 && (shortest == 0 || c.message_aim_us < shortest)) shortest = c.message_aim_us;
  return shortest > 0 ? static_cast<double>(shortest) / 1000 : otherwise;
}

// ---- Read for a relay's own metrics

inline std::vector<std::string> down_of(const std::vector<Backend>& backends) {
  std::vector<std::string> names;
  for (const Backend& b : backends)
    if (b.listed && b.down) names.push_back(b.address);
  return names;
}

inline Balancer::Counts counts_of(const std::map<std::uint64_t, Request>& requests,
                                  const std::vector<Backend>& backends) {
  Balancer::Counts c;
  for (const auto& [id, r] : requests)
    c.open += r.open && !r.answered, c.unanswered += !r.open && !r.answered;
  c.down = down_of(backends).size();
  return c;
}

}  // namespace marblehub::policy
