/// Decision logic of a load balancer for long-lived connections: placement, retries, health checks, admission
/// and migration.
///
/// The caller creates one Balancer, passes it every event with the time at which the event was observed, and
/// executes the returned actions in order. The library does no I/O, reads no clock, starts no thread and has
/// no global state: the same settings, seed and events always produce the same actions. All times are
/// microseconds of a monotonic clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marblehub::policy {

/// Microseconds, a point in time or a duration.
using Time = std::int64_t;

/// FNV-1a hash of a name, identical at every balancer and in every build.
constexpr std::uint64_t name_hash(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325;
  for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return h;
}

/// Finalizer of MurmurHash3: spreads each input bit over the whole word, so that hashes of similar names can
/// be used for ranking.
constexpr std::uint64_t mix_bits(std::uint64_t x) {
  x ^= x >> 33, x *= 0xff51afd7ed558ccd, x ^= x >> 33, x *= 0xc4ceb9fe1a85ec53;
  return x ^ x >> 33;
}

// ---- Settings

/// Whether a request may be executed more than once: always, only where backends deduplicate by its key, or
/// never.
enum class Repeat { safe, keyed, unsafe };

/// The backends that deduplicate requests among each other, for Repeat::keyed.
enum class DedupScope { all, zone, cell };

/// Properties shared by the requests of one class.
struct RequestClass {
  std::string name;
  Time slo_us = 0;                // latency objective of the answer
  Time message_objective_us = 0;  // latency objective of a message on an open connection; 0: none
  Repeat repeat = Repeat::safe;
  DedupScope dedup_scope = DedupScope::all;
  Time dedup_window_us = 0;  // keyed: how long backends remember a request for deduplication
  bool stream = false;       // a long-lived connection: EstablishedEvent follows once it is accepted
};

/// Settings of a balancer, fixed for its lifetime. Times are in microseconds.
struct Settings {
  int balancers = 1;       // balancers in this tier, including this one
  int balancer_index = 0;  // index of this balancer among them, from 0
  std::string zone;
  bool pull_endpoints = false;  // the endpoint list is requested by WatchEndpoints; otherwise it is pushed
  bool groups = false;          // a backend pays a fixed cost for each group of which it holds a connection
  std::vector<RequestClass> classes;

  int max_attempts = 1;
  bool may_probe = true;
  bool load_reported = true;  // by probes or answers; otherwise a probe shows only that a backend is alive
  bool may_send_retry_after = true;
  Time max_retry_after_us = 0;  // longest delay that clients honor
  Time connect_timeout_us = 250000;
  Time stop_sending_within_us = 0;  // after a backend is listed as draining or deleted; 0: immediately
  Time must_ask_within_us = 0;      // a list may be used this long without a watch; 0: not limited

  double cold_share = 1;        // lower bound of a backend's capacity at its start, as a fraction
  Time warm_within_us = 0;      // upper bound of the time to full capacity
  double price_probe = 0;       // cost of one probe per request, in points
  double price_cross_zone = 0;  // cost of an attempt that crosses zones, in points
};

/// Shortest message latency objective of all classes; 50 ms if no class has one.
Time shortest_message_objective(const Settings& settings);

/// A missing or invalid value, identified by its key in the settings file.
struct SettingsError {
  std::string key;
};

/// Balancers that start together spread their first request for the endpoint list over this time, in
/// proportion to their number, as they share one service discovery.
Time first_call_spread(const Settings& settings);

/// Returns the first invalid value, or nothing if the settings are valid.
std::optional<SettingsError> validate(const Settings& settings);

// ---- Events

/// State of a backend in the endpoint list.
enum class Health { serving, draining, deleted };

/// A backend in the endpoint list.
struct BackendEntry {
  Health health = Health::serving;
  std::string address;
  std::string zone;
  Time start_time = 0;     // of the latest process start; 0: long ago
  double scale = 1;        // capacity relative to other backends
  std::int64_t cell = -1;  // deduplication cell; -1: none
};

/// What an endpoint list event carries: the changes since the previous list, the full list, the list cached
/// before the start, the failure of a request for the list, or the failure to connect to service discovery.
enum class EndpointListKind { changes, full, cached, failed, unreachable };

/// Whether new attempts may rely on the endpoint list. Unconfirmed: service discovery has not answered since
/// the start, and backends of the cached list may have left or restarted; requests wait. Unavailable: service
/// discovery cannot be reached, or has not answered in time, so that the cached list is used.
enum class EndpointListState { unconfirmed, confirmed, unavailable };

/// The endpoint list, a change of it, or a failed request for it.
struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::full;
  std::shared_ptr<const std::vector<BackendEntry>> entries;  // null if the request failed
};

/// A client requests a connection.
struct RequestEvent {
  std::uint64_t id = 0;
  int request_class = 0;    // index into Settings::classes
  Time expires_in = 0;      // time until the client gives up
  double load_hint = 0;     // expected load, in microseconds of work per second; 0: unknown
  bool returned = false;    // the client reconnects after a lost connection or a move
  std::uint64_t group = 0;  // of connections that share work on a backend; 0: none
  // Addresses of the backends that it may use; null: any.
  std::shared_ptr<const std::set<std::string>> allowed_backends = nullptr;
};

