// The answer to a call that is ended before a worker accepts it, for each effect of a class: a rejection only
// where coming again can do no harm.
#include <catch2/catch.hpp>

#include "fleet/service/dispatcher_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;
constexpr Time kWait = 700 * kMillisecond;  // of each call
// Fresh enough for a first attempt, and too old for a second one at the end of the call's time.
constexpr Time kReportAge = 1700 * kMillisecond;
constexpr Time kProbeBudgetTime = 20'000 * kMillisecond;  // until two load reports can be requested in a row

// The effect of a class, and whether a call that may have run can be rejected.
struct Effect {
  Repeat repeat;
  DedupScope scope;
  bool may_reject;
};
constexpr Effect kEffects[] = {{Repeat::safe, DedupScope::all, true},
                               {Repeat::unsafe, DedupScope::all, false},
                               {Repeat::keyed, DedupScope::all, true},
                               {Repeat::keyed, DedupScope::zone, false},
                               {Repeat::keyed, DedupScope::cell, false}};

Settings settings_of(const Effect& effect) {
  Settings settings = expensive_probes();  // so that attempts wait for load reports
  settings.classes[0].repeat = effect.repeat;
  settings.classes[0].dedup_scope = effect.scope;
  settings.classes[0].dedup_window_us = 5'000 * kMillisecond;
  return settings;
}

// Counts the two kinds of answers apart; attempts are sent at once unless `connecting`.
struct AnsweredCalls : DispatcherFixture {
  struct StubAttempt final : FakeAttempt {
    explicit StubAttempt(bool u) : unsent(u) {}
    bool proved_not_run() const override { return unsent; }
    const bool unsent;
  };
  explicit AnsweredCalls(const Effect& effect) : DispatcherFixture(settings_of(effect), 2) {}
  core::Exchange& submit_call() {
    core::Call call;
    call.expires_in = kWait;
    return dispatcher->accept_call(call, *this, *this);
  }
  // Probes are not answered; loads are reported when the test says so.
  void probe(const std::string&, const std::string&) override {}
  void report_loads() {
    for (const char* worker : {"1", "2"})
      dispatcher->probe_result(worker, 5 * kMillisecond, Outcome::served, {0.3});
  }
  void overload_reply(Time) override { rejected += 1; }
  void failed(std::string_view) override { failures += 1; }
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange&, const std::string&, const std::string&,
                                               Time) override {
    attempts += 1;
    return std::make_unique<StubAttempt>(connecting);
  }
  void check_one_answer(bool rejection) const {
    CHECK(rejected == (rejection ? 1 : 0));
    CHECK(failures == (rejection ? 0 : 1));
  }
  double value_of(const std::string& name) const {
    for (const auto& metric : metrics.all())
      if (metric.name == name) return metric.value;
    return 0;
  }
  bool connecting = false;
  int attempts = 0, rejected = 0, failures = 0;
};

}  // namespace

// Guards against BUSY at a planned restart for a call that a worker may have run.
TEST_CASE("a restart rejects a waiting call only where it cannot be executed twice") {
  for (const Effect& effect : kEffects) {
    AnsweredCalls calls(effect);
    calls.submit_call();
    calls.run(100 * kMillisecond);  // also over the wait for a load report
    REQUIRE(calls.attempts == 1);
    calls.dispatcher->end_all();
    calls.check_one_answer(effect.may_reject);
  }
}

TEST_CASE("a restart rejects a call of any effect that was not sent") {
  for (const Effect& effect : kEffects) {
    AnsweredCalls before_first_attempt(effect);
    before_first_attempt.submit_call();
    REQUIRE(before_first_attempt.attempts == 0);
    before_first_attempt.dispatcher->end_all();
    before_first_attempt.check_one_answer(true);

    AnsweredCalls while_connecting(effect);
    while_connecting.connecting = true;
    while_connecting.submit_call();
    while_connecting.run(100 * kMillisecond);
    REQUIRE(while_connecting.attempts == 1);
    while_connecting.dispatcher->end_all();
    while_connecting.check_one_answer(true);
  }
}

// Guards against BUSY for a call that waits for a load report until its deadline, after an attempt that was
// reset.
TEST_CASE("a deadline during the wait for a load report rejects only what cannot be executed twice") {
  for (const Effect& effect : kEffects) {
    double answered_at_deadline = 0;
    // The policy looks at waiting calls every 50 ms; where the deadline falls between two looks varies.
    for (Time offset = 0; offset < 50 * kMillisecond; offset += kMillisecond) {
      const Time left = 55 * kMillisecond + offset / 5;
      AnsweredCalls calls(effect);
      calls.run(kProbeBudgetTime);
      calls.report_loads();
      calls.run(kReportAge + offset);
      core::Exchange& exchange = calls.submit_call();
      calls.run(kWait - left);
      REQUIRE(calls.attempts == 1);
      exchange.worker_ended(Outcome::reset, core::CloseKind::aborted);
      calls.run(left + 60 * kMillisecond);
      INFO("reset " << left << " us before the deadline, offset " << offset);
      calls.check_one_answer(effect.may_reject);
      answered_at_deadline += calls.value_of("marblehub_deadline_answers_total");
    }
    CHECK((answered_at_deadline > 0 || effect.repeat == Repeat::unsafe));  // an unsafe call waits for nothing
  }
}

// Guards against BUSY for a call whose time-out is not blamed on its worker, as for an unvalidated QUIC
// client.
TEST_CASE("a call that was sent and times out counts as one that may have run, whoever is to blame") {
  struct Unblamed final : AnsweredCalls {
    struct UnblamedAttempt final : FakeAttempt {
      bool timeout_blames_worker() const override { return false; }
    };
    using AnsweredCalls::AnsweredCalls;
    std::unique_ptr<core::Attempt> begin_attempt(core::Exchange&, const std::string&, const std::string&,
                                                 Time) override {
      attempts += 1;
      return std::make_unique<UnblamedAttempt>();
    }
  };
  Unblamed calls(kEffects[1]);
  calls.submit_call();
  calls.run(kWait + 60 * kMillisecond);
  CHECK(calls.attempts == 1);
  calls.check_one_answer(false);
}

}  // namespace marblehub::test
