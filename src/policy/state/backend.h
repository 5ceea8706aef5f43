/// What the policy remembers of one backend, and how it keeps count. No decision is taken here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "marblehub/policy.h"
#include "policy/state/decaying_value.h"
#include "policy/state/group_connections.h"
#include "policy/state/request.h"

namespace marblehub::policy {

struct Backend {
  // ---- As the endpoint list has it.
  std::string address, zone;
  std::uint64_t hash = 0;  // of the address: the same at every balancer
  std::int64_t cell = -1;  // of backends that drop each other's repeats; -1: none
  double scale = 1;        // its size, for comparison with other backends
  bool listed = false, draining = false;
  Time leaving_since = -1;  // when it was first listed as draining or left out; -1: it is not
  bool sampled = false;     // in this balancer's part of a big fleet

  // ---- Slow start.
  Time listed_start = 0;             // its latest start, as the list says
  Time warming_since = 0;            // 0: warm for long
  bool restart_unconfirmed = false;  // warming only because it came back from down
  bool open_in_sweep = false;        // while it warms up: this balancer may send it a request in this sweep

  // ---- Health checks.
  std::vector<double> latency_samples;  // of the last health checks, in ms; a ring
  std::size_t next_sample = 0;
  double latency = 0;  // their mean; 0: never timed
  int misses = 0;      // in a row
  bool down = false;
  bool probe_in_flight = false;
  Time probe_due = 0;

  // ---- Load.
  int active = 0;                       // open connections
  double load = 0;                      // their load, in usual connections
  DecayingValue recent;                 // load of new connections sent here
  DecayingValue observed_delay;         // ms that a message is said to take here
  DecayingValue reported_delay;         // the same, derived from the last load report
  Time report_at = -1'000'000'000'000;  // of the last load report; at first long ago
  double utilization = 0;               // load over capacity: as last reported, and what was sent here since

  /// Takes over what the endpoint list says now.
  void update_from(const BackendEntry& entry) {
    zone = entry.zone;
    cell = entry.cell;
    scale = entry.scale > 0 ? entry.scale : 1;
    listed = entry.health != Health::deleted;
    draining = entry.health == Health::draining;
  }

  /// It warms up since then; 0: it is warm. `unconfirmed`: a restart is only assumed.
  void start_warming(Time since, bool unconfirmed) {
    warming_since = since;
    open_in_sweep = false;
    restart_unconfirmed = unconfirmed;
  }

  void mark_up() {
    down = false;
    misses = 0;
  }

  /// Forgets what was said of its delay.
  void clear_delays() { observed_delay = reported_delay = DecayingValue(); }

  /// Counts one more connection here.
  void add_connection(Request& request, GroupConnections& groups) {
    groups.add(request.group);
    request.counted = true;
    active += 1;
    load += request.load;
  }

  /// Counts it no longer, if it was counted.
  void remove_connection(Request& request, GroupConnections& groups) {
    if (!request.counted) return;
    groups.remove(request.group);
    request.counted = false;
    active -= 1;
    load = active > 0 ? std::max(0.0, load - request.load) : 0;
  }

  /// Adds a health check's round trip in ms; the last `window` count.
  void add_latency_sample(double ms, std::size_t window) {
    if (latency_samples.size() < window) latency_samples.push_back(0);
    latency_samples[next_sample++ % window] = ms;
    latency = 0;
    for (double sample : latency_samples) latency += sample / static_cast<double>(latency_samples.size());
  }
};

}  // namespace marblehub::policy
