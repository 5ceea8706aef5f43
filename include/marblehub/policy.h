// marblehub::policy: every decision of a balancer for long-lived connections, with no I/O, clock or wire.
//
// A relay makes one Balancer, hands it every event with the time at which it was seen, and carries out the
// actions it gets back, in order. No I/O, no clock, no thread and no global state: the same settings, seed
// and events always give the same actions. All times are microseconds on a clock that only advances.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marblehub::policy {

using Time = std::int64_t;  // microseconds

// A number for a name, the same at every relay and in every build (FNV-1a).
constexpr std::uint64_t name_hash(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325;
  for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return h;
}

// The same with every bit spread over all others (the finaliser of MurmurHash3), to rank names by.
constexpr std::uint64_t mixed(std::uint64_t x) {
  x ^= x >> 33, x *= 0xff51afd7ed558ccd, x ^= x >> 33, x *= 0xc4ceb9fe1a85ec53;
  return x ^ x >> 33;
}

// ---- Settings, handed in once
// ------------------------------------------------------------------------------

enum class Repeat { safe, keyed, unsafe };  // what a second effect of the same request would do
enum class DedupScope { all, zone, cell };  // keyed only: the backends that drop each other's repeats

struct RequestClass {
  std::string name;
  Time slo_us = 0;          // an answer within this earns the full worth
  Time message_aim_us = 0;  // wanted time of a message on an open connection; 0: none stated
  Repeat repeat = Repeat::safe;
  DedupScope dedup_scope = DedupScope::all;
  Time window_us = 0;   // keyed: how long repeats are remembered
  bool stream = false;  // a connection: Established arrives once it stands
};

struct Settings {
  int balancers = 1;  // relays in this tier, this one included
  int me = 0;         // this relay's number among them, from 0
  std::string zone;
  bool ask_registry = false;  // the backend list must be asked for
  bool groups = false;        // a backend that holds any connection of a group pays for the group once
  std::vector<RequestClass> classes;

  int max_attempts = 1;
  bool may_probe = true;
  bool told_load = true;  // by probes or answers; else a probe says only that a backend lives
  bool may_send_retry_after = true;
  Time max_retry_after_us = 0;  // the longest pause that a client honours
  Time connect_timeout_us = 250000;
  Time stop_sending_within_us = 0;  // of the news that a backend drains or is gone; 0: at once

  double cold_share = 1;        // a backend starts at this share of its capacity or above
  Time warm_within_us = 0;      // and is warm no later than this
  double price_probe = 0;       // points for one probe a request
  double price_cross_zone = 0;  // points for every attempt crossing zones
};

// A missing or impossible figure, named by its key; empty when all is well.
std::string settings_error(const Settings& settings);

// ---- Events
// ------------------------------------------------------------------------------------------------

enum class Health { serving, draining, deleted };

struct BackendEntry {
  Health health = Health::serving;
  std::string address;
  std::string zone;
  Time start_time = 0;  // of its latest start; 0: long ago
  double scale = 1;     // size, for comparison with other backends
  std::int64_t cell = -1;
};

enum class ListForm { changes, all, remembered, refused };

struct MembersEvent {
  ListForm form = ListForm::all;
  std::shared_ptr<const std::vector<BackendEntry>> entries;  // none when refused
};

struct RequestEvent {
  std::uint64_t id = 0;
  int request_class = 0;    // index into Settings::classes
  Time expires_in = 0;      // until the client gives this try up
  double load_hint = 0;     // work a second that it will ask for; 0: unknown
  bool returned = false;    // the client comes back after a break or a move
  std::uint64_t group = 0;  // of connections that share work on a backend; 0: none
  std::shared_ptr<const std::set<std::string>> only = nullptr;  // the backends it may use; none: any
};

struct HandoverEvent {  // a connection already open at start: attempt 0 stands at the backend
  RequestEvent request;
  std::string backend;
};

struct EstablishedEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  Time rtt = 0;
};

enum class Outcome { served, error, full, timeout, connect_failed, reset, cancelled, not_sent };

struct LoadReport {
  double load = -1;  // load asked over what the backend can do; negative: not reported
};

struct ResultEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  bool terminal = false;  // the request has ended
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

struct ProbeResultEvent {
  std::string backend;
  Time rtt = 0;
  Outcome outcome = Outcome::served;
  LoadReport report;
};

enum class NoteKind { load_changed, messages_slow };

struct NoteEvent {
  std::uint64_t id = 0;
  int attempt = 0;
  NoteKind kind = NoteKind::load_changed;
  double level = 0;  // load_changed: work a second in microseconds; messages_slow: milliseconds a message
};

struct TimerEvent {
  std::uint64_t cookie = 0;
};

struct ClientGoneEvent {
  std::uint64_t id = 0;
};

using Event = std::variant<MembersEvent, RequestEvent, HandoverEvent, EstablishedEvent, ResultEvent,
                           ProbeResultEvent, NoteEvent, TimerEvent, ClientGoneEvent>;

// ---- Actions
// -----------------------------------------------------------------------------------------------

struct Submit {  // begin an attempt; given up at not_past
  std::uint64_t id = 0;
  std::string backend;
  Time not_past = 0;
};
struct Reject {  // final answer: rejected, trying again is harmless; retry_after 0: no hint
  std::uint64_t id = 0;
  Time retry_after = 0;
};
struct Fail {  // final answer: failed, promising nothing
  std::uint64_t id = 0;
};
struct Redirect {  // end an open connection politely; its client comes back
  std::uint64_t id = 0;
};
struct Probe {
  std::string backend;
};
struct Track {};  // ask discovery for changes from now on
struct SetTimer {
  Time after = 0;
  std::uint64_t cookie = 0;
};

using Action = std::variant<Submit, Reject, Fail, Redirect, Probe, Track, SetTimer>;

// ---- The balancer
// ------------------------------------------------------------------------------------------

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends what to do about the event. Events on unknown or ended requests and backends change nothing.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  // From now on the fleet's budgets are shared by so many relays, 1 at least, in place of
  // Settings::balancers: where relays know of each other how many are there. Probes earned until then are
  // kept.
  void shared_by(int balancers);

  // What the bookkeeping holds, for a relay's own metrics and for tests.
  struct Counts {
    std::size_t unanswered = 0;  // requests still owed a final answer
    std::size_t open = 0;        // connections that stand
    std::size_t down = 0;        // listed backends marked down
  };
  Counts counts() const;                         // walks all requests
  std::vector<std::string> down() const;         // listed backends marked down
  int active(const std::string& backend) const;  // connections counted there

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marblehub::policy
