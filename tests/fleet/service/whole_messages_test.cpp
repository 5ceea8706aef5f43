// Moves that come while the worker is inside a message, by those who decide on them beside the policy.
#include <catch2/catch.hpp>

#include "dispatcher_fixture.h"

namespace marblehub::test {
namespace {

constexpr Time kMillisecond = 1000;

// A dispatcher with one established connection, whose worker has begun a message.
struct InsideMessage : DispatcherFixture {
  InsideMessage() : DispatcherFixture(PolicyFixture::settings(), 2) {
    dispatcher->set_gate(gate);
    exchange = &dispatcher->adopt({}, *this, *this, "1", std::make_unique<FakeAttempt>(), true);
    exchange->worker_sent({{}, 0, false});
    REQUIRE(dispatcher->established_count() == 1);
  }
  FakeGate gate;
  core::Exchange* exchange;
};

}  // namespace

// Guards against a move that cuts off a message which its worker is still writing, or never comes.
TEST_CASE("a move by the planner or for routes waits for the end of a message") {
  InsideMessage f;
  SECTION("for balance") {}
  SECTION("for routes") { f.gate.pool = {"elsewhere"}; }
  REQUIRE(f.dispatcher->move(f.exchange->id()));
  SECTION("the message ends") {
    f.run(600 * kMillisecond);
    CHECK(f.moved == 0);
    f.exchange->worker_sent({"whole", 1, true});
    CHECK(f.moved == 1);
  }
  SECTION("the message does not end") {
    f.run(600 * kMillisecond);
    CHECK(f.moved == 0);
    f.run(500 * kMillisecond);
    CHECK(f.moved == 1);
  }
}

}  // namespace marblehub::test
