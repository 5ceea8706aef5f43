// Attempts that must not begin because their client has left, where sockets cannot force the moment: the
// module's sweep decides, and the client's end is still unread.
#include <catch2/catch.hpp>

#include "fleet/service/dispatcher_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;

struct Leaving : DispatcherFixture {
  using DispatcherFixture::DispatcherFixture;
  bool is_connected() const override { return there; }
  core::Exchange& ask() {
    core::Call call;
    call.expires_in = 2500 * kMillisecond;
    return dispatcher->accept_call(call, *this, *this);
  }
  // Failures of attempts: from then on the module has two calls out at once at most.
  void cut_limit() {
    core::Exchange& exchange = ask();
    for (int i = 0; i < startup.settings.max_attempts; ++i)
      exchange.worker_ended(Outcome::error, core::CloseKind::orderly);
    run(5000 * kMillisecond);
    last_worker.clear();
    refused = 0;
  }

  bool there = true;
};

}  // namespace

TEST_CASE("a call whose client left while a report was awaited is not sent on") {
  Leaving d(expensive_probes(), 1);
  core::Exchange& exchange = d.ask();
  REQUIRE(d.last_worker.empty());  // it waits for the report of the one worker
  d.there = false;
  d.run(300 * kMillisecond);
  CHECK(d.last_worker.empty());
  exchange.client_left(core::CloseKind::orderly);
  d.there = true;
  d.ask();
  d.run(300 * kMillisecond);
  CHECK(d.last_worker.size() == 1);
}

TEST_CASE("an attempt that was not begun counts as over for the module once its client's end is read") {
  Leaving d(PolicyFixture::settings(), 1);
  d.cut_limit();
  d.there = false;
  for (int i = 0; i < 4; ++i) d.ask().client_left(core::CloseKind::orderly);
  CHECK(d.last_worker.empty());
  d.there = true;
  d.ask();
  CHECK(d.last_worker.size() == 1);
  CHECK(d.refused == 0);
}

TEST_CASE("an attempt that was not begun counts as over where its client's end is never read") {
  Leaving d(PolicyFixture::settings(), 1);
  d.cut_limit();
  d.there = false;
  for (int i = 0; i < 4; ++i) d.ask();
  d.run(3000 * kMillisecond);
  CHECK(d.last_worker.empty());
  CHECK(d.refused == 4);  // one answer each, at the deadline
  CHECK(d.dispatcher->unanswered() == 0);
  d.there = true;
  d.ask();
  CHECK(d.last_worker.size() == 1);
}

}  // namespace marblehub::test
