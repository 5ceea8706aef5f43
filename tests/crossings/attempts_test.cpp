// Attempts that must not begin because their client has left, while the client's end is still unread.
#include <catch2/catch.hpp>

#include "fleet/service/dispatcher_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;

// A dispatcher whose client can disconnect, seen by is_connected, before its end is read.
struct LeavingClient : DispatcherFixture {
  using DispatcherFixture::DispatcherFixture;
  bool is_connected() const override { return client_connected; }
  core::Exchange& submit_call() {
    core::Call call;
    call.expires_in = 2500 * kMillisecond;
    return dispatcher->accept_call(call, *this, *this);
  }
  // Fails attempts until the policy allows at most two outstanding calls.
  void exhaust_attempts() {
    core::Exchange& exchange = submit_call();
    for (int i = 0; i < startup.settings.max_attempts; ++i)
      exchange.worker_ended(Outcome::error, core::CloseKind::orderly);
    run(5000 * kMillisecond);
    last_worker.clear();
    refused = 0;
  }

  bool client_connected = true;
};

}  // namespace

TEST_CASE("a call whose client left while a report was awaited is not sent on") {
  LeavingClient d(expensive_probes(), 1);
  core::Exchange& exchange = d.submit_call();
  REQUIRE(d.last_worker.empty());  // the call waits for a load report of the only worker
  d.client_connected = false;
  d.run(300 * kMillisecond);
  CHECK(d.last_worker.empty());
  exchange.client_left(core::CloseKind::orderly);
  d.client_connected = true;
  d.submit_call();
  d.run(300 * kMillisecond);
  CHECK(d.last_worker.size() == 1);
}

TEST_CASE("an attempt that was not begun counts as over for the policy once its client's end is read") {
  LeavingClient d(PolicyFixture::settings(), 1);
  d.exhaust_attempts();
  d.client_connected = false;
  for (int i = 0; i < 4; ++i) d.submit_call().client_left(core::CloseKind::orderly);
  CHECK(d.last_worker.empty());
  d.client_connected = true;
  d.submit_call();
  CHECK(d.last_worker.size() == 1);
  CHECK(d.refused == 0);
}

TEST_CASE("an attempt that was not begun counts as over where its client's end is never read") {
  LeavingClient d(PolicyFixture::settings(), 1);
  d.exhaust_attempts();
  d.client_connected = false;
  for (int i = 0; i < 4; ++i) d.submit_call();
  d.run(3000 * kMillisecond);
  CHECK(d.last_worker.empty());
  CHECK(d.refused == 4);  // one answer each, at the deadline
  CHECK(d.dispatcher->unanswered() == 0);
  d.client_connected = true;
  d.submit_call();
  CHECK(d.last_worker.size() == 1);
}

}  // namespace marblehub::test
