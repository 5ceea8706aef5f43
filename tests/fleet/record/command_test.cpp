// How commands change a ledger.
#include "fleet/record/command.h"

#include <catch2/catch.hpp>
#include <random>

using namespace marblehub::fleet;

namespace {

/// A ledger to which commands are applied in the order of their sender.
struct TestLedger {
  Ledger ledger;
  std::uint64_t number = 0;
  std::string submit(Body body, const std::string& sender = "b1", std::uint64_t incarnation = 1) {
    const CommandId& last = ledger.last_commands[sender];
    return apply(ledger, ledger.applied + 1,
                 {{sender, incarnation, last.incarnation == incarnation ? last.number + 1 : 1}, body});
  }
};

}  // namespace

TEST_CASE("a command is applied once, in its sender's order") {
  Ledger ledger;
  const Command first{{"b1", 5, 1}, Deposit{"w", "d1", 10}}, second{{"b1", 5, 2}, Deposit{"w", "d2", 5}};
  CHECK(apply(ledger, 1, second) == "out of order");
  CHECK(apply(ledger, 2, first).empty());
  CHECK(apply(ledger, 3, first) == "already applied");
  CHECK(apply(ledger, 4, second).empty());
  CHECK(apply(ledger, 4, {{"b1", 5, 3}, Deposit{"w", "d3", 5}}) == "index 4 is already applied");
  CHECK(apply(ledger, 5, {{"b1", 4, 3}, Deposit{"w", "d4", 5}}) == "from an earlier incarnation");
  CHECK(apply(ledger, 6, {{"b1", 6, 1}, Deposit{"w", "d1", 5}}) == "deposit d1 is a duplicate");
  CHECK(ledger.wallets["w"].balance == 15);
  CHECK(ledger.applied == 6);
}

TEST_CASE("a version is accepted by all, activated for a time, and cannot be aborted then") {
  TestLedger test;
  RouteState& routes = test.ledger.routes;
  CHECK(test.submit(ProposeRoutes{3, "three", {"b1", "b2", "b3"}, 100}).empty());
  CHECK(test.submit(ProposeRoutes{3, "three", {"b1"}, 100}) == "version 3 is not above 3");
  CHECK(test.submit(ActivateRoutes{3, 900}) == "version 3 is waiting for b1 and 2 more");
  CHECK(test.submit(AnswerRoutes{3, "b1", "", false}).empty());
  CHECK(test.submit(AnswerRoutes{3, "b1", "", false}) == "b1 is not waited for");
  CHECK(test.submit(AnswerRoutes{3, "b2", "", false}).empty());
  CHECK(test.submit(AnswerRoutes{3, "b3", "", true}).empty());
  CHECK(test.submit(ActivateRoutes{3, 900}).empty());
  CHECK(routes.next == 3);
  CHECK(routes.next_text == "three");
  CHECK(routes.staged == 0);
  CHECK_FALSE(test.submit(AbortRoutes{3, "late"}).empty());
  CHECK_FALSE(test.submit(AnswerRoutes{3, "b2", "no", false}).empty());
  // Before the activation is complete another version may be staged, but not activated.
  CHECK(test.submit(ProposeRoutes{4, "four", {"b1"}, 899}).empty());
  CHECK(test.submit(AnswerRoutes{4, "b1", "", false}).empty());
  CHECK(test.submit(ActivateRoutes{4, 2000}) == "the activation of version 3 is not complete");
  CHECK(test.submit(CompleteRoutes{3}).empty());
  CHECK(routes.in_force == 3);
  CHECK(routes.text == "three");
  CHECK(routes.activation_time == 900);
  CHECK(test.submit(ActivateRoutes{4, 900}) == "the activation time is not after the previous one");
  CHECK(test.submit(ActivateRoutes{4, 2000}).empty());
  CHECK(test.submit(ProposeRoutes{5, "five", {"b1"}, 2000}).empty());  // its time is past 4's activation time
  CHECK(routes.in_force == 4);
}

