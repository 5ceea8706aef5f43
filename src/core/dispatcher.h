// Drives the decision module: turns what the fronts see into its events, carries out its actions, and keeps
// every deadline. It owns the balancer, the calls and the timers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/exchange.h"
#include "core/ports.h"

namespace marblehub::core {

class Dispatcher {
 public:
  Dispatcher(const config::Startup& startup, const Clock& clock, Prober& prober, Registry& registry,
             Counters& counters);
  ~Dispatcher();

  Time now() const { return clock_.now(); }
  int class_named(std::string_view name) const;  // -1: none
  const marblehub::policy::Settings& settings() const { return settings_; }

  // ---- From the fronts.
  Exchange& take(Call call, ClientSide& client, WorkerSide& workers);
  // A connection that stands already, at this worker: another balancer set it up, and it has come here. Its
  // past, how long it has stood and whether its client was moved, is known only where the call says it all.
  Exchange& adopt(Call call, ClientSide& client, WorkerSide& workers, const std::string& worker,
                  std::unique_ptr<Attempt> attempt, bool past_known = false);
  void probe_result(const std::string& worker, Time rtt, Outcome outcome, const LoadReport& report);
  void list_told(const config::WorkerList& list);
  void list_refused();

  // ---- For a planner of moves: who watches, and the one way to move a standing connection. False where
  // there is none by that number, or it is being moved already.
  void watched_by(StandingWatch& watch) { watch_ = &watch; }
  bool move(std::uint64_t id);
  // Those that the gate would not place where they stand, by its rules of now. O(standing)
  std::vector<std::uint64_t> outside() const;
  std::uint64_t gate_changes() const { return gate_ ? gate_->changes() : 0; }

  // ---- For routes and wallets. Before the first call; it outlives the dispatcher's last step, and has the
  // list of the start from elsewhere.
  void gated_by(CallGate& gate) { gate_ = &gate; }

  // ---- Time. next_due is the earliest moment at which advance has something to do.
  Time next_due() const;
  void advance();
  // Before each wait for the fronts' sockets, when all that was found by the last one has been handled.
  void waits() { waits_since_ = now(); }
  void free_ended() {
    ended_.clear();
  }  // what is over is freed here only, when no front is inside a call of it

  // ---- A planned restart: every standing connection is told to move within `span`.
  void retire(Time span);
  // The last moment: no call taken goes without its answer, and no client that stands without MOVE.
  void end_all();
  std::size_t unanswered() const { return unanswered_; }
  std::size_t standing() const { return calls_.size() - unanswered_; }

  // The workers that the registry has named, those that drain or are gone included.
  struct Worker {
    std::string address;  // where this balancer reaches it
    marblehub::policy::Health health = marblehub::policy::Health::serving;
    Time leaving_since = 0;  // when it was first told to drain or be gone
    Time moved_since = 0;    // when it was told to be at another address than before
  };
  const std::unordered_map<std::string, Worker>& workers() const { return known_; }
  std::uint64_t list_version() const { return list_version_; }  // grows with every list or change

 private:
  friend class Exchange;
  enum class Answer { overload, failed };
  enum class Due { module, attempt, deadline, watch, move, again };
  struct Timer {
    Time when;
    Due due;
    std::uint64_t id = 0;
    int attempt = 0;
    bool operator>(const Timer& other) const { return when > other.when; }
  };
  struct Pace {  // how messages at one worker fare
    Time noted_at = 0;
    bool slow = false;
  };

  // From exchanges.
  bool may_begin(const std::string& worker, const std::string& address) const;
  void established(Exchange& exchange);
  void message_took(Exchange& exchange, Time delay);
  void load_changed(Exchange& exchange, double load);
  void attempt_over(Exchange& exchange, Outcome outcome, const LoadReport& report, bool terminal);
  void left(Exchange& exchange, bool stood);
  void redirected(Exchange& exchange);
  void has_open_business(Exchange& exchange) { busy_.insert(exchange.id_); }

  Exchange& enter(Call call, ClientSide& client, WorkerSide& workers);
  std::string address_of(const std::string& worker) const;  // empty: unknown
  void learn(const config::WorkerList& list);
  void tell_list(marblehub::policy::ListForm form, const config::WorkerList& list);
  void tell(marblehub::policy::Event event);
  void pump();
  void act(const marblehub::policy::Action& action);
  void submit(const marblehub::policy::Submit& action);
  void begin_attempt(Exchange& exchange, const std::string& worker, Time wait);
  void hand_over(Exchange& exchange);
  void handed_again(Exchange& exchange);
  void expire(const Timer& timer);
  bool stalled_since_last_look();
  void watch_standing();
  void follow_gate();
  void answer(Exchange& exchange, Answer answer, Time pause, std::string_view words);
  void answer_and_close(Exchange& exchange, Answer answer, Time pause);
  marblehub::policy::RequestEvent request_of(const Exchange& exchange) const;
  marblehub::policy::ResultEvent result_of(const Exchange& exchange, Outcome outcome,
                                           const LoadReport& report, bool terminal) const;
  void close(Exchange& exchange);
  Exchange* find(std::uint64_t id);

  const marblehub::policy::Settings settings_;
  const Clock& clock_;
  Prober& prober_;
  Registry& registry_;
  marblehub::policy::Balancer balancer_;
  std::unordered_map<std::string, Worker> known_;
  std::uint64_t list_version_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> calls_;
  std::vector<std::unique_ptr<Exchange>> ended_;
  // Standing ones with a message out or a move to make, and some that had: of many thousands that stand few
  // have, and only these are looked at five times a second.
  std::set<std::uint64_t> busy_;
  StandingWatch* watch_ = nullptr;
  CallGate* gate_ = nullptr;
  int shared_by_ = 0;  // balancers, as the module was last told; 0: as the settings say
  std::unordered_map<std::string, Pace> paces_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::deque<marblehub::policy::Event> events_;
  std::uint64_t next_id_ = 1;
  std::size_t unanswered_ = 0;
  Time waits_since_ = 0;  // what is read now may have come at any time since; 0: never told
  bool pumping_ = false;
  Time looked_at_ = 0;         // when the standing connections were last looked at
  bool look_put_off_ = false;  // for the stall found at the last look
  Time message_aim_;

  Counter &taken_, &adopted_, &served_, &overloads_, &failed_, &left_waiting_, &late_, &attempts_begun_,
      &moves_, &silent_moves_, &slow_notes_, &probes_, &lists_, &lists_refused_, &held_back_,
      &standing_gauge_, &waiting_gauge_, &down_gauge_;
  std::vector<Counter*> outcomes_, probe_outcomes_;
};

}  // namespace marblehub::core
