// Random events on a dispatcher with stub fronts. A record of what reached the workers, kept apart from the
// program's own, decides which answers and attempts are allowed.
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "core/dispatcher.h"
#include "metrics/registry.h"
#include "support/policy_fixture.h"
#include "support/random_load.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;
constexpr Time kAnswerSlack = 60 * kMillisecond;  // after a deadline; a step takes up to 40 ms
constexpr Time kWindow = 400 * kMillisecond;      // in which workers discard repeats of a keyed call
constexpr std::size_t kWorkers = 8, kMaxCalls = 30;

std::string worker_name(std::size_t i) { return "w" + std::to_string(i); }

// The deduplication group of a worker, as listed.
struct Group {
  std::string zone;
  std::int64_t cell = -1;  // -1: none
};
// The last two workers are in no cell at first.
Group first_group_of(std::size_t i) {
  return {i < kWorkers / 2 ? "a" : "b", i >= kWorkers - 2 ? -1 : static_cast<std::int64_t>(i / 2)};
}

// An attempt as its worker saw it, and the group of the worker then.
struct SeenAttempt {
  std::size_t worker = 0;
  Group group;
  Time begun_at = 0;
  bool delivered = false, turned_away = false, over = false;
  bool may_have_run() const { return delivered && !turned_away; }
};

// One client with its call.
struct Caller final : core::ClientSide {
  void established(std::string_view) override { answers += 1; }
  void overload_reply(Time) override {
    answers += 1;
    for (const SeenAttempt& attempt : attempts)
      if (attempt.may_have_run())
        CHECK((effect.repeat == Repeat::safe ||
               (effect.repeat == Repeat::keyed && effect.dedup_scope == DedupScope::all)));
  }
  void failed(std::string_view) override { answers += 1; }
  void deliver(std::string_view) override {}
  void hold(bool) override {}
  void redirect() override { over = true; }
  void ended(core::CloseKind) override { over = true; }

  RequestClass effect;
  Time deadline = 0;
  core::Exchange* exchange = nullptr;  // until the call is over
  std::uint64_t id = 0;                // of the exchange; 0: not known yet
  std::vector<SeenAttempt> attempts;
  int answers = 0;
  bool over = false, left = false, resumes = false;
};

// The dispatcher, its clients and its workers on one simulated clock.
struct RandomCalls : core::Clock, core::Prober, core::Registry, core::WorkerSide {
  struct StubAttempt final : core::Attempt {
    StubAttempt(Caller& c, bool blames) : caller(c), index(c.attempts.size() - 1), worker_blamed(blames) {}
    ~StubAttempt() override { caller.attempts[index].over = true; }
    void deliver(std::string_view) override {}
    void hold(bool) override {}
    void finish(core::CloseKind) override {}
    bool proved_not_run() const override { return !caller.attempts[index].delivered; }
    bool timeout_blames_worker() const override { return worker_blamed; }
    Caller& caller;
    const std::size_t index;
    const bool worker_blamed;
  };

  explicit RandomCalls(std::uint64_t seed) : random(seed) {
    startup.settings = expensive_probes();
    startup.settings.stop_sending_within_us = 250 * kMillisecond;
    startup.settings.classes.clear();
    for (Repeat repeat : {Repeat::safe, Repeat::unsafe, Repeat::keyed})
      for (DedupScope scope : {DedupScope::all, DedupScope::zone, DedupScope::cell})
        startup.settings.classes.push_back({"c", 300'000, 150'000, repeat, scope, kWindow, true});
    startup.seed = seed;
    for (std::size_t i = 0; i < kWorkers; ++i) groups.push_back(first_group_of(i));
    startup.known = list(true);
    dispatcher = std::make_unique<core::Dispatcher>(startup, *this, *this, *this, metrics);
  }

  // Plays until `end`, then ends all calls as a planned restart does.
  void run(Time span) {
    for (const Time end = at + span; at < end;) step();
    dispatcher->end_all();
    for (const auto& caller : callers) check_answered(*caller);
    CHECK(dispatcher->unanswered() == 0);
    dispatcher->free_ended();
  }
  void step() {
    at += static_cast<Time>(random.below(40)) * kMillisecond;
    dispatcher->advance();
    dispatcher->free_ended();
    for (const std::string& worker : std::exchange(probed, {}))
      dispatcher->probe_result(worker, 5000, random.one_in(4) ? Outcome::timeout : Outcome::served,
                               {static_cast<double>(random.below(10)) / 10});
    if (random.one_in(3)) begin_call();
    if (random.one_in(20)) dispatcher->list_received(list(random.one_in(2)));
    if (random.one_in(400)) dispatcher->end_all();
    for (std::size_t i = 0; i < 4 && !callers.empty(); ++i) change(*random.of(callers));
    for (const auto& caller : callers)
      if (at > caller->deadline + kAnswerSlack && !caller->resumes) check_answered(*caller);
    dispatcher->free_ended();
    std::erase_if(callers, [](const auto& caller) { return is_over(*caller); });
  }
  static bool is_over(const Caller& caller) {
    bool attempt_out = !caller.attempts.empty() && !caller.attempts.back().over;
    return !attempt_out && (caller.left || caller.answers > 0);
  }
  static void check_answered(const Caller& caller) { CHECK((caller.left || caller.answers == 1)); }