TEST_CASE("a refusal, an abort and a newer version end an activation and record the reason") {
  TestLedger test;
  RouteState& routes = test.ledger.routes;
  test.submit(ProposeRoutes{3, "three", {"b1", "b2"}, 0});
  CHECK(test.submit(AnswerRoutes{3, "b2", "pools[0]: unknown", false}).empty());
  CHECK(routes.last_refusal == "version 3 aborted: b2: pools[0]: unknown");
  CHECK(routes.staged == 0);
  CHECK(test.submit(ProposeRoutes{3, "other", {"b1"}, 0}) ==
        "version 3 was proposed with a different table: use a higher version");
  CHECK(test.submit(ProposeRoutes{3, "three", {"b1"}, 0}).empty());
  CHECK(test.submit(ProposeRoutes{5, "five", {"b1"}, 0}).empty());
  CHECK(routes.last_refusal == "version 3 aborted: replaced by version 5");
  CHECK(test.submit(ProposeRoutes{4, "four", {"b1"}, 0}) == "version 4 is not above 5");
  CHECK(test.submit(AbortRoutes{5, "time-out"}).empty());
  CHECK(routes.last_refusal == "version 5 aborted: time-out");
  CHECK(test.submit(ProposeRoutes{6, std::string(kMaxRouteTableBytes + 1, 'x'), {"b1"}, 0}) ==
        "version 6 is over 262144 bytes");
}

TEST_CASE("slices reduce the balance, are returned, lapse, and are reported") {
  TestLedger test;
  Wallet& wallet = test.ledger.wallets["w"];
  CHECK(test.submit(Deposit{"w", "d", -1}) == "amount is negative or over 2^53");
  CHECK(test.submit(Deposit{"w", "d", kMaxUnits + 1}) == "amount is negative or over 2^53");
  CHECK(test.submit(Deposit{"w", "d", 80}).empty());
  CHECK(test.submit(Deposit{"w", "e", kMaxUnits}) == "wallet would be over 2^53");
  CHECK(test.submit(TakeSlice{"w", "s1", "b1", 1, 50, 9}).empty());
  CHECK(wallet.out["s1"].amount == 10);
  CHECK(test.submit(TakeSlice{"w", "s1", "b1", 1, 50, 9}) == "slice s1 already exists");
  CHECK(test.submit(TakeSlice{"w", "s2", "b2", 1, 3, 9}).empty());
  CHECK(test.submit(ReturnSlice{"w", "s1", 11}) == "spent is negative or over the amount of the slice");
  CHECK(test.submit(ReturnSlice{"w", "s1", 4}).empty());
  CHECK(test.submit(ReturnSlice{"w", "s1", 4}) == "slice s1 is not open");
  CHECK(wallet.balance == 73);
  CHECK(test.submit(ReportSpent{"w", "s2", 1}, "b2", 1) ==
        "slice s2 is not of an earlier incarnation of the sender");
  CHECK(test.submit(LapseSlice{"w", "s2"}).empty());
  CHECK(wallet.spent == 7);
  CHECK(test.submit(ReturnSlice{"w", "s2", 1}) == "slice s2 is not open");
  CHECK(test.submit(ReportSpent{"w", "s2", 1}).empty());
  CHECK(wallet.spent == 5);
  CHECK(wallet.balance == 75);
  test.submit(TakeSlice{"w", "s3", "b3", 1, 3, 9});
  CHECK(test.submit(ReportSpent{"w", "s3", 2}, "b3", 2).empty());
  CHECK(wallet.spent == 7);
}

TEST_CASE("a slice is a multiple of the price of a call") {
  TestLedger test;
  Wallet& wallet = test.ledger.wallets["w"];
  test.submit(Deposit{"w", "d", 130});
  CHECK(test.submit(TakeSlice{"w", "s1", "b1", 1, 50, 9, 51}) ==
        "the minimum is negative or over the requested amount");
  CHECK(test.submit(TakeSlice{"w", "s1", "b1", 1, 50, 9, -1}) ==
        "the minimum is negative or over the requested amount");
  CHECK(test.submit(TakeSlice{"w", "s1", "b1", 1, 80, 9, 50}).empty());
  CHECK(wallet.out["s1"].amount == 50);
  CHECK(test.submit(TakeSlice{"w", "s2", "b2", 1, 50, 9, 50}).empty());
  CHECK(test.submit(TakeSlice{"w", "s3", "b3", 1, 50, 9, 50}) ==
        "wallet w has less than the price of a call");
  CHECK(wallet.balance == 30);
  CHECK(test.submit(TakeSlice{"w", "s3", "b3", 1, 50, 9}).empty());
  CHECK(wallet.out["s3"].amount == 3);
}