/// A connection that is already open when the balancer starts; its attempt number is 0.
struct HandoverEvent {
  RequestEvent request;
  std::string backend;
};

/// A client asks for a connection that `backend` has held open since before the balancer started. It is
/// submitted to that backend alone, even while it is draining or removed. The request has no deadline.
struct ResumeEvent {
  RequestEvent request;  // expires_in: how long it may wait for the backend to be listed; 0: not stated
  std::string backend;
};

/// An attempt was accepted and its connection is open.
struct EstablishedEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  Time rtt = 0;
};

/// How an attempt or a probe ended.
enum class Outcome { served, error, full, timeout, connect_failed, reset, cancelled, not_sent };

/// Whether the outcome proves that the attempt was not executed: it was not sent, or not accepted by the
/// backend.
constexpr bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

/// Load reported by a backend.
struct LoadReport {
  double load = -1;  // requested work divided by capacity; negative: not reported
};

/// An attempt, or the connection it opened, has ended.
struct ResultEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  bool terminal = false;  // the request has ended, no further attempt may follow
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

/// A probe was answered or has failed.
struct ProbeResultEvent {
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

/// What a connection update reports.
enum class ConnectionUpdateKind { load_changed, messages_slow };

/// A change observed on an open connection.
struct ConnectionUpdateEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  ConnectionUpdateKind kind = ConnectionUpdateKind::load_changed;
  double value = 0;  // load_changed: microseconds of work per second; messages_slow: ms per message
};

/// A timer set by SetTimer has expired.
struct TimerEvent {
  std::uint64_t cookie = 0;
};

/// A client disconnected before its request was answered.
struct ClientGoneEvent {
  std::uint64_t id = 0;
};

/// The caller must answer a request now, since its deadline has passed or the process exits, and has ended
/// the attempt in flight, if there is one. Answered at once: with Reject if a retry by the client cannot
/// execute the request twice, otherwise with Fail.
struct EndRequestEvent {
  std::uint64_t id = 0;
  Outcome attempt_outcome = Outcome::cancelled;  // of the attempt in flight: not_sent or cancelled
};

using Event =
    std::variant<EndpointListEvent, RequestEvent, HandoverEvent, ResumeEvent, EstablishedEvent, ResultEvent,
                 ProbeResultEvent, ConnectionUpdateEvent, TimerEvent, ClientGoneEvent, EndRequestEvent>;

// ---- Actions

/// Start an attempt at the backend and abort it at the deadline. With `send_by`, the request must not be sent
/// after that time: backends may have forgotten the earlier attempt that they deduplicate it against.
struct Submit {
  std::uint64_t id = 0;
  std::string backend;
  Time deadline = 0;
  std::optional<Time> send_by = {};
};
/// Why a request is rejected: the fleet is at capacity, no attempt could be made before the deadline, the
/// attempts failed, or the endpoint list was unconfirmed until the deadline.
enum class RejectReason { admission, expired, attempts_failed, list_unconfirmed };
/// Final answer: the request is rejected and may be retried safely. retry_after 0: no hint.
struct Reject {
  std::uint64_t id = 0;
  Time retry_after = 0;
  RejectReason reason = RejectReason::attempts_failed;
};
/// Final answer: the request failed; retrying it may execute it a second time.
struct Fail {
  std::uint64_t id = 0;
};
/// Why a connection has to leave its backend.
enum class RedirectReason { draining, down, overwhelmed, late };
/// Ask the client of an open connection to reconnect. The values describe the current backend.
struct Redirect {
  std::uint64_t id = 0;
  RedirectReason reason = RedirectReason::draining;
  double delay_ms = 0;  // estimated delay of a message there
  double load = 0;      // requested work divided by capacity
};
/// Send a health check to the backend.
struct Probe {
  std::string backend;
};
/// Request the endpoint list and its further changes from service discovery.
struct WatchEndpoints {};
/// Deliver a TimerEvent with this cookie after the given time.
struct SetTimer {
  Time after = 0;
  std::uint64_t cookie = 0;
};

using Action = std::variant<Submit, Reject, Fail, Redirect, Probe, WatchEndpoints, SetTimer>;

// ---- The balancer

/// The decision logic of one balancer. Movable, not copyable, not thread-safe.
class Balancer {
 public:
  /// `settings` must pass validate(). `seed` initializes the random generator. `now` is the start time.
  Balancer(Settings settings, std::uint64_t seed, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Handles an event and appends the resulting actions. Events for unknown or ended requests, and for
  /// unknown backends, are ignored. `now` must not be less than in the previous call.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  /// Replaces Settings::balancers, the number of balancers that share the fleet's budgets, when the tier
  /// grows or shrinks. `balancers` must be at least 1. The probe budget accumulated so far is kept.
  void set_balancer_count(int balancers);

  /// Current state counts, for metrics and tests.
  struct Counts {
    std::size_t unanswered = 0;  // requests without a final answer
    std::size_t open = 0;        // open connections
    std::size_t down = 0;        // listed backends that are marked down
  };
  Counts counts() const;  // O(requests)
  EndpointListState endpoint_list_state() const;
  std::vector<std::string> down_backends() const;            // listed backends that are marked down
  int active_connections(const std::string& backend) const;  // open connections; 0 for an unknown backend

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marblehub::policy
