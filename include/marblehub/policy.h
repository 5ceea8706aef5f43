/// marblehub::policy: every decision of a balancer for long-lived connections, with no I/O, clock or wire.
///
/// A relay makes one Balancer, hands it every event with the time at which it was seen, and carries out the
/// actions it gets back, in order. No I/O, no clock, no thread and no global state: the same settings, seed
/// and events always give the same actions. All times are microseconds on a clock that only advances.
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

using Time = std::int64_t;  // microseconds

/// A number for a name, the same at every relay and in every build (FNV-1a).
constexpr std::uint64_t name_hash(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325;
  for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return h;
}

/// The same with every bit spread over all others (the finaliser of MurmurHash3), to rank names by.
constexpr std::uint64_t mix_bits(std::uint64_t x) {
  x ^= x >> 33, x *= 0xff51afd7ed558ccd, x ^= x >> 33, x *= 0xc4ceb9fe1a85ec53;
  return x ^ x >> 33;
}

// ---- Settings, handed in once

enum class Repeat { safe, keyed, unsafe };  // what a second effect of the same request would do
enum class DedupScope { all, zone, cell };  // keyed only: the backends that drop each other's repeats

/// What is common to the requests of one class.
struct RequestClass {
  std::string name;
  Time slo_us = 0;                // an answer within this earns the full worth
  Time message_objective_us = 0;  // wanted time of a message on an open connection; 0: none stated
  Repeat repeat = Repeat::safe;
  DedupScope dedup_scope = DedupScope::all;
  Time dedup_window_us = 0;  // keyed: how long repeats are remembered
  bool stream = false;       // a connection: Established arrives once it stands
};

/// What a balancer is told once, for its life. Times in microseconds.
struct Settings {
  int balancers = 1;       // relays in this tier, this one included
  int balancer_index = 0;  // this relay's number among them, from 0
  std::string zone;
  bool pull_endpoints = false;  // the backend list must be asked for
  bool groups = false;          // a backend that holds any connection of a group pays for the group once
  std::vector<RequestClass> classes;

  int max_attempts = 1;
  bool may_probe = true;
  bool load_reported = true;  // by probes or answers; else a probe says only that a backend lives
  bool may_send_retry_after = true;
  Time max_retry_after_us = 0;  // the longest pause that a client honours
  Time connect_timeout_us = 250000;
  Time stop_sending_within_us = 0;  // of the news that a backend drains or is gone; 0: at once

  double cold_share = 1;        // a backend starts at this share of its capacity or above
  Time warm_within_us = 0;      // and is warm no later than this
  double price_probe = 0;       // points for one probe a request
  double price_cross_zone = 0;  // points for every attempt crossing zones
};

/// The shortest latency objective of the messages on any connection; 50 ms where no class states one.
Time shortest_message_objective(const Settings& settings);

/// A missing or impossible figure of the settings, by the key that the simulator's and the platform's pages
/// give it.
struct SettingsError {
  std::string key;
};

/// The first one found; none when all is well.
std::optional<SettingsError> validate(const Settings& settings);

// ---- Events

/// How the endpoint list has a backend.
enum class Health { serving, draining, deleted };

/// A backend, as the endpoint list has it.
struct BackendEntry {
  Health health = Health::serving;
  std::string address;
  std::string zone;
  Time start_time = 0;  // of its latest start; 0: long ago
  double scale = 1;     // size, for comparison with other backends
  std::int64_t cell = -1;
};

/// What a list is: changes since the one before, all there are, what was remembered from before the start, or
/// the news that the call for it has failed.
enum class EndpointListKind { changes, full, cached, failed };

/// The endpoint list, or a change of it.
struct EndpointListEvent {
  EndpointListKind kind = EndpointListKind::full;
  std::shared_ptr<const std::vector<BackendEntry>> entries;  // none when refused
};

/// A client asks for a connection.
struct RequestEvent {
  std::uint64_t id = 0;
  int request_class = 0;    // index into Settings::classes
  Time expires_in = 0;      // until the client gives this try up
  double load_hint = 0;     // work a second that it will ask for; 0: unknown
  bool returned = false;    // the client comes back after a break or a move
  std::uint64_t group = 0;  // of connections that share work on a backend; 0: none
  std::shared_ptr<const std::set<std::string>> allowed_backends =
      nullptr;  // the backends it may use; none: any
};

