// May this balancer place now, and by which version? Judged at each call from the newest grant and the clock:
// nothing here waits for a timer, so a process that slept finds its lease over at its first call.
// After Gray and Cheriton, "Leases" (1989); the argument in full is in docs/fleet-routes.md.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/record/record.h"

namespace marblehub::fleet {

// How far this clock stands from those it hears. A message takes time, so `now - sent_at` is the offset or
// more; the least of a second or two is near it. Off by more than `bound` against most of those heard:
// fenced.
class ClockMonitor {
 public:
  explicit ClockMonitor(Time bound) : bound_(bound) {}
  void observe_clock(Time now, const std::string& from, Time sent_at);
  void reset();  // this clock jumped: what was measured by the old one says nothing
  bool off() const { return 2 * peers_off_ > peers_known_ && peers_known_ > 0; }
  bool peers_missing() const {
    return peers_missing_;
  }  // nobody since it jumped, where others were heard before

 private:
  static constexpr Time kWindow = kSecond;
  struct MinOffsets {
    Time current, previous;  // of this span and of the one before it
  };
  void count_peers_off();
  const Time bound_;
  Time window_start_ = 0;
  std::map<std::string, MinOffsets> peers_;  // heard in this span or the one before
  std::size_t peers_off_ = 0, peers_known_ = 0;
  bool peers_missing_ = false;
};

class Lease {
 public:
  explicit Lease(const Settings& settings)
      : lease_(settings.lease), bound_(settings.clock_bound), clock_monitor_(settings.clock_bound) {}

  void update_grant(Time now, const Grant& grant);  // the newest; the same again is no news
  void observe_clock(Time now, const std::string& from, Time sent_at) {
    clock_monitor_.observe_clock(now, from, sent_at);
  }

  struct Decision {
    bool held = false;
    std::uint64_t version = 0;  // by which it places, or placed while it could: never less than before
    const char* why = "";       // not held
  };
  Decision evaluate(Time now);
  bool clock_off() const { return clock_monitor_.off() || behind_; }
  bool ever_held() const { return grant_.has_value(); }

 private:
  const Time lease_, bound_;
  ClockMonitor clock_monitor_;
  std::optional<Grant> grant_;
  std::uint64_t newest_version_ = 0;  // held
  Time latest_time_ = 0, latest_until_ = 0;
  bool stepped_back_ = false;  // the clock went back: no lease until a new grant
  bool behind_ = false;        // a grant ends later than any leader within the bound could let it
};

}  // namespace marblehub::fleet
