/// State of one backend.
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

/// What is known of a backend: its list entry, health checks, connections and load. It only keeps the state
/// consistent; the other components take the decisions.
struct Backend {
  // ---- From the endpoint list.
  std::string address, zone;
  std::uint64_t hash = 0;  // of the address, identical at every balancer
  std::int64_t cell = -1;  // deduplication cell; -1: none
  double scale = 1;        // capacity relative to other backends
  bool listed = false, draining = false;
  Time leaving_since = -1;  // time at which it was listed as draining or removed; -1: neither
  bool sampled = false;     // in this balancer's sample of a large fleet

  // ---- Slow start.
  Time listed_start = 0;             // latest process start in the endpoint list
  Time warming_since = 0;            // start of the warm-up; 0: warm
  bool restart_unconfirmed = false;  // the warm-up is assumed after downtime, without a listed restart
  bool open_in_sweep = false;        // during warm-up: this balancer may send it a request in this sweep

  // ---- Health checks.
  std::vector<double> latency_samples;  // round trips of the last health checks, in ms; a ring buffer
  std::size_t next_sample = 0;
  double latency = 0;  // mean of the samples, in ms; 0: no sample
  int misses = 0;      // consecutive failed health checks and connects
  bool down = false;
  bool probe_in_flight = false;
  Time probe_due = 0;

  // ---- Load.
  int active = 0;                       // open connections
  double load = 0;                      // of the open connections; 1 is an average connection
  DecayingValue recent;                 // load of the new connections sent here
  DecayingValue observed_delay;         // ms per message, observed on connections or inferred from failures
  DecayingValue reported_delay;         // ms per message, derived from the last load report
  Time report_at = -1'000'000'000'000;  // time of the last load report; initially far in the past
  double utilization = 0;  // load / capacity: last report plus the expected load of attempts since

  /// Copies the fields of the list entry.
  void update_from(const BackendEntry& entry) {
    zone = entry.zone;
    cell = entry.cell;
    scale = entry.scale > 0 ? entry.scale : 1;
    listed = entry.health != Health::deleted;
    draining = entry.health == Health::draining;
  }

  /// Starts the warm-up at `since`; 0 marks the backend as warm. `unconfirmed`: the restart is only assumed.
  void start_warming(Time since, bool unconfirmed) {
    warming_since = since;
    open_in_sweep = false;
    restart_unconfirmed = unconfirmed;
  }

  /// Marks the backend up and resets the count of misses.
  void mark_up() {
    down = false;
    misses = 0;
  }

  /// Discards the observed and the reported delay.
  void clear_delays() { observed_delay = reported_delay = DecayingValue(); }

  /// Adds the connection of the request to the counts.
  void add_connection(Request& request, GroupConnections& groups) {
    groups.add(request.group);
    request.counted = true;
    active += 1;
    load += request.load;
  }

  /// Removes the connection of the request from the counts, if it was added.
  void remove_connection(Request& request, GroupConnections& groups) {
    if (!request.counted) return;
    groups.remove(request.group);
    request.counted = false;
    active -= 1;
    load = active > 0 ? std::max(0.0, load - request.load) : 0;
  }

  /// Adds the round trip of a health check. `latency` is the mean of the last `window` samples.
  void add_latency_sample(double ms, std::size_t window) {
    if (latency_samples.size() < window) latency_samples.push_back(0);
    latency_samples[next_sample++ % window] = ms;
    latency = 0;
    for (double sample : latency_samples) latency += sample / static_cast<double>(latency_samples.size());
  }
};

}  // namespace marblehub::policy