/// A connection that is open already at the start: attempt 0 stands at the backend.
struct HandoverEvent {
  RequestEvent request;
  std::string backend;
};

/// An attempt has been accepted: its connection stands.
struct EstablishedEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  Time rtt = 0;
};

/// How an attempt or a probe has ended.
enum class Outcome { served, error, full, timeout, connect_failed, reset, cancelled, not_sent };

/// What a backend says of its load.
struct LoadReport {
  double load = -1;  // load asked over what the backend can do; negative: not reported
};

/// An attempt, or the connection that came of it, is over.
struct ResultEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  bool terminal = false;  // the request has ended
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

/// A probe has been answered, or is over without an answer.
struct ProbeResultEvent {
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

/// What a note tells of.
enum class ConnectionUpdateKind { load_changed, messages_slow };

/// News of a standing connection.
struct ConnectionUpdateEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  ConnectionUpdateKind kind = ConnectionUpdateKind::load_changed;
  double value = 0;  // load_changed: work a second in microseconds; messages_slow: milliseconds a message
};

/// A timer that the policy has set is due.
struct TimerEvent {
  std::uint64_t cookie = 0;
};

/// A client has left before it was answered.
struct ClientGoneEvent {
  std::uint64_t id = 0;
};

using Event = std::variant<EndpointListEvent, RequestEvent, HandoverEvent, EstablishedEvent, ResultEvent,
                           ProbeResultEvent, ConnectionUpdateEvent, TimerEvent, ClientGoneEvent>;

// ---- Actions

/// Begin an attempt; it is given up at not_past.
struct Submit {
  std::uint64_t id = 0;
  std::string backend;
  Time deadline = 0;
};
/// Why a request is rejected: the fleet is full; its time was up before any attempt could be made; or the
/// attempts that it had have failed.
enum class RejectReason { admission, expired, attempts_failed };
/// Final answer: rejected, trying again is harmless. retry_after 0: no hint.
struct Reject {
  std::uint64_t id = 0;
  Time retry_after = 0;
  RejectReason reason = RejectReason::attempts_failed;
};
/// Final answer: failed, promising nothing.
struct Fail {
  std::uint64_t id = 0;
};
/// What is wrong with the backend that a connection leaves.
enum class RedirectReason { draining, down, overwhelmed, late };
/// End an open connection politely; its client comes back. The figures are what is known of its backend.
struct Redirect {
  std::uint64_t id = 0;
  RedirectReason reason = RedirectReason::draining;
  double delay_ms = 0;  // that a message is said to take there
  double load = 0;      // asked over what it can do
};
/// Send a health check.
struct Probe {
  std::string backend;
};
/// Ask service discovery for changes from now on.
struct WatchEndpoints {};
/// Send a TimerEvent with this cookie after so long.
struct SetTimer {
  Time after = 0;
  std::uint64_t cookie = 0;
};

using Action = std::variant<Submit, Reject, Fail, Redirect, Probe, WatchEndpoints, SetTimer>;

// ---- The balancer

/// Every decision of one balancer. Movable, not copyable; not safe for use by several threads at once.
class Balancer {
 public:
  /// `settings` must be valid (see validate); `seed` fixes all chance; `now` is the time of the start.
  Balancer(Settings settings, std::uint64_t seed, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  /// Appends what to do about the event. Events on unknown or ended requests and backends change nothing.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  /// From now on the fleet's budgets are shared by so many relays, 1 at least, in place of
  /// Settings::balancers: where relays know of each other how many are there. Probes earned until then are
  /// kept.
  void set_balancer_count(int balancers);

  /// What the bookkeeping holds, for a relay's own metrics and for tests.
  struct Counts {
    std::size_t unanswered = 0;  // requests still owed a final answer
    std::size_t open = 0;        // connections that stand
    std::size_t down = 0;        // listed backends marked down
  };
  Counts counts() const;                                     // walks all requests
  std::vector<std::string> down_backends() const;            // listed backends marked down
  int active_connections(const std::string& backend) const;  // connections counted there

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marblehub::policy