  void begin_call() {
    if (callers.size() >= kMaxCalls) return;
    callers.push_back(std::make_unique<Caller>());
    Caller& caller = *callers.back();
    core::Call call;
    call.request_class = static_cast<int>(random.below(startup.settings.classes.size()));
    call.expires_in = static_cast<Time>(20 + random.below(1500)) * kMillisecond;
    caller.resumes = random.one_in(8);
    if (caller.resumes) call.handover_worker = worker_name(random.below(kWorkers));
    caller.effect = startup.settings.classes[static_cast<std::size_t>(call.request_class)];
    caller.deadline = at + call.expires_in;
    beginning = &caller;
    core::Exchange& exchange = dispatcher->accept_call(std::move(call), caller, *this);
    beginning = nullptr;
    caller.id = exchange.id();
    if (caller.answers == 0) caller.exchange = &exchange;
  }
  void change(Caller& caller) {
    if (!caller.exchange || caller.left || caller.over || (caller.answers > 0 && !is_established(caller)))
      return;
    if (random.one_in(25)) {
      caller.left = true;
      return caller.exchange->client_left(core::CloseKind::orderly);
    }
    if (caller.attempts.empty() || caller.attempts.back().over) return;
    SeenAttempt& attempt = caller.attempts.back();
    if (is_established(caller)) return end(caller, Outcome::served);
    if (!attempt.delivered && random.one_in(2)) return connected(caller);
    if (!attempt.delivered)
      return end(caller, random.one_in(2) ? Outcome::connect_failed : Outcome::not_sent);
    switch (random.below(5)) {
      case 0:
        return caller.exchange->worker_established("UP");
      case 1:
        attempt.turned_away = true;
        return end(caller, Outcome::full);
      case 2:
        return end(caller, Outcome::reset);
      case 3:
        return end(caller, Outcome::error);
      default:
        return;  // nothing comes, until a time-out
    }
  }
  // The connection to the worker is up, and the call is sent unless it must not be any more.
  void connected(Caller& caller) {
    if (!caller.exchange->may_begin()) return end(caller, Outcome::not_sent);
    for (const SeenAttempt& first : caller.attempts)
      if (first.may_have_run() && caller.effect.repeat == Repeat::keyed)
        CHECK(at <= first.begun_at + kWindow);
    caller.attempts.back().delivered = true;
  }
  static bool is_established(const Caller& caller) {
    return caller.answers > 0 && !caller.attempts.empty() && !caller.attempts.back().over;
  }
  static void end(Caller& caller, Outcome outcome) {
    caller.exchange->worker_ended(outcome, core::CloseKind::orderly);
  }

  config::WorkerList list(bool snapshot) {
    config::WorkerList list;
    list.snapshot = snapshot;
    for (std::size_t i = 0; i < kWorkers; ++i) {
      if (!snapshot && !random.one_in(3)) continue;
      Health health =
          random.one_in(4) ? random.one_in(2) ? Health::draining : Health::deleted : Health::serving;
      if (random.one_in(2)) groups[i] = first_group_of(random.below(kWorkers));
      list.workers.push_back({{health, worker_name(i), groups[i].zone, 0, 1, groups[i].cell}, "127.0.0.1:1"});
    }
    return list;
  }

  Time now() const override { return at; }
  void probe(const std::string& worker, const std::string&) override { probed.push_back(worker); }
  void watch_endpoints() override {}
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange& exchange, const std::string& worker,
                                               const std::string&, Time) override {
    Caller& caller = caller_of(exchange);
    const std::size_t next = std::stoul(worker.substr(1));
    for (const SeenAttempt& first : caller.attempts) {
      CHECK(first.over);
      if (!first.may_have_run() || caller.effect.repeat == Repeat::safe) continue;
      CHECK(caller.effect.repeat == Repeat::keyed);
      if (caller.effect.dedup_scope == DedupScope::zone) CHECK(first.group.zone == groups[next].zone);
      if (caller.effect.dedup_scope == DedupScope::cell) {
        CHECK(first.group.cell == groups[next].cell);
        CHECK((first.worker == next || groups[next].cell >= 0));
      }
    }
    caller.attempts.push_back({next, groups[next], at});
    attempts += 1;
    repeats += caller.attempts.size() > 1;
    return std::make_unique<StubAttempt>(caller, !random.one_in(3));
  }
  Caller& caller_of(const core::Exchange& exchange) {
    for (const auto& caller : callers)
      if (caller->id == exchange.id()) return *caller;
    REQUIRE(beginning);
    beginning->id = exchange.id();
    return *beginning;
  }

  Time at = 1'800'000'000'000'000;
  RandomChoice random;
  config::Startup startup;
  metrics::Registry metrics;
  std::vector<std::unique_ptr<Caller>> callers;  // outlive the dispatcher, whose attempts refer to them
  Caller* beginning = nullptr;                   // the call that accept_call has not returned yet
  std::unique_ptr<core::Dispatcher> dispatcher;
  std::vector<std::string> probed;
  std::vector<Group> groups;  // of the workers, as listed last
  int attempts = 0, repeats = 0;
};

}  // namespace

// Guards against a rejection of a call that may have run, an attempt outside its deduplication group, and a
// call without its one answer in time.
TEST_CASE("no call that may have run is rejected or repeated outside its group under random load") {
  for (std::uint64_t seed : load_seeds({1, 2, 3, 4, 5, 6, 7, 8})) {
    INFO("seed " << seed);
    RandomCalls calls(seed);
    calls.run(load_duration_ms(120'000) * kMillisecond);
    CHECK(calls.attempts > 100);
    CHECK(calls.repeats > 10);
  }
}

}  // namespace marblehub::test