TEST_CASE("the last units are spread over all holders, and sums match under random commands") {
  TestLedger test;
  test.submit(Deposit{"w", "d", 50});
  for (int round = 0; round < 30; ++round)
    for (int b = 0; b < 9; ++b)
      test.submit(TakeSlice{"w", std::to_string(round * 9 + b), "b" + std::to_string(b), 1, 100, 9});
  CHECK(test.ledger.wallets["w"].balance == 0);
  std::map<std::string, std::int64_t> amounts;
  for (const auto& [name, slice] : test.ledger.wallets["w"].out) amounts[slice.holder] += slice.amount;
  CHECK(amounts.size() == 9);
  for (const auto& [name, sum] : amounts) CHECK(sum <= 12);
  std::mt19937_64 random(7);
  for (int step = 0; step < 20000; ++step) {  // apply() reports a violated invariant if the sums do not match
    const std::string slice = std::to_string(random() % 40), wallet = "w" + std::to_string(random() % 2);
    const auto amount = static_cast<std::int64_t>(random() % 20) - 2;
    switch (random() % 5) {
      case 0:
        test.submit(Deposit{wallet, std::to_string(random() % 500), amount});
        break;
      case 1:
        test.submit(TakeSlice{wallet, slice, "b", random() % 3, amount, 0, amount - 2 * (step % 2)});
        break;
      case 2:
        test.submit(ReturnSlice{wallet, slice, amount});
        break;
      case 3:
        test.submit(LapseSlice{wallet, slice});
        break;
      default:
        test.submit(ReportSpent{wallet, slice, amount}, "b", 3);
    }
  }
  CHECK(test.ledger.wallets["w0"].paid > 0);
}

TEST_CASE("voters change by one name at a time") {
  TestLedger test;
  CHECK(test.submit(ChangeVoters{{"c", "a", "b"}}).empty());
  CHECK(test.ledger.voters == std::vector<std::string>{"a", "b", "c"});
  CHECK_FALSE(test.submit(ChangeVoters{{"a", "b", "d"}}).empty());
  CHECK_FALSE(test.submit(ChangeVoters{{"a", "b", "b"}}).empty());
  CHECK(test.submit(ChangeVoters{{"a", "b"}}).empty());
  CHECK(test.submit(ChangeVoters{{"a", "b", "d"}}).empty());
}

TEST_CASE(
    "commands and ledgers are decoded as they were encoded; truncated or corrupted ones are not decoded") {
  const std::vector<Body> bodies{ProposeRoutes{3, "t", {"a", "b"}, 7},
                                 AnswerRoutes{3, "a", "no", true},
                                 ActivateRoutes{3, 9},
                                 AbortRoutes{3, "why"},
                                 Deposit{"w", "d", 5},
                                 TakeSlice{"w", "s", "a", 2, 5, 9, 4},
                                 ReturnSlice{"w", "s", 2},
                                 LapseSlice{"w", "s"},
                                 ReportSpent{"w", "s", 1},
                                 ChangeVoters{{"a", "b", "c"}},
                                 CompleteRoutes{3}};
  REQUIRE(bodies.size() == std::variant_size_v<Body>);
  Ledger ledger;
  std::uint64_t number = 0;
  for (const Body& body : bodies) {
    const Command command{{"a", 4, ++number}, body};
    const std::string encoded = encode(command);
    Command back;
    REQUIRE(decode(encoded, back));
    CHECK(back.id == command.id);
    CHECK(back.body.index() == body.index());
    CHECK(encode(back) == encoded);
    Ledger by_original = ledger, by_copy = ledger;
    CHECK(apply(by_original, number, command) == apply(by_copy, number, back));
    CHECK(digest(by_original) == digest(by_copy));
    ledger = by_original;
    for (std::size_t at = 0; at < encoded.size(); ++at) {
      std::string corrupted = encoded;
      corrupted[at] = static_cast<char>(corrupted[at] ^ (1 << (at % 8)));
      CHECK_FALSE(decode(corrupted, back));
      CHECK_FALSE(decode(std::string_view(encoded).substr(0, at), back));
    }
  }
  ledger.wallets["w"].out["s9"] = {"h", 2, 3, 4};
  ledger.wallets["w"].held_back["s8"] = 2;
  Ledger back;
  REQUIRE(decode(encode(ledger), back));
  CHECK(digest(back) == digest(ledger));
  CHECK(back.wallets["w"].out["s9"].until == 4);
  CHECK(back.wallets["w"].held_back["s8"] == 2);
  CHECK(back.last_commands["a"].number == number);
  back.routes.max_proposed_hash ^= 1;
  CHECK(digest(back) != digest(ledger));
}
