// A keyed call may be repeated only while workers remember its first attempt, also when the connection for
// the repeat takes time.
#include <catch2/catch.hpp>

#include "fleet/service/dispatcher_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;
constexpr Time kWindow = 500 * kMillisecond;
constexpr Time kWait = 3000 * kMillisecond;  // of the call

Settings keyed_settings() {
  Settings settings = PolicyFixture::settings();
  settings.classes[0].repeat = Repeat::keyed;
  settings.classes[0].dedup_scope = DedupScope::cell;
  settings.classes[0].dedup_window_us = kWindow;
  return settings;
}

// A call whose first attempt was reset 8 ms before the end of its window, and that is being sent again.
struct RepeatedCall : DispatcherFixture {
  RepeatedCall() : DispatcherFixture(keyed_settings(), 3) {
    core::Call call;
    call.expires_in = kWait;
    exchange = &dispatcher->accept_call(call, *this, *this);
    REQUIRE(attempts == 1);
    first_sent_at = at;
    CHECK(exchange->may_begin());
    run(kWindow - 8 * kMillisecond);
    exchange->worker_ended(Outcome::reset, core::CloseKind::aborted);
    REQUIRE(attempts == 2);
  }
  void failed(std::string_view) override { failures += 1; }
  std::unique_ptr<core::Attempt> begin_attempt(core::Exchange&, const std::string&, const std::string&,
                                               Time) override {
    attempts += 1;
    return std::make_unique<FakeAttempt>();
  }
  core::Exchange* exchange = nullptr;
  Time first_sent_at = 0;
  int attempts = 0, failures = 0;
};

}  // namespace

// Guards against a repeat after the window, by a balancer that is held up or whose connection comes up late.
TEST_CASE("a keyed call is not sent again after its window though its connection began before") {
  RepeatedCall call;
  call.at = call.first_sent_at + kWindow;
  CHECK(call.exchange->may_begin());
  call.at += kMillisecond;
  CHECK_FALSE(call.exchange->may_begin());
  call.exchange->worker_ended(Outcome::not_sent, core::CloseKind::aborted);
  CHECK(call.attempts == 2);
  CHECK(call.failures == 1);  // the first attempt may have run, so that a rejection would not be true
  CHECK(call.refused == 0);
}

TEST_CASE("a keyed call that was not sent has no window") {
  DispatcherFixture calls(keyed_settings(), 3);
  core::Call call;
  call.expires_in = kWait;
  core::Exchange& exchange = calls.dispatcher->accept_call(call, calls, calls);
  exchange.worker_ended(Outcome::connect_failed, core::CloseKind::aborted);
  calls.at += 2 * kWindow;
  CHECK(exchange.may_begin());
}

}  // namespace marblehub::test
