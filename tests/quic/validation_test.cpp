// Retry, tokens and stateless resets.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- Address validation ----------------------------------------------------------------------------

TEST_CASE("a token counts once, in time, for its own address and id") {
  AddressValidation validation({.mode = RetryMode::always});
  using Verdict = AddressValidation::Verdict;
  Endpoint home = at("127.0.0.1:4000"), away = at("127.0.0.1:4001");
  Header first = initial_of("original id");
  CHECK(validation.validate(first, home, kStart).verdict == Verdict::send_retry);
  Retried retried(validation, first, home, kStart);
  CHECK(retry_is_authentic(retried.packet, "original id"));
  CHECK(unroutable(retried.id));
  Header second = initial_of(retried.id, retried.token);

  SECTION("taken, then replayed") {
    auto decision = validation.validate(second, home, kStart + kSecond);
    CHECK(decision.verdict == Verdict::accept);
    REQUIRE(decision.token.has_value());
    CHECK(decision.token->original_id == "original id");
    CHECK(decision.token->retry_id == retried.id);
    CHECK(validation.validate(second, home, kStart + 2 * kSecond).verdict == Verdict::reject);
  }
  SECTION("late") {
    CHECK(validation.validate(second, home, kStart + 11 * kSecond).verdict == Verdict::reject);
  }
  SECTION("another address") {
    CHECK(validation.validate(second, away, kStart + kSecond).verdict == Verdict::reject);
  }
  SECTION("another id") {
    CHECK(validation.validate(initial_of("another id", retried.token), home, kStart + kSecond).verdict ==
          Verdict::reject);
  }
  SECTION("changed at any octet") {
    for (std::size_t i = 4; i < retried.token.size(); ++i) {
      std::string changed = retried.token;
      changed[i] = static_cast<char>(changed[i] ^ 0x20);
      INFO(i);
      CHECK(validation.validate(initial_of(retried.id, changed), home, kStart + kSecond).verdict ==
            Verdict::reject);
    }
  }
  SECTION("a worker's own NEW_TOKEN counts as none") {
    CHECK(validation.validate(initial_of("original id", "a token of a worker's"), home, kStart).verdict ==
          Verdict::send_retry);
  }
}

TEST_CASE("tokens outlive one change of their key and hold at every router with the same secret") {
  ValidationSettings settings{.mode = RetryMode::always,
                              .token_lifetime = 10 * kSecond,
                              .key_lifetime = 20 * kSecond,
                              .secret = std::string(16, 's')};
  AddressValidation one(settings), other(settings);
  settings.secret = std::string(16, 't');
  AddressValidation foreign(settings);
  Endpoint home = at("[::1]:4000");
  std::int64_t before =
      (kStart / (20 * kSecond) + 1) * 20 * kSecond - kSecond;  // the key changes in a second
  Retried retried(one, initial_of("original id"), home, before);
  Header second = initial_of(retried.id, retried.token);
  using Verdict = AddressValidation::Verdict;
  CHECK(foreign.validate(second, home, before).verdict == Verdict::reject);
  CHECK(other.validate(second, home, before + 2 * kSecond).verdict == Verdict::accept);
  TokenSealer sealer(std::string(16, 's'), 20 * kSecond);
  CHECK(sealer.open(retried.token, home, before + 2 * kSecond).has_value());
  CHECK_FALSE(sealer.open(retried.token, home, before + 25 * kSecond).has_value());  // two keys later
}

TEST_CASE("Retry is asked for from a rate of unvalidated Initials on, and no longer below half of it") {
  AddressValidation validation({.mode = RetryMode::from_rate, .from_rate = 100});
  Endpoint home = at("127.0.0.1:4000");
  auto second_of = [&](int second, int initials) {
    int asked = 0;
    for (int i = 0; i < initials; ++i)
      asked +=
          validation
              .validate(initial_of("original id"), home, kStart + second * kSecond + i * kSecond / initials)
              .verdict == AddressValidation::Verdict::send_retry;
    return asked;
  };
  CHECK(second_of(0, 80) == 0);
  CHECK(second_of(1, 90) == 0);
  CHECK(second_of(2, 400) > 250);
  CHECK(validation.requires_retry());
  CHECK(second_of(3, 70) == 70);  // over half: it stays on
  second_of(4, 20);
  CHECK(second_of(5, 20) == 0);
  CHECK_FALSE(validation.requires_retry());
  // Under never, no flood turns it on.
  AddressValidation never({.mode = RetryMode::never});
  for (int i = 0; i < 5000; ++i)
    CHECK(never.validate(initial_of("original id"), home, kStart).verdict ==
          AddressValidation::Verdict::accept);
}

// ---- Stateless resets ------------------------------------------------------------------------------

TEST_CASE("a stateless reset is shorter than what came, carries the token and is bounded in rate") {
  std::string key(16, 'r');
  StatelessReset reset(key, 5);
  for (std::size_t received : {22u, 30u, 44u, 1200u}) {
    auto packet = reset.answer("connection", received, kStart);
    REQUIRE(packet.has_value());
    CHECK(packet->size() >= 21);
    CHECK(packet->size() < received);
    CHECK((static_cast<unsigned char>((*packet)[0]) & 0xc0) == 0x40);
    CHECK(packet->substr(packet->size() - 16) == stateless_reset_token(key, "connection"));
  }
  CHECK_FALSE(reset.answer("connection", 21, kStart).has_value());
  CHECK(reset.answer("connection", 100, kStart).has_value());
  CHECK_FALSE(reset.answer("connection", 100, kStart).has_value());  // five were all
  CHECK(reset.answer("connection", 100, kStart + kSecond / 4).has_value());
  CHECK_FALSE(StatelessReset("", 5).answer("connection", 100, kStart).has_value());
  CHECK(stateless_reset_token(key, "a") != stateless_reset_token(key, "b"));
}

}  // namespace marblehub::test
