// Attempts must not begin at a draining worker after the grace period of the settings, nor be stopped much
// before its end.
#include <catch2/catch.hpp>

#include "fleet/service/dispatcher_fixture.h"
#include "support/program.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;

// `grace`: microseconds.
Settings settings_with_grace(Time grace) {
  json document = settings();
  document["invariants"]["stop_sending_within_us"] = grace;
  return config::settings_from(config::flatten(document.dump(), ""));
}

// A full list with this worker only, which is draining.
config::WorkerList draining_list(const BackendEntry& worker) {
  config::WorkerList list;
  list.workers.push_back({worker, "127.0.0.1:1"});
  list.workers.back().backend.health = Health::draining;
  return list;
}

core::Call call() {
  core::Call call;
  call.expires_in = 2500 * kMillisecond;
  return call;
}

}  // namespace

TEST_CASE("no attempt begins at a draining worker after the grace period of the settings") {
  for (Time grace_ms : {0, 50, 120, 250, 500}) {
    INFO("grace of " << grace_ms << " ms");
    DispatcherFixture d(settings_with_grace(grace_ms * kMillisecond), 1);
    core::Exchange& exchange = d.dispatcher->accept_call(call(), d, d);
    d.run(100 * kMillisecond);
    REQUIRE(d.last_worker.size() == 1);
    REQUIRE(exchange.may_begin());
    Time reported_at = d.at;
    d.dispatcher->list_received(draining_list(test::workers(1).front()));
    Time last_ms = -1;  // latest time after the report at which an attempt could begin
    for (Time waited_ms = 0; waited_ms <= 1000; waited_ms += 10) {
      d.at = reported_at + waited_ms * kMillisecond;
      if (exchange.may_begin()) last_ms = waited_ms;
    }
    CHECK(last_ms < grace_ms);
    CHECK(last_ms >= grace_ms - 120);  // the dispatcher's margin of 100 ms, the step of 10 ms and a tolerance
  }
}

}  // namespace marblehub::test
